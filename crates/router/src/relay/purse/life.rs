//! The first and the last writes of a life.

use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::quota::{self, Change, HolderRow, Settlement};
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::Commit;
use poplar_platform::store::Error;

use super::Purse;
use super::tables::{Open, TOTAL, decode};
use super::writer::{PLACE, Planned, write};
use crate::sync::lock;

/// How long the first read and write may take.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Tries against the writes of others.
const TRIES: u32 = 10;

impl Purse {
    /// Takes the row of the life before over and gives back what it can't have
    /// spent; the process that wrote it is gone, since its address is ours.
    pub(super) async fn open(&self) {
        for tries in 0.. {
            match self.try_open().await {
                Ok(()) => break,
                Err(why) => log::warn("budgets not opened").reason(why).write(),
            }
            self.step_back(tries.min(TRIES)).await;
        }
    }

    async fn try_open(&self) -> Result<(), Error> {
        let after = format!("{}/", self.key);
        let rows = self.store.read(PLACE, &self.key, &after, TIMEOUT).await?;
        let own = rows.rows.iter().find(|row| row.key == self.key);
        let version = own.map_or(0, |row| row.version);
        let before: HolderRow = own.and_then(decode).unwrap_or_default();
        let elapsed = Duration::from_millis(rows.clock.saturating_sub(before.clock));
        // The totals learn of it from later checkpoints, a few at a time: after
        // a loss of power, all routers are here at once.
        let ended = before.settlements(elapsed);
        let next = HolderRow {
            incarnation: self.life,
            sequence: 0,
            clock: rows.clock,
            allocations: Vec::new(),
            unsettled: ended.clone(),
        };
        let mut commit = Commit::default();
        write(&mut commit, self.key.clone(), version, &next);
        let done = self.store.commit(PLACE, commit, TIMEOUT).await?;
        for (name, bound) in &ended {
            log::info("grant ended")
                .workspace(name)
                .with("released", bound.released)
                .with("stranded", bound.stranded)
                .with("age_ms", elapsed.as_millis())
                .write();
        }
        let mut tables = lock(&self.tables);
        tables.own = done.version;
        tables.ended = ended.into_iter().collect();
        tables.opened = true;
        tables.clock = Some((done.clock, Instant::now()));
        Ok(())
    }

    /// Gives back what was not spent, at the end of a planned stop.
    pub async fn close(&self, timeout: Duration) {
        if !self.is_open() {
            return;
        }
        for tries in 0..TRIES {
            loop {
                let Some(planned) = self.ending(Instant::now()) else {
                    return log::info("budgets returned").write();
                };
                let result = self.store.commit(PLACE, planned.commit, timeout).await;
                let mut tables = lock(&self.tables);
                match result {
                    Ok(done) => {
                        tables.own = done.version;
                        tables.ended = planned.ended;
                        tables.accounts = SortedVec::new();
                        tables.open.clear();
                    }
                    Err(Error::Conflict(rows)) => {
                        drop(tables);
                        self.conflict(&rows);
                        break;
                    }
                    // The next life at this address finds the row and goes on.
                    Err(why) => return log::warn("budgets not returned").reason(why).write(),
                }
            }
            self.step_back(tries).await;
        }
        log::warn("budgets not returned")
            .with("tries", TRIES)
            .write();
    }

    /// One of the last writes of this life; `None` after them.
    fn ending(&self, now: Instant) -> Option<Planned> {
        let mut tables = lock(&self.tables);
        let mut all = tables.ended.clone();
        for (name, account) in tables.accounts.iter() {
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
            let (mut total, version) = tables.total(name);
            total.settle(bound);
            write(
                &mut commit,
                format!("{TOTAL}{name}").into(),
                version,
                &total,
            );
        }
        tables.written += 1;
        let row = HolderRow {
            incarnation: self.life,
            sequence: tables.written,
            clock: tables.clock(now),
            allocations: Vec::new(),
            unsettled: ended.to_vec(),
        };
        write(&mut commit, self.key.clone(), tables.own, &row);
        let number = tables.written;
        tables.open.push(Open { number, at: now });
        Some(Planned {
            commit,
            needs: Vec::new(),
            ended,
        })
    }
}
