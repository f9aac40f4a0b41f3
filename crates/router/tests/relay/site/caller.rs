//! A caller of a router, on a connection that it keeps or on one of its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::backend::EVENTS;

/// Time after which a caller gives up on a request.
const PATIENCE: Duration = Duration::from_secs(4);

/// Ends a test that hangs.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// The body of the refusal of a request that crashes servers.
const CRASH_REFUSAL: &str = "crashes servers\n";

/// What a caller saw of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Seen {
    /// A status, and whether the body is complete and the expected one.
    Answer(u16, bool),
    /// It was refused because it crashes servers.
    CrashRefusal,
    /// The connection ended without a complete answer.
    Broken,
    /// The caller gave up.
    GaveUp,
}

/// Connects to a router.
pub(crate) async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = tokio::time::timeout(PATIENCE, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

/// Sends one request.
pub(crate) async fn ask(sender: &mut SendRequest<Full<Bytes>>, path: &str, id: &str) -> Seen {
    let request = request(path, id).body(Full::from("a body"));
    answer(sender, path, request.expect("a request")).await
}

/// Sends one request with these parts of its prompt, and a body and a last part
/// that no other one has, on a connection of its own.
pub(crate) async fn ask_prompt(
    address: SocketAddr,
    path: &str,
    id: &str,
    parts: &str,
) -> Option<Seen> {
    let own: String = id.bytes().map(|b| format!("{b:02x}")).collect();
    let own = &own[own.len().saturating_sub(8)..];
    let request = request(path, id)
        .header("x-poplarreel-prompt-prefix", format!("{parts},{own}:9"))
        .body(Full::from(id.to_owned()))
        .expect("a request");
    Some(answer(&mut connect(address).await?, path, request).await)
}

fn request(path: &str, id: &str) -> http::request::Builder {
    let request = Request::post(path)
        .header("host", "site.example")
        .header("api-key", "key-1")
        .header("x-poplarreel-attempt-id", id)
        .header("x-poplarreel-deadline-ms", "2000");
    if is_stream(path) {
        return request.header("x-poplarreel-token-counts", "1000,20");
    }
    request
}

async fn answer(
    sender: &mut SendRequest<Full<Bytes>>,
    path: &str,
    request: Request<Full<Bytes>>,
) -> Seen {
    let answer = async {
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), body))
    };
    match tokio::time::timeout(PATIENCE, answer).await {
        Ok(Some((502, body))) if body == CRASH_REFUSAL => Seen::CrashRefusal,
        Ok(Some((status, body))) => {
            Seen::Answer(status, status != 200 || body == expected_body(path))
        }
        Ok(None) => Seen::Broken,
        Err(_) => Seen::GaveUp,
    }
}

/// Sends one request on a connection of its own.
pub(crate) async fn ask_once(address: SocketAddr, path: &str, id: &str) -> Option<Seen> {
    Some(ask(&mut connect(address).await?, path, id).await)
}

/// Sends one request on a connection of its own; returns the head of the answer.
pub(crate) async fn ask_head(address: SocketAddr, path: &str, id: &str) -> Option<Parts> {
    let request = request(path, id).body(Full::from("a body")).ok()?;
    let mut sender = connect(address).await?;
    let answer = sender.send_request(request).await.ok()?;
    Some(answer.into_parts().0)
}

/// Sends requests of a path to a router until what is seen of one is accepted.
pub(crate) async fn wait_until(router: SocketAddr, path: &str, accept: impl Fn(Seen) -> bool) {
    let began = Instant::now();
    for n in 0.. {
        let seen = ask_once(router, path, &format!("wait-{router}-{n}")).await;
        if seen.is_some_and(&accept) {
            return;
        }
        assert!(began.elapsed() < HANG_LIMIT, "router {router}: {seen:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Whether a path's route answers with a stream, which consumes tokens.
pub(crate) fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/resume/")
}

fn expected_body(path: &str) -> String {
    if is_stream(path) {
        let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: e{n}\n\n"));
        return events.collect();
    }
    "an answer".to_owned()
}
