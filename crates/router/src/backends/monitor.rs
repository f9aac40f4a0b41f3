//! Watches the host list and the load of backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplar_base::http::Error as HttpError;
use poplar_base::log;
use poplar_core::prefix::{CacheEvent, CacheOp};
use poplar_core::route::server::LoadReport;
use serde::Deserialize;

use super::dispatch::ServerStatus;
use crate::state::State;

/// How long a load report may take.
const LOAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Rounds of load reports to one of cache events, which matter less: a router
/// knows itself what it sent where.
const CACHE_EVERY: u64 = 4;
/// How often waiting requests are looked at where nothing else happens.
const TICK: Duration = Duration::from_millis(20);

#[derive(Debug)]
#[derive(Deserialize)]
struct LoadWire {
    running: u32,
    waiting: u32,
    slots: u32,
    step_us: u64,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CacheWire {
    events: Vec<EventWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct EventWire {
    seq: u64,
    op: String,
    prefix: String,
}

impl EventWire {
    fn read(self) -> Option<CacheEvent> {
        let op = match self.op.as_str() {
            "add" => CacheOp::Add,
            "drop" => CacheOp::Drop,
            _ => return None,
        };
        Some(CacheEvent {
            seq: self.seq,
            op,
            prefix: u64::from_str_radix(&self.prefix, 16).ok()?,
        })
    }
}

/// Reads the host list again and again.
pub async fn watch_hosts(state: Arc<State>) {
    let mut failed = false;
    loop {
        match (state.platform.hosts)().await {
            Ok(hosts) => {
                state.dispatcher.update_hosts(&hosts, Instant::now());
                failed = false;
            }
            Err(why) if !failed => {
                log::warn("host list").reason(why).write();
                failed = true;
            }
            Err(_) => {}
        }
        tokio::time::sleep(state.settings.backends.hosts_interval).await;
    }
}

/// Reads every backend server's load and cache events again and again.
pub async fn watch_load(state: Arc<State>) {
    let mut round = 0;
    loop {
        let started = Instant::now();
        let servers = state.dispatcher.server_statuses();
        let cache = round % CACHE_EVERY == 0;
        join_all(servers.iter().map(|server| poll(&state, server, cache))).await;
        round += 1;
        state.dispatcher.eject_slow_servers(Instant::now());
        state.crashes.expire(Instant::now());
        let every = state.settings.backends.load_interval;
        tokio::time::sleep(every.saturating_sub(started.elapsed())).await;
    }
}

async fn poll(state: &State, server: &ServerStatus, cache: bool) {
    poll_load(state, server).await;
    if server.engine && cache {
        poll_cache(state, server).await;
    }
}

/// What a look at a server showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It told its load.
    Alive,
    /// It did not answer; nobody knows why.
    Unresponsive,
    /// It refuses connections, so that its process is gone.
    Dead,
}

/// Reads one server's load.
pub async fn poll_load(state: &State, server: &ServerStatus) -> Liveness {
    let url = format!("http://{}/v1/load", server.address);
    let answer = state.client.get(&url, LOAD_TIMEOUT).await;
    let now = Instant::now();
    // A cut network is no death: only a refusal shows that nobody listens.
    if matches!(answer, Err(HttpError::Connect { refused: true, .. })) {
        let key = (server.engine, server.serves.clone());
        state.dispatcher.mark_dead(&key, &server.name);
        if state.crashes.record_dead_server(&server.name, now) {
            state.gossip_wake.notify_waiters();
        }
        return Liveness::Dead;
    }
    let Ok(load) = answer.and_then(|a| a.json::<LoadWire>()) else {
        return Liveness::Unresponsive;
    };
    let age = Duration::from_millis(load.age_ms);
    let report = LoadReport {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        step: Duration::from_micros(load.step_us),
        taken: now.checked_sub(age).unwrap_or(now),
    };
    let key = (server.engine, server.serves.clone());
    let dispatch = &state.dispatcher;
    dispatch.record_load(&key, &server.name, report, load.leaving, now);
    Liveness::Alive
}

async fn poll_cache(state: &State, server: &ServerStatus) {
    let url = format!("http://{}/v1/cache?after={}", server.address, server.cursor);
    let answer = state.client.get(&url, LOAD_TIMEOUT).await;
    // Without events routing goes by what it sent itself.
    let Ok(cache) = answer.and_then(|a| a.json::<CacheWire>()) else {
        return;
    };
    let key = (server.engine, server.serves.clone());
    let events = cache.events.into_iter().filter_map(EventWire::read);
    state
        .dispatcher
        .apply_cache_events(&key, &server.name, events);
}

/// Looks at waiting requests now and then.
pub async fn pump_queues(state: Arc<State>) {
    loop {
        tokio::time::sleep(TICK).await;
        state.dispatcher.tick(Instant::now());
    }
}
