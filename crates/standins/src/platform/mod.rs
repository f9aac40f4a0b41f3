//! Stand-in for the platform: table, object store and host list.

mod answers;
mod calls;
pub mod control;
pub mod counts;
pub mod hosts;
pub mod invariants;
pub mod limits;
pub mod state;
pub mod table;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::serve::{self, Server};
use crate::shared::Shared;

/// Start-up settings of the stand-in.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Limit on writes per second; transactions and objects count.
    pub write_rate: u32,
    /// Number of rows of a transaction that count as one write.
    pub write_rows: u32,
    /// Limit on reads per second; rows and objects count.
    pub read_rate: u32,
    /// Whether these limits are enforced.
    pub limits: bool,
    /// Delay until a change of the host list becomes visible.
    pub host_lag: Duration,
    /// Random seed for jitter and lost answers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            write_rate: 400,
            write_rows: 16,
            read_rate: 2000,
            limits: true,
            host_lag: Duration::ZERO,
            seed: 1,
        }
    }
}

/// Binds the stand-in for the platform.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn bind(address: SocketAddr, settings: &Settings) -> io::Result<Server> {
    let state = state::State::new(settings, Instant::now());
    let handler = |listener| {
        let state = Shared::new(state);
        let context = calls::Context { state, listener };
        move |request| calls::handle(context.clone(), request)
    };
    serve::bind(address, handler).await
}
