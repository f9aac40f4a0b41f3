//! A stand-in for a model engine of one software version, whose streams name the
//! version in each event; and a client that takes streams up again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::caller::connect;
use super::store::Store;
use super::{Body, report_response, signed_response};

/// The start time of its first process, in Unix milliseconds.
const BORN: u64 = 1_000;
/// Events of a complete stream.
pub(crate) const EVENTS: u64 = 15;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a client gives up.
const PATIENCE: Duration = Duration::from_secs(4);

/// The stand-in.
#[derive(Debug)]
pub(crate) struct VersionedEngine {
    pub(crate) id: String,
    pub(crate) software: &'static str,
    address: SocketAddr,
    store: Arc<Store>,
    /// The version of the process that runs, and how many ran before it.
    process: Mutex<(&'static str, u64)>,
    /// Cancelled to break off all its streams.
    streams: Mutex<CancellationToken>,
}

impl VersionedEngine {
    /// Starts an engine and registers it.
    pub(crate) async fn open(id: &str, software: &'static str, store: &Arc<Store>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            software,
            address: listener.local_addr().expect("an address"),
            store: store.clone(),
            process: Mutex::new((software, 0)),
            streams: Mutex::default(),
        });
        engine.register();
        let server = engine.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = server.clone();
                let ended = engine.streams.lock().expect("no panic").clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| engine.clone().answer(request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let _ = ended.run_until_cancelled(connection).await;
                });
            }
        });
        engine
    }

    /// Registers the engine, again if it was removed.
    pub(crate) fn register(&self) {
        self.store
            .register_version(&self.id, "engines", self.address, self.software, BORN);
    }

    /// Ends its process, and starts one with another version at once, which does not
    /// register yet.
    pub(crate) fn restart_as(&self, software: &'static str) {
        let mut process = self.process.lock().expect("no panic");
        *process = (software, process.1 + 1);
        drop(process);
        self.break_streams();
    }

    /// Removes its entry, as if it had left.
    pub(crate) fn unregister(&self) {
        self.store.remove("servers", "", &self.id);
    }

    /// Breaks off all its streams; new ones are served.
    pub(crate) fn break_streams(&self) {
        std::mem::take(&mut *self.streams.lock().expect("no panic")).cancel();
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let (head, body) = request.into_parts();
        body.collect().await.map_err(std::io::Error::other)?;
        let (software, restarts) = *self.process.lock().expect("no panic");
        if head.uri.path() == "/api/report" {
            return Ok(report_response(BORN + restarts));
        }
        let id = head.headers["x-poplarreel-attempt-id"].clone();
        let after = head.headers.get("last-event-id");
        let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
        let events = stream::unfold(after.unwrap_or(0) + 1, move |n| async move {
            if n > EVENTS {
                return None;
            }
            tokio::time::sleep(EVENT_PAUSE).await;
            let event = Bytes::from(format!("id: {n}\ndata: {software}\n\n"));
            Some((Ok(Frame::data(event)), n + 1))
        });
        let body = StreamBody::new(events).boxed_unsync();
        Ok(signed_response(id, StatusCode::OK, body))
    }
}

/// A stream as a client has it after one or several attempts.
#[derive(Debug, Clone, Default)]
pub(crate) struct Received {
    /// The versions that its events name, in order.
    pub(crate) events: Vec<String>,
    /// Whether it is complete.
    pub(crate) whole: bool,
    /// The attempt that brought the first event.
    pub(crate) first: Option<String>,
    /// The status of the last attempt, if it had one.
    pub(crate) status: Option<u16>,
}

impl Received {
    /// Whether it holds events of several versions.
    pub(crate) fn is_mixed(&self) -> bool {
        self.events.iter().any(|version| *version != self.events[0])
    }

    /// Begins the stream at a router, or takes it up there, as `attempt`; `leave`
    /// is how many events the client has when it closes the connection. A stream
    /// that is taken up names what `resumes` makes of its first attempt.
    pub(crate) async fn ask(
        &mut self,
        router: SocketAddr,
        attempt: &str,
        leave: Option<usize>,
        resumes: impl Fn(&str) -> Option<String>,
    ) {
        self.status = None;
        let _ = tokio::time::timeout(PATIENCE, self.receive(router, attempt, leave, resumes)).await;
    }

    async fn receive(
        &mut self,
        router: SocketAddr,
        attempt: &str,
        leave: Option<usize>,
        resumes: impl Fn(&str) -> Option<String>,
    ) -> Option<()> {
        let mut sender = connect(router).await?;
        let mut request = Request::post("/resume/x")
            .header("host", "site.example")
            .header("api-key", "key-1")
            .header("x-poplarreel-attempt-id", attempt)
            .header("x-poplarreel-deadline-ms", "2000");
        if let Some(first) = &self.first {
            request = request.header("last-event-id", self.events.len().to_string());
            if let Some(resumes) = resumes(first) {
                request = request.header("resumes", resumes);
            }
        }
        let request = request.body(Full::from("a body")).expect("a request");
        let response = sender.send_request(request).await.ok()?;
        self.status = Some(response.status().as_u16());
        if response.status() != StatusCode::OK {
            return None;
        }
        let mut body = response.into_body();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                text.push_str(&String::from_utf8_lossy(&data));
            }
            while let Some((event, rest)) = text.split_once("\n\n") {
                let version = event.split("data: ").nth(1).unwrap_or_default();
                self.events.push(version.to_owned());
                self.first.get_or_insert_with(|| attempt.to_owned());
                text = rest.to_owned();
            }
            if leave.is_some_and(|leave| self.events.len() >= leave) {
                return None;
            }
        }
        self.whole = self.events.len() as u64 == EVENTS;
        Some(())
    }
}
