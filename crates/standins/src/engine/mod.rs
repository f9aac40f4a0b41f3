//! Stand-in for a model engine: continuous batching with a prefix cache.
//!
//! One task runs the batch step by step on a fixed schedule, so that tests get
//! the timing of an engine without running a model.

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

use self::state::{State, StepResult};
use crate::serve::{self, ListenerControl, Server};
use crate::shared::Shared;

/// How many missed steps are caught up after the machine was busy.
const MAX_CATCH_UP_STEPS: u32 = 20;
/// Delay before a drained engine ends, so that the last chunks reach the caller.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Start-up settings of the stand-in.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The engine's host name, shown in its counts.
    pub name: String,
    /// The model it offers.
    pub model: String,
    /// Requests that run in the batch at once.
    pub slots: usize,
    /// Duration of one step of the batch.
    pub step_time: Duration,
    /// Prompt tokens processed per step.
    pub prefill: u64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Whether fencing numbers are checked.
    pub fenced: bool,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Delay until a cache event is published.
    pub cache_lag: Duration,
    /// Fraction of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Random seed for the lost events.
    pub seed: u64,
    /// Requests that may wait for the batch.
    pub max_waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            model: "model".to_owned(),
            slots: 16,
            step_time: Duration::from_millis(6),
            prefill: 2048,
            cache_blocks: 4096,
            fenced: false,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            event_loss: 0.0,
            seed: 1,
            max_waiting: 256,
        }
    }
}

/// What every request handler needs.
#[derive(Debug, Clone)]
struct Context {
    settings: Arc<Settings>,
    state: Shared<State>,
    listener: ListenerControl,
    /// Notified when there may be work, a changed switch or a drain to check.
    wake: Arc<Notify>,
    /// Notified when a drain has completed.
    drained: Arc<Notify>,
}

/// Handle of a running engine.
#[derive(Debug)]
pub struct Engine {
    /// Its HTTP server.
    pub server: Server,
    drained: Arc<Notify>,
}

impl Engine {
    /// Waits until a requested drain has completed.
    pub async fn drained(&self) {
        self.drained.notified().await;
    }
}

/// Binds the stand-in for an engine and starts its batch.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Engine> {
    let state = State::new(&settings, Instant::now());
    let drained = Arc::new(Notify::new());
    let context = |listener| Context {
        settings: Arc::new(settings),
        state: Shared::new(state),
        listener,
        wake: Arc::new(Notify::new()),
        drained: drained.clone(),
    };
    let handler = |listener| {
        let context = context(listener);
        tokio::spawn(run_engine(context.clone()));
        move |request| calls::handle(context.clone(), request)
    };
    let server = serve::bind(address, handler).await?;
    Ok(Engine { server, drained })
}

async fn run_engine(context: Context) {
    loop {
        context.wake.notified().await;
        run_batch(&context).await;
        if context.state.lock().is_drained() {
            tokio::time::sleep(FLUSH_TIME).await;
            context.drained.notify_one();
        }
    }
}

/// Runs steps on an absolute schedule until the engine is idle.
async fn run_batch(context: &Context) {
    let mut due = Instant::now();
    loop {
        let step_time = {
            let state = context.state.lock();
            if state.is_idle() {
                return;
            }
            state.current_step_time()
        };
        due += step_time;
        tokio::time::sleep_until(due.into()).await;
        let was_frozen = wait_while_frozen(context).await;
        let now = Instant::now();
        let behind = if was_frozen {
            Duration::ZERO
        } else {
            step_time * MAX_CATCH_UP_STEPS
        };
        due = due.max(now.checked_sub(behind).unwrap_or(due));
        if context.state.lock().step(now) == StepResult::Crashed {
            process::abort();
        }
    }
}

/// Waits until the engine is no longer frozen. Returns whether it was frozen.
async fn wait_while_frozen(context: &Context) -> bool {
    let mut was_frozen = false;
    loop {
        let frozen = context.state.lock().frozen_until(Instant::now());
        let Some(until) = frozen else {
            return was_frozen;
        };
        was_frozen = true;
        // A control call may end the freeze early.
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = context.wake.notified() => {}
        }
    }
}
