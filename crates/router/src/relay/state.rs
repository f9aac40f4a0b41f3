//! State that the tasks of a relay share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use poplar_core::client_limits::ClientShares;
use poplar_core::deployment::Deployment;
use poplar_core::id::{Incarnation, Name};
use poplar_core::retry::share::{SharedBudget, Shares};
use poplar_platform::settings::Settings;
use poplar_platform::store::Store;
use tokio::sync::Notify;

use crate::relay::budgets::Budgets;
use crate::relay::capacity::HostCapacity;
use crate::relay::connections::Connections;
use crate::relay::costs::Costs;
use crate::relay::crashes::Crashes;
use crate::relay::memory::BodyMemory;
use crate::relay::paths::Paths;
use crate::relay::response_memory::ResponseMemory;
use crate::relay::servers::Servers;
use crate::relay::stop::Stop;
use crate::relay::streams::StreamVersions;
use crate::sync::lock;

/// The part of the platform's rules by which engines that run out of memory crash.
const PRESSURE: &str = "pressure";

/// The shared state. [`crate::sync`] gives the order of its locks.
#[derive(Debug)]
pub struct Relay {
    /// Settings of this process.
    pub settings: Settings,
    /// The platform's store.
    pub store: Store,
    /// The backend servers.
    pub servers: Arc<Servers>,
    /// Costs of requests, as learned.
    pub costs: Costs,
    /// The paths to them.
    pub paths: Arc<Paths>,
    /// What this host carries.
    pub capacity: Arc<HostCapacity>,
    /// Prepaid budgets of the workspaces.
    pub budgets: Arc<Budgets>,
    /// Requests that were on servers when these crashed.
    pub crashes: Arc<Crashes>,
    /// Streams that clients may resume, and the versions that began them.
    pub streams: Arc<StreamVersions>,
    deployment: RwLock<Option<Arc<Deployment>>>,
    /// When the copy of the configuration was last current.
    pub configuration_read: LastRead,
    /// When the copy of the list of servers was last current.
    pub server_list_read: LastRead,
    /// When the copy of the reports of crashes was last current.
    pub crash_reports_read: LastRead,
    /// When the copy of the limits of servers was last current.
    pub limits_read: LastRead,
    /// Memory of responses that are not forwarded yet.
    pub response_memory: Arc<ResponseMemory>,
    /// What clients may occupy.
    pub shares: ClientShares,
    /// Memory of the bodies of requests.
    pub body_memory: Arc<BodyMemory>,
    /// Connections of callers.
    pub callers: Arc<Connections>,
    retry_limits: RwLock<SharedBudget>,
    retry_shares: Mutex<Shares>,
    stop: Mutex<Option<Stop>>,
    stop_begun: Notify,
    open_requests: AtomicUsize,
    became_idle: Notify,
}

/// When the copy of a table was last known to be current.
#[derive(Debug, Default)]
pub struct LastRead(Mutex<Option<Instant>>);

impl LastRead {
    /// Records that the copy contains what the store had at `at`.
    pub fn record(&self, at: Instant) {
        *lock(&self.0) = Some(at);
    }

    /// Age of the copy; `None` before the first read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = *lock(&self.0);
        at.map(|at| now.saturating_duration_since(at))
    }
}

/// An age in milliseconds as it is logged, `none` if nothing was read yet.
pub fn format_age(age: Option<Duration>) -> String {
    age.map_or("none".to_owned(), |age| age.as_millis().to_string())
}

/// An open request, which counts as open until this is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    relay: Arc<Relay>,
    was_sent: Arc<AtomicBool>,
}

impl OpenRequest {
    /// Records that it is sent to a server, which may run it.
    pub fn record_sent(&self) {
        self.was_sent.store(true, Ordering::Release);
    }

    /// Whether it was sent to a server, also after this is dropped.
    pub fn was_sent(&self) -> Arc<AtomicBool> {
        self.was_sent.clone()
    }
}

impl Relay {
    /// The state of a process that has just started.
    pub fn new(settings: Settings) -> Arc<Self> {
        let store = Store::open(settings.store);
        let incarnation = rand::random();
        let limits = retry_limits(&settings);
        let shares = ClientShares::new(settings.host.memory, settings.host.descriptors);
        let budgets = Budgets::new(store.clone(), settings.ip, incarnation);
        let servers = Servers::new(settings.centre.clone(), settings.ip, settings.drain_time);
        servers.set_cold_excess(settings.cold_excess);
        let capacity = HostCapacity::new(settings.host.link);
        let port = settings.internal_ports.0;
        let paths = Paths::new(settings.ip, port, budgets.clone(), capacity.clone());
        Arc::new(Self {
            servers,
            costs: Costs::default(),
            paths: paths.clone(),
            capacity,
            budgets,
            crashes: Crashes::open(Incarnation::new(&settings.name, incarnation), paths),
            streams: StreamVersions::open(),
            deployment: RwLock::default(),
            configuration_read: LastRead::default(),
            server_list_read: LastRead::default(),
            crash_reports_read: LastRead::default(),
            limits_read: LastRead::default(),
            response_memory: ResponseMemory::open(shares.responses),
            body_memory: BodyMemory::open(shares.bodies),
            callers: Connections::open("callers", shares.connections),
            shares,
            retry_limits: RwLock::new(limits),
            retry_shares: Mutex::new(Shares::new(Instant::now())),
            stop: Mutex::default(),
            stop_begun: Notify::new(),
            open_requests: AtomicUsize::new(0),
            became_idle: Notify::new(),
            settings,
            store,
        })
    }

    /// The configuration in force; `None` until the first one is applied.
    pub fn deployment(&self) -> Option<Arc<Deployment>> {
        let deployment = self.deployment.read();
        deployment.unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Whether a service consists of model engines.
    pub fn is_engine(&self, service: &str) -> bool {
        let deployment = self.deployment();
        let service = deployment.as_ref().and_then(|d| d.services.get(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Tokens that the memory of each engine of a service holds; 0 if it has none, or if
    /// the settings don't ask for an account of it.
    pub fn kv_capacity(&self, service: &str) -> u64 {
        let mut contracts = self.settings.contracts.iter();
        if !contracts.any(|contract| **contract == *PRESSURE) {
            return 0;
        }
        let deployment = self.deployment();
        let service = deployment.as_ref().and_then(|d| d.services.get(service));
        let engine = service.and_then(|service| service.engine);
        engine.map_or(0, |engine| engine.kv_capacity)
    }

    /// Whether a copy of the configuration of this age may lack a change for
    /// longer than a change may take.
    pub fn is_stale(&self, age: Option<Duration>) -> bool {
        age.is_none_or(|age| age > self.settings.apply_time)
    }

    /// Applies a configuration if it is newer than the one in force; returns
    /// whether it is.
    pub fn apply(&self, deployment: Deployment) -> bool {
        let current = self.deployment.write();
        let mut current = current.unwrap_or_else(|e| e.into_inner());
        let newer = current
            .as_ref()
            .is_none_or(|c| deployment.version > c.version);
        if newer {
            *current = Some(Arc::new(deployment));
        }
        newer
    }

    /// Applies changed settings. Only the retry limits may change while the
    /// process runs.
    pub fn reload(&self, settings: &Settings) {
        let current = self.retry_limits.write();
        *current.unwrap_or_else(|e| e.into_inner()) = retry_limits(settings);
    }

    /// Records a request for a service, on which its retry budget depends.
    pub fn record_request(&self, service: &Name, now: Instant) {
        let routers = self.budgets.live_routers();
        let limits = self.retry_limits();
        let mut shares = lock(&self.retry_shares);
        shares.record_routers(routers, now);
        shares.record_request(service, &limits, now);
    }

    /// Takes one retry from the service's retry budget; false if it is used up.
    pub fn take_retry(&self, service: &Name, now: Instant) -> bool {
        let limits = self.retry_limits();
        lock(&self.retry_shares).take(service, &limits, now)
    }

    /// Records that a retry that was taken at `taken` is sent now.
    pub fn record_retry_sent(&self, service: &Name, taken: Instant, now: Instant) {
        lock(&self.retry_shares).record_send(service, taken, now);
    }

    fn retry_limits(&self) -> SharedBudget {
        let limits = self.retry_limits.read();
        *limits.unwrap_or_else(|e| e.into_inner())
    }

    /// Whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let loaded = self.deployment().is_some() && self.servers.is_loaded();
        let overloaded = self.capacity.is_overloaded(Instant::now());
        loaded && self.budgets.is_ready() && !self.is_stopping() && !overloaded
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self, now: Instant) -> Stop {
        let stop = Stop::new(self.settings.stop_grace, now);
        let stop = *lock(&self.stop).get_or_insert(stop);
        self.stop_begun.notify_waiters();
        stop
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop().is_some()
    }

    /// The planned stop that has begun, if one has.
    pub fn stop(&self) -> Option<Stop> {
        *lock(&self.stop)
    }

    /// Waits until requests without an answer get one because of a planned stop.
    pub async fn wait_answer_time(&self) {
        loop {
            let begun = self.stop_begun.notified();
            if let Some(stop) = self.stop() {
                return tokio::time::sleep_until(stop.answer_time().into()).await;
            }
            begun.await;
        }
    }

    /// Counts a request as open until the result is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest {
            relay: self.clone(),
            was_sent: Arc::default(),
        }
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Waits until no request is open.
    pub async fn wait_idle(&self) {
        loop {
            let became_idle = self.became_idle.notified();
            if self.open_requests() == 0 {
                return;
            }
            became_idle.await;
        }
    }
}

fn retry_limits(settings: &Settings) -> SharedBudget {
    SharedBudget {
        ratio: settings.retry_ratio,
        slack: settings.retry_slack,
        window: settings.retry_window,
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.relay.open_requests.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.relay.became_idle.notify_waiters();
        }
    }
}
