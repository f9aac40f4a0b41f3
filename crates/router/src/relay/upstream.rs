//! Connections to backend servers, a new one for each request.
//!
//! On a new connection there can be no response to an earlier request, and a
//! failure to connect means that nothing was sent.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use poplar_base::http::{has_length, is_final};
use poplar_core::retry::Failure;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::relay::upload::{Recorded, Upload};

/// Time-out for connecting. Servers are milliseconds away; TCP retransmits a
/// lost packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Most bytes of the head of a response, and of its body that are read ahead.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Most 1xx responses before the final one. A server that sends them without end
/// would otherwise keep a thread busy until the time-out.
const MAX_INFORMATIONAL: u32 = 16;

/// Keeps a connection open; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    task: JoinHandle<()>,
    /// What is written to it.
    pub upload: Upload,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What ends an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    None,
    /// Its length, or its last chunk.
    Message,
    /// Nothing but the end of its connection.
    Connection,
}

impl Framing {
    /// What ends the body after this head.
    pub fn of(head: &response::Parts) -> Self {
        if has_length(&head.headers) {
            Self::Message
        } else {
            Self::Connection
        }
    }

    /// Its name in the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Message => "message",
            Self::Connection => "connection",
        }
    }
}

/// Why no connection was made. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection was refused, so the server's process is not running.
    Refused,
    /// No answer in time, or another network error.
    NoAnswer,
}

impl ConnectError {
    /// The reason in fixed words.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NoAnswer => "no answer",
        }
    }
}

/// Opens a connection to `address` from this host's address.
///
/// # Errors
/// [`ConnectError`]
pub async fn dial(from: IpAddr, address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connect = async {
        let socket = match from {
            IpAddr::V4(_) => TcpSocket::new_v4()?,
            IpAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(from, 0))?;
        socket.connect(address).await
    };
    let stream = timeout(CONNECT_TIMEOUT, connect).await;
    let stream = stream.map_err(|_| ConnectError::NoAnswer)?;
    let stream = stream.map_err(|why| match why.kind() {
        std::io::ErrorKind::ConnectionRefused => ConnectError::Refused,
        _ => ConnectError::NoAnswer,
    })?;
    // Without this, a small request would wait until more bytes are written.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Prepares an open connection to a server for a request.
///
/// # Errors
/// [`ConnectError`]; nothing was sent then.
pub async fn handshake(
    stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
) -> Result<(Connection, http1::SendRequest<Full<Bytes>>), ConnectError> {
    let mut settings = http1::Builder::new();
    settings.max_buf_size(MAX_BUFFER_BYTES);
    let upload = Upload::default();
    let stream = Recorded {
        stream,
        upload: upload.clone(),
    };
    let handshake = settings.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| ConnectError::NoAnswer)?;
    let task = tokio::spawn(async move {
        // An error is also returned to the caller of `send`.
        let _ = connection.await;
    });
    Ok((Connection { task, upload }, sender))
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
/// [`Failure`] if no head comes in time, or what comes is none; the request may
/// have run then.
pub async fn send(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    mut request: Request<Full<Bytes>>,
    head_timeout: Duration,
) -> Result<Response<Incoming>, Failure> {
    let count = AtomicU32::new(0);
    let too_many = Arc::new(Notify::new());
    let notify = too_many.clone();
    hyper::ext::on_informational(&mut request, move |_| {
        if count.fetch_add(1, Ordering::AcqRel) >= MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    let sent = timeout(head_timeout, sender.send_request(request));
    let result = tokio::select! {
        result = sent => result,
        () = too_many.notified() => return Err(Failure::Garbled),
    };
    match result {
        Ok(Ok(response)) if !is_final(response.status()) => Err(Failure::Garbled),
        Ok(Ok(response)) => Ok(response),
        Ok(Err(why)) if why.is_parse_too_large() => Err(Failure::TooLarge),
        Ok(Err(why)) if why.is_parse() => Err(Failure::Garbled),
        Ok(Err(_)) => Err(Failure::Lost),
        Err(_) => Err(Failure::Timeout),
    }
}
