//! One connection to a backend server for each request.
//!
//! A fresh connection makes sure that no answer of another request stands in
//! it, and that a failure to connect means that nothing was sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use poplar_core::retry::Failure;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long connecting may take; servers are milliseconds away, and a lost
/// packet is sent again after a second.
const CONNECT: Duration = Duration::from_millis(300);

/// A connection that is closed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why there is no connection; nothing was sent then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// Nobody listens there: the server's process is gone.
    Refused,
    /// No answer, or another failure of the network.
    NoAnswer,
}

/// Connects to a server.
///
/// # Errors
/// [`ConnectError`]: nothing was sent.
pub async fn connect(
    address: SocketAddr,
) -> Result<(Connection, http1::SendRequest<Full<Bytes>>), ConnectError> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ConnectError::NoAnswer)?;
    let stream = stream.map_err(|why| match why.kind() {
        std::io::ErrorKind::ConnectionRefused => ConnectError::Refused,
        _ => ConnectError::NoAnswer,
    })?;
    // A request must not wait for more bytes.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| ConnectError::NoAnswer)?;
    let task = tokio::spawn(async move {
        // Its failure is seen by who waits for the answer.
        let _ = connection.await;
    });
    Ok((Connection { task }, sender))
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// [`Failure::Lost`] or [`Failure::Timeout`]: it may have run.
pub async fn send(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    patience: Duration,
) -> Result<Response<Incoming>, Failure> {
    match timeout(patience, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => Err(Failure::Lost),
        Err(_) => Err(Failure::Timeout),
    }
}
