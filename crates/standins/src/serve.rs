//! A small HTTP/1.1 server whose handlers can cut the connection.
//!
//! The listener can be closed for a while, so that connections are refused as
//! they are when the process is dead.

use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::reply::Reply;

/// Delay before a failed bind or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4096;

/// Handle of a running server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    control: ListenerControl,
}

impl Server {
    /// The control that closes the listener.
    pub fn listener_control(&self) -> &ListenerControl {
        &self.control
    }
}

/// Closes the listener of a server for a while.
#[derive(Debug, Clone)]
pub struct ListenerControl {
    sender: mpsc::UnboundedSender<Duration>,
}

impl ListenerControl {
    /// Creates a control and the receiver of its requests for the server.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Duration>) {
        let (sender, close_requests) = mpsc::unbounded_channel();
        (Self { sender }, close_requests)
    }

    /// Refuses new connections for `time`. Requests in progress are finished.
    pub fn refuse_connections(&self, time: Duration) {
        // If the server has ended, there is no listener to close.
        let _ = self.sender.send(time);
    }
}

/// Binds `address` and serves it. `handle` gets the control of the listener and
/// returns the request handler.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn bind<H, F>(
    address: SocketAddr,
    handle: impl FnOnce(ListenerControl) -> H,
) -> io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let (control, close_requests) = ListenerControl::new();
    tokio::spawn(accept(
        listener,
        address,
        close_requests,
        handle(control.clone()),
    ));
    Ok(Server { address, control })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Allows rebinding the port while connections of the closed listener are
    // still ending.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept<H, F>(
    mut listener: TcpListener,
    address: SocketAddr,
    mut close_requests: mpsc::UnboundedReceiver<Duration>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let (mut shutdown_sender, mut shutdown) = watch::channel(());
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                match accepted {
                    Ok((stream, _)) => {
                        let served = connection(stream, shutdown.clone(), handle.clone());
                        tokio::spawn(served);
                    }
                    // Without a delay this would be a busy loop when the process is out
                    // of file descriptors.
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
            Some(time) = close_requests.recv() => {
                drop(listener);
                // Asks the open connections to close after their current request.
                drop(shutdown_sender);
                (shutdown_sender, shutdown) = watch::channel(());
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
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn connection<H, F>(stream: TcpStream, mut shutdown: watch::Receiver<()>, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Send small chunks immediately, as engines do.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(handle);
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    // Errors are ignored: the connection was cut or the caller disconnected.
    tokio::select! {
        _ = served.as_mut() => {}
        _ = shutdown.changed() => {
            served.as_mut().graceful_shutdown();
            let _ = served.await;
        }
    }
}

/// Prints the listening address, then waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the line cannot be printed or a signal handler cannot be
/// installed.
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
