//! Everything the tasks of one router share.

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

/// How long a router that may not claim yet is kept from the balancer.
const CLAIMS_GRACE: Duration = Duration::from_secs(10);

/// Shared tables and clients; the lock order stands in [`crate::sync`].
#[derive(Debug)]
pub struct State {
    /// Settings of this process.
    pub settings: Settings,
    /// This life of this router.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: Platform,
    /// Connections to backend servers.
    pub client: Client,
    /// Holdings of budgets.
    pub budgets: Arc<BudgetManager>,
    /// Bills on their way.
    pub bill_queue: Arc<BillQueue>,
    /// Backend servers, and requests queued for them.
    pub dispatcher: Arc<Dispatcher>,
    /// Requests that crashed backend servers.
    pub crashes: Crashes,
    /// Calls that may run once.
    pub claims: Claims,
    /// The other routers.
    pub peers: Arc<Peers>,
    /// Steps of recent requests.
    pub trace: RequestTrace,
    /// Counts for the burn report.
    pub burn: BurnCounts,
    /// Requests under way.
    pub open_requests: OpenRequests,
    /// Woken where the configuration may have changed.
    pub gossip_wake: Notify,
    config: RwLock<(Follower, Arc<Config>)>,
    row_version: AtomicU64,
    sealed: AtomicBool,
    draining: AtomicBool,
    minted: AtomicU64,
    started: Instant,
}

impl State {
    /// Puts the shared state together.
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
            minted: AtomicU64::new(0),
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

    /// Puts a configuration in force where it is newer.
    pub fn apply(&self, config: Config, from: Source) -> bool {
        let current = self.config.write();
        let mut current = current.unwrap_or_else(|e| e.into_inner());
        let newer = current.0.learn(config.generation, from);
        if newer {
            current.1 = Arc::new(config);
        }
        newer
    }

    /// Whether the table's generation is the one in force, confirmed by a read
    /// of the table.
    pub fn is_current(&self, generation: u64) -> bool {
        self.is_confirmed() && self.config().generation == generation
    }

    /// Whether no earlier life can have had a newer configuration in force.
    fn is_confirmed(&self) -> bool {
        let config = self.config.read();
        config.unwrap_or_else(|e| e.into_inner()).0.may_serve()
    }

    /// Version of the own router row; 0 before it is written.
    pub fn row_version(&self) -> u64 {
        self.row_version.load(Ordering::Acquire)
    }

    /// Notes the version of the own router row.
    pub fn set_row_version(&self, version: u64) {
        self.row_version.store(version, Ordering::Release);
    }

    /// Whether somebody sealed this router.
    pub fn is_sealed(&self) -> bool {
        self.sealed.load(Ordering::Acquire)
    }

    /// Notes that somebody sealed this router: it takes no new requests.
    pub fn mark_sealed(&self) {
        self.sealed.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.gossip_wake.notify_waiters();
    }

    /// Whether requests are served: registered, configured and not sealed.
    pub fn is_serving(&self) -> bool {
        self.row_version() != 0 && self.is_confirmed() && !self.is_sealed()
    }

    /// Whether the balancer may send requests.
    ///
    /// Without a host list it would refuse everything. A router that may not
    /// claim yet would refuse calls that run once; it is not ready then, but not
    /// for ever, since all else it can serve.
    pub fn is_ready(&self) -> bool {
        let claims = self.claims.is_active() || self.started.elapsed() > CLAIMS_GRACE;
        self.is_serving() && self.dispatcher.has_host_list() && claims && !self.is_draining()
    }

    /// Names a request that has no idempotency key.
    pub fn new_request_id(&self) -> RequestId {
        RequestId::unkeyed(
            &self.incarnation,
            self.minted.fetch_add(1, Ordering::Relaxed),
        )
    }
}

/// Requests under way on this router.
#[derive(Debug, Default)]
pub struct OpenRequests {
    keyed: Mutex<SortedVec<RequestId, ()>>,
    count: AtomicUsize,
    ended: Notify,
}

/// One request under way; dropped at its end.
#[derive(Debug)]
pub struct OpenRequest {
    state: Arc<State>,
    id: RequestId,
}

impl OpenRequests {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until none is left, `most` at the longest.
    pub async fn wait_until_empty(&self, most: Duration) {
        let none = async {
            loop {
                let ended = self.ended.notified();
                if self.count() == 0 {
                    return;
                }
                ended.await;
            }
        };
        // What is still under way after that is cut; the caller logs it.
        let _ = tokio::time::timeout(most, none).await;
    }
}

impl OpenRequest {
    /// Enters a request; `None` where one with its key is under way here.
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
