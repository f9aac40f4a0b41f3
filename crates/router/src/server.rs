//! HTTP listeners that shut down without cutting off streams.
//!
//! viz's own server aborts a graceful shutdown after ten seconds. Answers may
//! stream for longer, so the router runs its own accept loop.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use viz::{Responder, Router, Tree};

/// Time within which a client must send the request line and headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait after a failed accept; avoids a busy loop when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A running listener.
#[derive(Debug)]
pub struct Server {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on `listener` in a task of its own.
    pub fn spawn(listener: TcpListener, router: Router) -> Self {
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, router.into(), stop.clone()));
        Self { stop, task }
    }

    /// Stops accepting connections and waits until every request is answered.
    pub async fn drain(self) {
        self.stop.cancel();
        // If the accept loop panicked, there is nothing left to wait for.
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, tree: Tree, stop: CancellationToken) {
    let tree = Arc::new(tree);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, remote)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // Nagle's algorithm would delay small chunks of streams.
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(tree.clone(), Some(remote));
        let connection = builder
            .serve_connection(TokioIo::new(stream), responder)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A client that disconnects is not an error of the router.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
