//! Checkpoints: the periodic writes of this router's holder row, together with
//! the budget totals that it changes, in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::Deployment;
use poplar_core::id::Name;
use poplar_core::quota::{self, Change, HolderRow, PlanInput, Settlement};
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::{Check, Commit, Partition, Row, Write};
use poplar_platform::store::Error;
use serde::Serialize;

use super::Budgets;
use super::state::{FAILURE_LIMIT, PendingWrite, SUMMARY_KEY, SilentRow, TOTAL_PREFIX};
use crate::sync::lock;

/// Partition of the rows of budgets. They share one, since a transaction is
/// limited to a partition.
pub(super) const PARTITION: Partition = Partition {
    table: "budgets",
    part: "all",
};
/// The first key after those of totals.
pub(super) const TOTAL_END: &str = "total0";
/// Time-out for each part of an answer to a read for the summary, and for its
/// write.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two checkpoints while no request waits.
const MIN_PERIOD: Duration = Duration::from_millis(400);
/// Time between checkpoints of a router that holds tokens, for each live router: the
/// writes that one partition of the store sustains in a second are more than those
/// of all routers.
const PERIOD_PER_ROUTER: Duration = Duration::from_millis(6);
/// The same for routers that hold none. Their rows only say that they are live.
const IDLE_PERIOD_PER_ROUTER: Duration = Duration::from_millis(12);
/// Longest time between two checkpoints: a router counts as live a little longer.
const MAX_PERIOD: Duration = Duration::from_secs(4);
/// Conflicts of one checkpoint after which it changes only the holder row.
const CONFLICT_LIMIT: u32 = 3;

/// The rows that a checkpoint may change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// The holder row and totals, after this many conflicts.
    Totals(u32),
    /// The holder row alone.
    Own,
}

/// A checkpoint that is to be written.
#[derive(Debug)]
pub(super) struct Checkpoint {
    pub(super) commit: Commit,
    /// What of [`State::unsettled`](super::state::State::unsettled) remains
    /// after it.
    pub(super) unsettled: SortedVec<Name, Settlement>,
    /// What it takes over.
    pub(super) silent_rows: Vec<SilentRow>,
}

impl Budgets {
    /// Takes over the previous row, then writes checkpoints until the process
    /// ends.
    pub async fn run(self: Arc<Self>, current_deployment: impl Fn() -> Option<Arc<Deployment>>) {
        self.take_over().await;
        loop {
            if lock(&self.state).is_removed {
                log::warn("holder row removed by another router").write();
                lock(&self.state).reset();
                self.take_over().await;
            }
            let regained = self.regained.notified();
            if let Some(deployment) = current_deployment() {
                let is_failing = lock(&self.state).failures > 0;
                tokio::select! {
                    () = self.write_due(&deployment) => {}
                    // An answer that is awaited since the outage may never come. The
                    // write counts as one without an answer.
                    () = regained, if is_failing => continue,
                }
            }
            self.written.notify_waiters();
            let period = self.period();
            // A waiting request wakes this task before the period has passed.
            let _ = tokio::time::timeout(period, self.wake.notified()).await;
        }
    }

    fn period(&self) -> Duration {
        let state = lock(&self.state);
        let each = if state.is_holder() {
            PERIOD_PER_ROUTER
        } else {
            IDLE_PERIOD_PER_ROUTER
        };
        (each * state.routers()).clamp(MIN_PERIOD, MAX_PERIOD)
    }

    /// Waits after a conflict, so that writes of other routers can succeed.
    pub(super) async fn back_off(&self, tries: u32) {
        let routers = self.live_routers();
        let wait = quota::conflict_backoff(tries, routers, rand::random());
        tokio::time::sleep(wait).await;
    }

    /// Writes the checkpoints that are due. Requests for which this router
    /// holds enough tokens need only its holder row, which no other router
    /// changes, so that they don't wait for conflicts on totals.
    async fn write_due(&self, deployment: &Deployment) {
        let period = self.period();
        let (payable, due) = {
            let state = lock(&self.state);
            let lately = |at| Instant::now() < at + period;
            let rebalanced = state.rebalanced_at.is_some_and(lately);
            (
                state.has_payable_requests(),
                !rebalanced || state.has_short_requests(),
            )
        };
        if payable {
            let written = self.checkpoint(deployment, Scope::Own).await;
            if !self.record_result(written, Scope::Own) {
                return;
            }
            self.written.notify_waiters();
        }
        if due {
            self.rebalance(deployment).await;
        }
    }

    /// Takes tokens from budgets or returns some. Retries after conflicts with
    /// the writes of other routers.
    async fn rebalance(&self, deployment: &Deployment) {
        for tries in 0..=CONFLICT_LIMIT {
            // After that many conflicts, at least the spending is written.
            let scope = if tries < CONFLICT_LIMIT {
                Scope::Totals(tries)
            } else {
                Scope::Own
            };
            let result = match self.refresh_totals(Instant::now()).await {
                Ok(()) => self.checkpoint(deployment, scope).await,
                Err(why) => Err(why),
            };
            let conflict = matches!(result, Err(Error::Conflict(_)));
            self.record_result(result, scope);
            if !conflict {
                lock(&self.state).rebalanced_at = Some(Instant::now());
                return;
            }
            if tries + 1 < CONFLICT_LIMIT {
                self.back_off(tries).await;
            }
        }
        log::warn("checkpoint abandoned after conflicts")
            .with("tries", CONFLICT_LIMIT + 1)
            .write();
    }

    /// Records the result of a checkpoint; returns whether it took effect.
    fn record_result(&self, result: Result<(), Error>, scope: Scope) -> bool {
        match result {
            Ok(()) => {
                let failures = std::mem::take(&mut lock(&self.state).failures);
                if failures >= FAILURE_LIMIT {
                    log::info("checkpoints succeed again").write();
                }
                log::debug("checkpoint written")
                    .with("scope", format_args!("{scope:?}"))
                    .write();
                true
            }
            Err(Error::Conflict(rows)) => {
                self.merge_conflict(&rows);
                false
            }
            Err(why) => {
                let now = Instant::now();
                let mut state = lock(&self.state);
                state.failures += 1;
                state.failed_at = Some(now);
                let spending = state.spending(now);
                drop(state);
                log::warn("checkpoint failed")
                    .reason(&why)
                    .with("spending", spending)
                    .write();
                false
            }
        }
    }

    /// Reads the totals and the summary again if they are old, and makes a new
    /// summary if it is this router's turn.
    async fn refresh_totals(&self, now: Instant) -> Result<(), Error> {
        let timeout = {
            let state = lock(&self.state);
            let age = quota::max_read_age(state.routers());
            if state.totals_at.is_some_and(|at| now <= at + age) {
                return Ok(());
            }
            state.store_timeout.timeout()
        };
        let read = self
            .store
            .read(PARTITION, SUMMARY_KEY, TOTAL_END, timeout)
            .await;
        let rows = read.inspect_err(|_| lock(&self.state).store_timeout.record_timeout())?;
        {
            let mut state = lock(&self.state);
            state.record_snapshot(&rows, now);
            let exist = state.summary_version > 0;
            if exist && !state.summary.is_refresh_due(self.address, rows.clock_ms) {
                return Ok(());
            }
        }
        // The previous summary remains in use if there is no new one.
        if let Err(why) = self.write_summary().await {
            log::warn("budget summary not updated").reason(why).write();
        }
        Ok(())
    }

    /// Reads all rows, and writes their summary for the other routers.
    async fn write_summary(&self) -> Result<(), Error> {
        let now = Instant::now();
        let rows = self.store.read(PARTITION, "", "", TIMEOUT).await?;
        let commit = {
            let mut state = lock(&self.state);
            state.record_snapshot(&rows, now);
            let summary = state.summarize(&self.key, &rows);
            let mut commit = Commit::default();
            put_row(
                &mut commit,
                SUMMARY_KEY.into(),
                state.summary_version,
                &summary,
            );
            state.set_summary(summary);
            state.summary_at = Some(now);
            commit
        };
        match self.store.commit(PARTITION, commit, TIMEOUT).await {
            Ok(committed) => lock(&self.state).summary_version = committed.version,
            // Another router was faster; the next read returns its summary.
            Err(Error::Conflict(_)) => {}
            Err(why) => return Err(why),
        }
        Ok(())
    }

    async fn checkpoint(&self, deployment: &Deployment, scope: Scope) -> Result<(), Error> {
        let now = Instant::now();
        let Some(planned) = self.plan(deployment, scope, now) else {
            return Ok(());
        };
        let Checkpoint {
            commit,
            unsettled,
            silent_rows,
        } = planned;
        let timeout = lock(&self.state).store_timeout.timeout();
        let result = self.store.commit(PARTITION, commit.clone(), timeout).await;
        let mut state = lock(&self.state);
        match &result {
            Err(Error::OutcomeUnknown(_)) => state.store_timeout.record_timeout(),
            Ok(_) | Err(Error::Conflict(_)) => state.store_timeout.record_answer(now.elapsed()),
            Err(_) => {}
        }
        match &result {
            Ok(committed) => {
                state.unsettled = unsettled;
                state.written_at = Some(now);
                let sent = state.pending.iter().find(|pending| pending.sent_at == now);
                state.written = sent.map_or(state.written, |pending| pending.sequence);
                silent_rows.iter().for_each(log_takeover);
                state.own_version = committed.version;
                state.clock = Some((committed.clock_ms, Instant::now()));
                for write in &commit.writes {
                    let value = write.value.clone().unwrap_or_default();
                    let key = write.key.clone();
                    let version = committed.version;
                    state.record_total(&Row {
                        key,
                        version,
                        value,
                    });
                }
                state.pending.clear();
                for (_, account) in state.accounts.iter_mut() {
                    account.mark_confirmed(now);
                }
            }
            Err(Error::OutcomeUnknown(_) | Error::Malformed(_)) => {}
            Err(why) => {
                if let Error::Conflict(rows) = why {
                    state.is_removed = silent_rows.is_empty() && self.is_own_gone(&commit, rows);
                }
                state.pending.retain(|pending| pending.sent_at != now);
                for (_, account) in state.accounts.iter_mut() {
                    account.mark_failed(now);
                }
            }
        }
        result.map(|_| ())
    }

    /// Plans the next checkpoint and records it as pending. `None` if it would
    /// change nothing and there are so many routers that the store should be
    /// spared the write.
    fn plan(&self, deployment: &Deployment, scope: Scope, now: Instant) -> Option<Checkpoint> {
        let period = self.period();
        let mut state = lock(&self.state);
        let routers = state.routers();
        let all = state.demand(None, now);
        let typical_size = state.typical_request();
        let mut accounts = Vec::new();
        for (name, workspace) in deployment.workspaces.iter() {
            let Some(prepaid) = workspace.prepaid else {
                continue;
            };
            let (total, version) = state.total_row(name);
            let holders = state.holders(name, prepaid);
            let input = PlanInput {
                pool: prepaid.saturating_sub(total.granted),
                others_held: state.held_by_others(name),
                routers,
                holders: holders.len() as u32,
                is_holder: holders.contains(&self.address),
                demand: state.demand(Some(name), now),
                total_demand: all,
                typical_size,
                stopping: state.stopping,
            };
            let account = state.account_mut(name);
            let change = quota::wanted_change(account, &input);
            accounts.push((name, total, version, input, change));
        }
        let changes = accounts.iter().map(|(name, .., change)| {
            let released = state
                .unsettled
                .get(&**name)
                .map_or(0, |settlement| settlement.released);
            Change {
                returned: change.returned + released,
                ..*change
            }
        });
        let chosen = match scope {
            Scope::Totals(tries) => quota::select_changes(&changes.collect::<Vec<_>>(), tries),
            Scope::Own => Vec::new(),
        };
        let silent_rows = match scope {
            Scope::Totals(_) => std::mem::take(&mut state.silent_rows),
            Scope::Own => Vec::new(),
        };
        let fresh = state.written_at.is_some_and(|at| now < at + period);
        if quota::is_large_fleet(routers)
            && chosen.is_empty()
            && silent_rows.is_empty()
            && fresh
            && !state.has_payable_requests()
        {
            // There are no tokens for the waiting requests.
            return None;
        }
        let clock = state.clock(now);
        state.writes += 1;
        let sequence = state.writes;
        let mut commit = Commit::default();
        let mut allocations = Vec::new();
        let mut unsettled = state.unsettled.clone();
        for (index, (name, mut total, version, input, change)) in accounts.into_iter().enumerate() {
            let chosen = chosen.binary_search(&index).is_ok();
            let change = if chosen { change } else { change.need_only() };
            let account = state.account_mut(name);
            let allocation = quota::plan_allocation(account, &input, &change, now);
            account.record_sent(allocation, now);
            // A row without an allocation says as much as one of zeros.
            if allocation.is_worth_writing() {
                allocations.push((name.clone(), allocation));
            }
            if chosen {
                if let Some(settlement) = unsettled.remove(&**name) {
                    total.settle(&settlement);
                }
                total.granted = (total.granted + change.drawn).saturating_sub(change.returned);
                let key = format!("{TOTAL_PREFIX}{name}").into();
                put_row(&mut commit, key, version, &total);
            }
        }
        for silent in &silent_rows {
            for (name, settlement) in &silent.takeover.settlements {
                *unsettled.get_or_insert_with(name.clone(), Settlement::default) += *settlement;
            }
            commit.checks.push(Check {
                key: silent.key.clone(),
                version: silent.version,
            });
            commit.writes.push(Write {
                key: silent.key.clone(),
                value: silent.takeover.row.as_ref().and_then(encode),
            });
        }
        let row = HolderRow {
            incarnation: self.incarnation,
            sequence,
            clock,
            allocations,
            unsettled: unsettled.to_vec(),
            is_revocable: true,
            lent: Vec::new(),
        };
        put_row(&mut commit, self.key.clone(), state.own_version, &row);
        state.pending.push(PendingWrite {
            sequence,
            sent_at: now,
        });
        Some(Checkpoint {
            commit,
            unsettled,
            silent_rows,
        })
    }
}

fn log_takeover(silent: &SilentRow) {
    let takeover = &silent.takeover;
    let event = match takeover.row {
        Some(_) => "floors of a silent router returned",
        None => "row of a silent router removed",
    };
    let sum = |of: fn(&Settlement) -> u64| takeover.settlements.iter().map(|(_, s)| of(s)).sum();
    let (released, stranded): (u64, u64) = (sum(|s| s.released), sum(|s| s.stranded));
    metrics::counter!("poplar_budget_takeovers_total").increment(1);
    log::info(event)
        .with("key", &silent.key)
        .with("budgets", takeover.settlements.len())
        .with("released", released)
        .with("stranded", stranded)
        .write();
}

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    Some(serde_json::to_vec(value).expect("rows are plain data"))
}

/// Adds a write of a row to a transaction, on condition that the row still has
/// `version`.
pub(super) fn put_row(commit: &mut Commit, key: Name, version: u64, value: &impl Serialize) {
    commit.checks.push(Check {
        key: key.clone(),
        version,
    });
    commit.writes.push(Write {
        key,
        value: encode(value),
    });
}
