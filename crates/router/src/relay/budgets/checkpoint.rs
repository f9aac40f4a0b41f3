//! Writes the router's row and the totals that it changes, in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::Deployment;
use poplar_core::id::Name;
use poplar_core::quota::{self, Account, Change, HolderRow, PlanInput, Settlement};
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::{Check, Commit, Partition, Row, Write};
use poplar_platform::store::Error;
use serde::Serialize;

use super::Budgets;
use super::state::{FAILURE_LIMIT, PendingWrite, SUMMARY_KEY, TOTAL_PREFIX, decode};
use crate::sync::lock;

/// Where the rows of budgets lie; one part, so that a transaction spans them.
pub(super) const PARTITION: Partition = Partition {
    table: "budgets",
    part: "all",
};
/// The first key after those of totals.
const TOTAL_END: &str = "total0";
/// How long the reading of all rows may take, also over a small link.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two checkpoints without a waiting request.
const PERIOD: Duration = Duration::from_millis(400);
/// Time between checkpoints for each router, so that all of them together stay
/// under half of what one part of the store takes.
const PERIOD_PER_ROUTER: Duration = Duration::from_millis(10);
/// Conflicts of one checkpoint after which it changes the own row only.
const CONFLICT_LIMIT: u32 = 3;

/// What a checkpoint may change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Totals and the own row, after so many conflicts.
    Totals(u32),
    /// The own row alone.
    Own,
}

/// A checkpoint with what its requests needed, by workspace.
#[derive(Debug)]
pub(super) struct Planned {
    pub(super) commit: Commit,
    pub(super) needs: Vec<(Name, u64)>,
    /// Ends of lives before that the totals won't have then.
    pub(super) ended: SortedVec<Name, Settlement>,
}

impl Budgets {
    /// Keeps the row until the process ends.
    pub async fn run(self: Arc<Self>, site: impl Fn() -> Option<Arc<Deployment>>) {
        self.take_over().await;
        loop {
            if let Some(site) = site() {
                self.write_due(&site).await;
            }
            self.written.notify_waiters();
            let period = self.period();
            // A wake is a request that waits; without one the time passes.
            let _ = tokio::time::timeout(period, self.wake.notified()).await;
        }
    }

    fn period(&self) -> Duration {
        PERIOD.max(PERIOD_PER_ROUTER * self.live_routers())
    }

    /// Lets other routers' writes pass after a conflict.
    pub(super) async fn back_off(&self, tries: u32) {
        let routers = self.live_routers();
        let wait = quota::conflict_backoff(tries, routers, rand::random());
        tokio::time::sleep(wait).await;
    }

    /// Writes what is due. Requests that the own holding can pay wait for the
    /// own row only, which no other router changes.
    async fn write_due(&self, site: &Deployment) {
        let period = self.period();
        let (payable, more) = {
            let state = lock(&self.state);
            let lately = |at| Instant::now() < at + period;
            let balanced = state.balanced.is_some_and(lately);
            (state.is_payable(), !balanced || state.is_short())
        };
        if payable {
            let written = self.checkpoint(site, Scope::Own).await;
            if !self.record_result(written, Scope::Own) {
                return;
            }
            self.written.notify_waiters();
        }
        if more {
            self.balance(site).await;
        }
    }

    /// Draws and gives back, against the writes of others.
    async fn balance(&self, site: &Deployment) {
        for tries in 0..=CONFLICT_LIMIT {
            // What was spent is written at least.
            let scope = if tries < CONFLICT_LIMIT {
                Scope::Totals(tries)
            } else {
                Scope::Own
            };
            let result = match self.refresh(Instant::now()).await {
                Ok(()) => self.checkpoint(site, scope).await,
                Err(why) => Err(why),
            };
            let conflict = matches!(result, Err(Error::Conflict(_)));
            self.record_result(result, scope);
            if !conflict {
                lock(&self.state).balanced = Some(Instant::now());
                return;
            }
            if tries + 1 < CONFLICT_LIMIT {
                self.back_off(tries).await;
            }
        }
        log::warn("checkpoint given up")
            .with("tries", CONFLICT_LIMIT + 1)
            .write();
    }

    /// Takes in how a checkpoint ended; returns whether it is in force.
    fn record_result(&self, result: Result<(), Error>, scope: Scope) -> bool {
        match result {
            Ok(()) => {
                let failures = std::mem::take(&mut lock(&self.state).failures);
                if failures >= FAILURE_LIMIT {
                    log::info("budgets in touch").write();
                }
                log::debug("checkpoint")
                    .with("scope", format_args!("{scope:?}"))
                    .write();
                true
            }
            Err(Error::Conflict(rows)) => {
                self.merge_conflict(&rows);
                false
            }
            Err(why) => {
                log::warn("checkpoint failed").reason(&why).write();
                let mut state = lock(&self.state);
                state.failures += 1;
                state.failed = Some(Instant::now());
                false
            }
        }
    }

    /// Reads the totals and the sums of the holders' rows where they are old,
    /// and makes new sums where it is this router's turn.
    async fn refresh(&self, now: Instant) -> Result<(), Error> {
        let patience = {
            let state = lock(&self.state);
            let age = quota::max_read_age(state.routers());
            if state.totals_at.is_some_and(|at| now <= at + age) {
                return Ok(());
            }
            state.pace.timeout()
        };
        let read = self
            .store
            .read(PARTITION, SUMMARY_KEY, TOTAL_END, patience)
            .await;
        let rows = read.inspect_err(|_| lock(&self.state).pace.record_timeout())?;
        {
            let mut state = lock(&self.state);
            state.learn(&rows, now);
            let exist = state.summed > 0;
            if exist && !state.summary.is_refresh_due(self.address, rows.clock_ms) {
                return Ok(());
            }
        }
        // Without new sums the old ones serve on.
        if let Err(why) = self.write_summary().await {
            log::warn("no new sums").reason(why).write();
        }
        Ok(())
    }

    /// Reads all rows and writes their sums for the other routers.
    async fn write_summary(&self) -> Result<(), Error> {
        let now = Instant::now();
        let rows = self.store.read(PARTITION, "", "", TIMEOUT).await?;
        let commit = {
            let mut state = lock(&self.state);
            state.learn(&rows, now);
            let summary = state.sum_up(&rows);
            let mut commit = Commit::default();
            write(&mut commit, SUMMARY_KEY.into(), state.summed, &summary);
            state.summary = summary;
            state.summed_at = Some(now);
            commit
        };
        match self.store.commit(PARTITION, commit, TIMEOUT).await {
            Ok(done) => lock(&self.state).summed = done.version,
            // Another router was first; the next reading has its sums.
            Err(Error::Conflict(_)) => {}
            Err(why) => return Err(why),
        }
        Ok(())
    }

    async fn checkpoint(&self, site: &Deployment, scope: Scope) -> Result<(), Error> {
        let now = Instant::now();
        let Some(Planned {
            commit,
            needs,
            ended,
        }) = self.plan(site, scope, now)
        else {
            return Ok(());
        };
        let patience = lock(&self.state).pace.timeout();
        let result = self.store.commit(PARTITION, commit.clone(), patience).await;
        let mut state = lock(&self.state);
        match &result {
            Err(Error::Unknown(_)) => state.pace.record_timeout(),
            Ok(_) | Err(Error::Conflict(_)) => state.pace.record_answer(now.elapsed()),
            Err(_) => {}
        }
        match &result {
            Ok(done) => {
                state.ended = ended;
                state.written_at = Some(now);
                state.own = done.version;
                state.clock = Some((done.clock_ms, Instant::now()));
                for write in &commit.writes {
                    let value = write.value.clone().unwrap_or_default();
                    let key = write.key.clone();
                    let version = done.version;
                    state.learn_total(&Row {
                        key,
                        version,
                        value,
                    });
                }
                state.pending.clear();
                for (_, account) in state.accounts.iter_mut() {
                    account.mark_confirmed(now);
                }
                for (name, need) in &needs {
                    if let Some(account) = state.accounts.get_mut(&**name) {
                        account.reduce_need(*need);
                    }
                }
            }
            Err(Error::Unknown(_) | Error::Malformed(_)) => {}
            Err(_) => {
                state.pending.retain(|pending| pending.sent_at != now);
                for (_, account) in state.accounts.iter_mut() {
                    account.mark_failed(now);
                }
            }
        }
        result.map(|_| ())
    }

    /// The next checkpoint, noted as being on its way; `None` where there is
    /// nothing to change and the table has other routers' writes to do.
    fn plan(&self, site: &Deployment, scope: Scope, now: Instant) -> Option<Planned> {
        let period = self.period();
        let mut state = lock(&self.state);
        let routers = state.routers();
        let all = state.demand(None, now);
        let typical = state.typical();
        let mut accounts = Vec::new();
        for (name, workspace) in site.workspaces.iter() {
            let Some(prepaid) = workspace.prepaid else {
                continue;
            };
            let (total, version) = state.total(name);
            let input = PlanInput {
                pool: prepaid.saturating_sub(total.granted),
                others_held: state.held(name),
                routers,
                demand: state.demand(Some(name), now),
                total_demand: all,
                typical_size: typical,
                stopping: state.leaving,
            };
            let account = state
                .accounts
                .get_or_insert_with(name.clone(), Account::default);
            let change = quota::wanted_change(account, &input);
            accounts.push((name, total, version, input, change));
        }
        let changes = accounts.iter().map(|(name, .., change)| {
            let released = state.ended.get(&**name).map_or(0, |bound| bound.released);
            Change {
                returned: change.returned + released,
                ..*change
            }
        });
        let chosen = match scope {
            Scope::Totals(tries) => quota::select_changes(&changes.collect::<Vec<_>>(), tries),
            Scope::Own => Vec::new(),
        };
        let fresh = state.written_at.is_some_and(|at| now < at + period);
        if quota::is_large_fleet(routers) && chosen.is_empty() && fresh && !state.is_payable() {
            // Whoever waits is told that there is none.
            for (_, account) in state.accounts.iter_mut() {
                account.reduce_need(account.need());
            }
            return None;
        }
        let clock = state.clock(now);
        state.written += 1;
        let number = state.written;
        let mut commit = Commit::default();
        let mut needs = Vec::new();
        let mut terms = Vec::new();
        let mut ended = state.ended.clone();
        for (index, (name, mut total, version, input, change)) in accounts.into_iter().enumerate() {
            let chosen = chosen.binary_search(&index).is_ok();
            let change = if chosen { change } else { change.need_only() };
            let account = state
                .accounts
                .get_or_insert_with(name.clone(), Account::default);
            let planned = quota::plan_allocation(account, &input, &change, now);
            account.record_sent(planned, now);
            // Requests that only a change of the total can pay wait for that.
            if scope != Scope::Own || account.held() >= change.need {
                needs.push((name.clone(), change.need));
            }
            terms.push((name.clone(), planned));
            if chosen {
                if let Some(bound) = ended.remove(&**name) {
                    total.settle(&bound);
                }
                total.granted = (total.granted + change.drawn).saturating_sub(change.returned);
                let key = format!("{TOTAL_PREFIX}{name}").into();
                write(&mut commit, key, version, &total);
            }
        }
        let row = HolderRow {
            incarnation: self.incarnation,
            sequence: number,
            clock,
            allocations: terms,
            unsettled: ended.to_vec(),
        };
        write(&mut commit, self.key.clone(), state.own, &row);
        state.pending.push(PendingWrite {
            number,
            sent_at: now,
        });
        Some(Planned {
            commit,
            needs,
            ended,
        })
    }

    /// Takes rows over that others wrote, or an own write whose answer was lost.
    pub(super) fn merge_conflict(&self, rows: &[Row]) {
        let mut state = lock(&self.state);
        for row in rows {
            state.learn_total(row);
        }
        let own = rows.iter().find(|row| row.key == self.key);
        let Some(own) = own.filter(|row| row.version != state.own) else {
            return;
        };
        let found: Option<HolderRow> = decode(own);
        let found = found.filter(|row| row.incarnation == self.incarnation);
        let known = found.and_then(|row| {
            let pending = state
                .pending
                .iter()
                .find(|pending| pending.number == row.sequence);
            pending.map(|pending| (pending.sent_at, row.unsettled))
        });
        let Some((at, ended)) = known else {
            log::error("holder row written by another")
                .with("key", &self.key)
                .write();
            return;
        };
        state.own = own.version;
        state.ended = ended.into_iter().collect();
        state.pending.clear();
        for (_, account) in state.accounts.iter_mut() {
            account.mark_confirmed(at);
        }
        log::info("late checkpoint found")
            .with("version", own.version)
            .write();
    }
}

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    Some(serde_json::to_vec(value).expect("rows are plain data"))
}

pub(super) fn write(commit: &mut Commit, key: Name, version: u64, value: &impl Serialize) {
    commit.checks.push(Check {
        key: key.clone(),
        version,
    });
    commit.writes.push(Write {
        key,
        value: encode(value),
    });
}
