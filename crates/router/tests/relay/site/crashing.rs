//! A stand-in for a backend server that ends when it runs certain requests, and
//! starts again soon after at the same address, under the same id and with a
//! new start time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::backend::{EVENTS, event_body};
use super::caller::is_stream;
use super::store::Store;
use super::{Body, full_body, report_response, signed_response};

/// Marks the path or query of a request that ends the servers that run it.
pub(crate) const CRASH_MARK: &str = "crash";
/// Begins the identity of a part of a prompt that ends the servers that run it.
pub(crate) const CRASH_PART: &str = "dead";
/// How long a request runs until its server ends.
const CRASH_AFTER: Duration = Duration::from_millis(40);

/// How routers see the end of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashKind {
    /// Its connections are closed before the response.
    Reset,
    /// Its connections stay open, and nothing more comes.
    Silence,
    /// Its connections are closed after two events of the stream.
    MidStream,
    /// Its connections are closed in the middle of the first event of the stream.
    InsideEvent,
    /// As a reset, but every second time it answers with an error and goes on.
    ResetOrError,
}

/// How a server behaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashPlan {
    pub(crate) kind: CrashKind,
    /// Time from its end to its next start.
    pub(crate) down_time: Duration,
    /// How long an ordinary request runs.
    pub(crate) run_time: Duration,
}

/// The stand-in.
#[derive(Debug)]
pub(crate) struct CrashingServer {
    id: String,
    service: &'static str,
    address: SocketAddr,
    store: Arc<Store>,
    plan: CrashPlan,
    /// Cancelled at the end of the current process.
    process: Mutex<CancellationToken>,
    started_ms: AtomicU64,
    crashes: AtomicUsize,
    /// Requests that it ran.
    runs: Mutex<Vec<Run>>,
    /// Parts of prompts that ended it, and when.
    crash_parts: Mutex<Vec<(Instant, String)>>,
}

/// A request that a server ran.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    path: String,
    id: String,
    /// The part of its prompt that ends servers, if it has one.
    crash_part: Option<String>,
    at: Instant,
}

impl CrashingServer {
    /// Starts a server and registers it.
    pub(crate) async fn open(
        id: &str,
        service: &'static str,
        store: &Arc<Store>,
        plan: CrashPlan,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr().expect("an address"),
            store: store.clone(),
            plan,
            process: Mutex::default(),
            started_ms: AtomicU64::new(1_000),
            crashes: AtomicUsize::new(0),
            runs: Mutex::default(),
            crash_parts: Mutex::default(),
        });
        server.clone().start(listener);
        server
    }

    /// How often it ended.
    pub(crate) fn crashes(&self) -> usize {
        self.crashes.load(Ordering::Acquire)
    }

    /// How often it ran requests with this path and query.
    pub(crate) fn runs(&self, path: &str) -> usize {
        let runs = self.runs.lock().expect("no panic");
        runs.iter().filter(|run| run.path == path).count()
    }

    /// When it ended because of this part of a prompt.
    pub(crate) fn crashes_of_part(&self, part: &str) -> Vec<Instant> {
        let crashes = self.crash_parts.lock().expect("no panic");
        let of_part = crashes.iter().filter(|(_, p)| p == part);
        of_part.map(|(at, _)| *at).collect()
    }

    /// How often it ran requests with this part later than `after`.
    pub(crate) fn runs_of_part(&self, part: &str, after: Instant) -> usize {
        let runs = self.runs.lock().expect("no panic");
        let of_part = runs
            .iter()
            .filter(|r| r.crash_part.as_deref() == Some(part));
        of_part.filter(|run| run.at > after).count()
    }

    /// The ids of the requests that it ran.
    pub(crate) fn executed_ids(&self) -> Vec<String> {
        let runs = self.runs.lock().expect("no panic");
        runs.iter().map(|run| run.id.clone()).collect()
    }

    fn start(self: Arc<Self>, listener: TcpListener) {
        let process = CancellationToken::new();
        *self.process.lock().expect("no panic") = process.clone();
        let started_ms = self.started_ms.fetch_add(1, Ordering::AcqRel);
        self.store
            .register_started(&self.id, self.service, self.address, started_ms);
        tokio::spawn(async move {
            while let Some(Ok((stream, _))) = process.run_until_cancelled(listener.accept()).await {
                tokio::spawn(self.clone().serve(stream, process.clone()));
            }
        });
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, process: CancellationToken) {
        let server = self.clone();
        let ended = process.clone();
        let service = service_fn(move |request| {
            let answer = server.clone().answer(request, ended.clone());
            async { answer.await.ok_or(std::io::Error::other("cut")) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if self.plan.kind == CrashKind::Silence {
            let _ = connection.await;
        } else {
            let _ = process.run_until_cancelled(connection).await;
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        process: CancellationToken,
    ) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        body.collect().await.ok()?;
        let path = head.uri.to_string();
        if path == "/api/report" {
            // The count is ahead by one.
            let started_ms = self.started_ms.load(Ordering::Acquire) - 1;
            return Some(report_response(started_ms));
        }
        let id = head.headers.get("x-poplarreel-attempt-id")?.clone();
        let crash_part = crash_part(&head.headers);
        self.runs.lock().expect("no panic").push(Run {
            path: path.clone(),
            id: id.to_str().ok()?.to_owned(),
            crash_part: crash_part.clone(),
            at: Instant::now(),
        });
        let marked = path.contains(CRASH_MARK) || crash_part.is_some();
        let is_error = marked
            && self.plan.kind == CrashKind::ResetOrError
            && !self.runs(&path).is_multiple_of(2);
        let crashes = marked && !is_error;
        if crashes {
            tokio::spawn(self.clone().crash(process.clone(), crash_part));
        }
        let body = if crashes && self.plan.kind == CrashKind::MidStream {
            unfinished_stream(2, b"")
        } else if crashes && self.plan.kind == CrashKind::InsideEvent {
            unfinished_stream(0, b"id: 1\nda")
        } else if crashes {
            std::future::pending().await
        } else {
            tokio::time::sleep(self.plan.run_time).await;
            if process.is_cancelled() {
                std::future::pending::<()>().await;
            }
            if is_stream(&path) {
                event_body(0, EVENTS, false)
            } else {
                full_body("an answer")
            }
        };
        let status = if is_error {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        Some(signed_response(id, status, body))
    }

    /// Ends the process, and starts the next one after the down time.
    async fn crash(self: Arc<Self>, process: CancellationToken, part: Option<String>) {
        tokio::time::sleep(CRASH_AFTER).await;
        if process.is_cancelled() {
            return;
        }
        if let Some(part) = part {
            let mut crashes = self.crash_parts.lock().expect("no panic");
            crashes.push((Instant::now(), part));
        }
        self.crashes.fetch_add(1, Ordering::AcqRel);
        process.cancel();
        tokio::time::sleep(self.plan.down_time).await;
        let listener = TcpListener::bind(self.address).await;
        self.start(listener.expect("the port is free again"));
    }
}

/// The part of a request's prompt that ends servers, if it has one.
fn crash_part(headers: &http::HeaderMap) -> Option<String> {
    let prefix = headers.get("x-poplarreel-prompt-prefix")?.to_str().ok()?;
    let mut ids = prefix.split(',').filter_map(|part| part.split(':').next());
    ids.find(|id| id.starts_with(CRASH_PART)).map(str::to_owned)
}

/// A stream of which so many events come, and the beginning of the next one.
fn unfinished_stream(events: u64, rest: &'static [u8]) -> Body {
    let frames = stream::unfold(1, move |n| async move {
        let data = if n <= events {
            Bytes::from(format!("id: {n}\ndata: e{n}\n\n"))
        } else if n == events + 1 && !rest.is_empty() {
            Bytes::from_static(rest)
        } else {
            std::future::pending().await
        };
        Some((Ok(Frame::data(data)), n + 1))
    });
    StreamBody::new(frames).boxed_unsync()
}
