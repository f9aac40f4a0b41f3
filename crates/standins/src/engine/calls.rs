//! HTTP interface of the engine.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use poplar_core::id::Name;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::Context;
use super::batch::Job;
use super::cache::{CacheEvent, CacheOp};
use super::control::SwitchesWire;
use super::state::State;
use super::streams::{self, Outputs};
use super::text::{Message, Prompt};
use crate::admission::{Caller, Refusal};
use crate::reply::{self, Body, Malformed, Reply};
use crate::shared::pause;

/// Header with the request's priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of tokens that the caller already has.
const RESUME_HEADER: &str = "x-resume-from";
/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u8 = 5;
/// Maximum answer length of a request that sets none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 4096;

/// Body of a chat completion request.
#[derive(Debug)]
#[derive(Deserialize)]
struct ChatWire {
    model: Option<String>,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// Body of a cancel request.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct CancelWire {
    id: Name,
}

/// Answer to a cancel request: the tokens that the cancelled one used.
#[derive(Debug)]
#[derive(Serialize)]
struct CancelledWire {
    found: bool,
    prompt: u64,
    generated: u64,
}

/// A prefix cache event on the wire.
#[derive(Debug)]
#[derive(Serialize)]
struct EventWire {
    seq: u64,
    op: &'static str,
    prefix: String,
}

impl From<CacheEvent> for EventWire {
    fn from(event: CacheEvent) -> Self {
        Self {
            seq: event.seq,
            op: match event.op {
                CacheOp::Add => "add",
                CacheOp::Drop => "drop",
            },
            prefix: format!("{:016x}", event.block),
        }
    }
}

/// Handles one HTTP request.
pub(super) async fn handle(context: Context, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = reply::read_body(body).await?;
    let answer = match (&head.method, head.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => {
            return chat(context, &head.headers, &body).await;
        }
        (&Method::POST, "/v1/cancel") => cancel(&context, &head.headers, &body),
        (&Method::POST, "/control") => update_switches(&context, &body),
        (&Method::GET, path) => Ok(get(&context, path, head.uri.query())),
        _ => Ok(reply::not_found()),
    };
    Ok(answer.unwrap_or_else(|malformed| malformed.response()))
}

fn get(context: &Context, path: &str, query: Option<&str>) -> Response<Body> {
    let state = context.state.lock();
    match path {
        "/v1/load" => reply::ok(&state.reported_load(Instant::now())),
        "/v1/cache" => cache_events(&state, context.settings.cache_lag, query),
        "/control" => reply::ok(&SwitchesWire::from(&state.switches)),
        "/control/counts" => reply::ok(&state.counts.to_wire(&context.settings.name)),
        _ => request_count(&state, path),
    }
}

async fn chat(context: Context, headers: &HeaderMap, body: &Bytes) -> Reply {
    let chat: ChatWire = match reply::parse(body) {
        Ok(chat) => chat,
        Err(malformed) => return Ok(malformed.response()),
    };
    let accept_delay = context.state.lock().switches.accept_delay;
    pause(accept_delay).await;
    let mut caller = Caller::from(headers);
    let (job, outputs) = match submit(&context, &mut caller, headers, &chat) {
        Ok(submitted) => submitted,
        Err(refusal) => return Ok(refusal.response()),
    };
    context.wake.notify_one();
    match chat.stream {
        true => Ok(streams::stream_answer(outputs, &job)),
        false => streams::collect_answer(outputs, &job).await,
    }
}

fn submit(
    context: &Context,
    caller: &mut Caller,
    headers: &HeaderMap,
    chat: &ChatWire,
) -> Result<(Job, Outputs), Refusal> {
    let mut state = context.state.lock();
    if caller.id.is_empty() {
        caller.id = state.anonymous_id();
    }
    state.check_arrival(caller)?;
    let unknown_model = chat.model.as_ref() != Some(&context.settings.model);
    state.counts.totals.unknown_model += u64::from(unknown_model);
    let job = build_job(caller, headers, chat);
    let (submission_id, receiver) = state.submit(job.clone(), Instant::now())?;
    drop(state);
    Ok((job, Outputs::new(context.clone(), submission_id, receiver)))
}

fn build_job(caller: &Caller, headers: &HeaderMap, chat: &ChatWire) -> Job {
    Job {
        id: caller.id.clone(),
        workspace: caller.workspace.clone(),
        router: caller.router.clone(),
        priority: reply::header_text(headers, PRIORITY_HEADER)
            .parse()
            .unwrap_or(DEFAULT_PRIORITY),
        prompt: Prompt::from(chat.messages.as_slice()),
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        resume_from: reply::header_text(headers, RESUME_HEADER).parse().ok(),
    }
}

fn cancel(
    context: &Context,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response<Body>, Malformed> {
    let wire: CancelWire = reply::parse(body)?;
    let router = Caller::from(headers).router;
    let mut state = context.state.lock();
    let used = state.cancel(&wire.id, &router, Instant::now());
    let cancelled = CancelledWire {
        found: used.is_some(),
        prompt: used.map_or(0, |used| used.prompt),
        generated: used.map_or(0, |used| used.generated),
    };
    Ok(reply::ok(&cancelled))
}

fn cache_events(state: &State, lag: Duration, query: Option<&str>) -> Response<Body> {
    let after = reply::query_value(query, "after").and_then(|text| text.parse().ok());
    let events = state
        .cache
        .events_after(after.unwrap_or(0), Instant::now(), lag);
    let events: Vec<_> = events.into_iter().map(EventWire::from).collect();
    reply::ok(&json!({"events": events}))
}

fn update_switches(context: &Context, body: &Bytes) -> Result<Response<Body>, Malformed> {
    let wire: SwitchesWire = reply::parse(body)?;
    let (refuse_ms, freeze_ms) = (wire.refuse_connect_ms, wire.freeze_ms);
    let now = Instant::now();
    let mut state = context.state.lock();
    state.switches.update(wire)?;
    if let Some(time) = refuse_ms {
        context
            .listener
            .refuse_connections(Duration::from_millis(time));
    }
    if let Some(time) = freeze_ms {
        state.freeze(Duration::from_millis(time), now);
    }
    state.record_load(now);
    context.wake.notify_one();
    Ok(reply::ok(&SwitchesWire::from(&state.switches)))
}

/// The counts of one request: `GET /control/counts/<request>`.
fn request_count(state: &State, path: &str) -> Response<Body> {
    let id = path.strip_prefix("/control/counts/");
    match id.and_then(|id| state.counts.request(id)) {
        Some(count) => reply::ok(count),
        None => reply::not_found(),
    }
}
