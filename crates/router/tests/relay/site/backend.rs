//! A stand-in for backend servers: model engines and plain services.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::{Body, serve, whole};

/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 4;

/// Time in which what was sent has left.
const FLUSHED: Duration = Duration::from_millis(30);

/// What the server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deed {
    /// Answers whole.
    Whole,
    /// Runs it, and cuts the connection without an answer.
    Cut,
    /// Runs it, and breaks its stream off after so many events.
    Break(u64),
    /// Says that it did not run it.
    Shed,
    /// Gives the answer of another request.
    Foreign,
    /// Fails.
    Fault,
}

/// A request as the server got it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) id: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The stand-in.
#[derive(Debug)]
pub(crate) struct Backend {
    deed: Mutex<Deed>,
    seen: Mutex<Vec<Seen>>,
}

impl Backend {
    /// Starts one that does `deed` with each request.
    pub(crate) async fn open(deed: Deed) -> (Arc<Self>, SocketAddr) {
        let backend = Arc::new(Self {
            deed: Mutex::new(deed),
            seen: Mutex::default(),
        });
        let server = backend.clone();
        let address = serve(move |request| server.clone().handle(request)).await;
        (backend, address)
    }

    /// Requests that it ran.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no panic").clone()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = text("x-poplarreel-attempt-id");
        let deed = *self.deed.lock().expect("no panic");
        if deed == Deed::Shed {
            let mut response = Response::new(whole(""));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let headers = response.headers_mut();
            headers.insert("x-poplarreel-not-executed", "1".parse().ok()?);
            return Some(response);
        }
        let streams =
            head.uri.path().starts_with("/stream/") || head.uri.path().starts_with("/resume/");
        let after = text("last-event-id").parse().unwrap_or(0);
        self.seen.lock().expect("no panic").push(Seen {
            id: id.clone(),
            headers: head.headers,
            body,
        });
        let body = match deed {
            Deed::Cut => return None,
            Deed::Break(events) => events_of(after, after + events, true),
            _ if streams => events_of(after, EVENTS, false),
            _ => whole("an answer"),
        };
        let mut response = Response::new(body);
        if deed == Deed::Fault {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let id = if deed == Deed::Foreign {
            "another"
        } else {
            &id
        };
        let headers = response.headers_mut();
        headers.insert("x-poplarreel-attempt-id", id.parse().ok()?);
        headers.insert("x-poplarreel-response-seal", "a-seal".parse().ok()?);
        Some(response)
    }
}

/// Events after `after` up to `to`; broken off, it ends in the middle of the
/// next one, after what came before has left.
fn events_of(after: u64, to: u64, broken: bool) -> Body {
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
        tokio::time::sleep(FLUSHED).await;
        Some((Err(std::io::Error::other("broken off")), n + 1))
    });
    StreamBody::new(frames).boxed_unsync()
}
