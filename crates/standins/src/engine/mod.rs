//! The model engine's stand-in: continuous batching with a prefix cache.

pub mod batch;
pub mod cache;
mod calls;
pub mod chunks;
pub mod control;
pub mod counts;
pub mod state;
mod streams;
pub mod text;

use std::io;
use std::net::SocketAddr;
use std::process;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use self::state::{Fate, State};
use crate::serve::{self, Gate, Server};
use crate::shared::Shared;

/// Steps that are made up for after the machine was busy.
const BEHIND: u32 = 20;
/// Time for the last chunks to leave before a drained engine ends.
const FLUSH: Duration = Duration::from_millis(50);

/// How the stand-in starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The engine's name.
    pub name: String,
    /// The model it offers.
    pub model: String,
    /// Requests in the batch.
    pub slots: usize,
    /// Time of a step of the whole batch.
    pub step: Duration,
    /// Prompt tokens worked through in a step.
    pub prefill: u64,
    /// Blocks in the prefix cache.
    pub blocks: usize,
    /// Whether fencing numbers are checked.
    pub fenced: bool,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Time until a cache event shows.
    pub cache_lag: Duration,
    /// Share of cache events that get lost, 0 to 1.
    pub gap: f64,
    /// Seed of the losses.
    pub seed: u64,
    /// Requests that may wait for the batch.
    pub waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            model: "model".to_owned(),
            slots: 16,
            step: Duration::from_millis(6),
            prefill: 2048,
            blocks: 4096,
            fenced: false,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            gap: 0.0,
            seed: 1,
            waiting: 256,
        }
    }
}

/// What every call needs.
#[derive(Debug, Clone)]
struct Desk {
    settings: Arc<Settings>,
    state: Shared<State>,
    gate: Gate,
    /// Told when there is work, or a drain to notice.
    work: Arc<Notify>,
    drained: Arc<Notify>,
}

/// Handle of a running engine.
#[derive(Debug)]
pub struct Engine {
    /// Its server.
    pub server: Server,
    drained: Arc<Notify>,
}

impl Engine {
    /// Waits until the engine was told to drain and has nothing left to do.
    pub async fn drained(&self) {
        self.drained.notified().await;
    }
}

/// Binds an engine's stand-in and starts its steps.
///
/// # Errors
/// Where the address can't be bound.
pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Engine> {
    let state = State::new(&settings, Instant::now());
    let drained = Arc::new(Notify::new());
    let desk = |gate| Desk {
        settings: Arc::new(settings),
        state: Shared::new(state),
        gate,
        work: Arc::new(Notify::new()),
        drained: drained.clone(),
    };
    let handler = |gate| {
        let desk = desk(gate);
        tokio::spawn(run(desk.clone()));
        move |request| calls::handle(desk.clone(), request)
    };
    let server = serve::bind(address, handler).await?;
    Ok(Engine { server, drained })
}

async fn run(desk: Desk) {
    loop {
        desk.work.notified().await;
        work(&desk).await;
        if desk.state.lock().is_drained() {
            tokio::time::sleep(FLUSH).await;
            desk.drained.notify_one();
        }
    }
}

/// Takes steps on an absolute schedule until there is nothing to do.
async fn work(desk: &Desk) {
    let mut due = Instant::now();
    loop {
        let pace = {
            let state = desk.state.lock();
            if state.is_idle() {
                return;
            }
            state.pace()
        };
        due += pace;
        tokio::time::sleep_until(due.into()).await;
        let thawed = thaw(desk).await;
        let now = Instant::now();
        let behind = if thawed {
            Duration::ZERO
        } else {
            pace * BEHIND
        };
        due = due.max(now.checked_sub(behind).unwrap_or(due));
        if desk.state.lock().step(now) == Fate::Dies {
            process::abort();
        }
    }
}

/// Waits while the engine is frozen; says whether it was.
async fn thaw(desk: &Desk) -> bool {
    let mut thawed = false;
    loop {
        let frozen = desk.state.lock().frozen(Instant::now());
        let Some(until) = frozen else {
            return thawed;
        };
        thawed = true;
        // A switch may end it earlier.
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = desk.work.notified() => {}
        }
    }
}
