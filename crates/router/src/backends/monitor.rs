//! Polls the host list, and the load and cache events of backend servers.

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

/// Time-out of reading a server's load report or cache events.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// Load reports read for each read of cache events.
///
/// Cache events matter less, since a router knows which prompts it sent where.
const ROUNDS_PER_CACHE_POLL: u64 = 4;
/// Interval at which queued requests are assigned if no other event triggers it.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

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
    fn decode(self) -> Option<CacheEvent> {
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

/// Polls the host list and applies it to the dispatcher.
pub async fn watch_hosts(state: Arc<State>) {
    let mut failed = false;
    loop {
        match (state.platform.hosts)().await {
            Ok(hosts) => {
                state.dispatcher.update_hosts(&hosts, Instant::now());
                failed = false;
            }
            Err(why) if !failed => {
                log::warn("host list unavailable").reason(why).write();
                failed = true;
            }
            Err(_) => {}
        }
        tokio::time::sleep(state.settings.backends.hosts_interval).await;
    }
}

/// Polls the load of every backend server, and less often its cache events.
pub async fn watch_load(state: Arc<State>) {
    let mut round = 0;
    loop {
        let started = Instant::now();
        let servers = state.dispatcher.server_statuses();
        let include_cache = round % ROUNDS_PER_CACHE_POLL == 0;
        join_all(
            servers
                .iter()
                .map(|server| poll(&state, server, include_cache)),
        )
        .await;
        round += 1;
        state.dispatcher.eject_slow_servers(Instant::now());
        state.crashes.expire(Instant::now());
        let every = state.settings.backends.load_interval;
        tokio::time::sleep(every.saturating_sub(started.elapsed())).await;
    }
}

async fn poll(state: &State, server: &ServerStatus, include_cache: bool) {
    poll_load(state, server).await;
    if server.engine && include_cache {
        poll_cache(state, server).await;
    }
}

/// Result of polling a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It reported its load.
    Alive,
    /// It did not answer, for an unknown reason.
    Unresponsive,
    /// It refuses connections, so its process has ended.
    Dead,
}

/// Polls the load of one server and records the result.
pub async fn poll_load(state: &State, server: &ServerStatus) -> Liveness {
    let url = format!("http://{}/v1/load", server.address);
    let answer = state.client.get(&url, POLL_TIMEOUT).await;
    let now = Instant::now();
    // An unreachable server may be alive: only a refused connection shows that no
    // process listens.
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
    let dispatcher = &state.dispatcher;
    dispatcher.record_load(&key, &server.name, report, load.leaving, now);
    Liveness::Alive
}

async fn poll_cache(state: &State, server: &ServerStatus) {
    let url = format!("http://{}/v1/cache?after={}", server.address, server.cursor);
    let answer = state.client.get(&url, POLL_TIMEOUT).await;
    // Without cache events, routing relies on what this router sent.
    let Ok(cache) = answer.and_then(|a| a.json::<CacheWire>()) else {
        return;
    };
    let key = (server.engine, server.serves.clone());
    let events = cache.events.into_iter().filter_map(EventWire::decode);
    state.dispatcher.sync_cache(&key, &server.name, events);
}

/// Assigns the queued requests of all pools at a fixed interval.
pub async fn assign_queued(state: Arc<State>) {
    loop {
        tokio::time::sleep(QUEUE_INTERVAL).await;
        state.dispatcher.assign_queued(Instant::now());
    }
}
