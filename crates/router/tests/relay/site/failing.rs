//! Stand-ins for backend servers that fail part of their requests, and the record
//! of what callers sent and what reached the servers of a service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::backend::{EVENTS, event_body};
use super::caller::is_stream;
use super::{Body, full_body, not_run_response, serve, signed_response};

/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(15);
/// How long a server that hangs holds a request.
const HANG_TIME: Duration = Duration::from_secs(3);

/// The limit of repeats that all routers together have.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryLimit {
    /// Repeats for each request.
    pub(crate) ratio: f64,
    /// Repeats beyond these.
    pub(crate) slack: f64,
    /// Length of the windows in which both are counted.
    pub(crate) window: Duration,
}

/// Requests for a service.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: Mutex<Vec<Instant>>,
    /// Ids of requests that reached a server, and when.
    arrived: Mutex<Vec<(String, Instant)>>,
}

impl Traffic {
    /// Records that a caller sends a request.
    pub(crate) fn record_sent(&self) {
        self.sent.lock().expect("no panic").push(Instant::now());
    }

    fn record_arrival(&self, id: &str) {
        let mut arrived = self.arrived.lock().expect("no panic");
        arrived.push((id.to_owned(), Instant::now()));
    }

    /// Times of the arrivals beyond the first of each request.
    fn repeats(&self) -> Vec<Instant> {
        let mut seen: Vec<&str> = Vec::new();
        let arrived = self.arrived.lock().expect("no panic");
        let mut repeats = Vec::new();
        for (id, at) in arrived.iter() {
            match seen.binary_search(&&**id) {
                Ok(_) => repeats.push(*at),
                Err(place) => seen.insert(place, id),
            }
        }
        repeats
    }

    /// The window in which repeats exceed the limit by most: their number and how
    /// many were allowed. Requests are counted in the window, the one before it or
    /// the one half a window before it, whichever has most.
    pub(crate) fn worst_window(&self, limit: &RetryLimit) -> (usize, f64) {
        let repeats = self.repeats();
        let sent = self.sent.lock().expect("no panic");
        let count = |times: &[Instant], from: Instant| {
            let to = from + limit.window;
            times.iter().filter(|at| (from..to).contains(*at)).count()
        };
        let mut worst = (0, f64::INFINITY);
        let starts = repeats.iter().flat_map(|at| {
            let before = at.checked_sub(limit.window - Duration::from_millis(1));
            [Some(*at), before].into_iter().flatten()
        });
        for from in starts {
            let earlier = [Duration::ZERO, limit.window / 2, limit.window];
            let starts = earlier.iter().filter_map(|by| from.checked_sub(*by));
            let requests = starts.map(|from| count(&sent, from)).max().unwrap_or(0);
            let allowed = limit.ratio * requests as f64 + limit.slack;
            let found = count(&repeats, from);
            if found as f64 - allowed > worst.0 as f64 - worst.1 {
                worst = (found, allowed);
            }
        }
        worst
    }

    /// Numbers of requests sent, and of repeats.
    pub(crate) fn totals(&self) -> (usize, usize) {
        let sent = self.sent.lock().expect("no panic").len();
        (sent, self.repeats().len())
    }
}

/// How servers fail, in parts of a thousand requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Failures {
    /// Answered with an error.
    pub(crate) errors: u64,
    /// Refused as not run.
    pub(crate) refused: u64,
    /// Run, with the connection closed before the answer.
    pub(crate) cut: u64,
    /// Held for a long time.
    pub(crate) hung: u64,
}

/// The stand-in.
#[derive(Debug)]
pub(crate) struct FailingServer {
    traffic: Arc<Traffic>,
    failures: Mutex<Failures>,
    count: AtomicU64,
}

impl FailingServer {
    /// Starts a server, which does not fail yet.
    pub(crate) async fn open(traffic: &Arc<Traffic>) -> (Arc<Self>, SocketAddr) {
        let server = Arc::new(Self {
            traffic: traffic.clone(),
            failures: Mutex::default(),
            count: AtomicU64::new(0),
        });
        let handler = server.clone();
        let address = serve(move |request| handler.clone().answer(request)).await;
        (server, address)
    }

    /// Sets how it fails from now on.
    pub(crate) fn set_failures(&self, failures: Failures) {
        *self.failures.lock().expect("no panic") = failures;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        let id = head.headers.get("x-poplarreel-attempt-id")?.clone();
        self.traffic.record_arrival(id.to_str().ok()?);
        body.collect().await.ok()?;
        let failures = *self.failures.lock().expect("no panic");
        // Spreads the failures evenly over the requests.
        let draw = self.count.fetch_add(1, Ordering::AcqRel) * 619 % 1000;
        let Failures {
            errors,
            refused,
            cut,
            hung,
        } = failures;
        if draw < refused {
            return Some(not_run_response());
        }
        tokio::time::sleep(RUN_TIME).await;
        if draw < refused + cut {
            return None;
        }
        if draw < refused + cut + hung {
            tokio::time::sleep(HANG_TIME).await;
        }
        let is_error = draw < refused + cut + hung + errors;
        let body = if !is_error && is_stream(head.uri.path()) {
            event_body(0, EVENTS, false)
        } else {
            full_body("an answer")
        };
        let status = if is_error {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        Some(signed_response(id, status, body))
    }
}
