//! A stand-in for a backend server that falls silent and goes on: its connections stay
//! open, and nothing comes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::caller::is_stream;
use super::{Body, full_body, not_run_response, signed_response};

/// Events of a complete stream.
pub(crate) const EVENTS: u64 = 30;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// The stand-in.
#[derive(Debug)]
pub(crate) struct SilentServer {
    is_silent: watch::Sender<bool>,
    /// Whether it turns requests away as not run.
    is_full: AtomicBool,
    /// Requests that it began to run.
    runs: AtomicUsize,
    /// Cancelled when it stops listening.
    listening: CancellationToken,
}

impl SilentServer {
    /// Starts a server; returns its address, too.
    pub(crate) async fn open() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Self {
            is_silent: watch::Sender::new(false),
            is_full: AtomicBool::new(false),
            runs: AtomicUsize::new(0),
            listening: CancellationToken::new(),
        });
        let accepting = server.clone();
        tokio::spawn(async move {
            let ended = accepting.listening.clone();
            while let Some(Ok((stream, _))) = ended.run_until_cancelled(listener.accept()).await {
                let server = accepting.clone();
                let service = service_fn(move |request| server.clone().answer(request));
                tokio::spawn(async move {
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let _ = connection.await;
                });
            }
        });
        (server, address)
    }

    /// Falls silent, or goes on.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.is_silent.send_replace(is_silent);
    }

    /// Turns requests away from now on, or takes them again.
    pub(crate) fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::Release);
    }

    /// Refuses connections from now on; those that are open stay as they are.
    pub(crate) fn stop_listening(&self) {
        self.listening.cancel();
    }

    /// Requests that it began to run.
    pub(crate) fn runs(&self) -> usize {
        self.runs.load(Ordering::Acquire)
    }

    /// Waits while the server is silent.
    async fn wait_turn(&self) {
        let mut state = self.is_silent.subscribe();
        let _ = state.wait_for(|is_silent| !is_silent).await;
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let (head, body) = request.into_parts();
        body.collect().await.map_err(std::io::Error::other)?;
        let id = head.headers["x-poplarreel-attempt-id"].clone();
        if self.is_full.load(Ordering::Acquire) {
            return Ok(not_run_response());
        }
        self.runs.fetch_add(1, Ordering::AcqRel);
        if !is_stream(head.uri.path()) {
            self.wait_turn().await;
            return Ok(signed_response(id, StatusCode::OK, full_body("an answer")));
        }
        let after = head.headers.get("last-event-id");
        let after: Option<u64> = after.and_then(|v| v.to_str().ok()?.parse().ok());
        let first = after.unwrap_or(0) + 1;
        let events = stream::unfold((first, self), |(n, server)| async move {
            if n > EVENTS {
                return None;
            }
            tokio::time::sleep(EVENT_PAUSE).await;
            server.wait_turn().await;
            let event = Bytes::from(format!("id: {n}\ndata: e{n}\n\n"));
            Some((Ok(Frame::data(event)), (n + 1, server)))
        });
        let body = StreamBody::new(events).boxed_unsync();
        Ok(signed_response(id, StatusCode::OK, body))
    }
}
