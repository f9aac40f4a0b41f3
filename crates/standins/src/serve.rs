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
const AGAIN: Duration = Duration::from_millis(5);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;

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
