//! Watches the host list and the load of backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplar_base::log;
use poplar_core::route::server::Report;
use serde::Deserialize;

use super::dispatch::Seen;
use crate::state::State;

/// How long a load report may take.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// How often waiting requests are looked at where nothing else happens.
const TICK: Duration = Duration::from_millis(20);

#[derive(Debug, Deserialize)]
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

/// Reads the host list again and again.
pub async fn watch_hosts(state: Arc<State>) {
    let mut failed = false;
    loop {
        match (state.platform.hosts)().await {
            Ok(hosts) => {
                state.dispatch.listed(&hosts, Instant::now());
                failed = false;
            }
            Err(why) if !failed => {
                log::warn("host list").reason(why).write();
                failed = true;
            }
            Err(_) => {}
        }
        tokio::time::sleep(state.settings.backends.hosts).await;
    }
}

/// Reads every backend server's load again and again.
pub async fn watch_load(state: Arc<State>) {
    loop {
        let started = Instant::now();
        let servers = state.dispatch.seen();
        join_all(servers.iter().map(|server| read_load(&state, server))).await;
        let rest = state
            .settings
            .backends
            .load
            .saturating_sub(started.elapsed());
        tokio::time::sleep(rest).await;
    }
}

async fn read_load(state: &State, server: &Seen) {
    let url = format!("http://{}/v1/load", server.address);
    let answer = state.client.get(&url, LOAD_TIMEOUT).await;
    let Ok(load) = answer.and_then(|a| a.json::<LoadWire>()) else {
        return;
    };
    let now = Instant::now();
    let age = Duration::from_millis(load.age_ms);
    let report = Report {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        step: Duration::from_micros(load.step_us),
        taken: now.checked_sub(age).unwrap_or(now),
    };
    let key = (server.engine, server.serves.clone());
    let dispatch = &state.dispatch;
    dispatch.reported(&key, &server.name, report, load.leaving, now);
}

/// Looks at waiting requests now and then.
pub async fn tick(state: Arc<State>) {
    loop {
        tokio::time::sleep(TICK).await;
        state.dispatch.tick(Instant::now());
    }
}
