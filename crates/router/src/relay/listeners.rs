//! HTTP listeners of the relay: requests of callers, readiness checks of the
//! load balancer, and the metrics page.

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

/// Largest request head in bytes until there is a configuration.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Longest idle time of a connection until there is a configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The smallest limit of a request head in bytes that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Pause after a failed accept, so that the loop does not spin while the
/// process is out of file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves requests of callers until `stop` is cancelled, then waits for the
/// open requests to end.
pub async fn serve_callers(listener: TcpListener, relay: Arc<Relay>, stop: CancellationToken) {
    let serve = {
        let relay = relay.clone();
        move |request| handler::serve(relay.clone(), request)
    };
    let limits = move || {
        let deployment = relay.deployment();
        deployment.map_or((DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT), |s| {
            (s.limits.max_head, s.limits.idle_timeout)
        })
    };
    accept(listener, serve, limits, stop).await;
}

/// Answers the readiness checks of the load balancer.
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
    accept(
        listener,
        serve,
        || (DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT),
        stop,
    )
    .await;
}

/// Serves the metrics in the Prometheus text format.
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
        metrics::gauge!("poplar_crash_requests").set(relay.crashes.suspected_requests() as f64);
        metrics::gauge!("poplar_request_costs").set(relay.costs.pairs() as f64);
        metrics::gauge!("poplar_limited_servers").set(relay.servers.limited_count() as f64);
        let (own, most) = relay.servers.held_tokens(now);
        metrics::gauge!("poplar_engine_memory_own_tokens").set(own as f64);
        metrics::gauge!("poplar_engine_memory_most_tokens").set(most as f64);
        metrics::gauge!("poplar_paths_lost").set(relay.paths.lost_count() as f64);
        for (reason, count) in relay.servers.left_out(now) {
            metrics::gauge!("poplar_servers_left_out", "reason" => reason.label())
                .set(count as f64);
        }
        metrics::gauge!("poplar_servers_cold").set(relay.servers.cold_count(now) as f64);
        let (evacuated, returning) = relay.servers.evacuated_counts(now);
        metrics::gauge!("poplar_centres_evacuated").set(evacuated as f64);
        metrics::gauge!("poplar_centres_returning").set(returning as f64);
        metrics::gauge!("poplar_resumable_streams").set(relay.streams.count() as f64);
        metrics::gauge!("poplar_routers").set(f64::from(relay.budgets.live_routers()));
        metrics::gauge!("poplar_leases_open").set(relay.budgets.open_leases() as f64);
        let version = relay
            .deployment()
            .map_or(0, |deployment| deployment.version);
        metrics::gauge!("poplar_configuration_version").set(version as f64);
        let tables = [
            ("configuration", &relay.configuration_read),
            ("servers", &relay.server_list_read),
            ("crashes", &relay.crash_reports_read),
            ("limits", &relay.limits_read),
        ];
        for (table, last_read) in tables {
            if let Some(age) = last_read.age(now) {
                metrics::gauge!("poplar_table_age_seconds", "table" => table).set(age);
            }
        }
        for (workspace, free) in relay.budgets.spendable(now) {
            let labels = [("workspace", workspace.to_string())];
            metrics::gauge!("poplar_budget_free_tokens", &labels).set(free as f64);
        }
        let response = Response::new(refusal::full_body(recorder.render().into()));
        async { response }
    };
    accept(
        listener,
        serve,
        || (DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT),
        stop,
    )
    .await;
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without this, a small event would wait until more bytes are written.
        let _ = stream.set_nodelay(true);
        let (head, idle) = limits();
        let serve = serve.clone();
        let service = service_fn(move |request| {
            let answer = serve(request);
            async { Ok::<_, Infallible>(answer.await) }
        });
        // In hyper, the time-out for reading a head also applies to idle
        // connections.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(head.max(MIN_HEAD_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // An error means that the caller closed the connection; it is
            // ignored.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
