//! Stand-in for a plain service, which counts the calls that it ran.

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

/// Start-up settings of the stand-in.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub name: String,
    /// Service that it offers.
    pub service: String,
    /// Time that a call takes to run.
    pub delay: Duration,
    /// Number of calls that can run at once.
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

/// Binds the stand-in for a service.
///
/// # Errors
/// Returns an error if the address cannot be bound.
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
