//! The first and the last writes of a life.

use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::quota::{self, Change, HolderRow, Settlement};
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::Commit;
use poplar_platform::store::Error;

use super::Budgets;
use super::checkpoint::{PARTITION, Planned, write};
use super::state::{PendingWrite, TOTAL_PREFIX, decode};
use crate::sync::lock;

/// How long the first read and write may take.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Tries against the writes of others.
const TRIES: u32 = 10;

impl Budgets {
    /// Takes the row of the life before over and gives back what it can't have
    /// spent; the process that wrote it is gone, since its address is ours.
    pub(super) async fn take_over(&self) {
        for tries in 0.. {
            match self.try_take_over().await {
                Ok(()) => break,
                Err(why) => log::warn("budgets not opened").reason(why).write(),
            }
            self.back_off(tries.min(TRIES)).await;
        }
    }

    async fn try_take_over(&self) -> Result<(), Error> {
        let after = format!("{}/", self.key);
        let snapshot = self
            .store
            .read(PARTITION, &self.key, &after, TIMEOUT)
            .await?;
        let own = snapshot.rows.iter().find(|row| row.key == self.key);
        let version = own.map_or(0, |row| row.version);
        let before: HolderRow = own.and_then(decode).unwrap_or_default();
        let elapsed = Duration::from_millis(snapshot.clock_ms.saturating_sub(before.clock));
        // The totals learn of it from later checkpoints, a few at a time: after
        // a loss of power, all routers are here at once.
        let ended = before.settlements(elapsed);
        let next = HolderRow {
            incarnation: self.incarnation,
            sequence: 0,
            clock: snapshot.clock_ms,
            allocations: Vec::new(),
            unsettled: ended.clone(),
        };
        let mut commit = Commit::default();
        write(&mut commit, self.key.clone(), version, &next);
        let done = self.store.commit(PARTITION, commit, TIMEOUT).await?;
        for (name, bound) in &ended {
            log::info("grant ended")
                .workspace(name)
                .with("released", bound.released)
                .with("stranded", bound.stranded)
                .with("age_ms", elapsed.as_millis())
                .write();
        }
        let mut state = lock(&self.state);
        state.own = done.version;
        state.ended = ended.into_iter().collect();
        state.opened = true;
        state.clock = Some((done.clock_ms, Instant::now()));
        Ok(())
    }

    /// Gives back what was not spent, at the end of a planned stop.
    pub async fn return_unspent(&self, timeout: Duration) {
        if !self.is_ready() {
            return;
        }
        for tries in 0..TRIES {
            loop {
                let Some(planned) = self.ending(Instant::now()) else {
                    return log::info("budgets returned").write();
                };
                let result = self.store.commit(PARTITION, planned.commit, timeout).await;
                let mut state = lock(&self.state);
                match result {
                    Ok(done) => {
                        state.own = done.version;
                        state.ended = planned.ended;
                        state.accounts = SortedVec::new();
                        state.pending.clear();
                    }
                    Err(Error::Conflict(rows)) => {
                        drop(state);
                        self.merge_conflict(&rows);
                        break;
                    }
                    // The next life at this address finds the row and goes on.
                    Err(why) => return log::warn("budgets not returned").reason(why).write(),
                }
            }
            self.back_off(tries).await;
        }
        log::warn("budgets not returned")
            .with("tries", TRIES)
            .write();
    }

    /// One of the last writes of this life; `None` after them.
    fn ending(&self, now: Instant) -> Option<Planned> {
        let mut state = lock(&self.state);
        let mut all = state.ended.clone();
        for (name, account) in state.accounts.iter() {
            let unspent = account.held();
            all.get_or_insert_with(name.clone(), Settlement::default)
                .released += unspent;
        }
        all.retain(|_, bound| *bound != Settlement::default());
        let bounds = all.iter().map(|(_, bound)| Change {
            returned: bound.released + bound.stranded,
            ..Change::default()
        });
        let chosen = quota::select_changes(&bounds.collect::<Vec<_>>(), 0);
        if chosen.is_empty() {
            return None;
        }
        let mut commit = Commit::default();
        let mut ended = SortedVec::new();
        for (index, (name, bound)) in all.iter().enumerate() {
            if chosen.binary_search(&index).is_err() {
                ended.insert(name.clone(), *bound);
                continue;
            }
            let (mut total, version) = state.total(name);
            total.settle(bound);
            write(
                &mut commit,
                format!("{TOTAL_PREFIX}{name}").into(),
                version,
                &total,
            );
        }
        state.written += 1;
        let row = HolderRow {
            incarnation: self.incarnation,
            sequence: state.written,
            clock: state.clock(now),
            allocations: Vec::new(),
            unsettled: ended.to_vec(),
        };
        write(&mut commit, self.key.clone(), state.own, &row);
        let number = state.written;
        state.pending.push(PendingWrite {
            number,
            sent_at: now,
        });
        Some(Planned {
            commit,
            needs: Vec::new(),
            ended,
        })
    }
}
