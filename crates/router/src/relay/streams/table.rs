//! Streams and versions in the platform's store.
//!
//! Each stream has a row, under a hash of the attempt that began it, which is
//! written once and read only by a router that doesn't know the stream. The versions
//! of each service have a row that changes with the list of servers, written under a
//! condition. Rows of streams are removed by any router: each reads a part of them
//! from time to time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::software::{Begun, RETENTION, Versions};
use poplar_platform::rows::{Check, Commit, Partition, Row, Write};
use poplar_platform::store::Error;

use super::wire::{StreamWire, VersionsWire};
use super::{StoredVersions, StreamVersions};
use crate::relay::age::age_ms;
use crate::relay::state::Relay;
use crate::sync::lock;

/// The rows of streams, with a partition of their own.
const STREAMS: Partition = Partition {
    table: "streams",
    part: "streams",
};
/// The rows of versions.
const VERSIONS: Partition = Partition {
    table: "versions",
    part: "versions",
};
/// Least time between two writes of one router. What it began within it is lost if
/// it is killed.
const MIN_PERIOD: Duration = Duration::from_millis(100);
/// The same for each live router, so that all together write about 120 times a
/// second.
const PERIOD_PER_ROUTER: Duration = Duration::from_millis(8);
/// Pause after a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Most writes of versions in a row, each of which fails if another router's came
/// first.
const MAX_TRIES: u32 = 5;
/// Most streams that one write adds.
const MAX_ADDED: usize = 50;
/// Most rows that one write removes.
const MAX_REMOVED: usize = 90;
/// Time between two reads that look for old rows, for each live router: one of all
/// routers reads in a second.
const CLEANING_PERIOD: Duration = Duration::from_secs(1);
/// Least time between two such reads.
const MIN_CLEANING_PERIOD: Duration = Duration::from_secs(5);
/// Parts of the keys, by their first digit, of which one is read at a time.
const KEY_PARTS: u32 = 16;
/// Reads in a row that find no row, after which there are none.
const MAX_EMPTY_READS: u32 = 2 * KEY_PARTS;
/// Time-out of a write.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Time-out of a read for a client that waits: the store may be slow.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// The same while the store does not answer other reads.
const LOST_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// The key of a stream's row.
fn key(attempt: &str) -> Name {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(attempt.as_bytes())).into()
}

/// Writes streams and versions to the store until the process ends.
pub async fn run(relay: Arc<Relay>) {
    // Nothing is removed until this router has written a row.
    let mut empty_reads = MAX_EMPTY_READS;
    let mut cleaned = Instant::now();
    loop {
        let streams = &relay.streams;
        let changed = streams.changed.notified();
        let now = Instant::now();
        let routers = relay.budgets.live_routers();
        lock(&streams.state).streams.expire(now);
        let Some(clock) = relay.servers.store_clock(now) else {
            let _ = tokio::time::timeout(RETRY_INTERVAL, changed).await;
            continue;
        };
        let versions = streams.write_versions(&relay, clock).await;
        let written = streams.write_streams(&relay, clock, now).await;
        let (Ok(()), Ok(written)) = (versions, written) else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        empty_reads = if written > 0 { 0 } else { empty_reads };
        let cleaning_period = MIN_CLEANING_PERIOD.max(CLEANING_PERIOD * routers);
        if empty_reads < MAX_EMPTY_READS && now >= cleaned + cleaning_period {
            cleaned = now;
            match remove_old_rows(&relay).await {
                Ok(0) => empty_reads += 1,
                Ok(_) => empty_reads = 0,
                Err(why) => log::warn("stream rows not removed").reason(why).write(),
            }
        }
        if written > 0 {
            tokio::time::sleep(MIN_PERIOD.max(PERIOD_PER_ROUTER * routers)).await;
        } else {
            let _ = tokio::time::timeout(MIN_CLEANING_PERIOD, changed).await;
        }
    }
}

impl StreamVersions {
    /// Writes the versions of each service that differ from those in the list of
    /// servers.
    async fn write_versions(&self, relay: &Relay, clock: u64) -> Result<(), Error> {
        let services: Vec<Name> = {
            let state = lock(&self.state);
            state.listed.iter().map(|(s, _)| s.clone()).collect()
        };
        for service in services {
            for _ in 0..MAX_TRIES {
                let Some((versions, row)) = self.changed_versions(&service, clock) else {
                    break;
                };
                let value = serde_json::to_vec(&VersionsWire::from(&versions));
                let commit = Commit {
                    checks: vec![Check {
                        key: service.clone(),
                        version: row,
                    }],
                    writes: vec![Write {
                        key: service.clone(),
                        value: Some(value.expect("versions can be serialized")),
                    }],
                };
                match relay.store.commit(VERSIONS, commit, TIMEOUT).await {
                    Ok(committed) => {
                        let row = committed.version;
                        self.set_stored(&service, StoredVersions { versions, row });
                    }
                    // Another router has written the row.
                    Err(Error::Conflict(rows)) => self.set_row(&service, &rows),
                    Err(why) => {
                        log::warn("software versions not written")
                            .with("service", &service)
                            .reason(&why)
                            .write();
                        return Err(why);
                    }
                }
            }
        }
        Ok(())
    }

    /// The versions of a service and the version of their row, if the row has to
    /// change.
    fn changed_versions(&self, service: &Name, clock: u64) -> Option<(Versions, u64)> {
        let state = lock(&self.state);
        let stored = state.stored.get(&**service).cloned().unwrap_or_default();
        let listed = state.listed.get(&**service)?;
        let mut versions = stored.versions.clone();
        versions.update(listed, clock);
        let is_open = |v: &Versions| -> Vec<(Name, bool)> {
            let entries = v.entries().iter();
            entries
                .map(|(name, gone)| (name.clone(), gone.is_none()))
                .collect()
        };
        // Rows that only have to forget something can wait.
        let added = is_open(&versions);
        let known = is_open(&stored.versions);
        let is_news = added.iter().any(|entry| !known.contains(entry));
        is_news.then_some((versions, stored.row))
    }

    /// Replaces the versions of a service by those in its row, if it has one.
    fn set_row(&self, service: &Name, rows: &[Row]) {
        let Some(row) = rows.iter().find(|row| row.key == *service) else {
            return self.set_stored(service, StoredVersions::default());
        };
        let decoded = serde_json::from_slice::<VersionsWire>(&row.value).inspect_err(|why| {
            log::warn("software versions invalid")
                .with("service", service)
                .reason(why)
                .write();
        });
        let versions = decoded.unwrap_or_default().into();
        self.set_stored(
            service,
            StoredVersions {
                versions,
                row: row.version,
            },
        );
    }

    /// Writes streams that began while there are several versions; returns how many.
    async fn write_streams(&self, relay: &Relay, clock: u64, now: Instant) -> Result<usize, Error> {
        let due = {
            let state = lock(&self.state);
            let services = state.services_of_several(clock);
            let is_due = |service: &Name| services.contains(service);
            state.streams.unwritten(is_due, MAX_ADDED)
        };
        if due.is_empty() {
            return Ok(0);
        }
        let commit = Commit {
            checks: Vec::new(),
            writes: due.iter().map(|(a, b)| write(a, b, clock, now)).collect(),
        };
        if let Err(why) = relay.store.commit(STREAMS, commit, TIMEOUT).await {
            log::warn("streams not written")
                .with("streams", due.len())
                .reason(&why)
                .write();
            return Err(why);
        }
        let attempts = due.iter().map(|(attempt, _)| attempt);
        lock(&self.state).streams.record_written(attempts);
        Ok(due.len())
    }

    /// Reads the versions of a service from the store.
    pub(super) async fn read_versions(&self, relay: &Relay, service: &Name) -> Result<(), Error> {
        let rows = self.read_row(relay, VERSIONS, service).await?;
        self.set_row(service, &rows.0);
        Ok(())
    }

    /// Reads where a stream began from the store; `None` if it has no row.
    pub(super) async fn read_stream(
        &self,
        relay: &Relay,
        attempt: &Name,
    ) -> Result<Option<Begun>, Error> {
        let (rows, clock) = self.read_row(relay, STREAMS, &key(attempt)).await?;
        let Some(row) = rows.first() else {
            return Ok(None);
        };
        match serde_json::from_slice::<StreamWire>(&row.value) {
            Ok(wire) => {
                let begun = wire.decode(clock, Instant::now());
                let mut state = lock(&self.state);
                state.streams.record_other(attempt.clone(), begun.clone());
                Ok(Some(begun))
            }
            Err(why) => {
                log::warn("stream row invalid")
                    .with("key", &row.key)
                    .reason(why)
                    .write();
                Ok(None)
            }
        }
    }

    /// Reads one row, if it exists, and the store's clock.
    async fn read_row(
        &self,
        relay: &Relay,
        partition: Partition,
        key: &str,
    ) -> Result<(Vec<Row>, u64), Error> {
        let timeout = if lock(&self.state).is_list_lost {
            LOST_READ_TIMEOUT
        } else {
            READ_TIMEOUT
        };
        // The least key greater than this one.
        let to = format!("{key}\0");
        let snapshot = relay.store.read(partition, key, &to, timeout).await?;
        Ok((snapshot.rows, snapshot.clock_ms))
    }
}

fn write(attempt: &Name, begun: &Begun, clock: u64, now: Instant) -> Write {
    let wire = StreamWire {
        service: begun.service.clone(),
        software: begun.software.clone(),
        clock: clock.saturating_sub(age_ms(begun.at, now)),
    };
    Write {
        key: key(attempt),
        value: Some(serde_json::to_vec(&wire).expect("a stream can be serialized")),
    }
}

/// Removes rows that no client asks for any more from a part of all; returns how
/// many rows were found there.
async fn remove_old_rows(relay: &Relay) -> Result<usize, Error> {
    let part = rand::random::<u32>() % KEY_PARTS;
    let from = format!("{part:x}");
    let to = if part + 1 == KEY_PARTS {
        String::new()
    } else {
        format!("{:x}", part + 1)
    };
    let snapshot = relay.store.read(STREAMS, &from, &to, TIMEOUT).await?;
    let is_old = |row: &&Row| {
        let clock = serde_json::from_slice::<StreamWire>(&row.value).map_or(0, |wire| wire.clock);
        snapshot.clock_ms.saturating_sub(clock) > RETENTION.as_millis() as u64
    };
    let old = snapshot.rows.iter().filter(is_old);
    let writes: Vec<Write> = old
        .take(MAX_REMOVED)
        .map(|row| Write {
            key: row.key.clone(),
            value: None,
        })
        .collect();
    if !writes.is_empty() {
        let commit = Commit {
            checks: Vec::new(),
            writes,
        };
        relay.store.commit(STREAMS, commit, TIMEOUT).await?;
    }
    Ok(snapshot.rows.len())
}
