//! Queues requests and sends each to the backend server that was chosen.

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

use super::pool::{Pool, Slot};
use crate::refusal::{Code, Refusal};
use crate::settings::Settings;
use crate::sync::lock;

/// Times the target within which an admitted request is still sent again: a
/// late answer is better than none.
pub const DEADLINE_FACTOR: u32 = 2;
/// Wait before a server is tried again that failed this request before.
pub const SAME_SERVER_BACKOFF: Duration = Duration::from_millis(100);
/// When to come back where no backend server offers the model or service.
const NONE_AFTER: Duration = Duration::from_secs(2);

/// What a pool offers: a model of engines, or a service.
pub type PoolKey = (bool, Name);

/// A request as dispatch sees it.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Its class.
    pub class: Name,
    /// The model or service it needs.
    pub serves: Name,
    /// Whether model engines serve it, not plain services.
    pub engine: bool,
    /// Whose it is.
    pub workspace: Name,
    /// 0 is most urgent.
    pub priority: u8,
    /// The prompt's blocks; none for service calls.
    pub chain: Arc<BlockHashes>,
    /// Prompt tokens, as far as they can be told.
    pub prompt: u32,
    /// Cap on output in tokens; 1 for service calls.
    pub output: u32,
    /// Target of the first token.
    pub first: Option<Duration>,
    /// Target of the whole answer.
    pub finish: Duration,
    /// When it arrived.
    pub arrived: Instant,
    /// Whether it may run twice.
    pub repeat: bool,
    /// Servers that were tried.
    pub tried: Vec<Name>,
    /// Whether it was sent before, and so was admitted.
    pub again: bool,
}

impl DispatchRequest {
    pub(super) fn tokens(&self) -> u32 {
        self.prompt
    }

    /// When a request that was admitted has to be sent at the latest.
    pub(super) fn latest(&self) -> Instant {
        self.arrived + self.finish * DEADLINE_FACTOR
    }

    pub(super) fn job(&self, output: u32) -> Job<'_> {
        Job {
            priority: self.priority,
            prompt: self.tokens(),
            output,
            repeatable: self.repeat,
            tried: &self.tried,
        }
    }
}

/// How a request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Whole, with this many output tokens.
    Completed(u64),
    /// It failed there.
    Failed(Failure),
    /// Cancelled by the router.
    Cancelled,
}

/// A backend server as the admin page shows it.
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
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether health keeps requests off it.
    pub ejected: bool,
    /// This router's requests in flight there.
    pub in_flight: u32,
    /// Number of its newest cache event that was taken in.
    pub cursor: u64,
}

/// Pools of backend servers by what they offer.
#[derive(Debug)]
pub struct Dispatcher {
    pools: Mutex<SortedVec<PoolKey, Pool>>,
    routers: AtomicU32,
    host_list_read: AtomicBool,
    centre: Name,
    policy: Policy,
    salt: u64,
}

impl Dispatcher {
    /// Opens a dispatch that knows no backend server yet.
    pub fn open(settings: &Settings) -> Self {
        Self {
            pools: Mutex::default(),
            routers: AtomicU32::new(1),
            host_list_read: AtomicBool::new(false),
            centre: settings.centre.clone(),
            policy: settings.backends.policy,
            salt: rand::random(),
        }
    }

    /// Sets how many live routers share the backend servers.
    pub fn set_router_count(&self, routers: u32) {
        self.routers.store(routers.max(1), Ordering::Relaxed);
    }

    fn router_count(&self) -> u32 {
        self.routers.load(Ordering::Relaxed)
    }

    /// Whether a host list was read since the start.
    pub fn has_host_list(&self) -> bool {
        self.host_list_read.load(Ordering::Relaxed)
    }

    /// Takes a new host list over.
    pub fn update_hosts(&self, hosts: &[Host], now: Instant) {
        self.host_list_read.store(true, Ordering::Relaxed);
        let mut pools = lock(&self.pools);
        for host in hosts {
            let key = (host.role == Role::Engine, host.serves.clone());
            pools.get_or_insert_with(key, || Pool::new(self.policy, self.salt, now));
        }
        for ((engine, serves), pool) in pools.iter_mut() {
            let mine = |h: &&Host| (h.role == Role::Engine) == *engine && h.serves == *serves;
            let hosts: Vec<&Host> = hosts.iter().filter(mine).collect();
            pool.update_hosts(&hosts, &self.centre);
            pool.pump(self.router_count(), rand::random, now);
        }
    }

    /// Takes a load report over.
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
            pool.pump(self.router_count(), rand::random, now);
        }
    }

    /// Notes that a server's process has ended: its cache is gone.
    pub fn mark_dead(&self, key: &PoolKey, name: &str) {
        if let Some(pool) = lock(&self.pools).get_mut(key) {
            pool.mark_dead(name);
        }
    }

    /// Takes cache events of a server over.
    pub fn apply_cache_events(
        &self,
        key: &PoolKey,
        name: &str,
        events: impl IntoIterator<Item = CacheEvent>,
    ) {
        if let Some(pool) = lock(&self.pools).get_mut(key) {
            pool.apply_cache_events(name, events);
        }
    }

    /// Looks for servers that are far slower than the others.
    pub fn eject_slow_servers(&self, now: Instant) {
        for (_, pool) in lock(&self.pools).iter_mut() {
            pool.eject_slow_servers(now);
        }
    }

    /// Decides what follows a failure of a request at a server.
    pub fn next_step(
        &self,
        placed: &Placement,
        failure: Failure,
        attempt: &Attempt,
        now: Instant,
    ) -> RetryDecision {
        let mut pools = lock(&self.pools);
        let pool = pools.get_or_insert_with(placed.key.clone(), || {
            Pool::new(self.policy, self.salt, now)
        });
        pool.next_step(failure, attempt, now)
    }

    /// Refuses what has waited too long, and sends what can go.
    pub fn tick(&self, now: Instant) {
        for (_, pool) in lock(&self.pools).iter_mut() {
            pool.pump(self.router_count(), rand::random, now);
        }
    }

    /// Every backend server, for the admin page and for polling.
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

    /// Waits for the turn of `work` and chooses its server.
    ///
    /// # Errors
    /// A refusal, at once, where it can't finish on time or nothing serves it.
    pub async fn place(self: &Arc<Self>, work: DispatchRequest) -> Result<Placement, Refusal> {
        let key = (work.engine, work.serves.clone());
        let class = work.class.clone();
        let now = Instant::now();
        let (ticket, receiver) = {
            let mut pools = lock(&self.pools);
            let Some(pool) = pools.get_mut(&key) else {
                return Err(Refusal::new(Code::NoBackend).retry_after(NONE_AFTER));
            };
            let pushed = pool.push(work, self.router_count(), rand::random(), now)?;
            pool.pump(self.router_count(), rand::random, now);
            pushed
        };
        let mut queued = Queued {
            dispatch: self,
            key: key.clone(),
            ticket: Some(ticket),
        };
        let slot = receiver.await;
        queued.ticket = None;
        let slot = slot.map_err(|_| Refusal::new(Code::NoBackend).retry_after(NONE_AFTER))??;
        Ok(Placement::new(self.clone(), key, class, slot))
    }

    fn ended(&self, placed: &Placement, ended: AttemptResult, now: Instant) {
        let mut pools = lock(&self.pools);
        let Some(pool) = pools.get_mut(&placed.key) else {
            return;
        };
        if let AttemptResult::Completed(output) = ended {
            pool.learn(&placed.class, output);
        }
        pool.ended(&placed.server, placed.flight, ended, now);
        pool.pump(self.router_count(), rand::random, now);
    }
}

/// Takes a request off the queue where its task ends before its turn.
struct Queued<'a> {
    dispatch: &'a Dispatcher,
    key: PoolKey,
    ticket: Option<Ticket>,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        if let Some(pool) = lock(&self.dispatch.pools).get_mut(&self.key) {
            pool.forget(ticket);
        }
    }
}

/// A request at its backend server; dropped, it counts as cancelled.
#[derive(Debug)]
pub struct Placement {
    /// The server's name.
    pub server: Name,
    /// The server's address.
    pub address: SocketAddr,
    /// Why it was chosen.
    pub reason: String,
    /// Urgency with which the server is to serve it.
    pub priority: u8,
    dispatch: Arc<Dispatcher>,
    key: PoolKey,
    class: Name,
    flight: u64,
    over: bool,
}

impl Placement {
    fn new(dispatch: Arc<Dispatcher>, key: PoolKey, class: Name, slot: Slot) -> Self {
        Self {
            server: slot.name,
            address: slot.address,
            reason: slot.reason,
            priority: slot.priority,
            dispatch,
            key,
            class,
            flight: slot.flight,
            over: false,
        }
    }

    /// Notes that `tokens` came.
    pub fn record_progress(&self, tokens: u32, now: Instant) {
        let mut pools = lock(&self.dispatch.pools);
        let pool = pools.get_mut(&self.key);
        if let Some(server) = pool.and_then(|p| p.server(&self.server)) {
            server.record_tokens(self.flight, tokens, now);
        }
    }

    /// Notes how it ended; the first word counts.
    pub fn finish(&mut self, ended: AttemptResult, now: Instant) {
        if !self.over {
            self.over = true;
            self.dispatch.clone().ended(self, ended, now);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.finish(AttemptResult::Cancelled, Instant::now());
    }
}
