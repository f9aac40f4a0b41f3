//! What the tasks of a relay share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use poplar_core::deployment::Deployment;
use poplar_core::id::{Incarnation, Name};
use poplar_core::retry::share::{Share, SharedBudget};
use poplar_core::sorted::SortedVec;
use poplar_platform::settings::Settings;
use poplar_platform::store::Store;
use tokio::sync::Notify;

use crate::backends::crashes::Crashes;
use crate::relay::budgets::Budgets;
use crate::relay::servers::Servers;
use crate::sync::lock;

/// Shared tables; the lock order stands in [`crate::sync`].
#[derive(Debug)]
pub struct Relay {
    /// Settings of this process.
    pub settings: Settings,
    /// The platform's store.
    pub store: Store,
    /// The backend servers.
    pub servers: Arc<Servers>,
    /// The budgets.
    pub budgets: Arc<Budgets>,
    /// Requests that crashed backend servers.
    pub crashes: Crashes,
    site: RwLock<Option<Arc<Deployment>>>,
    repeats: RwLock<SharedBudget>,
    shares: Mutex<SortedVec<Name, Share>>,
    stopping: Mutex<Option<Instant>>,
    open: AtomicUsize,
    ended: Notify,
}

/// A request under way; ends when it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    relay: Arc<Relay>,
}

impl Relay {
    /// Puts the shared state together.
    pub fn new(settings: Settings) -> Arc<Self> {
        let store = Store::open(settings.store);
        let incarnation = rand::random();
        let repeats = terms(&settings);
        Arc::new(Self {
            servers: Servers::new(settings.centre.clone()),
            budgets: Budgets::new(store.clone(), settings.ip, incarnation),
            crashes: Crashes::open(&Incarnation::new(&settings.name, incarnation)),
            site: RwLock::default(),
            repeats: RwLock::new(repeats),
            shares: Mutex::default(),
            stopping: Mutex::default(),
            open: AtomicUsize::new(0),
            ended: Notify::new(),
            settings,
            store,
        })
    }

    /// The configuration in force; `None` before the first.
    pub fn site(&self) -> Option<Arc<Deployment>> {
        let site = self.site.read();
        site.unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Puts a configuration in force where it is newer.
    pub fn apply(&self, site: Deployment) -> bool {
        let current = self.site.write();
        let mut current = current.unwrap_or_else(|e| e.into_inner());
        let newer = current.as_ref().is_none_or(|c| site.version > c.version);
        if newer {
            *current = Some(Arc::new(site));
        }
        newer
    }

    /// Takes changed settings over, as far as they may change.
    pub fn reload(&self, settings: &Settings) {
        let current = self.repeats.write();
        *current.unwrap_or_else(|e| e.into_inner()) = terms(settings);
    }

    /// Notes a request for a service.
    pub fn record_request(&self, service: &Name, now: Instant) {
        let terms = self.repeats();
        let mut shares = lock(&self.shares);
        let share = shares.get_or_insert_with(service.clone(), Share::default);
        share.record_request(&terms, now);
    }

    /// Takes one repeated send from the service's budget; false where it is
    /// used up.
    pub fn take_retry(&self, service: &Name, now: Instant) -> bool {
        let routers = self.budgets.live_routers();
        let terms = self.repeats();
        let mut shares = lock(&self.shares);
        let share = shares.get_or_insert_with(service.clone(), Share::default);
        share.take(&terms, routers, now)
    }

    fn repeats(&self) -> SharedBudget {
        let terms = self.repeats.read();
        *terms.unwrap_or_else(|e| e.into_inner())
    }

    /// Whether the balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let known = self.site().is_some() && self.servers.is_loaded();
        known && self.budgets.is_ready() && !self.is_stopping()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self, now: Instant) {
        lock(&self.stopping).get_or_insert(now);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        lock(&self.stopping).is_some()
    }

    /// How long ago a planned stop began.
    pub fn stopping_for(&self, now: Instant) -> Option<Duration> {
        let since = *lock(&self.stopping);
        since.map(|at| now.saturating_duration_since(at))
    }

    /// Enters a request.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenRequest {
            relay: self.clone(),
        }
    }

    /// Requests under way.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until no request is under way.
    pub async fn wait_idle(&self) {
        loop {
            let ended = self.ended.notified();
            if self.open_requests() == 0 {
                return;
            }
            ended.await;
        }
    }
}

fn terms(settings: &Settings) -> SharedBudget {
    SharedBudget {
        ratio: settings.retry_ratio,
        slack: settings.retry_slack,
        window: settings.retry_window,
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.relay.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.relay.ended.notify_waiters();
        }
    }
}
