//! Backend servers as this router knows them: the registered servers, the
//! requests that it and the other routers have there, the load that the servers
//! report, and their health.
//!
//! [`Servers::choose`] selects a server for a request and returns a guard that
//! counts the request at the server until it is dropped. Requests to servers that
//! name a limit need a permit, see [`limits`].

mod availability;
mod choice;
mod cold;
mod evacuation;
pub mod limits;
mod memory;
mod pace;
mod peers;
mod requirement;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::availability::{Notices, Reason};
use poplar_core::cold::Excess;
use poplar_core::deployment::{Server, ServerList};
use poplar_core::engine_memory::{Account, Reservation};
use poplar_core::evacuation::Evacuations;
use poplar_core::health::{Change, HealthTracker};
use poplar_core::id::Name;
use poplar_core::pace::Pace;
use poplar_core::server_limit::Limits;
use poplar_core::sorted::SortedVec;
use poplar_platform::headers::ServerLoad;

pub use choice::Demand;
use cold::Cold;
use pace::{Progress, ServicePace};
use peers::Peers;
use requirement::Ended;
pub use requirement::Requirement;

use crate::relay::gossip::{LoadMessage, ServerWork};
use crate::sync::lock;

/// Most shared prompts whose holder is stored. One more removes all entries.
const MAX_HOLDERS: usize = 4096;
/// Most holders that wait to be announced to the other routers.
const MAX_UNANNOUNCED: usize = 64;
/// How long a message of a peer counts, so that several in a row may be lost.
pub const MESSAGE_LIFETIME: Duration = Duration::from_millis(600);

/// What this router knows about one server.
#[derive(Debug, Default)]
struct ServerState {
    /// Requests of this router.
    requests: u32,
    /// Prompt tokens of those that have not had their first event yet.
    prefill_tokens: u64,
    /// Load that the server last reported.
    load: Option<ServerLoad>,
    /// When it did.
    reported: Option<Instant>,
    /// Work left of this router's requests, in microseconds at the usual pace.
    left_us: u64,
    /// How fast it works.
    pace: Pace,
    /// Start time that the server registered, in Unix milliseconds.
    started_ms: u64,
    /// Parts of its responses that were found invalid and logged.
    invalid: Vec<&'static str>,
    /// Tokens that requests hold in its memory.
    memory: Account,
}

/// What the list of servers shows of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It is registered.
    Listed,
    /// Another process is registered under the server's id.
    Restarted,
    /// Another server is registered at its address.
    Replaced,
    /// It is not registered.
    Unlisted,
}

/// Health of the servers, by service.
type Trackers = SortedVec<Name, HealthTracker>;

#[derive(Debug)]
struct State {
    list: ServerList,
    health: Trackers,
    /// What is known about each server, by its id.
    states: SortedVec<Name, ServerState>,
    peers: Peers,
    /// What was learned of each service.
    paces: SortedVec<Name, ServicePace>,
    /// The server that last processed each shared prompt, by the hash of the
    /// prompt.
    holders: SortedVec<u64, Name>,
    /// Holders that have not been announced to the other routers yet.
    unannounced: Vec<(u64, Name)>,
    /// Limits of requests a second that servers named.
    limits: Limits,
    /// What servers said of themselves in their answers.
    notices: Notices,
    /// Listed processes that have ended.
    ended: Ended,
    /// Data centres that the operator has evacuated.
    evacuations: Evacuations,
    /// Servers that are cold, and what they take.
    cold: Cold,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has none.
    NoServer,
    /// None gets requests now.
    Closed {
        /// What speaks against the one that is open again first.
        reason: Reason,
        /// Time after which a retry may find a server, if that is known.
        wait: Option<Duration>,
    },
    /// None has the version of its software that began the stream.
    NoVersion,
    /// None has room in its memory now.
    Full,
    /// The request may exceed the memory of each.
    TooLarge,
    /// None is in a home region of the request.
    NoRegion,
}

impl State {
    fn listing(&self, server: &Server) -> Listing {
        let mut all = self.list.all();
        if let Some(found) = all.find(|s| s.id == server.id) {
            return if found.started_ms == server.started_ms {
                Listing::Listed
            } else {
                Listing::Restarted
            };
        }
        if self.list.all().any(|s| s.address == server.address) {
            Listing::Replaced
        } else {
            Listing::Unlisted
        }
    }

    /// Whether this process of the server is the one that is known.
    fn is_current(&self, server: &Server) -> bool {
        let known = self.states.get(&*server.id);
        known.is_some_and(|known| known.started_ms == server.started_ms)
    }

    fn record_holder(&mut self, prompt_id: u64, server: Name) {
        if self.holders.len() >= MAX_HOLDERS && !self.holders.contains(&prompt_id) {
            self.holders = SortedVec::new();
        }
        self.holders.insert(prompt_id, server);
    }
}

/// The backend servers, as seen from one data centre.
#[derive(Debug)]
pub struct Servers {
    state: Mutex<State>,
    centre: Name,
    /// Address of this router.
    router: IpAddr,
}

/// A request at a server, which counts there until this is dropped.
#[derive(Debug)]
pub struct InFlight {
    servers: Arc<Servers>,
    /// The server.
    pub server: Server,
    /// Whether it is the home server of the shared prompt.
    pub is_home: bool,
    /// Another server from which the cache of the shared prompt can be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Work ahead of the request at the server, in prompt tokens.
    pub work_ahead: f64,
    /// Hash of the shared prompt until its first token; `None` after that, or
    /// if the shared prompt is too short.
    prompt_id: Option<u64>,
    prefill_tokens: u64,
    /// How it gets on there.
    pub progress: Progress,
    /// What it holds in the server's memory.
    memory: Reservation,
}

impl Servers {
    /// No servers yet, as seen from the router at `router` in the data centre
    /// `centre`. Requests may reach a server for `drain_time` after it said that it
    /// leaves.
    pub fn new(centre: Name, router: IpAddr, drain_time: Duration) -> Arc<Self> {
        let state = State {
            list: ServerList::default(),
            health: SortedVec::new(),
            states: SortedVec::new(),
            peers: Peers::default(),
            paces: SortedVec::new(),
            holders: SortedVec::new(),
            unannounced: Vec::new(),
            limits: Limits::new(router),
            notices: Notices::new(drain_time),
            ended: Ended::default(),
            evacuations: Evacuations::default(),
            cold: Cold::new(Excess::default()),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            centre,
            router,
        })
    }

    /// Whether the list of servers has been read since the start.
    pub fn is_loaded(&self) -> bool {
        lock(&self.state).list.is_known()
    }

    /// Records that the list of servers could not be read.
    pub fn record_failed_read(&self) {
        lock(&self.state).list.record_failed_read();
    }

    /// Whether a server is listed.
    pub fn is_listed(&self, id: &str) -> bool {
        lock(&self.state).list.all().any(|s| *s.id == *id)
    }

    /// What the list shows of a server's process.
    pub fn listing(&self, server: &Server) -> Listing {
        lock(&self.state).listing(server)
    }

    /// Replaces the list of servers by a newly read one, unless it is older.
    ///
    /// Returns the processes that are no longer listed.
    pub fn update(
        &self,
        servers: Vec<Server>,
        version: u64,
        now: Instant,
    ) -> Vec<(Server, Listing)> {
        let mut state = lock(&self.state);
        let State {
            list,
            health,
            states,
            holders,
            paces,
            ended,
            cold,
            ..
        } = &mut *state;
        let is_first = !list.is_known();
        let previous: Vec<Server> = list.all().cloned().collect();
        if !list.update(servers, version, now) {
            return Vec::new();
        }
        let mut services: SortedVec<Name, Vec<Name>> = SortedVec::new();
        let mut restarted: Vec<&Server> = Vec::new();
        for server in list.all() {
            let names = services.get_or_insert_with(server.service.clone(), Vec::new);
            names.push(server.id.clone());
            let started_ms = server.started_ms;
            let known = states.get(&*server.id);
            let is_started = known.is_none_or(|known| known.started_ms != started_ms);
            cold.record_entry(server, is_started && !is_first, now);
            let state = states.get_or_insert_with(server.id.clone(), || ServerState {
                started_ms,
                ..ServerState::default()
            });
            if std::mem::replace(&mut state.started_ms, started_ms) != started_ms {
                state.load = None;
                state.pace = Pace::default();
                state.invalid.clear();
                state.memory.forget_peers();
                restarted.push(server);
            }
            if !previous.iter().any(|p| p.has_same_entry(server)) {
                log::info("server listed")
                    .with("server", &server.id)
                    .with("address", server.address)
                    .with("ready", server.ready)
                    .with("software", &server.software)
                    .with("started_ms", server.started_ms)
                    .with("version", version)
                    .write();
            }
        }
        for server in &previous {
            if !list.all().any(|s| s.id == server.id) {
                log::info("server no longer listed")
                    .with("server", &server.id)
                    .write();
            }
        }
        ended.expire(list);
        cold.expire(|id| list.all().any(|s| *s.id == *id));
        states.retain(|id, state| state.requests > 0 || list.all().any(|s| s.id == *id));
        paces.retain(|service, _| services.contains(service));
        for (service, names) in services.iter() {
            let tracker = health.get_or_insert_with(service.clone(), HealthTracker::new);
            tracker.set_servers(names.iter().cloned());
        }
        // A new process has neither the failures nor the cache of the one before.
        for server in restarted {
            if let Some(tracker) = health.get_mut(&*server.service) {
                tracker.reset(&server.id);
            }
            holders.retain(|_, holder| *holder != server.id);
        }
        let with_listing = |server: Server| {
            let listing = state.listing(&server);
            (listing != Listing::Listed).then_some((server, listing))
        };
        previous.into_iter().filter_map(with_listing).collect()
    }

    /// The versions of the software of each service's servers, in order.
    pub fn software_versions(&self) -> SortedVec<Name, Vec<Name>> {
        let mut versions: SortedVec<Name, Vec<Name>> = SortedVec::new();
        for server in lock(&self.state).list.all() {
            let known = versions.get_or_insert_with(server.service.clone(), Vec::new);
            if let Err(place) = known.binary_search(&server.software) {
                known.insert(place, server.software.clone());
            }
        }
        versions
    }

    /// This router's requests at each server where it has any, or had any that the
    /// other routers still count in its memory.
    pub fn own_work(&self, now: Instant) -> Vec<ServerWork> {
        let state = lock(&self.state);
        let is_busy = |known: &ServerState| known.requests > 0 || known.memory.has_news();
        let busy = state.states.iter().filter(|(_, known)| is_busy(known));
        let work = busy.map(|(id, known)| ServerWork {
            server: id.clone(),
            requests: known.requests,
            prefill_tokens: known.prefill_tokens,
            left_ms: known.stated_left_ms(),
            held_tokens: known.memory.figure(now),
        });
        work.collect()
    }

    /// Removes and returns the holders of shared prompts that have not been
    /// announced to the other routers yet.
    pub fn take_unannounced(&self) -> Vec<(u64, Name)> {
        std::mem::take(&mut lock(&self.state).unannounced)
    }

    /// Records a message of another router, which replaces its previous one.
    pub fn record_peer_message(&self, from: IpAddr, message: LoadMessage, now: Instant) {
        let mut state = lock(&self.state);
        memory::record_message(&mut state, from, &message, from < self.router, now);
        state.peers.record(from, message.work, now);
        for (prompt_id, server) in message.holders {
            state.record_holder(prompt_id, server);
        }
    }

    /// Number of requests of this router at all servers, for the metrics.
    pub fn in_flight_count(&self) -> u32 {
        let state = lock(&self.state);
        state.states.iter().map(|(_, known)| known.requests).sum()
    }
}

impl InFlight {
    /// Records that the first token came, so that the prompt has been
    /// processed.
    pub fn record_first_token(&mut self) {
        let mut state = lock(&self.servers.state);
        if let Some(prompt_id) = self.prompt_id.take()
            && state.is_current(&self.server)
        {
            state.record_holder(prompt_id, self.server.id.clone());
            if state.unannounced.len() < MAX_UNANNOUNCED {
                state.unannounced.push((prompt_id, self.server.id.clone()));
            }
        }
        release_prefill(&mut state, &self.server.id, &mut self.prefill_tokens);
    }

    /// Records the load that the server reported.
    pub fn record_load(&self, load: ServerLoad, now: Instant) {
        let mut state = lock(&self.servers.state);
        if let Some(known) = state.states.get_mut(&*self.server.id) {
            known.load = Some(load);
            known.reported = Some(now);
            if let Some(percent) = load.work_time {
                known.pace.record_figure(percent, now);
            }
        }
    }

    /// Records a success or failure for the health of the server.
    pub fn record_outcome(&self, success: bool, now: Instant) {
        let mut state = lock(&self.servers.state);
        if !state.is_current(&self.server) {
            return;
        }
        let tracker = state.health.get_mut(&*self.server.service);
        let change = tracker.and_then(|t| t.record_outcome(&self.server.id, success, now));
        let event = match change {
            Some(Change::Ejected { reason, until }) => log::warn("server ejected")
                .reason(reason)
                .with("for_ms", until.saturating_duration_since(now).as_millis()),
            Some(Change::Restored) => log::info("server restored"),
            Some(Change::NotEjected { .. }) | None => return,
        };
        event.with("server", &self.server.id).write();
    }
}

/// Subtracts a request's prefill tokens from those of its server.
fn release_prefill(state: &mut State, id: &str, prefill_tokens: &mut u64) {
    if let Some(known) = state.states.get_mut(id) {
        known.prefill_tokens = known.prefill_tokens.saturating_sub(*prefill_tokens);
    }
    *prefill_tokens = 0;
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = lock(&self.servers.state);
        release_prefill(&mut state, &self.server.id, &mut self.prefill_tokens);
        if let Some(known) = state.states.get_mut(&*self.server.id) {
            known.requests = known.requests.saturating_sub(1);
            known.left_us = known.left_us.saturating_sub(self.progress.left_us);
            known.memory.release(&mut self.memory);
        }
    }
}
