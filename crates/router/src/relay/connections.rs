//! Connections of clients at one listener: how many there are, what each does, and which
//! of them are closed. [`poplar_core::client_limits::connections`] decides.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use poplar_base::log;
use poplar_core::client_limits::LogPace;
use poplar_core::client_limits::connections::{self, Connection, Phase, READER_PROGRESS};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::relay::refusal::Body;
use crate::sync::lock;

/// Connections that may be closing beyond the limit.
const CLOSING: usize = 32;
/// Part of the limit, as a divisor, that may be open beyond it to refuse requests in
/// words. A connection that is only closed does not tell that its request has not run.
const REFUSED_PART: usize = 8;
/// Reason of a connection that is closed for a new one.
const EVICTED: &str = "place needed";
/// Reason of a new connection that has no place.
const NO_PLACE: &str = "no place";

/// Address of the client that sent a request, an extension of its head.
#[derive(Debug, Clone, Copy)]
pub struct ClientAddress(pub IpAddr);

/// Marks the head of a request that is refused because all connections are taken.
#[derive(Debug, Clone, Copy)]
pub struct NoPlace;

/// The connections at one listener.
#[derive(Debug)]
pub struct Connections {
    listener: &'static str,
    /// The most there may be; `None` if the host names no limit.
    limit: Option<usize>,
    open: Mutex<Vec<Arc<Client>>>,
    closed: Mutex<LogPace>,
    /// Cancelled when all connections are closed, whatever they do.
    pub abandoned: CancellationToken,
}

/// One connection.
#[derive(Debug)]
pub struct Client {
    address: IpAddr,
    /// Whether its requests are served; otherwise they are refused.
    pub has_place: bool,
    state: Mutex<State>,
    /// Cancelled when the connection is to be closed.
    pub close: CancellationToken,
}

#[derive(Debug)]
struct State {
    /// Requests whose answer the connection does not have yet.
    requests: usize,
    /// When the head that is being read began.
    head: Option<Instant>,
    /// Since when the client takes nothing.
    blocked: Option<Instant>,
    /// Bytes that it took since then.
    taken: usize,
    idle: Instant,
}

/// A place among the connections, which is free again when this is dropped.
#[derive(Debug)]
pub struct Place {
    connections: Arc<Connections>,
    /// The connection.
    pub client: Arc<Client>,
}

impl Connections {
    /// The connections at a listener, of which there may be so many.
    pub fn open(listener: &'static str, limit: Option<usize>) -> Arc<Self> {
        Arc::new(Self {
            listener,
            limit,
            open: Mutex::default(),
            closed: Mutex::default(),
            abandoned: CancellationToken::new(),
        })
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether as many are open as may be.
    pub fn is_full(&self) -> bool {
        self.limit.is_some_and(|limit| self.count() >= limit)
    }

    /// Whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// A place for a new connection, for which another one may be closed; `None` if there
    /// are too many even to refuse its request.
    pub fn admit(self: &Arc<Self>, address: IpAddr, now: Instant) -> Option<Place> {
        let has_place = self.has_place(now);
        if !has_place {
            let limit = self.limit.unwrap_or(usize::MAX);
            if self.count() >= limit.saturating_add(limit / REFUSED_PART) {
                self.record_closed(NO_PLACE, now);
                return None;
            }
        }
        let client = Arc::new(Client {
            address,
            has_place,
            state: Mutex::new(State {
                requests: 0,
                head: None,
                blocked: None,
                taken: 0,
                idle: now,
            }),
            close: CancellationToken::new(),
        });
        lock(&self.open).push(client.clone());
        Some(Place {
            connections: self.clone(),
            client,
        })
    }

    /// Whether there is a place for a new connection; closes another one for it if all
    /// are taken.
    fn has_place(&self, now: Instant) -> bool {
        let count = self.count();
        let Some(limit) = self.limit.filter(|limit| count >= *limit) else {
            return true;
        };
        if count >= limit + CLOSING {
            return false;
        }
        let open = self.snapshot();
        let staying: Vec<_> = open.iter().filter(|c| c.stays()).collect();
        if staying.len() < limit {
            return true;
        }
        let views: Vec<Connection> = staying.iter().map(|c| c.view()).collect();
        let Some(victim) = connections::victim(&views) else {
            return false;
        };
        staying[victim].close.cancel();
        self.record_closed(EVICTED, now);
        true
    }

    /// Closes connections whose head or reader takes too long. `is_full` tells whether the
    /// memory for answers is nearly used up.
    pub fn close_overdue(&self, head_timeout: Duration, is_full: bool, now: Instant) {
        for client in self.snapshot() {
            let overdue = client.view().overdue(head_timeout, is_full, now);
            if let Some(reason) = overdue
                && !client.close.is_cancelled()
            {
                client.close.cancel();
                self.record_closed(reason, now);
            }
        }
    }

    fn snapshot(&self) -> Vec<Arc<Client>> {
        match self.limit {
            Some(_) => lock(&self.open).clone(),
            None => Vec::new(),
        }
    }

    fn record_closed(&self, reason: &'static str, now: Instant) {
        let labels = [("listener", self.listener), ("reason", reason)];
        metrics::counter!("poplar_client_connections_closed_total", &labels).increment(1);
        let due = lock(&self.closed).record(now);
        if let Some(count) = due {
            log::info("client connections closed")
                .with("listener", self.listener)
                .reason(reason)
                .with("count", count)
                .with("open", self.count())
                .with("limit", self.limit.unwrap_or(usize::MAX))
                .write();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut open = lock(&self.connections.open);
        if let Some(at) = open.iter().position(|c| Arc::ptr_eq(c, &self.client)) {
            open.swap_remove(at);
        }
    }
}

impl Client {
    /// Whether it takes a place that it does not give up yet.
    fn stays(&self) -> bool {
        self.has_place && !self.close.is_cancelled()
    }

    fn view(&self) -> Connection {
        let state = lock(&self.state);
        let (phase, since) = match (state.blocked, state.head) {
            (Some(since), _) => (Phase::Blocked, since),
            _ if state.requests > 0 => (Phase::Busy, state.idle),
            (None, Some(since)) => (Phase::Head, since),
            // One whose request is refused has the time of a head to send it.
            (None, None) if !self.has_place => (Phase::Head, state.idle),
            (None, None) => (Phase::Idle, state.idle),
        };
        Connection {
            address: self.address,
            phase,
            since,
        }
    }

    /// Address of the client.
    pub fn address(&self) -> IpAddr {
        self.address
    }

    /// Records that a complete head was read, until the result is dropped.
    pub fn begin_request(self: &Arc<Self>) -> Serving {
        let mut state = lock(&self.state);
        state.requests += 1;
        state.head = None;
        Serving(self.clone())
    }

    fn record_read(&self, now: Instant) {
        let mut state = lock(&self.state);
        if state.requests == 0 && state.head.is_none() {
            state.head = Some(now);
        }
    }

    fn record_written(&self, length: usize, now: Instant) {
        let mut state = lock(&self.state);
        state.idle = now;
        state.taken += length;
        if state.taken >= READER_PROGRESS {
            state.taken = 0;
            state.blocked = state.blocked.map(|_| now);
        }
    }

    fn record_blocked(&self, now: Instant) {
        let mut state = lock(&self.state);
        if state.blocked.is_none() {
            state.blocked = Some(now);
            state.taken = 0;
        }
    }

    fn record_flushed(&self) {
        lock(&self.state).blocked = None;
    }
}

/// A request that is served.
#[derive(Debug)]
pub struct Serving(Arc<Client>);

impl Drop for Serving {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.requests -= 1;
        state.idle = Instant::now();
    }
}

/// The body of an answer, with which its request ends.
#[derive(Debug)]
pub struct ServedBody {
    /// What is sent.
    pub body: Body,
    /// The request.
    pub serving: Serving,
}

impl HttpBody for ServedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a connection, which records what the client sends and takes.
#[derive(Debug)]
pub struct ClientStream {
    /// The connection itself.
    pub stream: TcpStream,
    /// What is recorded.
    pub client: Arc<Client>,
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.client.record_read(Instant::now());
        }
        polled
    }
}

impl ClientStream {
    fn record(&self, polled: &Poll<std::io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(length)) => self.client.record_written(*length, Instant::now()),
            Poll::Pending => self.client.record_blocked(Instant::now()),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        // hyper flushes once nothing is left to write.
        self.client.record_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
