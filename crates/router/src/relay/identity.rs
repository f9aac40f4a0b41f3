//! Finds out which process of a server answers.
//!
//! A server that ends may start again at once, at its address and under its id. The
//! list of servers shows that only when it registers again, and the system ends the
//! connections of a process that was killed like those of one that has nothing more to
//! send. Engines state the start time of their process when they are asked.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_platform::report;
use tokio::time::{sleep, timeout};

use crate::relay::servers::Listing;
use crate::relay::state::Relay;
use crate::relay::upstream;

/// Time-out of the question. Engines answer it without a free place.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest report in bytes; it grows with the requests that an engine runs.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// Waits before each connection to a plain server. A process that ends may keep its
/// listening socket open for a moment.
const PROBE_WAITS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(20)];

/// Which process answers at a server's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// The one that is listed.
    Listed,
    /// One that started at this time, in Unix milliseconds.
    Other(u64),
    /// It does not tell.
    Unstated,
    /// None in time.
    Silent,
}

/// Asks the server behind an open connection which process it is. `sender` can be
/// used for a request after that unless the server closes the connection.
pub async fn ask(sender: &mut SendRequest<Full<Bytes>>, server: &Server) -> Identity {
    let answered = timeout(ASK_TIMEOUT, read_started_ms(sender, server)).await;
    match answered.ok().flatten() {
        None => Identity::Silent,
        Some(None) => Identity::Unstated,
        Some(Some(started_ms)) if started_ms == server.started_ms => Identity::Listed,
        Some(Some(started_ms)) => Identity::Other(started_ms),
    }
}

/// The start time that a server states, if it answers.
async fn read_started_ms(
    sender: &mut SendRequest<Full<Bytes>>,
    server: &Server,
) -> Option<Option<u64>> {
    let request = Request::get(report::PATH)
        .header(header::HOST, server.address.to_string())
        .body(Full::default())
        .ok()?;
    let response = upstream::send(sender, request, ASK_TIMEOUT).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?;
    if head.status != StatusCode::OK {
        return Some(None);
    }
    Some(report::started_ms(&body.to_bytes()).ok().flatten())
}

/// Asks on a connection of its own which process of a server answers.
pub async fn current(relay: &Relay, server: &Server, request: &Name) -> Identity {
    match relay.paths.connect(server, request).await {
        Ok((_connection, mut sender)) => ask(&mut sender, server).await,
        Err(_) => Identity::Silent,
    }
}

/// Whether a plain server, which states no start time, still accepts connections.
pub async fn accepts(relay: &Relay, server: &Server) -> bool {
    for wait in PROBE_WAITS {
        sleep(wait).await;
        if relay.paths.probe(server).await.is_err() {
            return false;
        }
    }
    let listing = relay.servers.listing(server);
    !matches!(listing, Listing::Restarted | Listing::Replaced)
}
