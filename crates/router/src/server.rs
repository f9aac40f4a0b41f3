//! Listeners that serve a viz router and shut down without cutting streams.
//!
//! viz's own server ends a graceful shutdown after ten seconds; an answer may
//! stream for longer, so the accept loop stands here.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use viz::{Responder, Router, Tree};

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that a lack of sockets does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running listener.
#[derive(Debug)]
pub struct Server {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve `router` to those who connect to `listener`.
    pub fn spawn(listener: TcpListener, router: Router) -> Self {
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, router.into(), stop.clone()));
        Self { stop, task }
    }

    /// Stops accepting and waits until every request is answered.
    pub async fn drain(self) {
        self.stop.cancel();
        // A panic in the loop leaves nothing to wait for.
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, tree: Tree, stop: CancellationToken) {
    let tree = Arc::new(tree);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, remote)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Small chunks must not wait for more.
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(tree.clone(), Some(remote));
        let connection = builder
            .serve_connection(TokioIo::new(stream), responder)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that vanishes is no fault of ours.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
