//! The state that all tasks of one router share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use poplar_base::http::Client;
use poplar_base::platform::Platform;
use poplar_core::config::Config;
use poplar_core::generation::{Follower, Source};
use poplar_core::id::{Incarnation, RequestId};
use poplar_core::sorted::SortedVec;
use tokio::sync::Notify;

use crate::backends::crashes::Crashes;
use crate::backends::dispatch::Dispatcher;
use crate::budget::bill_queue::BillQueue;
use crate::budget::manager::BudgetManager;
use crate::burn::BurnCounts;
use crate::claims::Claims;
use crate::peers::Peers;
use crate::request_trace::RequestTrace;
use crate::settings::Settings;
use crate::sync::lock;

/// Time after the start for which a router that can't claim yet reports itself
/// not ready.
const CLAIMS_READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Shared tables and clients; [`crate::sync`] defines the lock order.
#[derive(Debug)]
pub struct State {
    /// The settings of this process.
    pub settings: Settings,
    /// The incarnation: one run of this router's process.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: Platform,
    /// Connections to backend servers.
    pub client: Client,
    /// Budgets: tokens held, spent and reserved by this router.
    pub budgets: Arc<BudgetManager>,
    /// Bills not yet durable.
    pub bill_queue: Arc<BillQueue>,
    /// Backend servers, and requests queued for them.
    pub dispatcher: Arc<Dispatcher>,
    /// Requests that crashed backend servers.
    pub crashes: Crashes,
    /// Claims of non-idempotent calls.
    pub claims: Claims,
    /// The other routers.
    pub peers: Arc<Peers>,
    /// Steps of recent requests.
    pub trace: RequestTrace,
    /// Counts for the burn report.
    pub burn: BurnCounts,
    /// Requests in progress.
    pub open_requests: OpenRequests,
    /// Wakes the gossip task early when there is news for peers: a changed
    /// configuration, a crash, or the start of a shutdown.
    pub gossip_wake: Notify,
    config: RwLock<(Follower, Arc<Config>)>,
    row_version: AtomicU64,
    sealed: AtomicBool,
    draining: AtomicBool,
    request_count: AtomicU64,
    started: Instant,
}

impl State {
    /// Creates the state of a router that is not registered yet.
    pub fn new(settings: Settings, incarnation: Incarnation, platform: Platform) -> Arc<Self> {
        let peers = Arc::new(Peers::default());
        let bill_queue = Arc::new(BillQueue::default());
        let budgets = BudgetManager::new(
            platform.clone(),
            incarnation.clone(),
            settings.budget.clone(),
            peers.clone(),
            bill_queue.clone(),
        );
        let dispatcher = Dispatcher::open(&settings);
        Arc::new(Self {
            budgets: Arc::new(budgets),
            bill_queue,
            dispatcher: Arc::new(dispatcher),
            crashes: Crashes::open(&incarnation),
            claims: Claims::new(&incarnation),
            peers,
            trace: RequestTrace::default(),
            burn: BurnCounts::default(),
            open_requests: OpenRequests::default(),
            gossip_wake: Notify::new(),
            client: Client::open_as(&settings.name),
            config: RwLock::default(),
            row_version: AtomicU64::new(0),
            sealed: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            request_count: AtomicU64::new(0),
            started: Instant::now(),
            settings,
            incarnation,
            platform,
        })
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        let config = self.config.read();
        config.unwrap_or_else(|e| e.into_inner()).1.clone()
    }

    /// Replaces the configuration if `config` is newer; returns whether it was.
    pub fn apply(&self, config: Config, from: Source) -> bool {
        let current = self.config.write();
        let mut current = current.unwrap_or_else(|e| e.into_inner());
        let newer = current.0.learn(config.generation, from);
        if newer {
            current.1 = Arc::new(config);
        }
        newer
    }

    /// Whether the table's `generation` is the one in force and was confirmed by a
    /// read of the table.
    pub fn is_current(&self, generation: u64) -> bool {
        self.is_confirmed() && self.config().generation == generation
    }

    /// Whether the configuration in force is at least as new as any that an earlier
    /// incarnation may have used.
    fn is_confirmed(&self) -> bool {
        let config = self.config.read();
        config.unwrap_or_else(|e| e.into_inner()).0.may_serve()
    }

    /// Version of this router's own row in the table; 0 until it is registered.
    ///
    /// It also serves as the fencing number of its requests.
    pub fn row_version(&self) -> u64 {
        self.row_version.load(Ordering::Acquire)
    }

    /// Sets the version of this router's own row.
    pub fn set_row_version(&self, version: u64) {
        self.row_version.store(version, Ordering::Release);
    }

    /// Whether this router was sealed.
    pub fn is_sealed(&self) -> bool {
        self.sealed.load(Ordering::Acquire)
    }

    /// Records that this router was sealed: it accepts no new requests.
    pub fn mark_sealed(&self) {
        self.sealed.store(true, Ordering::Release);
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a graceful shutdown.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.gossip_wake.notify_waiters();
    }

    /// Whether requests are served: the router is registered, has a confirmed
    /// configuration and is not sealed.
    pub fn is_serving(&self) -> bool {
        self.row_version() != 0 && self.is_confirmed() && !self.is_sealed()
    }

    /// Whether the load balancer may send requests.
    ///
    /// Without a host list the router would refuse everything. While it can't
    /// claim it would refuse non-idempotent calls, so it is not ready then either;
    /// but only for a limited time, since it can serve everything else.
    pub fn is_ready(&self) -> bool {
        let claims_ready = self.claims.is_active() || self.started.elapsed() > CLAIMS_READY_TIMEOUT;
        self.is_serving() && self.dispatcher.has_host_list() && claims_ready && !self.is_draining()
    }

    /// A unique ID for a request without an idempotency key.
    pub fn new_request_id(&self) -> RequestId {
        RequestId::unkeyed(
            &self.incarnation,
            self.request_count.fetch_add(1, Ordering::Relaxed),
        )
    }
}

/// Counts and idempotency keys of the requests in progress on this router.
#[derive(Debug, Default)]
pub struct OpenRequests {
    keyed: Mutex<SortedVec<RequestId, ()>>,
    count: AtomicUsize,
    ended: Notify,
}

/// A request in progress; dropping it removes it from the table.
#[derive(Debug)]
pub struct OpenRequest {
    state: Arc<State>,
    id: RequestId,
}

impl OpenRequests {
    /// Number of requests in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until no request is in progress, at most for `timeout`.
    pub async fn wait_until_empty(&self, timeout: Duration) {
        let none = async {
            loop {
                let ended = self.ended.notified();
                if self.count() == 0 {
                    return;
                }
                ended.await;
            }
        };
        // Requests that are still in progress are cut off; the shutdown logs them.
        let _ = tokio::time::timeout(timeout, none).await;
    }
}

impl OpenRequest {
    /// Registers a request; `None` if one with its idempotency key is in progress
    /// on this router.
    pub fn register(state: &Arc<State>, id: &RequestId) -> Option<Self> {
        if id.is_keyed() {
            let mut keyed = lock(&state.open_requests.keyed);
            if keyed.contains(id) {
                return None;
            }
            keyed.insert(id.clone(), ());
        }
        state.open_requests.count.fetch_add(1, Ordering::AcqRel);
        Some(Self {
            state: state.clone(),
            id: id.clone(),
        })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.state.open_requests;
        if self.id.is_keyed() {
            lock(&open.keyed).remove(&self.id);
        }
        if open.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            open.ended.notify_waiters();
        }
    }
}
