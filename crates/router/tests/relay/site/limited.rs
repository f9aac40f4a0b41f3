//! A stand-in for a backend server that says in its answers how many requests it
//! wants, and counts what reaches it: it names a limit of requests a second, says
//! that it leaves, or turns requests away for some time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::store::Store;
use super::{Body, full_body, not_run_response, serve, signed_response};

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
    leaving: Mutex<bool>,
    /// Milliseconds for which it stays cold, as its answers say.
    cold: Mutex<Option<u64>>,
    /// The header with which requests are turned away, if they are.
    pause: Mutex<Option<String>>,
    status: StatusCode,
    address: Mutex<Option<SocketAddr>>,
    /// When requests came, their ids, and whether they ran.
    arrivals: Mutex<Vec<(Instant, String, bool)>>,
}

impl LimitedServer {
    /// Starts a server of the service `plain` that answers with this status, and
    /// registers it.
    pub(crate) async fn open(id: &str, status: StatusCode, store: &Arc<Store>) -> Arc<Self> {
        let server = Arc::new(Self {
            limit: Mutex::default(),
            leaving: Mutex::default(),
            cold: Mutex::default(),
            pause: Mutex::default(),
            address: Mutex::default(),
            status,
            arrivals: Mutex::default(),
        });
        let handler = server.clone();
        let address: SocketAddr = serve(move |request| handler.clone().answer(request)).await;
        *server.address.lock().expect("no panic") = Some(address);
        server.register(id, 1, store);
        server
    }

    /// Registers it, as ready, with a process that started at `started_ms`.
    pub(crate) fn register(&self, id: &str, started_ms: u64, store: &Store) {
        let address = *self.address.lock().expect("no panic");
        store.register_started(id, "plain", address.expect("it serves"), started_ms);
    }

    /// Registers it, as ready, with a process that stays cold for this time.
    pub(crate) fn register_cold(&self, id: &str, started_ms: u64, cold_ms: u64, store: &Store) {
        let address = *self.address.lock().expect("no panic");
        store.register_cold(
            id,
            "plain",
            address.expect("it serves"),
            started_ms,
            cold_ms,
        );
    }

    /// Has it say in all its answers how long it stays cold.
    pub(crate) fn set_cold(&self, cold_ms: Option<u64>) {
        *self.cold.lock().expect("no panic") = cold_ms;
    }

    /// Has it say in all its answers that it leaves.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        *self.leaving.lock().expect("no panic") = leaving;
    }

    /// Has it turn requests away, with this value of the header `Retry-After`.
    pub(crate) fn set_pause(&self, pause: Option<&str>) {
        *self.pause.lock().expect("no panic") = pause.map(str::to_owned);
    }

    /// When requests came from a router, whose number their ids begin with.
    pub(crate) fn arrivals_by(&self, router: usize) -> Vec<Instant> {
        let prefix = format!("{router}-");
        let arrivals = self.arrivals.lock().expect("no panic");
        let own = arrivals.iter().filter(|(_, id, _)| id.starts_with(&prefix));
        own.map(|(at, ..)| *at).collect()
    }

    /// Sets the limit that it names in its answers.
    pub(crate) fn set_limit(&self, limit: Option<f64>) {
        *self.limit.lock().expect("no panic") = limit;
    }

    /// When requests came, in order, and their ids.
    pub(crate) fn arrivals(&self) -> Vec<(Instant, String)> {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals
            .iter()
            .map(|(at, id, _)| (*at, id.clone()))
            .collect()
    }

    /// Number of requests since `from`.
    pub(crate) fn arrivals_since(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.iter().filter(|(at, ..)| *at >= from).count()
    }

    /// The ids of the requests that it ran.
    pub(crate) fn executed_ids(&self) -> Vec<String> {
        let arrivals = self.arrivals.lock().expect("no panic");
        let executed = arrivals.iter().filter(|(_, _, ran)| *ran);
        executed.map(|(_, id, _)| id.clone()).collect()
    }

    /// The most requests in a window that begins at `from` or later, and the most
    /// that are allowed.
    pub(crate) fn busiest_window(&self, from: Instant, limit: f64) -> (usize, usize) {
        let arrivals = self.arrivals.lock().expect("no panic");
        let times = arrivals.iter().map(|(at, ..)| *at);
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
        let pause = self.pause.lock().expect("no panic").clone();
        let arrival = (
            Instant::now(),
            id.to_str().ok()?.to_owned(),
            pause.is_none(),
        );
        self.arrivals.lock().expect("no panic").push(arrival);
        body.collect().await.ok()?;
        let mut response = if let Some(pause) = pause {
            let mut refusal = not_run_response();
            let headers = refusal.headers_mut();
            headers.insert("retry-after", pause.parse().ok()?);
            refusal
        } else {
            tokio::time::sleep(RUN_TIME).await;
            signed_response(id, self.status, full_body("an answer"))
        };
        let headers = response.headers_mut();
        if *self.leaving.lock().expect("no panic") {
            headers.insert("server-leaving", "1".parse().ok()?);
        }
        if let Some(cold_ms) = *self.cold.lock().expect("no panic") {
            headers.insert("x-poplarreel-cold-ms", cold_ms.into());
        }
        if let Some(limit) = *self.limit.lock().expect("no panic") {
            headers.insert("server-limit", limit.to_string().parse().ok()?);
        }
        Some(response)
    }
}
