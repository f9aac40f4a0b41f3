//! Handles a request of a caller: matches it with its route and workspace,
//! reserves its tokens, has it sent to a backend server, and returns the
//! response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header, response};
use hyper::body::Incoming;
use poplar_base::log;
use poplar_core::deployment::{Deployment, Route, Workspace};
use poplar_core::id::Name;
use poplar_core::retry::Failure;
use poplar_platform::headers::{self, RequestHead};

use crate::relay::budgets::{Reservation, ReserveError};
use crate::relay::capacity;
use crate::relay::exchange::Exchange;
use crate::relay::refusal::{self, Body, Refusal};
use crate::relay::request::{self, ClientRequest, Identity};
use crate::relay::state::{OpenRequest, Relay, format_age};
use crate::relay::stop::Stop;
use crate::relay::stream;

/// When the client should retry if this router has no configuration yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// When the client should retry, at another router, if this one is stopping or
/// may lack the configuration that allows the request.
const OTHER_ROUTER_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Why a request is refused in a planned stop.
const STOPPING: &str = "stopping";
/// When the client should retry if another router may hold enough of the
/// budget.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When the client should retry if the store of the budgets can't be reached.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Longest random time added if the store can't be reached, so that the retries
/// don't come all at once.
const RETRY_JITTER: Duration = Duration::from_millis(300);
/// Longest wait of a request for its budget, as a multiple of its target
/// latency, if the tokens become available within it: a retry would take
/// longer.
const BUDGET_WAIT_TARGETS: f64 = 2.0;

/// Serves one request.
pub async fn serve(relay: Arc<Relay>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    // The age comes first: the configuration is then at least as new.
    let age = relay.configuration_read.age(arrived);
    let deployment = relay.deployment();
    let version = deployment.as_ref().map_or(0, |d| d.version);
    let open = relay.open_request();
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&parts.headers);
    let id = head.as_ref().ok().map(|head| head.attempt_id.clone());
    let chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let was_sent = open.was_sent();
    let handled = match head {
        Ok(head) => tokio::select! {
            handled = handle(&relay, deployment, parts, body, head, open, arrived) => handled,
            () = relay.wait_answer_time() => Err(by_stop(was_sent.load(Ordering::Acquire))),
        },
        Err(why) => {
            log::info("request headers invalid").reason(why).write();
            Err(Refusal::new(StatusCode::BAD_REQUEST, "malformed headers"))
        }
    };
    let mut response = handled.unwrap_or_else(|refusal| {
        let refusal = if relay.is_stale(age) {
            by_stale_configuration(refusal)
        } else {
            refusal
        };
        let took = arrived.elapsed();
        log::info("request refused")
            .request(id.as_deref().unwrap_or("unknown"))
            .with("status", refusal.status.as_u16())
            .reason(refusal.reason)
            .with("after_ms", took.as_millis())
            .with("configuration", version)
            .with("age_ms", format_age(age))
            .write();
        metrics::counter!("poplar_refusals_total", "reason" => refusal.reason).increment(1);
        refusal.response(id.as_deref())
    });
    // After a chunked body the connection is not reused: the sender may have
    // framed the bytes that follow in another way. On an overloaded host, the next request
    // would fill the link even if it is refused.
    if chunked || relay.is_stopping() || relay.capacity.is_overloaded(Instant::now()) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A refusal by a stale configuration. If a newer one might allow the request,
/// the client should ask another router, since it does not retry a final
/// refusal.
fn by_stale_configuration(refusal: Refusal) -> Refusal {
    if refusal.by_configuration {
        return Refusal::not_run("stale configuration", OTHER_ROUTER_RETRY_AFTER);
    }
    refusal
}

/// The refusal of a request that has no answer at the end of a planned stop.
fn by_stop(was_sent: bool) -> Refusal {
    if was_sent {
        return Refusal::new(StatusCode::GATEWAY_TIMEOUT, STOPPING);
    }
    Refusal::not_run(STOPPING, OTHER_ROUTER_RETRY_AFTER)
}

async fn handle(
    relay: &Arc<Relay>,
    deployment: Option<Arc<Deployment>>,
    parts: http::request::Parts,
    body: Incoming,
    head: RequestHead,
    open: OpenRequest,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    let deployment = deployment.ok_or(Refusal::not_run("no configuration", UNREADY_RETRY_AFTER))?;
    let target = match match_route(&deployment, &parts, &head)
        .and_then(|target| admit(relay, target, &body, arrived))
    {
        Ok(target) => target,
        Err(refusal) => {
            capacity::drain(body);
            return Err(refusal);
        }
    };
    let memory = &relay.body_memory;
    let body = memory.read(body, &parts, &deployment.limits).await?;
    let mut request = identify(target, parts, body, head, arrived);
    let kind = request.route.kind;
    let takes = |stop: Stop| stop.takes(kind, request.deadline, Instant::now());
    if !relay.stop().is_none_or(takes) {
        return Err(Refusal::not_run(STOPPING, OTHER_ROUTER_RETRY_AFTER));
    }
    request.find_software(relay).await?;
    request.check_crashes(relay, arrived).await?;
    relay.record_request(&request.service, arrived);
    let reservation = reserve(relay, &request).await?;
    let exchange = Exchange::new(relay.clone(), request, reservation, open);
    if kind.is_stream() {
        stream::serve(exchange).await
    } else {
        serve_plain(exchange).await
    }
}

/// Passes a request on if this host has the capacity for it.
fn admit(
    relay: &Relay,
    target: Target,
    body: &Incoming,
    arrived: Instant,
) -> Result<Target, Refusal> {
    let workspace = target.workspace.as_ref().map(|w| &w.name);
    let route = &target.route.name;
    let admitted = relay.capacity.admit(route, workspace, body, arrived);
    admitted.map(|()| target)
}

/// Where a request is sent, as its head tells.
#[derive(Debug)]
struct Target {
    route: Route,
    workspace: Option<Workspace>,
    service: Name,
    /// Output tokens in one event.
    stride: u32,
}

/// Finds a request's route, workspace and service.
fn match_route(
    deployment: &Deployment,
    parts: &http::request::Parts,
    head: &RequestHead,
) -> Result<Target, Refusal> {
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let route = deployment.route(&host, parts.uri.path());
    let route = route.ok_or(Refusal::by_configuration(StatusCode::NOT_FOUND, "no route"))?;
    let workspace = find_workspace(deployment, head, route.allow_anonymous)?;
    let service = route.pick_service(rand::random());
    let service = service.ok_or(Refusal::by_configuration(
        StatusCode::NOT_FOUND,
        "no service",
    ))?;
    let known = deployment.services.get(&**service);
    Ok(Target {
        stride: known.and_then(|s| s.engine).map_or(1, |e| e.stride),
        service: service.clone(),
        route: route.clone(),
        workspace,
    })
}

/// The request with its features and deadline.
fn identify(
    target: Target,
    parts: http::request::Parts,
    body: Bytes,
    head: RequestHead,
    arrived: Instant,
) -> ClientRequest {
    let Target {
        route,
        workspace,
        service,
        stride,
    } = target;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let features = request::features(&Identity {
        method: &parts.method,
        uri: &parts.uri,
        workspace: workspace.as_ref(),
        route: &route.name,
        service: &service,
        prompt: &head.prompt_parts,
        shared: head.shared_parts(),
        body: &body,
    });
    ClientRequest {
        features,
        software: None,
        on_trial: false,
        stride: u64::from(stride),
        service,
        route,
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        workspace,
        arrived,
        deadline: arrived + timeout,
    }
}

fn find_workspace(
    deployment: &Deployment,
    head: &RequestHead,
    anonymous: bool,
) -> Result<Option<Workspace>, Refusal> {
    let found = head
        .api_key
        .as_deref()
        .and_then(|key| deployment.workspace_by_key(key));
    if found.is_none() && !anonymous && !deployment.workspaces.is_empty() {
        return Err(Refusal::by_configuration(
            StatusCode::UNAUTHORIZED,
            "unknown key",
        ));
    }
    Ok(found.cloned())
}

/// Reserves the most tokens that a request can consume; `None` if its workspace
/// has no prepaid budget.
async fn reserve(
    relay: &Arc<Relay>,
    request: &ClientRequest,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(workspace), Some(tokens)) = (&request.workspace, request.head.tokens) else {
        return Ok(None);
    };
    let Some(prepaid) = workspace.prepaid else {
        return Ok(None);
    };
    let worst_case = tokens.prompt + tokens.output;
    let longest_wait = request.route.target_latency.mul_f64(BUDGET_WAIT_TARGETS);
    let reserved = relay
        .budgets
        .reserve(&workspace.name, prepaid, worst_case, longest_wait);
    let reserved = reserved.await;
    reserved.map(Some).map_err(|refused| {
        log::info("budget reservation failed")
            .request(&request.head.attempt_id)
            .workspace(&workspace.name)
            .with("worst_case", worst_case)
            .reason(format_args!("{refused:?}"))
            .with(
                "evidence",
                relay
                    .budgets
                    .evidence(&workspace.name, prepaid, Instant::now()),
            )
            .write();
        match refused {
            ReserveError::Spent { .. } => {
                Refusal::by_configuration(StatusCode::PAYMENT_REQUIRED, "budget spent")
            }
            ReserveError::Short => Refusal::not_run("budget elsewhere", SHORT_RETRY_AFTER),
            ReserveError::Away { after } => {
                let after =
                    after.unwrap_or(STORE_RETRY_AFTER) + RETRY_JITTER.mul_f64(rand::random());
                Refusal::not_run("budget out of reach", after)
            }
        }
    })
}

/// Serves a request whose response is not a stream.
async fn serve_plain(mut exchange: Exchange) -> Result<Response<Body>, Refusal> {
    loop {
        let mut response = match exchange.send().await {
            Ok(response) => response,
            Err(refusal) => return fallback_response(&mut exchange).ok_or(refusal),
        };
        let server = response.in_flight.server.clone();
        let failure = match exchange
            .read_body(response.body, response.end, &response.in_flight)
            .await
        {
            Ok(bytes) => {
                exchange.record_answer(response.head.status);
                exchange.record_bytes(bytes.len());
                let failed = response.head.status.is_server_error();
                let now = Instant::now();
                response.in_flight.record_outcome(!failed, now);
                if response.head.status.is_success() {
                    exchange.record_call_cost(&mut response.in_flight, now);
                }
                if !failed || !exchange.request.route.kind.is_repeatable() {
                    exchange.outcome = "whole";
                    return Ok(forward_response(response.head, bytes));
                }
                exchange.fallback = Some((response.head, bytes));
                Failure::Fault
            }
            Err(failure) => failure,
        };
        if let Err(refusal) = exchange.record_failure(failure, &server) {
            return fallback_response(&mut exchange).ok_or(refusal);
        }
    }
}

/// The error response of a server, if one was received.
fn fallback_response(exchange: &mut Exchange) -> Option<Response<Body>> {
    let (head, bytes) = exchange.fallback.take()?;
    exchange.outcome = "fault";
    Some(forward_response(head, bytes))
}

/// A server's complete response as it is sent to the client.
pub fn forward_response(head: response::Parts, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(refusal::full_body(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::forward_response(&head.headers);
    response
}

/// Records the time to the first event of a stream.
pub fn record_first_event(request: &ClientRequest, now: Instant) {
    let took = now.saturating_duration_since(request.arrived);
    metrics::histogram!("poplar_first_event_seconds").record(took);
}
