//! The plain service's stand-in: it counts what it ran.

mod calls;
pub mod control;
pub mod counts;
pub mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

use self::state::State;
use crate::serve::{self, Server};
use crate::shared::Shared;

/// How the stand-in starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host's name.
    pub name: String,
    /// The service it offers.
    pub service: String,
    /// Time that a call runs.
    pub delay: Duration,
    /// Calls that run at once.
    pub slots: usize,
    /// Whether fencing numbers are checked.
    pub fenced: bool,
    /// Age of load reports.
    pub load_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            service: "service".to_owned(),
            delay: Duration::from_millis(5),
            slots: 32,
            fenced: false,
            load_lag: Duration::ZERO,
        }
    }
}

/// Binds a service's stand-in.
///
/// # Errors
/// Where the address can't be bound.
pub async fn bind(address: SocketAddr, settings: &Settings) -> io::Result<Server> {
    let state = State::new(settings, Instant::now());
    let handler = |listener| {
        let context = calls::Context {
            state: Shared::new(state),
            slots: Arc::new(Semaphore::new(settings.slots)),
            name: settings.name.as_str().into(),
            service: settings.service.as_str().into(),
            listener,
        };
        move |request| calls::handle(context.clone(), request)
    };
    serve::bind(address, handler).await
}
