//! Backend servers as this router sees them: their list, its own requests in
//! flight, their load and their health.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::affinity::{self, Candidate, Choice, Query};
use poplar_core::deployment::{Server, ServerList};
use poplar_core::health::{Change, HealthTracker};
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use poplar_platform::headers::ServerLoad;

use crate::relay::gossip::{LoadMessage, ServerWork};
use crate::sync::lock;

/// Shared prompts of which the holder is remembered; then all are forgotten.
const PROMPTS: usize = 4096;
/// Holders that wait to be told at the most.
const UNANNOUNCED_LIMIT: usize = 64;
/// How many times faster a part is fetched than read.
const FETCH: u64 = 3;
/// How long a peer's word on its work counts: several messages may be lost.
const HEARD: Duration = Duration::from_millis(600);

/// What is known of one server.
#[derive(Debug, Default)]
struct Known {
    own: u32,
    reading: u64,
    load: Option<ServerLoad>,
    born: u64,
}

#[derive(Debug, Default)]
struct Tables {
    list: ServerList,
    boards: SortedVec<Name, HealthTracker>,
    known: SortedVec<Name, Known>,
    peers: SortedVec<IpAddr, (Instant, Vec<ServerWork>)>,
    /// The server at which each shared prompt was last read.
    holders: SortedVec<u64, Name>,
    /// Those of them that the other routers were not told yet.
    unannounced: Vec<(u64, Name)>,
}

impl Tables {
    fn held(&mut self, shared: u64, server: Name) {
        if self.holders.len() >= PROMPTS && !self.holders.contains(&shared) {
            self.holders = SortedVec::new();
        }
        self.holders.insert(shared, server);
    }

    /// Requests and prompt tokens that the other routers have at a server.
    fn others(&self, id: &str, now: Instant) -> (u32, u64) {
        let fresh = |(_, (at, _)): &(&IpAddr, &(Instant, Vec<ServerWork>))| now < *at + HEARD;
        let peers = self.peers.iter().filter(fresh);
        let work = peers.flat_map(|(_, (_, work))| work);
        let here = work.filter(|w| *w.server == *id);
        here.fold((0, 0), |sum, w| {
            (sum.0 + w.requests, sum.1 + w.prefill_tokens)
        })
    }
}

/// The backend servers.
#[derive(Debug)]
pub struct Servers {
    tables: Mutex<Tables>,
    centre: Name,
}

/// A request at a server; ends when it is dropped.
#[derive(Debug)]
pub struct InFlight {
    servers: Arc<Servers>,
    /// The server.
    pub server: Server,
    /// Whether it is the home of the shared prompt.
    pub home: bool,
    /// Another server that holds the shared prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Work ahead of the request there, in prompt tokens.
    pub work_ahead: f64,
    shared: Option<u64>,
    reading: u64,
}

impl Servers {
    /// A fleet without servers, seen from a data centre.
    pub fn new(centre: Name) -> Arc<Self> {
        Arc::new(Self {
            tables: Mutex::default(),
            centre,
        })
    }

    /// Whether the list was read since the start.
    pub fn is_loaded(&self) -> bool {
        lock(&self.tables).list.is_known()
    }

    /// Takes a newly read list over.
    pub fn update(&self, servers: Vec<Server>, version: u64, now: Instant) {
        let mut tables = lock(&self.tables);
        let Tables {
            list,
            boards,
            known,
            ..
        } = &mut *tables;
        let before: Vec<Server> = list.all().cloned().collect();
        if !list.update(servers, version, now) {
            return;
        }
        let mut services: SortedVec<Name, Vec<Name>> = SortedVec::new();
        for server in list.all() {
            let names = services.get_or_insert_with(server.service.clone(), Vec::new);
            names.push(server.id.clone());
            let seen = known.get_or_insert_with(server.id.clone(), Known::default);
            if seen.born != server.started_ms {
                // It started again: its load before says nothing.
                seen.born = server.started_ms;
                seen.load = None;
            }
            if !before.contains(server) {
                log::info("server listed")
                    .with("server", &server.id)
                    .with("address", server.address)
                    .with("ready", server.ready)
                    .with("version", version)
                    .write();
            }
        }
        for server in before {
            if !list.all().any(|s| s.id == server.id) {
                log::info("server gone").with("server", &server.id).write();
            }
        }
        known.retain(|id, seen| seen.own > 0 || list.all().any(|s| s.id == *id));
        for (service, names) in services.iter() {
            let board = boards.get_or_insert_with(service.clone(), HealthTracker::new);
            board.set_servers(names.iter().cloned());
        }
    }

    /// Chooses a server of `service` and enters a request there that has to
    /// read `reading` prompt tokens; `None` where there is no server.
    pub fn choose(
        self: &Arc<Self>,
        service: &Name,
        query: &Query<'_>,
        reading: u64,
        now: Instant,
    ) -> Option<InFlight> {
        let mut tables = lock(&self.tables);
        let board = tables.boards.get(&**service)?;
        let candidate = |server: &Server| {
            let known = tables.known.get(&*server.id);
            let load = known.and_then(|k| k.load);
            let (requests, reading) = tables.others(&server.id, now);
            Candidate {
                id: server.id.clone(),
                same_centre: server.centre == self.centre,
                in_flight: requests + known.map_or(0, |k| k.own),
                prefill_tokens: reading + known.map_or(0, |k| k.reading),
                running: load.map_or(0, |l| l.running),
                waiting: load.map_or(0, |l| l.waiting),
                health: board.state(&server.id, now),
            }
        };
        let candidates: Vec<Candidate> =
            tables.list.ready_servers(service).map(candidate).collect();
        let Choice {
            id,
            is_home: home,
            home_server: holder,
            work,
        } = affinity::choose(&candidates, query)?;
        let server = tables
            .list
            .ready_servers(service)
            .find(|s| s.id == id)?
            .clone();
        let known = tables.holders.get(&query.prompt_id).cloned();
        let holder = match known {
            _ if query.shared_tokens < affinity::MIN_SHARED_TOKENS => None,
            Some(holder) if holder == id => None,
            Some(holder) => Some(holder),
            None => holder,
        };
        let holder = holder.and_then(|id| tables.list.ready_servers(service).find(|s| s.id == id));
        let fetch_from = holder.map(|server| server.address);
        // A part that is fetched counts for the time that the fetch takes.
        let spared = match fetch_from {
            Some(_) => query.shared_tokens - query.shared_tokens / FETCH,
            None if home => query.shared_tokens,
            None => 0,
        };
        let reading = reading.saturating_sub(spared);
        let known = tables.known.get_or_insert_with(id, Known::default);
        known.own += 1;
        known.reading += reading;
        Some(InFlight {
            servers: self.clone(),
            server,
            home,
            fetch_from,
            work_ahead: work,
            shared: (query.shared_tokens >= affinity::MIN_SHARED_TOKENS).then_some(query.prompt_id),
            reading,
        })
    }

    /// The own work at each server that has some.
    pub fn own_work(&self) -> Vec<ServerWork> {
        let tables = lock(&self.tables);
        let busy = tables.known.iter().filter(|(_, known)| known.own > 0);
        let work = busy.map(|(id, known)| ServerWork {
            server: id.clone(),
            requests: known.own,
            prefill_tokens: known.reading,
        });
        work.collect()
    }

    /// Holders of shared prompts that the other routers were not told yet.
    pub fn take_unannounced(&self) -> Vec<(u64, Name)> {
        std::mem::take(&mut lock(&self.tables).unannounced)
    }

    /// Takes over what another router has at the servers, and where prompts
    /// were read.
    pub fn record_peer_message(&self, from: IpAddr, message: LoadMessage, now: Instant) {
        let mut tables = lock(&self.tables);
        tables.peers.insert(from, (now, message.work));
        for (shared, server) in message.holders {
            tables.held(shared, server);
        }
    }

    /// Whether a server takes new requests still.
    pub fn is_ready(&self, server: &Server) -> bool {
        let tables = lock(&self.tables);
        tables
            .list
            .ready_servers(&server.service)
            .any(|s| s.id == server.id)
    }

    /// Requests that run or wait at servers, as the metrics page shows them.
    pub fn in_flight_count(&self) -> u32 {
        let tables = lock(&self.tables);
        tables.known.iter().map(|(_, known)| known.own).sum()
    }
}

impl InFlight {
    /// Notes that the prompt was read: the first token came.
    pub fn record_first_token(&mut self) {
        let mut tables = lock(&self.servers.tables);
        if let Some(shared) = self.shared.take() {
            tables.held(shared, self.server.id.clone());
            if tables.unannounced.len() < UNANNOUNCED_LIMIT {
                tables.unannounced.push((shared, self.server.id.clone()));
            }
        }
        release(&mut tables, &self.server.id, &mut self.reading);
    }

    /// Takes over what the server says of its load.
    pub fn record_load(&self, load: ServerLoad) {
        let mut tables = lock(&self.servers.tables);
        if let Some(known) = tables.known.get_mut(&*self.server.id) {
            known.load = Some(load);
        }
    }

    /// Notes whether the server did its work.
    pub fn record_outcome(&self, good: bool, now: Instant) {
        let mut tables = lock(&self.servers.tables);
        let board = tables.boards.get_mut(&*self.server.service);
        let change = board.and_then(|b| b.record_outcome(&self.server.id, good, now));
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

/// Takes a request's prompt off what a server has to read.
fn release(tables: &mut Tables, id: &str, reading: &mut u64) {
    if let Some(known) = tables.known.get_mut(id) {
        known.reading = known.reading.saturating_sub(*reading);
    }
    *reading = 0;
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut tables = lock(&self.servers.tables);
        release(&mut tables, &self.server.id, &mut self.reading);
        if let Some(known) = tables.known.get_mut(&*self.server.id) {
            known.own = known.own.saturating_sub(1);
        }
    }
}
