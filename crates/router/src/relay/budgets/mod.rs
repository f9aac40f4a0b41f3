//! Prepaid budgets of workspaces, which all routers share through the store.
//!
//! Each router has a row in the store, the holder row, that says how many
//! tokens of each budget it holds and how fast it may spend them: its
//! allocations. Requests reserve tokens locally against these allocations. One
//! task writes the router's row periodically, as a checkpoint, and in the same
//! transaction the total of each budget from which it takes tokens or to which
//! it returns some. A request that finds too few tokens waits for the next
//! checkpoint, or its tokens are reserved at another router (`lending`) that holds
//! a part of the budget. It is refused if that does not help.

mod borrow;
mod checkpoint;
mod conflict;
mod lending;
mod lifecycle;
mod state;

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::quota::{Account, is_large_fleet};
use poplar_platform::store::Store;
use tokio::sync::Notify;

use crate::relay::state::format_age;
use crate::sync::lock;
use lending::Lending;
use state::{HOLDER_PREFIX, State};

/// Age up to which the summary of all routers can prove that a budget is spent.
const SUMMARY_MAX_AGE: Duration = Duration::from_millis(2500);
/// Shortest wait for tokens that become available with time.
const MIN_ALLOCATION_WAIT: Duration = Duration::from_millis(5);
/// How long a request waits for one write. A write takes some ten milliseconds,
/// and a few conflicts among many routers take a few hundred.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Most writes that a request waits for.
const MAX_WRITES_AWAITED: u32 = 3;

/// Why tokens can't be reserved. The log shows the Debug form, which operators
/// look up by the variant names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveError {
    /// The tokens left of the budget at all routers together are too few.
    Spent {
        /// Tokens left of it.
        left: u64,
    },
    /// This router holds too few tokens; another one may hold enough.
    Short,
    /// The store can't be reached, and the allocation does not allow to spend
    /// this many tokens yet.
    Away {
        /// Time until it does; `None` if the router holds too few.
        after: Option<Duration>,
    },
}

/// This router's part of each workspace's budget.
#[derive(Debug)]
pub struct Budgets {
    state: Mutex<State>,
    store: Store,
    address: IpAddr,
    /// Key of this router's holder row.
    key: Name,
    incarnation: u64,
    /// Asks the writing task for a checkpoint before its period has passed.
    wake: Notify,
    /// Notified after each attempt to write a checkpoint.
    written: Notify,
    /// Notified when the store answers again.
    regained: Notify,
    /// Reservations at other routers, and those of others here.
    lending: Lending,
}

/// Where the tokens of a reservation come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This router's holding.
    Own,
    /// Another router's holding.
    Lease {
        /// The router.
        lender: IpAddr,
        /// Identifies the lease there.
        number: u64,
    },
    /// This router's holding, for a request at another router, which ends it.
    Lent,
}

/// Tokens reserved for a request. Dropping it frees those that were not used.
#[derive(Debug)]
pub struct Reservation {
    budgets: Arc<Budgets>,
    workspace: Name,
    worst_case: u64,
    /// Tokens used so far.
    pub used: u64,
    source: Source,
    /// Epoch of the holding.
    epoch: u64,
}

/// The router at which tokens are reserved as it is logged, `none` if it is this one.
pub fn format_lender(reservation: Option<&Reservation>) -> String {
    match reservation.map(|r| r.source) {
        Some(Source::Lease { lender, .. }) => lender.to_string(),
        _ => "none".to_owned(),
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.used.min(self.worst_case);
        match self.source {
            Source::Own => {
                let mut state = lock(&self.budgets.state);
                state.settle(&self.workspace, self.epoch, self.worst_case, used);
            }
            Source::Lease { lender, number } => self.budgets.lending.settle(lender, number, used),
            Source::Lent => {}
        }
    }
}

/// A request that waits for tokens.
struct Waiting<'a> {
    budgets: &'a Budgets,
    workspace: &'a Name,
    tokens: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.budgets.state);
        if let Some(account) = state.accounts.get_mut(&**self.workspace) {
            account.reduce_need(self.tokens);
        }
    }
}

impl Budgets {
    /// The budgets of the router at `address`, which holds no tokens yet.
    pub fn new(store: Store, address: IpAddr, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            store,
            address,
            key: format!("{HOLDER_PREFIX}{address}").into(),
            incarnation,
            wake: Notify::new(),
            written: Notify::new(),
            regained: Notify::new(),
            lending: Lending::default(),
        })
    }

    /// Whether the row of the previous process at this address has been taken
    /// over, before which no tokens can be reserved.
    pub fn is_ready(&self) -> bool {
        lock(&self.state).ready
    }

    /// Number of live routers according to their rows, at least 1.
    pub fn live_routers(&self) -> u32 {
        lock(&self.state).routers()
    }

    /// Addresses of the other live routers according to their rows.
    pub fn peers(&self) -> Vec<IpAddr> {
        let state = lock(&self.state);
        let others = state.summary.routers.iter();
        others.copied().filter(|at| *at != self.address).collect()
    }

    /// Tokens of each budget that can be spent now, for the metrics.
    pub fn spendable(&self, now: Instant) -> Vec<(Name, u64)> {
        let state = lock(&self.state);
        let free = |(name, account): (&Name, &Account)| (name.clone(), account.free(now));
        state.accounts.iter().map(free).collect()
    }

    /// Number of leases that this router has granted, for the metrics.
    pub fn open_leases(&self) -> usize {
        self.lending.open_count()
    }

    /// Reserves `worst_case` tokens of a workspace's budget: from this router's
    /// holding, or at another holder of the budget. Waits up to `longest_wait` for
    /// tokens that become available with time.
    ///
    /// # Errors
    /// [`ReserveError`] says why not; nothing is reserved then.
    pub async fn reserve(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        worst_case: u64,
        longest_wait: Duration,
    ) -> Result<Reservation, ReserveError> {
        let began = Instant::now();
        let until = began + longest_wait;
        if self.holds(workspace, prepaid) {
            self.record_demand(workspace, worst_case, began);
            let reserved = self.reserve_here(workspace, prepaid, worst_case, longest_wait);
            let refused = match reserved.await {
                Err(why @ (ReserveError::Short | ReserveError::Away { .. })) => why,
                other => return other,
            };
            let borrowed = self.borrow(workspace, prepaid, worst_case, false).await;
            return borrowed.map_err(|_| refused);
        }
        // Later lenders are asked at once, and the demand counts only once.
        let mut counts = true;
        loop {
            let now = Instant::now();
            if let Some(reserved) = self.reserve_held(workspace, worst_case, now) {
                return Ok(reserved);
            }
            let failed = match self.borrow(workspace, prepaid, worst_case, counts).await {
                Ok(reserved) => return Ok(reserved),
                Err(failed) => failed,
            };
            counts = false;
            let now = Instant::now();
            let wait = failed.after.map(|after| after.max(MIN_ALLOCATION_WAIT));
            if let Some(wait) = wait.filter(|wait| now + *wait <= until) {
                tokio::time::sleep(wait).await;
                continue;
            }
            if failed.after.is_some() {
                let after = failed.after;
                return Err(ReserveError::Away { after });
            }
            if failed.answered {
                return Err(self.reserve_error(workspace, prepaid, worst_case, now));
            }
            // No holder can be reached, but the store may be.
            let left = until.saturating_duration_since(now);
            return self
                .reserve_here(workspace, prepaid, worst_case, left)
                .await;
        }
    }

    /// Whether this router is to hold a part of a budget: in a small fleet each does.
    fn holds(&self, workspace: &Name, prepaid: u64) -> bool {
        let mut state = lock(&self.state);
        !is_large_fleet(state.routers())
            || state.holders(workspace, prepaid).contains(&self.address)
    }

    /// Reserves tokens of this router's holding, if it has enough now.
    fn reserve_held(
        self: &Arc<Self>,
        workspace: &Name,
        worst_case: u64,
        now: Instant,
    ) -> Option<Reservation> {
        let has_enough = {
            let state = lock(&self.state);
            let account = state.accounts.get(&**workspace);
            account.is_some_and(|account| account.free(now) >= worst_case)
        };
        // Otherwise the tokens would be needed from the next checkpoint.
        has_enough
            .then(|| self.try_reserve(workspace, worst_case, now))
            .flatten()
    }

    /// Reserves tokens of this router's holding. Waits for checkpoints that may
    /// provide them. If the store can't be reached, waits up to `longest_wait` for
    /// the allocation to allow them.
    async fn reserve_here(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        worst_case: u64,
        longest_wait: Duration,
    ) -> Result<Reservation, ReserveError> {
        let began = Instant::now();
        let until = began + longest_wait;
        if let Some(reserved) = self.try_reserve(workspace, worst_case, began) {
            return Ok(reserved);
        }
        let _waiting = self.wait_for(workspace, worst_case);
        for _ in 0..MAX_WRITES_AWAITED {
            let written = self.written.notified();
            let now = Instant::now();
            if let Some(reserved) = self.try_reserve(workspace, worst_case, now) {
                return Ok(reserved);
            }
            if self.is_store_failing(now) {
                // The next write may succeed again.
                self.wake.notify_one();
                return self
                    .reserve_without_write(workspace, prepaid, worst_case, until)
                    .await;
            }
            self.wake.notify_one();
            if tokio::time::timeout(WRITE_TIMEOUT, written).await.is_err() {
                return self
                    .reserve_without_write(workspace, prepaid, worst_case, until)
                    .await;
            }
        }
        let now = Instant::now();
        let reserved = self.try_reserve(workspace, worst_case, now);
        reserved.ok_or_else(|| self.reserve_error(workspace, prepaid, worst_case, now))
    }

    /// Reserves tokens without a new checkpoint as soon as the allocation
    /// allows it, but not after `until`.
    async fn reserve_without_write(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        worst_case: u64,
        until: Instant,
    ) -> Result<Reservation, ReserveError> {
        loop {
            let written = self.written.notified();
            let now = Instant::now();
            if let Some(reserved) = self.try_reserve(workspace, worst_case, now) {
                return Ok(reserved);
            }
            let wait = self.available_after(workspace, worst_case, now);
            let wait = wait.filter(|wait| now + *wait <= until);
            let Some(wait) = wait else {
                return Err(self.reserve_error(workspace, prepaid, worst_case, now));
            };
            // A write may succeed before that. Other requests may spend what
            // becomes available.
            let _ = tokio::time::timeout(wait.max(MIN_ALLOCATION_WAIT), written).await;
        }
    }

    fn available_after(&self, workspace: &Name, worst_case: u64, now: Instant) -> Option<Duration> {
        lock(&self.state).available_after(workspace, worst_case, now)
    }

    /// Has the next checkpoint written at once: the store answers again.
    pub fn record_store_regained(&self) {
        self.regained.notify_waiters();
    }

    /// Begins a planned stop: checkpoints return what is not needed from now
    /// on.
    pub fn begin_stop(&self) {
        lock(&self.state).stopping = true;
        self.wake.notify_one();
    }

    fn record_demand(&self, workspace: &Name, worst_case: u64, now: Instant) {
        let mut state = lock(&self.state);
        let account = state.account_mut(workspace);
        account.record_demand(worst_case, now);
    }

    /// Has checkpoints provide for a request until the result is dropped.
    fn wait_for<'a>(&'a self, workspace: &'a Name, tokens: u64) -> Waiting<'a> {
        let mut state = lock(&self.state);
        let account = state.account_mut(workspace);
        account.add_need(tokens);
        Waiting {
            budgets: self,
            workspace,
            tokens,
        }
    }

    fn try_reserve(
        self: &Arc<Self>,
        workspace: &Name,
        worst_case: u64,
        now: Instant,
    ) -> Option<Reservation> {
        let mut state = lock(&self.state);
        if state.closed {
            return None;
        }
        let epoch = state.epoch;
        let account = state.account_mut(workspace);
        account.reserve(worst_case, now).then(|| Reservation {
            budgets: self.clone(),
            workspace: workspace.clone(),
            worst_case,
            used: 0,
            source: Source::Own,
            epoch,
        })
    }

    fn is_store_failing(&self, now: Instant) -> bool {
        lock(&self.state).is_store_failing(now)
    }

    fn reserve_error(
        &self,
        workspace: &Name,
        prepaid: u64,
        worst_case: u64,
        now: Instant,
    ) -> ReserveError {
        let state = lock(&self.state);
        if state.is_store_failing(now) {
            let after = state.available_after(workspace, worst_case, now);
            return ReserveError::Away { after };
        }
        let left = state.unspent(workspace, prepaid);
        let is_recent = state
            .summary_at
            .is_some_and(|at| now < at + SUMMARY_MAX_AGE);
        if is_recent && left < worst_case {
            return ReserveError::Spent { left };
        }
        ReserveError::Short
    }

    /// The figures on which a refusal is based, for the log.
    pub fn evidence(&self, workspace: &Name, prepaid: u64, now: Instant) -> String {
        let mut state = lock(&self.state);
        let holders = state.holders(workspace, prepaid).len();
        let (total, _) = state.total_row(workspace);
        let age = |at: Option<Instant>| format_age(at.map(|at| now.saturating_duration_since(at)));
        let account = state.accounts.get(&**workspace);
        let spent = account.map_or(0, Account::spent);
        let granted = account.map_or(0, Account::granted);
        let left = state.unspent(workspace, prepaid);
        format!(
            "prepaid {prepaid} taken {} left {left} granted {granted} spent {spent} \
             free {} rate {:.0} routers {} holders {} totals_age {} sums_age {}",
            total.granted,
            account.map_or(0, |a| a.free(now)),
            account.map_or(0.0, |a| a.demand_rate(now)),
            state.routers(),
            holders,
            age(state.totals_at),
            age(state.summary_at),
        )
    }
}
