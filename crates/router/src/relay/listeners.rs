//! Listeners of the relay: callers, readiness, metrics.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::relay::handler;
use crate::relay::refusal::{self, Body};
use crate::relay::state::Relay;

/// Limits of a connection until there is a configuration.
const HEAD: usize = 16 << 10;
const IDLE: Duration = Duration::from_secs(15);
/// The least that the library takes as a limit of a head.
const HEAD_LEAST: usize = 8 << 10;
/// Pause after a failed accept, so that a lack of sockets does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `stop`; open requests end first.
pub async fn serve_callers(listener: TcpListener, relay: Arc<Relay>, stop: CancellationToken) {
    let serve = {
        let relay = relay.clone();
        move |request| handler::serve(relay.clone(), request)
    };
    let limits = move || {
        let site = relay.site();
        site.map_or((HEAD, IDLE), |s| (s.limits.max_head, s.limits.idle_timeout))
    };
    accept(listener, serve, limits, stop).await;
}

/// Answers the balancer.
pub async fn serve_readiness(listener: TcpListener, relay: Arc<Relay>, stop: CancellationToken) {
    let serve = move |_| {
        let status = if relay.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let mut response = Response::new(refusal::full_body("".into()));
        *response.status_mut() = status;
        async { response }
    };
    accept(listener, serve, || (HEAD, IDLE), stop).await;
}

/// Gives the metrics as text.
pub async fn serve_metrics(
    listener: TcpListener,
    relay: Arc<Relay>,
    recorder: PrometheusHandle,
    stop: CancellationToken,
) {
    let serve = move |_| {
        let now = std::time::Instant::now();
        metrics::gauge!("poplar_requests_open").set(relay.open_requests() as f64);
        metrics::gauge!("poplar_requests_at_servers")
            .set(f64::from(relay.servers.in_flight_count()));
        metrics::gauge!("poplar_routers").set(f64::from(relay.budgets.live_routers()));
        let version = relay.site().map_or(0, |site| site.version);
        metrics::gauge!("poplar_configuration_version").set(version as f64);
        for (workspace, free) in relay.budgets.spendable(now) {
            let labels = [("workspace", workspace.to_string())];
            metrics::gauge!("poplar_budget_free_tokens", &labels).set(free as f64);
        }
        let response = Response::new(refusal::full_body(recorder.render().into()));
        async { response }
    };
    accept(listener, serve, || (HEAD, IDLE), stop).await;
}

async fn accept<F>(
    listener: TcpListener,
    serve: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    limits: impl Fn() -> (usize, Duration),
    stop: CancellationToken,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Events must not wait for more bytes.
        let _ = stream.set_nodelay(true);
        let (head, idle) = limits();
        let serve = serve.clone();
        let service = service_fn(move |request| {
            let answer = serve(request);
            async { Ok::<_, Infallible>(answer.await) }
        });
        // The library's limit on a head also holds for idle connections.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(head.max(HEAD_LEAST))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that vanishes is no fault of ours.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
