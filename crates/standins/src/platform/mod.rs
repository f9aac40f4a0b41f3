//! The platform's stand-in: table, object store and host list.

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

/// How the stand-in starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Writes a second: transactions and objects.
    pub write_rate: u32,
    /// Rows of a transaction that count as one write.
    pub write_rows: u32,
    /// Rows and objects read a second.
    pub read_rate: u32,
    /// Whether these limits hold.
    pub limits: bool,
    /// Time until a change of the host list shows.
    pub host_lag: Duration,
    /// Seed of jitter and lost answers.
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

/// Binds the platform's stand-in.
///
/// # Errors
/// Where the address can't be bound.
pub async fn bind(address: SocketAddr, settings: &Settings) -> io::Result<Server> {
    let state = state::State::new(settings, Instant::now());
    let handler = |listener| {
        let state = Shared::new(state);
        let context = calls::Context { state, listener };
        move |request| calls::handle(context.clone(), request)
    };
    serve::bind(address, handler).await
}
