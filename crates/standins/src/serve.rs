//! A small HTTP/1.1 server whose handlers may cut the connection.
//!
//! A handler that returns [`Cut`] ends its connection without an answer, and a
//! body that yields [`Cut`] ends it in the middle of one. The listener can be
//! closed for a while, so that connecting is refused as by a dead process.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// Wait before binding or accepting is tried again where it failed.
const AGAIN: Duration = Duration::from_millis(5);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;

/// The connection ends here, without an answer or the rest of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection cut on purpose")
    }
}

impl std::error::Error for Cut {}

/// A body that may be cut.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// What a handler makes of a call.
pub type Reply = Result<Response<Body>, Cut>;

/// Handle of a running server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    gate: Gate,
}

impl Server {
    /// Closes the listener; see [`Gate::close`].
    pub fn gate(&self) -> &Gate {
        &self.gate
    }
}

/// Closes a server's listener for a while.
#[derive(Debug, Clone)]
pub struct Gate {
    orders: mpsc::UnboundedSender<Duration>,
}

impl Gate {
    /// A gate and the end that a server obeys.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Duration>) {
        let (orders, obeyed) = mpsc::unbounded_channel();
        (Self { orders }, obeyed)
    }

    /// Refuses connections for `time`; calls in progress are finished.
    pub fn close(&self, time: Duration) {
        // A server that has ended needs no closing.
        let _ = self.orders.send(time);
    }
}

/// Binds `address` and serves it with `handle`, which gets a gate of its own.
///
/// # Errors
/// Where the address can't be bound.
pub async fn bind<H, F>(address: SocketAddr, handle: impl FnOnce(Gate) -> H) -> io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let (gate, obeyed) = Gate::new();
    tokio::spawn(accept(listener, address, obeyed, handle(gate.clone())));
    Ok(Server { address, gate })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // The port of a closed listener is bound again while its old connections end.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept<H, F>(
    mut listener: TcpListener,
    address: SocketAddr,
    mut obeyed: mpsc::UnboundedReceiver<Duration>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let (mut ending, mut ended) = watch::channel(());
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                match accepted {
                    Ok((stream, _)) => {
                        let served = connection(stream, ended.clone(), handle.clone());
                        tokio::spawn(served);
                    }
                    // Without a pause, a lack of file descriptors would spin.
                    Err(_) => tokio::time::sleep(AGAIN).await,
                }
            }
            Some(time) = obeyed.recv() => {
                drop(listener);
                drop(ending);
                (ending, ended) = watch::channel(());
                tokio::time::sleep(time).await;
                listener = rebind(address).await;
            }
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = listen(address) {
            return listener;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

async fn connection<H, F>(stream: TcpStream, mut ended: watch::Receiver<()>, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Small chunks are sent at once, as engines do.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(handle);
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    // A connection that was cut or broken off has nobody left to tell.
    tokio::select! {
        _ = served.as_mut() => {}
        _ = ended.changed() => {
            served.as_mut().graceful_shutdown();
            let _ = served.await;
        }
    }
}

/// Prints where the server listens and waits for SIGTERM or SIGINT.
///
/// # Errors
/// Where the line can't be printed or signals can't be watched.
pub async fn until_stopped(server: &Server) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut out = io::stdout();
    writeln!(out, "listening {}", server.address)?;
    out.flush()?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

fn answer(status: StatusCode, kind: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// An answer of bytes.
pub fn bytes(body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|e: Infallible| match e {});
    answer(
        StatusCode::OK,
        "application/octet-stream",
        body.boxed_unsync(),
    )
}

/// An answer in JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answers are plain data");
    let body = Full::new(Bytes::from(body)).map_err(|e: Infallible| match e {});
    answer(status, "application/json", body.boxed_unsync())
}

/// A refusal with a code.
pub fn refusal(status: StatusCode, code: &str) -> Response<Body> {
    json(status, &json!({"error": {"code": code}}))
}

/// A stream of server-sent events, which may be cut.
pub fn events(stream: impl Stream<Item = Result<Bytes, Cut>> + Send + 'static) -> Response<Body> {
    let body = StreamBody::new(stream.map(|chunk| chunk.map(Frame::data)));
    answer(StatusCode::OK, "text/event-stream", body.boxed_unsync())
}

/// Reads a request's whole body.
///
/// # Errors
/// [`Cut`] where the caller went away.
pub async fn whole(body: Incoming) -> Result<Bytes, Cut> {
    Ok(body.collect().await.map_err(|_| Cut)?.to_bytes())
}

/// A body or a switch that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// Why.
    pub reason: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Malformed {}

impl Malformed {
    /// Says why.
    pub fn new(reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { reason }
    }

    /// The answer that says so.
    pub fn response(&self) -> Response<Body> {
        let error = json!({"code": "malformed", "message": self.reason});
        json(StatusCode::BAD_REQUEST, &json!({"error": error}))
    }
}

/// Reads JSON.
///
/// # Errors
/// Says what can't be read.
pub fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Malformed> {
    serde_json::from_slice(body).map_err(|e| Malformed::new(e.to_string()))
}

/// The answer to a call that succeeded, in JSON.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// The answer to a call that there is not.
pub fn unknown() -> Response<Body> {
    refusal(StatusCode::NOT_FOUND, "unknown")
}

/// The text of a header, empty where there is none.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// A value of the query part, as it stands there.
pub fn query<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query.unwrap_or_default().split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name).map(|(_, value)| value)
}
