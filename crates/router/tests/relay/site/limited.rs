//! A stand-in for a backend server that names a limit of requests a second in
//! its answers, and counts what reaches it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::store::Store;
use super::{Body, full_body, serve, signed_response};

/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(15);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests above the limit that are allowed in a window: a share of it, and a
/// number.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// The stand-in.
#[derive(Debug)]
pub(crate) struct LimitedServer {
    limit: Mutex<Option<f64>>,
    status: StatusCode,
    /// When requests came, and their ids.
    arrivals: Mutex<Vec<(Instant, String)>>,
}

impl LimitedServer {
    /// Starts a server of the service `plain` that answers with this status, and
    /// registers it.
    pub(crate) async fn open(id: &str, status: StatusCode, store: &Arc<Store>) -> Arc<Self> {
        let server = Arc::new(Self {
            limit: Mutex::default(),
            status,
            arrivals: Mutex::default(),
        });
        let handler = server.clone();
        let address: SocketAddr = serve(move |request| handler.clone().answer(request)).await;
        store.register(id, "plain", address);
        server
    }

    /// Sets the limit that it names in its answers.
    pub(crate) fn set_limit(&self, limit: Option<f64>) {
        *self.limit.lock().expect("no panic") = limit;
    }

    /// Number of requests since `from`.
    pub(crate) fn arrivals_since(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.iter().filter(|(at, _)| *at >= from).count()
    }

    /// The ids of the requests that it got, all of which it ran.
    pub(crate) fn executed_ids(&self) -> Vec<String> {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.iter().map(|(_, id)| id.clone()).collect()
    }

    /// The most requests in a window that begins at `from` or later, and the most
    /// that are allowed.
    pub(crate) fn busiest_window(&self, from: Instant, limit: f64) -> (usize, usize) {
        let arrivals = self.arrivals.lock().expect("no panic");
        let times = arrivals.iter().map(|(at, _)| *at);
        let counted: Vec<Instant> = times.filter(|at| *at >= from).collect();
        let in_window = |start: usize| {
            let end = counted[start] + WINDOW;
            counted[start..].iter().take_while(|at| **at < end).count()
        };
        let most = (0..counted.len()).map(in_window).max().unwrap_or(0);
        let allowed = EXCESS_FACTOR * limit * WINDOW.as_secs_f64() + EXCESS_REQUESTS;
        (most, allowed as usize)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        let id = head.headers.get("x-poplarreel-attempt-id")?.clone();
        let arrival = (Instant::now(), id.to_str().ok()?.to_owned());
        self.arrivals.lock().expect("no panic").push(arrival);
        body.collect().await.ok()?;
        tokio::time::sleep(RUN_TIME).await;
        let mut response = signed_response(id, self.status, full_body("an answer"));
        let headers = response.headers_mut();
        if let Some(limit) = *self.limit.lock().expect("no panic") {
            headers.insert("server-limit", limit.to_string().parse().ok()?);
        }
        Some(response)
    }
}
