//! The platform's stand-in: table, object store and host list.

mod answers;
mod calls;
pub mod control;
pub mod counts;
pub mod hosts;
pub mod limits;
pub mod state;
pub mod table;
pub mod watch;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::serve::{self, Server};
use crate::shared::Shared;

/// How the stand-in starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Writes a second: transactions and objects.
    pub writes: u32,
    /// Rows of a transaction that count as one write.
    pub rows: u32,
    /// Rows and objects read a second.
    pub reads: u32,
    /// Whether these limits hold.
    pub limits: bool,
    /// Time until a change of the host list shows.
    pub lag: Duration,
    /// Seed of jitter and lost answers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            writes: 400,
            rows: 16,
            reads: 2000,
            limits: true,
            lag: Duration::ZERO,
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
    let handler = |gate| {
        let state = Shared::new(state);
        let desk = calls::Desk { state, gate };
        move |request| calls::handle(desk.clone(), request)
    };
    serve::bind(address, handler).await
}
