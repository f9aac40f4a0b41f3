//! Prepaid budgets: reservations against the terms in the store.
//!
//! One task writes this router's row and the totals that it changes in one
//! transaction. A request that finds too little waits for the next write and
//! is refused where that does not help.

mod checkpoint;
mod lifecycle;
mod state;

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::quota::Account;
use poplar_platform::store::Store;
use tokio::sync::Notify;

use crate::sync::lock;
use state::{HOLDER_PREFIX, State};

/// Age up to which they may prove that a budget is spent.
const SUMMARY_MAX_AGE: Duration = Duration::from_millis(2500);
/// Shortest wait for terms that grow.
const LEAST_WAIT: Duration = Duration::from_millis(5);
/// How long a request waits for a write; one takes some ten milliseconds, and a
/// few conflicts among many routers a few hundred.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Writes that a request waits for.
const MAX_WRITES_AWAITED: u32 = 3;

/// Why tokens can't be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveError {
    /// The budget is spent, as far as the whole fleet is concerned.
    Spent {
        /// What is left of it.
        left: u64,
    },
    /// The router holds too little, and others may hold more.
    Short,
    /// The store can't be reached, and the router may not spend as much yet.
    Away {
        /// When it may, where it holds enough.
        after: Option<Duration>,
    },
}

/// What this router may spend of each workspace's budget.
#[derive(Debug)]
pub struct Budgets {
    state: Mutex<State>,
    store: Store,
    address: IpAddr,
    key: Name,
    incarnation: u64,
    wake: Notify,
    written: Notify,
}

/// Tokens that are reserved for a request; settled when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budgets: Arc<Budgets>,
    workspace: Name,
    max_tokens: u64,
    /// What has been spent of it.
    pub used: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = lock(&self.budgets.state);
        if let Some(account) = state.accounts.get_mut(&*self.workspace) {
            account.settle(self.max_tokens, self.used.min(self.max_tokens));
        }
    }
}

impl Budgets {
    /// The budgets of the router at `address`, which holds nothing yet.
    pub fn new(store: Store, address: IpAddr, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            store,
            address,
            key: format!("{HOLDER_PREFIX}{address}").into(),
            incarnation,
            wake: Notify::new(),
            written: Notify::new(),
        })
    }

    /// Whether the predecessor's row was taken over, so that it can spend.
    pub fn is_ready(&self) -> bool {
        lock(&self.state).opened
    }

    /// Live routers, as their rows tell.
    pub fn live_routers(&self) -> u32 {
        lock(&self.state).routers()
    }

    /// Addresses of the other routers, as their rows tell.
    pub fn peers(&self) -> Vec<IpAddr> {
        let state = lock(&self.state);
        let others = state.summary.routers.iter();
        others.copied().filter(|at| *at != self.address).collect()
    }

    /// Tokens that can be spent of each budget, for the metrics page.
    pub fn spendable(&self, now: Instant) -> Vec<(Name, u64)> {
        let state = lock(&self.state);
        let free = |(name, account): (&Name, &Account)| (name.clone(), account.free(now));
        state.accounts.iter().map(free).collect()
    }

    /// Reserves `max_tokens` of a workspace's budget, within `patience`
    /// where waiting helps.
    ///
    /// # Errors
    /// Says why not; nothing is reserved then.
    pub async fn reserve(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        max_tokens: u64,
        patience: Duration,
    ) -> Result<Reservation, ReserveError> {
        let until = Instant::now() + patience;
        self.record_demand(workspace, max_tokens, Instant::now());
        for _ in 0..MAX_WRITES_AWAITED {
            let written = self.written.notified();
            let now = Instant::now();
            if let Some(reserved) = self.try_reserve(workspace, max_tokens, now) {
                return Ok(reserved);
            }
            if self.is_store_failing(now) {
                // The next write may find the store back.
                self.wake.notify_one();
                return self
                    .reserve_without_write(workspace, prepaid, max_tokens, until)
                    .await;
            }
            self.wake.notify_one();
            if tokio::time::timeout(WRITE_TIMEOUT, written).await.is_err() {
                return self
                    .reserve_without_write(workspace, prepaid, max_tokens, until)
                    .await;
            }
        }
        let now = Instant::now();
        let reserved = self.try_reserve(workspace, max_tokens, now);
        reserved.ok_or_else(|| self.reserve_error(workspace, prepaid, max_tokens, now))
    }

    /// Reserves without a write, as soon as the terms allow it.
    async fn reserve_without_write(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        max_tokens: u64,
        until: Instant,
    ) -> Result<Reservation, ReserveError> {
        loop {
            let written = self.written.notified();
            let now = Instant::now();
            if let Some(reserved) = self.try_reserve(workspace, max_tokens, now) {
                return Ok(reserved);
            }
            let after = self.available(workspace, max_tokens, now);
            let wait = after.filter(|wait| now + *wait <= until);
            let Some(wait) = wait else {
                return Err(self.reserve_error(workspace, prepaid, max_tokens, now));
            };
            // The store may be back before; others may spend what grew.
            let _ = tokio::time::timeout(wait.max(LEAST_WAIT), written).await;
        }
    }

    fn available(&self, workspace: &Name, max_tokens: u64, now: Instant) -> Option<Duration> {
        lock(&self.state).available(workspace, max_tokens, now)
    }

    /// Begins a planned stop: what is not needed is given back from now on.
    pub fn begin_stop(&self) {
        lock(&self.state).leaving = true;
        self.wake.notify_one();
    }

    fn record_demand(&self, workspace: &Name, max_tokens: u64, now: Instant) {
        let mut state = lock(&self.state);
        let account = state
            .accounts
            .get_or_insert_with(workspace.clone(), Account::default);
        account.record_demand(max_tokens, now);
    }

    fn try_reserve(
        self: &Arc<Self>,
        workspace: &Name,
        max_tokens: u64,
        now: Instant,
    ) -> Option<Reservation> {
        let mut state = lock(&self.state);
        let account = state
            .accounts
            .get_or_insert_with(workspace.clone(), Account::default);
        account.reserve(max_tokens, now).then(|| Reservation {
            budgets: self.clone(),
            workspace: workspace.clone(),
            max_tokens,
            used: 0,
        })
    }

    fn is_store_failing(&self, now: Instant) -> bool {
        lock(&self.state).is_store_failing(now)
    }

    fn reserve_error(
        &self,
        workspace: &Name,
        prepaid: u64,
        max_tokens: u64,
        now: Instant,
    ) -> ReserveError {
        let state = lock(&self.state);
        if state.is_store_failing(now) {
            let after = state.available(workspace, max_tokens, now);
            return ReserveError::Away { after };
        }
        let left = state.left(workspace, prepaid);
        let proved = state.summed_at.is_some_and(|at| now < at + SUMMARY_MAX_AGE);
        if proved && left < max_tokens {
            return ReserveError::Spent { left };
        }
        ReserveError::Short
    }

    /// What the decision on a refusal rested on, for the logs.
    pub fn evidence(&self, workspace: &Name, prepaid: u64, now: Instant) -> String {
        let state = lock(&self.state);
        let (total, _) = state.total(workspace);
        let age = |at: Option<Instant>| {
            at.map_or("none".to_owned(), |at| {
                let age = now.saturating_duration_since(at);
                age.as_millis().to_string()
            })
        };
        let account = state.accounts.get(&**workspace);
        let spent = account.map_or(0, Account::spent);
        let granted = account.map_or(0, Account::granted);
        let left = state.left(workspace, prepaid);
        format!(
            "prepaid {prepaid} taken {} left {left} granted {granted} spent {spent} \
             free {} rate {:.0} routers {} totals_age {} sums_age {}",
            total.granted,
            account.map_or(0, |a| a.free(now)),
            account.map_or(0.0, |a| a.demand_rate(now)),
            state.routers(),
            age(state.totals_at),
            age(state.summed_at),
        )
    }
}
