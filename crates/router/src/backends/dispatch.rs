//! Queues requests and assigns each to a backend server.
//!
//! Each model and each service has a pool of servers with a queue of its own. An
//! assigned request is a [`Placement`], which the sender keeps until the end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::platform::{Host, Role};
use poplar_core::id::Name;
use poplar_core::prefix::{BlockHashes, CacheEvent};
use poplar_core::queue::Ticket;
use poplar_core::retry::{Attempt, Failure, RetryDecision};
use poplar_core::route::server::{HealthState, LoadReport};
use poplar_core::route::{Job, Policy};
use poplar_core::sorted::SortedVec;

use super::pool::{Assignment, Pool};
use crate::refusal::{Code, Refusal};
use crate::settings::Settings;
use crate::sync::lock;

/// An admitted request may be sent again until this many times its target has
/// passed, since a late answer is better than none.
pub const DEADLINE_FACTOR: u32 = 2;
/// Wait before a request is sent again to a server where it failed before.
pub const SAME_SERVER_BACKOFF: Duration = Duration::from_millis(100);
/// Retry-After if no backend server offers the model or service.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Key of a pool: whether its servers are model engines, and the name of the
/// model or service.
pub type PoolKey = (bool, Name);

/// A request for a backend server, with what admission and routing need.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Its class.
    pub class: Name,
    /// The model or service it needs.
    pub serves: Name,
    /// Whether model engines serve it; otherwise plain services.
    pub engine: bool,
    /// The workspace it belongs to.
    pub workspace: Name,
    /// Priority at backend servers; 0 is the most urgent.
    pub priority: u8,
    /// The prompt's block hashes; empty for service calls.
    pub block_hashes: Arc<BlockHashes>,
    /// Estimated prompt tokens.
    pub prompt: u32,
    /// Cap on output in tokens; 1 for service calls.
    pub output_cap: u32,
    /// Target time to the first token.
    pub first_target: Option<Duration>,
    /// Target time to the complete answer.
    pub finish_target: Duration,
    /// When it arrived.
    pub arrived: Instant,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Servers where it failed before.
    pub tried: Vec<Name>,
    /// Whether it was sent before, and so was admitted already.
    pub is_resend: bool,
}

impl DispatchRequest {
    /// Estimated prompt length in tokens.
    pub(super) fn prompt_len(&self) -> u32 {
        self.prompt
    }

    /// The time by which an admitted request must be sent.
    pub(super) fn send_by(&self) -> Instant {
        self.arrived + self.finish_target * DEADLINE_FACTOR
    }

    pub(super) fn route_job(&self, output: u32) -> Job<'_> {
        Job {
            priority: self.priority,
            prompt: self.prompt_len(),
            output,
            repeatable: self.repeatable,
            tried: &self.tried,
        }
    }
}

/// How a request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered completely, with this many output tokens.
    Completed(u64),
    /// It failed.
    Failed(Failure),
    /// The router cancelled it.
    Cancelled,
}

/// The state of a backend server, for the admin interface and polling.
#[derive(Debug, Clone)]
pub struct ServerStatus {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Name,
    /// Whether it is a model engine.
    pub engine: bool,
    /// What it offers.
    pub serves: Name,
    /// Whether it is leaving, according to itself or the host list.
    pub leaving: bool,
    /// Whether its health keeps requests away from it.
    pub ejected: bool,
    /// This router's requests in flight there.
    pub in_flight: u32,
    /// Sequence number of its newest cache event that was applied.
    pub cursor: u64,
}

/// The pools of backend servers by what they offer.
#[derive(Debug)]
pub struct Dispatcher {
    pools: Mutex<SortedVec<PoolKey, Pool>>,
    routers: AtomicU32,
    hosts_read: AtomicBool,
    centre: Name,
    policy: Policy,
    /// Random number of this router; see [`Pool`].
    salt: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without backend servers.
    pub fn open(settings: &Settings) -> Self {
        Self {
            pools: Mutex::default(),
            routers: AtomicU32::new(1),
            hosts_read: AtomicBool::new(false),
            centre: settings.centre.clone(),
            policy: settings.backends.policy,
            salt: rand::random(),
        }
    }

    /// Sets the number of live routers that share the backend servers.
    pub fn set_router_count(&self, routers: u32) {
        self.routers.store(routers.max(1), Ordering::Relaxed);
    }

    fn router_count(&self) -> u32 {
        self.routers.load(Ordering::Relaxed)
    }

    /// Whether a host list has been read since the start.
    pub fn has_host_list(&self) -> bool {
        self.hosts_read.load(Ordering::Relaxed)
    }

    /// Applies a new host list to all pools.
    pub fn update_hosts(&self, hosts: &[Host], now: Instant) {
        self.hosts_read.store(true, Ordering::Relaxed);
        let mut pools = lock(&self.pools);
        for host in hosts {
            let key = (host.role == Role::Engine, host.serves.clone());
            pools.get_or_insert_with(key, || Pool::new(self.policy, self.salt, now));
        }
        for ((engine, serves), pool) in pools.iter_mut() {
            let in_pool = |h: &&Host| (h.role == Role::Engine) == *engine && h.serves == *serves;
            let hosts: Vec<&Host> = hosts.iter().filter(in_pool).collect();
            pool.update_hosts(&hosts, &self.centre);
            pool.assign(self.router_count(), rand::random, now);
        }
    }

    /// Records a server's load report and assigns queued requests.
    pub fn record_load(
        &self,
        key: &PoolKey,
        name: &str,
        report: LoadReport,
        leaving: bool,
        now: Instant,
    ) {
        if let Some(pool) = lock(&self.pools).get_mut(key) {
            pool.record_load(name, report, leaving);
            pool.assign(self.router_count(), rand::random, now);
        }
    }

    /// Records that a server's process has ended, so that its cache is lost.
    pub fn mark_dead(&self, key: &PoolKey, name: &str) {
        if let Some(pool) = lock(&self.pools).get_mut(key) {
            pool.mark_dead(name);
        }
    }

    /// Applies a server's cache events.
    pub fn sync_cache(
        &self,
        key: &PoolKey,
        name: &str,
        events: impl IntoIterator<Item = CacheEvent>,
    ) {
        if let Some(pool) = lock(&self.pools).get_mut(key) {
            pool.sync_cache(name, events);
        }
    }

    /// Ejects servers that are far slower than the others of their pool.
    pub fn eject_slow_servers(&self, now: Instant) {
        for (_, pool) in lock(&self.pools).iter_mut() {
            pool.eject_slow_servers(now);
        }
    }

    /// Decides whether a request that failed at a server is sent again.
    pub fn decide_retry(
        &self,
        placement: &Placement,
        failure: Failure,
        attempt: &Attempt,
        now: Instant,
    ) -> RetryDecision {
        let mut pools = lock(&self.pools);
        let pool = pools.get_or_insert_with(placement.key.clone(), || {
            Pool::new(self.policy, self.salt, now)
        });
        pool.decide_retry(failure, attempt, now)
    }

    /// Assigns queued requests in all pools and refuses those that expired.
    pub fn assign_queued(&self, now: Instant) {
        for (_, pool) in lock(&self.pools).iter_mut() {
            pool.assign(self.router_count(), rand::random, now);
        }
    }

    /// The state of every backend server.
    pub fn server_statuses(&self) -> Vec<ServerStatus> {
        let mut all = Vec::new();
        for ((engine, serves), pool) in lock(&self.pools).iter() {
            all.extend(
                pool.servers()
                    .map(|(server, address, cursor)| ServerStatus {
                        cursor,
                        name: server.name.clone(),
                        address,
                        centre: server.centre.clone(),
                        engine: *engine,
                        serves: serves.clone(),
                        leaving: server.leaving,
                        ejected: server.health != HealthState::Healthy,
                        in_flight: server.in_flight(),
                    }),
            );
        }
        all
    }

    /// Requests queued in all pools.
    pub fn queued(&self) -> usize {
        lock(&self.pools).iter().map(|(_, p)| p.queued()).sum()
    }

    /// Queues a request and waits until it is assigned to a server.
    ///
    /// # Errors
    /// A refusal: at once if the request can't finish on time or no server offers
    /// what it needs, later if it expires in the queue.
    pub async fn place(self: &Arc<Self>, request: DispatchRequest) -> Result<Placement, Refusal> {
        let key = (request.engine, request.serves.clone());
        let class = request.class.clone();
        let now = Instant::now();
        let (ticket, receiver) = {
            let mut pools = lock(&self.pools);
            let Some(pool) = pools.get_mut(&key) else {
                return Err(Refusal::new(Code::NoBackend).retry_after(NO_BACKEND_RETRY_AFTER));
            };
            let pushed = pool.push(request, self.router_count(), rand::random(), now)?;
            pool.assign(self.router_count(), rand::random, now);
            pushed
        };
        let mut queued = QueueGuard {
            dispatcher: self,
            key: key.clone(),
            ticket: Some(ticket),
        };
        let assigned = receiver.await;
        queued.ticket = None;
        let assignment = assigned
            .map_err(|_| Refusal::new(Code::NoBackend).retry_after(NO_BACKEND_RETRY_AFTER))??;
        Ok(Placement::new(self.clone(), key, class, assignment))
    }

    fn record_end(&self, placement: &Placement, result: AttemptResult, now: Instant) {
        let mut pools = lock(&self.pools);
        let Some(pool) = pools.get_mut(&placement.key) else {
            return;
        };
        if let AttemptResult::Completed(output) = result {
            pool.record_output(&placement.class, output);
        }
        pool.record_end(&placement.server, placement.request_id, result, now);
        pool.assign(self.router_count(), rand::random, now);
    }
}

/// Removes a request from the queue if its task ends before it is assigned.
struct QueueGuard<'a> {
    dispatcher: &'a Dispatcher,
    key: PoolKey,
    ticket: Option<Ticket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        if let Some(pool) = lock(&self.dispatcher.pools).get_mut(&self.key) {
            pool.remove_queued(ticket);
        }
    }
}

/// A request assigned to a backend server.
///
/// Dropping it before [`Placement::finish`] counts the request as cancelled.
#[derive(Debug)]
pub struct Placement {
    /// The server's name.
    pub server: Name,
    /// The server's address.
    pub address: SocketAddr,
    /// Why the server was chosen.
    pub reason: String,
    /// Priority with which the server is to run it.
    pub priority: u8,
    dispatcher: Arc<Dispatcher>,
    key: PoolKey,
    class: Name,
    request_id: u64,
    finished: bool,
}

impl Placement {
    fn new(dispatcher: Arc<Dispatcher>, key: PoolKey, class: Name, assignment: Assignment) -> Self {
        Self {
            server: assignment.name,
            address: assignment.address,
            reason: assignment.reason,
            priority: assignment.priority,
            dispatcher,
            key,
            class,
            request_id: assignment.request_id,
            finished: false,
        }
    }

    /// Records that `tokens` output tokens arrived.
    pub fn record_progress(&self, tokens: u32, now: Instant) {
        let mut pools = lock(&self.dispatcher.pools);
        let pool = pools.get_mut(&self.key);
        if let Some(server) = pool.and_then(|p| p.server(&self.server)) {
            server.record_tokens(self.request_id, tokens, now);
        }
    }

    /// Records how the request ended; only the first call counts.
    pub fn finish(&mut self, result: AttemptResult, now: Instant) {
        if !self.finished {
            self.finished = true;
            self.dispatcher.clone().record_end(self, result, now);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.finish(AttemptResult::Cancelled, Instant::now());
    }
}
