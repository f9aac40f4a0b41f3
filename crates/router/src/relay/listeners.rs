//! HTTP listeners of the relay: requests of callers, readiness checks of the
//! load balancer, and the metrics page.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use metrics_exporter_prometheus::PrometheusHandle;
use poplar_platform::headers::RequestHead;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::relay::connections::{
    ClientAddress, ClientStream, Connections, NoPlace, Place, ServedBody,
};
use crate::relay::handler;
use crate::relay::refusal::{self, Body, Refusal};
use crate::relay::state::Relay;

/// Largest request head in bytes until there is a configuration.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Longest idle time of a connection until there is a configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time for a request head until there is a configuration.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Why a request is refused if all connections are taken.
const NO_CONNECTION: &str = "no connection left";
/// When its client should retry, preferably at another router.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// How often connections are checked for clients that take too long.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Most bodies without progress that one check ends if no connection is left.
const MAX_ENDED: usize = 16;
/// Most connections for readiness checks, and for readers of the metrics, if the host
/// names limits. The load balancer checks once a second.
const FEW_CONNECTIONS: usize = 16;
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
        move |request: Request<Incoming>| {
            let relay = relay.clone();
            async move {
                match request.extensions().get::<NoPlace>() {
                    Some(NoPlace) => refuse(&request),
                    None => handler::serve(relay, request).await,
                }
            }
        }
    };
    let state = relay.clone();
    let limits = move || {
        let deployment = state.deployment();
        deployment.map_or((DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT), |s| {
            (s.limits.max_head, s.limits.idle_timeout)
        })
    };
    let clients = relay.callers.clone();
    tokio::spawn(close_overdue(clients.clone(), relay, stop.clone()));
    accept(listener, serve, limits, clients, stop).await;
}

/// Refuses a request, unread, because all connections are taken.
fn refuse(request: &Request<Incoming>) -> Response<Body> {
    metrics::counter!("poplar_refusals_total", "reason" => NO_CONNECTION).increment(1);
    let head = RequestHead::parse(request.headers());
    let id = head.as_ref().ok().map(|head| &*head.attempt_id);
    let mut response = Refusal::not_run(NO_CONNECTION, RETRY_AFTER).response(id);
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Answers the readiness checks of the load balancer.
pub async fn serve_readiness(listener: TcpListener, relay: Arc<Relay>, stop: CancellationToken) {
    let clients = open_few("readiness", &relay, &stop);
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
        clients,
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
    let clients = open_few("metrics", &relay, &stop);
    let serve = move |_| {
        let now = Instant::now();
        metrics::gauge!("poplar_requests_open").set(relay.open_requests() as f64);
        metrics::gauge!("poplar_client_connections").set(relay.callers.count() as f64);
        metrics::gauge!("poplar_client_body_bytes").set(relay.body_memory.used() as f64);
        metrics::gauge!("poplar_requests_at_servers")
            .set(f64::from(relay.servers.in_flight_count()));
        metrics::gauge!("poplar_crash_requests").set(relay.crashes.suspected_requests() as f64);
        metrics::gauge!("poplar_request_costs").set(relay.costs.pairs() as f64);
        metrics::gauge!("poplar_limited_servers").set(relay.servers.limited_count() as f64);
        let (own, most) = relay.servers.held_tokens(now);
        metrics::gauge!("poplar_engine_memory_own_tokens").set(own as f64);
        metrics::gauge!("poplar_engine_memory_most_tokens").set(most as f64);
        let (wait, factor) = relay.capacity.figures();
        metrics::gauge!("poplar_host_wait_seconds").set(wait);
        metrics::gauge!("poplar_host_capacity_factor").set(factor);
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
        clients,
        stop,
    )
    .await;
}

/// The connections at a listener that needs only a few.
fn open_few(
    listener: &'static str,
    relay: &Arc<Relay>,
    stop: &CancellationToken,
) -> Arc<Connections> {
    let limit = relay.callers.is_limited().then_some(FEW_CONNECTIONS);
    let clients = Connections::open(listener, limit);
    tokio::spawn(close_overdue(clients.clone(), relay.clone(), stop.clone()));
    clients
}

/// Closes connections of clients that take too long, if the host names limits.
async fn close_overdue(clients: Arc<Connections>, relay: Arc<Relay>, stop: CancellationToken) {
    if !clients.is_limited() {
        return;
    }
    while timeout(CHECK_PERIOD, stop.cancelled()).await.is_err() {
        let deployment = relay.deployment();
        let head_timeout = deployment.map_or(DEFAULT_HEAD_TIMEOUT, |d| d.limits.receive_timeout);
        let is_full = relay.response_memory.is_nearly_full();
        let now = Instant::now();
        clients.close_overdue(head_timeout, is_full, now);
        // Requests whose bodies stop halfway keep their connections, too.
        let mut ends = if clients.is_full() { MAX_ENDED } else { 0 };
        while ends > 0 && relay.body_memory.end_slowest(now) {
            ends -= 1;
        }
    }
}

async fn accept<F>(
    listener: TcpListener,
    serve: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    limits: impl Fn() -> (usize, Duration),
    clients: Arc<Connections>,
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
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(place) = clients.admit(from.ip(), Instant::now()) else {
            drop(stream);
            // Connections that are to be closed close meanwhile.
            tokio::task::yield_now().await;
            continue;
        };
        // Without this, a small event would wait until more bytes are written.
        let _ = stream.set_nodelay(true);
        let (watcher, stop) = (graceful.watcher(), stop.clone());
        let abandoned = clients.abandoned.clone();
        let (serve, (head, idle)) = (serve.clone(), limits());
        tokio::spawn(async move {
            // The buffers of a connection are allocated when its first byte comes.
            let begun = timeout(idle, stream.readable());
            tokio::select! {
                // A request that has arrived is served also if the stop begins now.
                biased;
                begun = begun => if !matches!(begun, Ok(Ok(()))) { return },
                () = place.client.close.cancelled() => return,
                () = stop.cancelled() => return,
            }
            let connection = connect(stream, &place, serve, head, idle);
            tokio::select! {
                // An error means that the caller closed the connection; it is
                // ignored.
                _ = watcher.watch(connection) => {}
                () = place.client.close.cancelled() => {}
                () = abandoned.cancelled() => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// The connection of a client, whose requests are answered by `serve`.
fn connect<F>(
    stream: TcpStream,
    place: &Place,
    serve: impl Fn(Request<Incoming>) -> F + Send + 'static,
    head: usize,
    idle: Duration,
) -> impl GracefulConnection<Error = hyper::Error>
where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (client, has_place) = (place.client.clone(), place.client.has_place);
    let stream = ClientStream {
        stream,
        client: client.clone(),
    };
    let service = service_fn(move |mut request: Request<Incoming>| {
        let serving = client.begin_request();
        let address = ClientAddress(client.address());
        request.extensions_mut().insert(address);
        if !has_place {
            request.extensions_mut().insert(NoPlace);
        }
        let answer = serve(request);
        async {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| ServedBody { body, serving }))
        }
    });
    // In hyper, the time-out for reading a head also applies to idle connections.
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service)
}
