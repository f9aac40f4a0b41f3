//! A small HTTP/1.1 server whose handlers may cut the connection.
//!
//! The listener can be closed for a while, so that connecting is refused as by
//! a dead process.

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

/// Wait before binding or accepting is tried again where it failed.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;

/// Handle of a running server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    control: ListenerControl,
}

impl Server {
    /// Closes the listener; see [`ListenerControl::refuse_connections`].
    pub fn listener_control(&self) -> &ListenerControl {
        &self.control
    }
}

/// Closes a server's listener for a while.
#[derive(Debug, Clone)]
pub struct ListenerControl {
    sender: mpsc::UnboundedSender<Duration>,
}

impl ListenerControl {
    /// A control and the receiver of its requests, for the server.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Duration>) {
        let (sender, close_requests) = mpsc::unbounded_channel();
        (Self { sender }, close_requests)
    }

    /// Refuses connections for `time`; calls in progress are finished.
    pub fn refuse_connections(&self, time: Duration) {
        // A server that has ended needs no closing.
        let _ = self.sender.send(time);
    }
}

/// Binds `address` and serves it with `handle`, which gets the control of its listener.
///
/// # Errors
/// Where the address can't be bound.
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
    // The port of a closed listener is bound again while its old connections end.
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
                    // Without a pause, a lack of file descriptors would spin.
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
            Some(time) = close_requests.recv() => {
                drop(listener);
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
        _ = shutdown.changed() => {
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
