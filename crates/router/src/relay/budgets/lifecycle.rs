//! The first and the last writes of a process: it takes the row of its
//! predecessor over, and returns its unspent tokens when it stops.

use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::quota::{self, Allocation, Change, HolderRow, LentTokens, Settlement};
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::Commit;
use poplar_platform::store::Error;

use super::Budgets;
use super::checkpoint::{Checkpoint, PARTITION, TOTAL_END, put_row};
use super::state::{PendingWrite, SUMMARY_KEY, TOTAL_PREFIX, decode};
use crate::sync::lock;

/// Shortest time-out of the first reads and of the first write.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for each live router: their first writes wait for each other if all start
/// at once. A write that is repeated too early makes the others wait longer.
const TIMEOUT_PER_ROUTER: Duration = Duration::from_millis(5);
/// Most attempts of the last writes, since writes of other routers may
/// conflict.
const MAX_TRIES: u32 = 10;

impl Budgets {
    /// Takes over the row of the previous process at this address, and releases
    /// the tokens that it can't have spent. That process has ended, since this
    /// one has its address. Retries until it succeeds.
    pub(super) async fn take_over(&self) {
        let started = Instant::now();
        for tries in 0.. {
            match self.try_take_over(started).await {
                Ok(()) => break,
                Err(why) => log::warn("budget takeover failed").reason(why).write(),
            }
            self.back_off(tries.min(MAX_TRIES)).await;
        }
    }

    async fn try_take_over(&self, started: Instant) -> Result<(), Error> {
        // The summary tells how many routers there are.
        let now = Instant::now();
        let rows = self
            .store
            .read(PARTITION, SUMMARY_KEY, TOTAL_END, MIN_TIMEOUT)
            .await?;
        let timeout = {
            let mut state = lock(&self.state);
            state.record_snapshot(&rows, now);
            if state.summary_version == 0 {
                // The first checkpoint reads again, and then makes the first summary.
                state.totals_at = None;
            }
            MIN_TIMEOUT.max(TIMEOUT_PER_ROUTER * state.routers())
        };
        // Upper bound of a range that contains no key but the own one.
        let end = format!("{}/", self.key);
        // The previous process had ended when this one started, and spent nothing since.
        let since_end = started.elapsed();
        let snapshot = self.store.read(PARTITION, &self.key, &end, timeout).await?;
        let own = snapshot.rows.iter().find(|row| row.key == self.key);
        let version = own.map_or(0, |row| row.version);
        let previous: HolderRow = own.and_then(decode).unwrap_or_default();
        let age = Duration::from_millis(snapshot.clock_ms.saturating_sub(previous.clock));
        let elapsed = age.saturating_sub(since_end);
        // Later checkpoints apply this to the totals, a few at a time: after a
        // power failure, all routers take their rows over at once.
        let settlements = previous.settlements(elapsed);
        let next = HolderRow {
            clock: snapshot.clock_ms,
            unsettled: settlements.clone(),
            ..HolderRow::of_leases(self.incarnation, previous.lent.clone())
        };
        let mut commit = Commit::default();
        put_row(&mut commit, self.key.clone(), version, &next);
        let committed = self.store.commit(PARTITION, commit, timeout).await?;
        log_settlements(&settlements, &previous, elapsed);
        let now = Instant::now();
        {
            let mut state = lock(&self.state);
            state.own_version = committed.version;
            state.written = 0;
            state.unsettled = settlements.into_iter().collect();
            state.clock = Some((committed.clock_ms, now));
            for (name, allocation) in &next.allocations {
                state.account_mut(name).inherit(allocation.granted, now);
            }
        }
        let epoch = lock(&self.state).epoch;
        self.lending.inherit(&previous.lent, epoch, now);
        lock(&self.state).ready = true;
        Ok(())
    }

    /// Returns the unspent tokens to the budgets, at the end of a planned stop. Those of
    /// open leases are left to the next process at this address.
    pub async fn return_unspent(&self, timeout: Duration) {
        if !self.is_ready() {
            return;
        }
        let spending = {
            let mut state = lock(&self.state);
            state.closed = true;
            state.spending(Instant::now())
        };
        log::info("returning unspent tokens")
            .with("spending", spending)
            .with("lent", self.lending.format_lent())
            .write();
        let lent = self.lending.end();
        let mut is_left = lent.is_empty();
        for tries in 0..MAX_TRIES {
            loop {
                let planned = self.plan_return(&lent, is_left, Instant::now());
                let Some(planned) = planned else {
                    return log::info("unspent tokens returned").write();
                };
                let result = self.store.commit(PARTITION, planned.commit, timeout).await;
                let mut state = lock(&self.state);
                match result {
                    Ok(committed) => {
                        state.own_version = committed.version;
                        state.unsettled = planned.unsettled;
                        state.accounts = SortedVec::new();
                        state.pending.clear();
                        is_left = true;
                    }
                    Err(Error::Conflict(rows)) => {
                        drop(state);
                        self.merge_conflict(&rows);
                        break;
                    }
                    // The next process at this address takes the row over.
                    Err(why) => {
                        return log::warn("unspent tokens not returned").reason(why).write();
                    }
                }
            }
            self.back_off(tries).await;
        }
        log::warn("unspent tokens not returned")
            .with("tries", MAX_TRIES)
            .write();
    }

    /// The next of the last writes; `None` if nothing is left to return, and the open
    /// leases are left to the next process.
    fn plan_return(&self, lent: &[LentTokens], is_left: bool, now: Instant) -> Option<Checkpoint> {
        let mut state = lock(&self.state);
        let mut all = state.unsettled.clone();
        for (name, account) in state.accounts.iter() {
            let unspent = account.held();
            all.get_or_insert_with(name.clone(), Settlement::default)
                .released += unspent;
        }
        all.retain(|_, settlement| *settlement != Settlement::default());
        let returns = all.iter().map(|(_, settlement)| Change {
            returned: settlement.released + settlement.stranded,
            ..Change::default()
        });
        let chosen = quota::select_changes(&returns.collect::<Vec<_>>(), 0);
        if chosen.is_empty() && is_left {
            return None;
        }
        let mut commit = Commit::default();
        let mut unsettled = SortedVec::new();
        for (index, (name, settlement)) in all.iter().enumerate() {
            if chosen.binary_search(&index).is_err() {
                unsettled.insert(name.clone(), *settlement);
                continue;
            }
            let (mut total, version) = state.total_row(name);
            total.settle(settlement);
            put_row(
                &mut commit,
                format!("{TOTAL_PREFIX}{name}").into(),
                version,
                &total,
            );
        }
        state.writes += 1;
        let row = HolderRow {
            sequence: state.writes,
            clock: state.clock(now),
            unsettled: unsettled.to_vec(),
            ..HolderRow::of_leases(self.incarnation, lent.to_vec())
        };
        put_row(&mut commit, self.key.clone(), state.own_version, &row);
        let sequence = state.writes;
        state.pending.push(PendingWrite {
            sequence,
            sent_at: now,
        });
        Some(Checkpoint {
            commit,
            unsettled,
            silent_rows: Vec::new(),
        })
    }
}

/// Logs what becomes of the tokens of a previous process, and the allocations from which
/// that follows.
fn log_settlements(settlements: &[(Name, Settlement)], row: &HolderRow, elapsed: Duration) {
    let allocations: SortedVec<Name, Allocation> = row.allocations.iter().cloned().collect();
    for (name, settlement) in settlements {
        let allocation = allocations.get(&**name).copied().unwrap_or_default();
        log::info("grant of previous process settled")
            .workspace(name)
            .with("released", settlement.released)
            .with("stranded", settlement.stranded)
            .with("age_ms", elapsed.as_millis())
            .with("granted", allocation.granted)
            .with("spent", allocation.spent)
            .with("burst", allocation.burst)
            .with("rate", allocation.rate)
            .write();
    }
}
