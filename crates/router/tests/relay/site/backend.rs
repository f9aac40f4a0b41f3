//! A stand-in for backend servers: model engines and plain services.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::caller::is_stream;
use super::{Body, full_body, not_run_response, serve, signed_response};

/// Events of a complete stream.
pub(crate) const EVENTS: u64 = 4;

/// Time after which the data written so far has been sent.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// What the server does with each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Returns a complete response.
    Answer,
    /// Runs it, and closes the connection without a response.
    Cut,
    /// Runs it, and breaks its stream off after this many events.
    BreakAfter(u64),
    /// Begins its stream this many events after the last one that the client has, or
    /// before that if it is negative.
    BeginAt(i64),
    /// Refuses it with the header that says that it did not run.
    RefuseAsNotRun,
    /// Returns the response to another request.
    WrongAttemptId,
    /// Returns an internal server error.
    ServerError,
}

/// A request that the server ran, as received.
#[derive(Debug, Clone)]
pub(crate) struct ExecutedRequest {
    pub(crate) id: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The stand-in.
#[derive(Debug)]
pub(crate) struct Backend {
    behaviour: Mutex<Behaviour>,
    executed: Mutex<Vec<ExecutedRequest>>,
}

impl Backend {
    /// Starts a server with this behaviour.
    pub(crate) async fn open(behaviour: Behaviour) -> (Arc<Self>, SocketAddr) {
        let backend = Arc::new(Self {
            behaviour: Mutex::new(behaviour),
            executed: Mutex::default(),
        });
        let server = backend.clone();
        let address = serve(move |request| server.clone().handle(request)).await;
        (backend, address)
    }

    /// Requests that it ran.
    pub(crate) fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.executed.lock().expect("no panic").clone()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = text("x-poplarreel-attempt-id");
        let behaviour = *self.behaviour.lock().expect("no panic");
        if behaviour == Behaviour::RefuseAsNotRun {
            return Some(not_run_response());
        }
        let streams = is_stream(head.uri.path());
        let after = text("last-event-id").parse().unwrap_or(0);
        self.executed
            .lock()
            .expect("no panic")
            .push(ExecutedRequest {
                id: id.clone(),
                headers: head.headers,
                body,
            });
        let body = match behaviour {
            Behaviour::Cut => return None,
            Behaviour::BreakAfter(events) => event_body(after, after + events, true),
            Behaviour::BeginAt(events) => {
                event_body(after.saturating_add_signed(events), EVENTS, false)
            }
            _ if streams => event_body(after, EVENTS, false),
            _ => full_body("an answer"),
        };
        let status = if behaviour == Behaviour::ServerError {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        let id = if behaviour == Behaviour::WrongAttemptId {
            "another"
        } else {
            &id
        };
        Some(signed_response(id.parse().ok()?, status, body))
    }
}

/// A body with the events after `after` up to `to`. If `broken`, it breaks off
/// in the middle of the next event, after the data before that has been sent.
pub(super) fn event_body(after: u64, to: u64, broken: bool) -> Body {
    let frames = stream::unfold(after + 1, move |n| async move {
        if n <= to {
            let event = Bytes::from(format!("id: {n}\ndata: e{n}\n\n"));
            return Some((Ok(Frame::data(event)), n + 1));
        }
        if !broken || n > to + 2 {
            return None;
        }
        if n == to + 1 {
            let part = Bytes::from_static(b"id: 9");
            return Some((Ok(Frame::data(part)), n + 1));
        }
        tokio::time::sleep(FLUSH_TIME).await;
        Some((Err(std::io::Error::other("broken off")), n + 1))
    });
    StreamBody::new(frames).boxed_unsync()
}
