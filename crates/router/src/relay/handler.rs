//! The way of a request: identified, paid, placed, sent and settled.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request, response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use poplar_base::log;
use poplar_core::deployment::{Deployment, Limits, Workspace};
use poplar_core::retry::Failure;
use poplar_platform::headers::{self, RequestHead};
use tokio::time::timeout;

use crate::relay::budgets::{Reservation, ReserveError};
use crate::relay::exchange::{ClientRequest, Exchange};
use crate::relay::refusal::{self, Body, Refusal};
use crate::relay::state::{OpenRequest, Relay};
use crate::relay::stream;

/// When to come back to a router that has no configuration yet.
const UNREADY_AFTER: Duration = Duration::from_millis(400);
/// When to come back to another router where this one is stopping.
const STOPPING_AFTER: Duration = Duration::from_millis(50);
/// When to come back where another router may hold more of the budget.
const SHORT_AFTER: Duration = Duration::from_millis(300);
/// When to come back where the budget's table can't be reached.
const AWAY_AFTER: Duration = Duration::from_millis(1500);
/// Time over which returns are spread, so that they don't come all at once.
const SPREAD: Duration = Duration::from_millis(300);
/// Multiple of its target that a request waits for its budget where the terms
/// allow it then: coming back would take longer.
const PATIENCE: f64 = 2.0;
/// Part of the grace after which streams are left to other routers.
const STREAMS: f64 = 0.35;
/// Part of the grace after which all requests are left to other routers.
const REQUESTS: f64 = 0.7;

/// Serves one request.
pub async fn serve(relay: Arc<Relay>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let entry = relay.open_request();
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&parts.headers);
    let id = head.as_ref().ok().map(|head| head.attempt_id.clone());
    let chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let handled = match head {
        Ok(head) => handle(&relay, parts, body, head, entry, arrived).await,
        Err(why) => {
            log::info("malformed").reason(why).write();
            Err(Refusal::new(StatusCode::BAD_REQUEST, "malformed headers"))
        }
    };
    let mut response = handled.unwrap_or_else(|refusal| {
        let took = arrived.elapsed();
        log::info("refused")
            .request(id.as_deref().unwrap_or("unknown"))
            .with("status", refusal.status.as_u16())
            .reason(refusal.reason)
            .with("after_ms", took.as_millis())
            .write();
        metrics::counter!("poplar_refusals_total", "reason" => refusal.reason).increment(1);
        refusal.response(id.as_deref())
    });
    // What follows a chunked body on the connection may have been framed
    // another way by who sent it.
    if chunked || relay.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn handle(
    relay: &Arc<Relay>,
    parts: request::Parts,
    body: Incoming,
    head: RequestHead,
    entry: OpenRequest,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    let site = relay.site();
    let site = site.ok_or(Refusal::not_run("no configuration", UNREADY_AFTER))?;
    let body = read(body, &site.limits).await?;
    let job = job(&site, parts, body, head, arrived)?;
    let streams = job.route.kind.is_stream();
    let grace = relay.settings.stop_grace;
    let most = grace.mul_f64(if streams { STREAMS } else { REQUESTS });
    if relay
        .stopping_for(arrived)
        .is_some_and(|since| since > most)
    {
        return Err(Refusal::not_run("stopping", STOPPING_AFTER));
    }
    relay.record_request(&job.service, arrived);
    let reservation = reserve(relay, &job).await?;
    let exchange = Exchange::new(relay.clone(), job, reservation, entry);
    if streams {
        stream::serve(exchange).await
    } else {
        plain(exchange).await
    }
}

/// Reads a body within the limits of size and time.
async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let whole = timeout(
        limits.receive_timeout,
        Limited::new(body, limits.max_body).collect(),
    )
    .await;
    let refusal = |status, reason| Err(Refusal::new(status, reason));
    match whole {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(why)) if why.is::<LengthLimitError>() => {
            refusal(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
        }
        Ok(Err(_)) => refusal(StatusCode::BAD_REQUEST, "body broke off"),
        Err(_) => refusal(StatusCode::REQUEST_TIMEOUT, "body too slow"),
    }
}

/// Identifies a request.
fn job(
    site: &Deployment,
    parts: request::Parts,
    body: Bytes,
    head: RequestHead,
    arrived: Instant,
) -> Result<ClientRequest, Refusal> {
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let route = site.route(&host, parts.uri.path());
    let route = route.ok_or(Refusal::new(StatusCode::NOT_FOUND, "no route"))?;
    let workspace = workspace(site, &head, route.allow_anonymous)?;
    let service = route.pick_service(rand::random());
    let service = service.ok_or(Refusal::new(StatusCode::NOT_FOUND, "no service"))?;
    let known = site.services.get(&**service);
    let stride = known.and_then(|s| s.engine).map_or(1, |e| e.stride);
    let patience = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    Ok(ClientRequest {
        stride: u64::from(stride),
        service: service.clone(),
        route: route.clone(),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        workspace,
        arrived,
        deadline: arrived + patience,
    })
}

fn workspace(
    site: &Deployment,
    head: &RequestHead,
    anonymous: bool,
) -> Result<Option<Workspace>, Refusal> {
    let found = head
        .api_key
        .as_deref()
        .and_then(|key| site.workspace_by_key(key));
    if found.is_none() && !anonymous && !site.workspaces.is_empty() {
        return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key"));
    }
    Ok(found.cloned())
}

/// Reserves what a request consumes at its most.
async fn reserve(relay: &Arc<Relay>, job: &ClientRequest) -> Result<Option<Reservation>, Refusal> {
    let (Some(workspace), Some(tokens)) = (&job.workspace, job.head.tokens) else {
        return Ok(None);
    };
    let Some(prepaid) = workspace.prepaid else {
        return Ok(None);
    };
    let worst = tokens.prompt + tokens.output;
    let patience = job.route.target_latency.mul_f64(PATIENCE);
    let reserved = relay
        .budgets
        .reserve(&workspace.name, prepaid, worst, patience);
    let reserved = reserved.await;
    reserved.map(Some).map_err(|refused| {
        log::info("no budget")
            .request(&job.head.attempt_id)
            .workspace(&workspace.name)
            .with("worst", worst)
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
                Refusal::new(StatusCode::PAYMENT_REQUIRED, "budget spent")
            }
            ReserveError::Short => Refusal::not_run("budget elsewhere", SHORT_AFTER),
            ReserveError::Away { after } => {
                let after = after.unwrap_or(AWAY_AFTER) + SPREAD.mul_f64(rand::random());
                Refusal::not_run("budget out of reach", after)
            }
        }
    })
}

/// Serves a request whose answer is not a stream.
async fn plain(mut exchange: Exchange) -> Result<Response<Body>, Refusal> {
    loop {
        let sent = match exchange.send().await {
            Ok(sent) => sent,
            Err(refusal) => return fallback(&mut exchange).ok_or(refusal),
        };
        let id = sent.in_flight.server.id.clone();
        let failure = match exchange.read_body(sent.body).await {
            Ok(bytes) => {
                let fault = sent.head.status.is_server_error();
                sent.in_flight.record_outcome(!fault, Instant::now());
                if !fault || !exchange.request.route.kind.is_repeatable() {
                    exchange.outcome = "whole";
                    return Ok(forward_response(sent.head, bytes));
                }
                exchange.fallback = Some((sent.head, bytes));
                Failure::Fault
            }
            Err(failure) => failure,
        };
        if let Err(refusal) = exchange.record_failure(failure, &id) {
            return fallback(&mut exchange).ok_or(refusal);
        }
    }
}

/// A server's own failure, where it gave one.
fn fallback(exchange: &mut Exchange) -> Option<Response<Body>> {
    let (head, bytes) = exchange.fallback.take()?;
    exchange.outcome = "fault";
    Some(forward_response(head, bytes))
}

/// A server's whole answer as the client gets it.
pub fn forward_response(head: response::Parts, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(refusal::full_body(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::forward_response(&head.headers);
    response
}

/// Notes the first event of a stream.
pub fn record_first_event(job: &ClientRequest, now: Instant) {
    let took = now.saturating_duration_since(job.arrived);
    metrics::histogram!("poplar_first_event_seconds").record(took);
}
