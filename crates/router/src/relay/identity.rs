//! Finds out which process of a server answers.
//!
//! A server that ends may start again at once, at its address and under its id. The
//! list of servers shows that only when it registers again, and the system ends the
//! connections of a process that was killed like those of one that has nothing more to
//! send. Engines state the start time of their process when they are asked.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_platform::{headers, report};
use tokio::time::{sleep, timeout};

use crate::relay::servers::Listing;
use crate::relay::state::Relay;
use crate::relay::upstream::{self, ConnectError};

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
    /// One of another server.
    Misdirected,
    /// It states no start time.
    Unstated,
    /// None: connections are refused.
    Ended,
    /// Unknown: no answer came in time, or the server could not tell.
    Unknown,
}

/// Asks the server behind an open connection which process it is.
async fn ask(relay: &Relay, sender: &mut SendRequest<Full<Bytes>>, server: &Server) -> Identity {
    let read = timeout(ASK_TIMEOUT, read_report(sender, server)).await;
    let Some((status, cold, body)) = read.ok().flatten() else {
        return Identity::Unknown;
    };
    match status {
        StatusCode::OK => {}
        StatusCode::MISDIRECTED_REQUEST => return Identity::Misdirected,
        // A process that is just starting may not be able to tell yet.
        _ if status.is_server_error() => return Identity::Unknown,
        _ => return Identity::Unstated,
    }
    match report::started_ms(&body) {
        Ok(Some(started_ms)) if started_ms == server.started_ms => {
            if let Some(left) = cold {
                relay.servers.record_cold(server, left, Instant::now());
            }
            Identity::Listed
        }
        Ok(Some(started_ms)) => Identity::Other(started_ms),
        Ok(None) | Err(_) => Identity::Unstated,
    }
}

/// The status and the body of a server's report, if it answers, and how long it stays cold.
async fn read_report(
    sender: &mut SendRequest<Full<Bytes>>,
    server: &Server,
) -> Option<(StatusCode, Option<Duration>, Bytes)> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static(report::PATH);
    let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
    let (name, id) = headers::expected_server_header(&server.id);
    request.headers_mut().insert(header::HOST, host);
    request.headers_mut().insert(name, id);
    let response = upstream::send(sender, request, ASK_TIMEOUT).await.ok()?;
    let (head, body) = response.into_parts();
    let cold = headers::cold_time(&head.headers);
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?;
    Some((head.status, cold, body.to_bytes()))
}

/// Asks on a connection of its own which process of a server answers.
pub async fn current(relay: &Relay, server: &Server, request: &Name) -> Identity {
    // The question holds nothing of the request, which may be confined to regions.
    match relay.paths.connect(server, request, None).await {
        Ok((_connection, mut sender)) => ask(relay, &mut sender, server).await,
        Err(ConnectError::Refused) => Identity::Ended,
        Err(ConnectError::NoAnswer) => Identity::Unknown,
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
    !is_replaced(relay, server)
}

/// Whether the list shows another process in the place of this one.
pub fn is_replaced(relay: &Relay, server: &Server) -> bool {
    let listing = relay.servers.listing(server);
    matches!(listing, Listing::Restarted | Listing::Replaced)
}
