//! Reports of crashes in the platform's table, which every router follows.
//!
//! Datagrams get lost, and a router that was frozen, cut off or has just
//! started has missed them; the table has them all. Each write adds a row that
//! doesn't change any more, so that it needs no condition and may be repeated.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::poison::{EXPIRY, Report};
use poplar_platform::rows::{Commit, Partition, Row, Write};
use serde::{Deserialize, Serialize};

use super::wire::ReportsWire;
use super::{Crashes, Source};
use crate::relay::age::time_of;
use crate::relay::state::Relay;
use crate::sync::lock;

/// The table of reports, with a partition of its own: writes of one partition
/// wait for each other.
pub const PARTITION: Partition = Partition {
    table: "crashes",
    part: "crashes",
};
/// Most reports in one row, about 3 KB.
const MAX_ROW_REPORTS: usize = 64;
/// Most rows in the table, of a few hundred bytes each: a router that starts
/// reads them over a link of 10 Mbit/s within half a second.
const MAX_ROWS: usize = 1000;
/// Most rows that one write removes.
const MAX_REMOVED: usize = 50;
/// Shortest time between two writes of one router.
const MIN_PERIOD: Duration = Duration::from_millis(250);
/// Time between two writes for each live router: each of them reads what all
/// others write.
const PERIOD_PER_ROUTER: Duration = Duration::from_millis(15);
/// Pause after a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time-out of a write.
const TIMEOUT: Duration = Duration::from_millis(600);

/// The value of a row.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct RowWire {
    /// The store's clock in milliseconds when the ages were taken.
    clock: u64,
    #[serde(flatten)]
    reports: ReportsWire,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredRow {
    key: Name,
    clock: u64,
}

/// Writes this router's reports to the table until the process ends.
pub async fn write(relay: Arc<Relay>) {
    loop {
        let crashes = &relay.crashes;
        let added = crashes.added.notified();
        let Some((reports, writes)) = crashes.next_writes(Instant::now()) else {
            let _ = tokio::time::timeout(RETRY_INTERVAL, added).await;
            continue;
        };
        let commit = Commit {
            checks: Vec::new(),
            writes,
        };
        match relay.store.commit(PARTITION, commit, TIMEOUT).await {
            Ok(_) => {
                crashes.record_written(&reports);
                let period = MIN_PERIOD.max(PERIOD_PER_ROUTER * relay.budgets.live_routers());
                tokio::time::sleep(period).await;
            }
            Err(why) => {
                log::warn("crash reports not written")
                    .with("reports", reports.len())
                    .reason(why)
                    .write();
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

impl Crashes {
    /// The next reports to write, and the writes for them; `None` if there are
    /// none, or the table was not read yet.
    pub fn next_writes(&self, now: Instant) -> Option<(Vec<Report>, Vec<Write>)> {
        let clock = self.store_clock(now)?;
        let state = lock(&self.state);
        let reports = state.unwritten.iter().take(MAX_ROW_REPORTS);
        let reports: Vec<Report> = reports.cloned().collect();
        if reports.is_empty() {
            return None;
        }
        let writes = writes(&reports, &state.rows, clock, now);
        Some((reports, writes))
    }

    /// Records that a write of these reports succeeded.
    pub fn record_written(&self, reports: &[Report]) {
        let mut state = lock(&self.state);
        state.unwritten.retain(|report| !reports.contains(report));
    }

    /// Adds the reports of rows that were not in the table before. `clock` is
    /// the store's clock in milliseconds at `now`.
    pub fn merge_rows<'a>(&self, rows: impl Iterator<Item = &'a Row>, clock: u64, now: Instant) {
        let known = {
            let mut state = lock(&self.state);
            state.clock = Some((clock, now));
            state.history.expire(now);
            std::mem::take(&mut state.rows)
        };
        let mut current = Vec::new();
        for row in rows {
            // Both are in the order of the keys.
            if let Ok(place) = known.binary_search_by(|k| k.key.cmp(&row.key)) {
                current.push(known[place].clone());
                continue;
            }
            let wire = serde_json::from_slice::<RowWire>(&row.value);
            match wire {
                Ok(wire) => {
                    let encoded_at = time_of(clock.saturating_sub(wire.clock), now);
                    self.merge(wire.reports.decode(encoded_at), Source::Table, now);
                    current.push(StoredRow {
                        key: row.key.clone(),
                        clock: wire.clock,
                    });
                }
                Err(why) => {
                    log::warn("crash report invalid")
                        .with("key", &row.key)
                        .reason(why)
                        .write();
                    // Removed with the oldest rows.
                    current.push(StoredRow {
                        key: row.key.clone(),
                        clock: 0,
                    });
                }
            }
        }
        lock(&self.state).rows = current;
    }
}

/// A row with these reports, and the removal of rows that have expired or are
/// too many.
fn writes(reports: &[Report], rows: &[StoredRow], clock: u64, now: Instant) -> Vec<Write> {
    let wire = RowWire {
        clock,
        reports: ReportsWire::encode(reports, now),
    };
    let value = serde_json::to_vec(&wire).expect("reports can be serialized");
    let mut writes = vec![Write {
        key: format!("{clock:014}-{:08x}", rand::random::<u32>()).into(),
        value: Some(value),
    }];
    let surplus = (rows.len() + 1).saturating_sub(MAX_ROWS);
    let mut oldest: Vec<&StoredRow> = rows.iter().collect();
    oldest.sort_by_key(|row| row.clock);
    let is_expired = |row: &StoredRow| clock.saturating_sub(row.clock) > EXPIRY.as_millis() as u64;
    let removed = oldest.into_iter().enumerate();
    let removed = removed.filter(|(place, row)| *place < surplus || is_expired(row));
    writes.extend(removed.take(MAX_REMOVED).map(|(_, row)| Write {
        key: row.key.clone(),
        value: None,
    }));
    writes
}
