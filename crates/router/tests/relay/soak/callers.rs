//! Callers that keep using an open connection until its process is gone.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;

use super::Soak;
use crate::site::backend::EVENTS;

/// Time after which a caller gives up on a request.
const PATIENCE: Duration = Duration::from_secs(4);
/// Longest pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 30;
/// Pause before the next connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);

/// What a caller saw of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Seen {
    /// A status, and whether the body is complete and the expected one.
    Answer(u16, bool),
    /// The connection ended without a complete answer.
    Broken,
    /// The caller gave up.
    GaveUp,
}

/// A request that was sent.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) path: String,
    pub(crate) router: usize,
    /// Number of the router's process; `None` if that was just changing.
    pub(crate) process: Option<usize>,
    /// When the store had acknowledged its route.
    pub(crate) route_since: Instant,
    pub(crate) sent: Instant,
    pub(crate) seen: Seen,
}

/// Attempts of all callers.
#[derive(Debug, Default)]
pub(crate) struct Record(Mutex<Vec<Attempt>>);

impl Record {
    /// All attempts so far.
    pub(crate) fn attempts(&self) -> Vec<Attempt> {
        self.0.lock().expect("no panic").clone()
    }
}

/// Connects to a router.
async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = tokio::time::timeout(PATIENCE, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

/// Sends requests until the soak ends.
pub(crate) async fn run(soak: Arc<Soak>, caller: u64) {
    let mut random = StdRng::seed_from_u64(soak.seed * 1000 + caller);
    let mut sent = 0;
    while !soak.has_ended() {
        let router = random.random_range(0..soak.addresses.len());
        let lives = &soak.lives[router];
        let before = lives.count();
        if let Some(mut sender) = connect(soak.addresses[router]).await {
            let process = (lives.count() == before).then_some(before);
            while !soak.has_ended() && sender.ready().await.is_ok() {
                sent += 1;
                let id = format!("{caller}-{sent}");
                let (path, route_since) = pick_path(&soak, &mut random);
                let at = Instant::now();
                let seen = ask(&mut sender, &path, &id).await;
                soak.record.0.lock().expect("no panic").push(Attempt {
                    id,
                    path,
                    router,
                    process,
                    route_since,
                    sent: at,
                    seen,
                });
                if !matches!(seen, Seen::Answer(..)) {
                    break;
                }
                let pause = random.random_range(0..=MAX_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// A path, and when the store acknowledged the route that covers it.
fn pick_path(soak: &Soak, random: &mut StdRng) -> (String, Instant) {
    let added = soak.added.lock().expect("no panic");
    if !added.is_empty() && random.random_bool(0.5) {
        let last = added.len() - 1;
        // Half of them on the newest route.
        let n = if random.random_bool(0.5) {
            last
        } else {
            random.random_range(0..=last)
        };
        return (format!("/added-{}/x", n + 1), added[n]);
    }
    let paths = ["/once/x", "/read/x", "/stream/x", "/resume/x"];
    (
        paths[random.random_range(0..paths.len())].to_owned(),
        soak.began,
    )
}

/// Sends one request.
pub(crate) async fn ask(sender: &mut SendRequest<Full<Bytes>>, path: &str, id: &str) -> Seen {
    let mut request = Request::post(path)
        .header("host", "site.example")
        .header("api-key", "key-1")
        .header("x-poplarreel-attempt-id", id)
        .header("x-poplarreel-deadline-ms", "2000");
    if is_stream(path) {
        request = request.header("x-poplarreel-token-counts", "1000,20");
    }
    let request = request.body(Full::from("a body")).expect("a request");
    let answer = async {
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), body))
    };
    match tokio::time::timeout(PATIENCE, answer).await {
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
