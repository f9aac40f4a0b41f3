//! Limits that servers name, as routers tell each other of them: in datagrams and
//! in a table of the platform's store.
//!
//! The table is for routers that get no datagrams or have just started. It has a
//! row for each server, which the router writes that was told of a change.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::server_limit::{Report, Yield, is_rate};
use poplar_platform::rows::{Commit, Partition, Row, Write};
use serde::{Deserialize, Serialize};

use crate::relay::age::{age_ms, time_of};
use crate::relay::servers::limits::LimitNews;
use crate::relay::state::Relay;

/// The table of limits, with a partition of its own: writes of one partition wait
/// for each other.
pub const PARTITION: Partition = Partition {
    table: "limits",
    part: "limits",
};
/// Time between two looks for routers that started or ended, and for limits to
/// store.
const PERIOD: Duration = Duration::from_millis(100);
/// Least time between two writes of one router.
const WRITE_PERIOD: Duration = Duration::from_millis(500);
/// Most rows that one write adds or removes.
const MAX_ROWS: usize = 40;
/// Age at which the row of a server that is no longer listed is removed.
const ROW_EXPIRY: Duration = Duration::from_secs(120);
/// Time-out of a write.
const TIMEOUT: Duration = Duration::from_millis(600);

/// A limit in a datagram.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
struct ReportWire {
    server: Name,
    started_ms: u64,
    rate: Option<f64>,
    age_ms: u64,
}

/// What a datagram says of limits.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitNewsWire {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    limits: Vec<ReportWire>,
    /// Services and the first and last slots that are yielded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    yields: Vec<(Name, u64, u64)>,
}

/// The value of a row.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct RowWire {
    started_ms: u64,
    rate: Option<f64>,
    /// The store's clock in milliseconds when the server said so.
    clock: u64,
}

impl LimitNewsWire {
    /// Encodes news that are sent at `now`.
    pub fn encode(news: LimitNews, now: Instant) -> Self {
        let report = |report: Report| ReportWire {
            age_ms: age_ms(report.at, now),
            server: report.server,
            started_ms: report.process,
            rate: report.rate,
        };
        let offer = |offer: Yield| (offer.service, offer.from, offer.until);
        Self {
            limits: news.reports.into_iter().map(report).collect(),
            yields: news.yields.into_iter().map(offer).collect(),
        }
    }

    /// The news, which arrived at `now`. Limits that are no numbers are left out.
    pub fn decode(self, now: Instant) -> LimitNews {
        let valid = |r: &ReportWire| r.rate.is_none_or(is_rate);
        let report = |report: ReportWire| Report {
            at: time_of(report.age_ms, now),
            server: report.server,
            process: report.started_ms,
            rate: report.rate,
        };
        let offer = |(service, from, until)| Yield {
            service,
            from,
            until,
        };
        LimitNews {
            reports: self.limits.into_iter().filter(valid).map(report).collect(),
            yields: self.yields.into_iter().map(offer).collect(),
        }
    }
}

/// Follows which routers are live, and stores the limits that this router was
/// told, until the process ends.
pub async fn run(relay: Arc<Relay>) {
    let mut next_write = Instant::now();
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = Instant::now();
        relay.servers.set_routers(relay.budgets.peers());
        relay.servers.expire_limits(now);
        relay.servers.expire_notices(now);
        if now < next_write {
            continue;
        }
        let mut reports = relay.servers.unstored_limits();
        reports.truncate(MAX_ROWS);
        let Some(clock) = relay.servers.store_clock(now) else {
            continue;
        };
        if reports.is_empty() {
            continue;
        }
        next_write = now + WRITE_PERIOD;
        let commit = Commit {
            checks: Vec::new(),
            writes: reports.iter().map(|r| write(r, clock, now)).collect(),
        };
        match relay.store.commit(PARTITION, commit, TIMEOUT).await {
            Ok(_) => relay.servers.record_stored_limits(&reports),
            Err(why) => log::warn("server limits not written")
                .with("servers", reports.len())
                .reason(why)
                .write(),
        }
    }
}

fn write(report: &Report, clock: u64, now: Instant) -> Write {
    let wire = RowWire {
        started_ms: report.process,
        rate: report.rate,
        clock: clock.saturating_sub(age_ms(report.at, now)),
    };
    Write {
        key: report.server.clone(),
        value: Some(serde_json::to_vec(&wire).expect("a limit can be serialized")),
    }
}

/// Adds the limits in the rows of the table, read when the store's clock showed
/// `clock` at `now`. Returns the keys of rows that are out of date.
pub fn merge_rows<'a>(
    relay: &Relay,
    rows: impl Iterator<Item = &'a Row>,
    clock: u64,
    now: Instant,
) -> Vec<Name> {
    let mut reports = Vec::new();
    let mut expired = Vec::new();
    for row in rows {
        let wire = match serde_json::from_slice::<RowWire>(&row.value) {
            Ok(wire) if wire.rate.is_none_or(is_rate) => wire,
            _ => {
                log::warn("server limit row invalid")
                    .with("key", &row.key)
                    .write();
                expired.push(row.key.clone());
                continue;
            }
        };
        let age_ms = clock.saturating_sub(wire.clock);
        let is_old = Duration::from_millis(age_ms) > ROW_EXPIRY;
        if is_old && !relay.servers.is_listed(&row.key) {
            expired.push(row.key.clone());
        }
        reports.push(Report {
            server: row.key.clone(),
            process: wire.started_ms,
            rate: wire.rate,
            at: time_of(age_ms, now),
        });
    }
    relay.servers.merge_limits(reports, "table");
    expired
}

/// Removes rows that are out of date.
pub async fn remove_rows(relay: &Relay, mut keys: Vec<Name>) {
    keys.truncate(MAX_ROWS);
    let remove = |key: Name| Write { key, value: None };
    let commit = Commit {
        checks: Vec::new(),
        writes: keys.into_iter().map(remove).collect(),
    };
    if let Err(why) = relay.store.commit(PARTITION, commit, TIMEOUT).await {
        log::warn("server limit rows not removed")
            .reason(why)
            .write();
    }
}
