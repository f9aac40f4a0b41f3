//! Prepaid budgets: reservations against the terms in the store.
//!
//! One task writes this router's row and the totals that it changes in one
//! transaction. A request that finds too little waits for the next write and
//! is refused where that does not help.

mod life;
mod tables;
mod writer;

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::quota::Account;
use poplar_platform::store::Store;
use tokio::sync::Notify;

use crate::sync::lock;
use tables::{HOLDER, Tables};

/// Age up to which they may prove that a budget is spent.
const PROOF_AGE: Duration = Duration::from_millis(2500);
/// Shortest wait for terms that grow.
const OUTLAST_STEP: Duration = Duration::from_millis(5);
/// How long a request waits for a write; one takes some ten milliseconds, and a
/// few conflicts among many routers a few hundred.
const WAIT: Duration = Duration::from_millis(300);
/// Writes that a request waits for.
const WAITS: u32 = 3;

/// Why tokens can't be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
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
pub struct Purse {
    tables: Mutex<Tables>,
    store: Store,
    address: IpAddr,
    key: Name,
    life: u64,
    wake: Notify,
    done: Notify,
}

/// Tokens that are reserved for a request; settled when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    purse: Arc<Purse>,
    workspace: Name,
    worst: u64,
    /// What has been spent of it.
    pub used: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut tables = lock(&self.purse.tables);
        if let Some(account) = tables.accounts.get_mut(&*self.workspace) {
            account.settle(self.worst, self.used.min(self.worst));
        }
    }
}

impl Purse {
    /// A purse of the router at `address` that holds nothing yet.
    pub fn new(store: Store, address: IpAddr, life: u64) -> Arc<Self> {
        Arc::new(Self {
            tables: Mutex::default(),
            store,
            address,
            key: format!("{HOLDER}{address}").into(),
            life,
            wake: Notify::new(),
            done: Notify::new(),
        })
    }

    /// Whether the predecessor's row was taken over, so that it can spend.
    pub fn is_open(&self) -> bool {
        lock(&self.tables).opened
    }

    /// Live routers, as their rows tell.
    pub fn routers(&self) -> u32 {
        lock(&self.tables).routers()
    }

    /// Addresses of the other routers, as their rows tell.
    pub fn peers(&self) -> Vec<IpAddr> {
        let tables = lock(&self.tables);
        let others = tables.summary.routers.iter();
        others.copied().filter(|at| *at != self.address).collect()
    }

    /// Tokens that can be spent of each budget, for the metrics page.
    pub fn free(&self, now: Instant) -> Vec<(Name, u64)> {
        let tables = lock(&self.tables);
        let free = |(name, account): (&Name, &Account)| (name.clone(), account.free(now));
        tables.accounts.iter().map(free).collect()
    }

    /// Reserves `worst` tokens of a workspace's budget, within `patience`
    /// where waiting helps.
    ///
    /// # Errors
    /// Says why not; nothing is reserved then.
    pub async fn reserve(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        worst: u64,
        patience: Duration,
    ) -> Result<Reservation, Refused> {
        let until = Instant::now() + patience;
        self.asked(workspace, worst, Instant::now());
        for _ in 0..WAITS {
            let done = self.done.notified();
            let now = Instant::now();
            if let Some(reserved) = self.try_reserve(workspace, worst, now) {
                return Ok(reserved);
            }
            if self.is_failing(now) {
                // The next write may find the store back.
                self.wake.notify_one();
                return self.outlast(workspace, prepaid, worst, until).await;
            }
            self.wake.notify_one();
            if tokio::time::timeout(WAIT, done).await.is_err() {
                return self.outlast(workspace, prepaid, worst, until).await;
            }
        }
        let now = Instant::now();
        let reserved = self.try_reserve(workspace, worst, now);
        reserved.ok_or_else(|| self.why(workspace, prepaid, worst, now))
    }

    /// Reserves without a write, as soon as the terms allow it.
    async fn outlast(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        worst: u64,
        until: Instant,
    ) -> Result<Reservation, Refused> {
        loop {
            let done = self.done.notified();
            let now = Instant::now();
            if let Some(reserved) = self.try_reserve(workspace, worst, now) {
                return Ok(reserved);
            }
            let after = self.available(workspace, worst, now);
            let wait = after.filter(|wait| now + *wait <= until);
            let Some(wait) = wait else {
                return Err(self.why(workspace, prepaid, worst, now));
            };
            // The store may be back before; others may spend what grew.
            let _ = tokio::time::timeout(wait.max(OUTLAST_STEP), done).await;
        }
    }

    fn available(&self, workspace: &Name, worst: u64, now: Instant) -> Option<Duration> {
        lock(&self.tables).available(workspace, worst, now)
    }

    /// Begins a planned stop: what is not needed is given back from now on.
    pub fn leave(&self) {
        lock(&self.tables).leaving = true;
        self.wake.notify_one();
    }

    fn asked(&self, workspace: &Name, worst: u64, now: Instant) {
        let mut tables = lock(&self.tables);
        let account = tables
            .accounts
            .get_or_insert_with(workspace.clone(), Account::default);
        account.record_demand(worst, now);
    }

    fn try_reserve(
        self: &Arc<Self>,
        workspace: &Name,
        worst: u64,
        now: Instant,
    ) -> Option<Reservation> {
        let mut tables = lock(&self.tables);
        let account = tables
            .accounts
            .get_or_insert_with(workspace.clone(), Account::default);
        account.reserve(worst, now).then(|| Reservation {
            purse: self.clone(),
            workspace: workspace.clone(),
            worst,
            used: 0,
        })
    }

    fn is_failing(&self, now: Instant) -> bool {
        lock(&self.tables).is_failing(now)
    }

    fn why(&self, workspace: &Name, prepaid: u64, worst: u64, now: Instant) -> Refused {
        let tables = lock(&self.tables);
        if tables.is_failing(now) {
            let after = tables.available(workspace, worst, now);
            return Refused::Away { after };
        }
        let left = tables.left(workspace, prepaid);
        let proved = tables.summed_at.is_some_and(|at| now < at + PROOF_AGE);
        if proved && left < worst {
            return Refused::Spent { left };
        }
        Refused::Short
    }

    /// What the decision on a refusal rested on, for the logs.
    pub fn evidence(&self, workspace: &Name, prepaid: u64, now: Instant) -> String {
        let tables = lock(&self.tables);
        let (total, _) = tables.total(workspace);
        let age = |at: Option<Instant>| {
            at.map_or("none".to_owned(), |at| {
                let age = now.saturating_duration_since(at);
                age.as_millis().to_string()
            })
        };
        let account = tables.accounts.get(&**workspace);
        let spent = account.map_or(0, Account::spent);
        let granted = account.map_or(0, Account::granted);
        let left = tables.left(workspace, prepaid);
        format!(
            "prepaid {prepaid} taken {} left {left} granted {granted} spent {spent} \
             free {} rate {:.0} routers {} totals_age {} sums_age {}",
            total.granted,
            account.map_or(0, |a| a.free(now)),
            account.map_or(0.0, |a| a.demand_rate(now)),
            tables.routers(),
            age(tables.totals_at),
            age(tables.summed_at),
        )
    }
}
