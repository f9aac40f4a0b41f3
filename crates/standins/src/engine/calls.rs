//! The engine's calls over HTTP.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use poplar_core::id::Name;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::Desk;
use super::batch::Job;
use super::cache::{Event, Op};
use super::control::SwitchesWire;
use super::state::State;
use super::streams::{self, Outputs};
use super::text::{Message, Prompt};
use crate::door::{Caller, Refusal};
use crate::reply::{self, Body, Malformed, Reply};
use crate::shared::pause;

/// Header with the request's priority.
const PRIORITY: &str = "x-priority";
/// Header with the number of tokens that the caller has.
const RESUME: &str = "x-resume-from";
/// Priority of a request that names none.
const USUAL: u8 = 5;
/// Cap on an answer whose caller names none, in tokens.
const CAP: u32 = 4096;

/// A chat completion as it is asked for.
#[derive(Debug)]
#[derive(Deserialize)]
struct ChatWire {
    model: Option<String>,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// A request to stop another one.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct CancelWire {
    id: Name,
}

/// What a cancelled request used, in tokens.
#[derive(Debug)]
#[derive(Serialize)]
struct CancelledWire {
    found: bool,
    prompt: u64,
    generated: u64,
}

/// A change of the prefix cache.
#[derive(Debug)]
#[derive(Serialize)]
struct EventWire {
    seq: u64,
    op: &'static str,
    prefix: String,
}

impl From<Event> for EventWire {
    fn from(event: Event) -> Self {
        Self {
            seq: event.seq,
            op: match event.op {
                Op::Add => "add",
                Op::Drop => "drop",
            },
            prefix: format!("{:016x}", event.block),
        }
    }
}

/// Answers one call.
pub(super) async fn handle(desk: Desk, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = reply::whole(body).await?;
    let answered = match (&head.method, head.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => {
            return chat(desk, &head.headers, &body).await;
        }
        (&Method::POST, "/v1/cancel") => cancel(&desk, &head.headers, &body),
        (&Method::POST, "/control") => control(&desk, &body),
        (&Method::GET, path) => Ok(query(&desk, path, head.uri.query())),
        _ => Ok(reply::unknown()),
    };
    Ok(answered.unwrap_or_else(|malformed| malformed.response()))
}

fn query(desk: &Desk, path: &str, query: Option<&str>) -> Response<Body> {
    let state = desk.state.lock();
    match path {
        "/v1/load" => reply::ok(&state.load(Instant::now())),
        "/v1/cache" => cache(&state, desk.settings.cache_lag, query),
        "/control" => reply::ok(&SwitchesWire::from(&state.switches)),
        "/control/counts" => reply::ok(&state.counts.wire(&desk.settings.name)),
        _ => count(&state, path),
    }
}

async fn chat(desk: Desk, headers: &HeaderMap, body: &Bytes) -> Reply {
    let chat: ChatWire = match reply::parse(body) {
        Ok(chat) => chat,
        Err(malformed) => return Ok(malformed.response()),
    };
    let accept = desk.state.lock().switches.accept;
    pause(accept).await;
    let mut caller = Caller::from(headers);
    let (job, outputs) = match submit(&desk, &mut caller, headers, &chat) {
        Ok(submitted) => submitted,
        Err(refusal) => return Ok(refusal.response()),
    };
    desk.work.notify_one();
    match chat.stream {
        true => Ok(streams::streamed(outputs, &job)),
        false => streams::whole(outputs, &job).await,
    }
}

fn submit(
    desk: &Desk,
    caller: &mut Caller,
    headers: &HeaderMap,
    chat: &ChatWire,
) -> Result<(Job, Outputs), Refusal> {
    let mut state = desk.state.lock();
    if caller.id.is_empty() {
        caller.id = state.name();
    }
    state.arrive(caller)?;
    let strange = chat.model.as_ref() != Some(&desk.settings.model);
    state.counts.totals.strange += u64::from(strange);
    let job = job(caller, headers, chat);
    let (ticket, receiver) = state.submit(job.clone(), Instant::now())?;
    drop(state);
    Ok((job, Outputs::new(desk.clone(), ticket, receiver)))
}

fn job(caller: &Caller, headers: &HeaderMap, chat: &ChatWire) -> Job {
    Job {
        id: caller.id.clone(),
        workspace: caller.workspace.clone(),
        router: caller.router.clone(),
        priority: reply::text(headers, PRIORITY).parse().unwrap_or(USUAL),
        prompt: Prompt::from(chat.messages.as_slice()),
        cap: chat.max_tokens.unwrap_or(CAP),
        resume: reply::text(headers, RESUME).parse().ok(),
    }
}

fn cancel(desk: &Desk, headers: &HeaderMap, body: &Bytes) -> Result<Response<Body>, Malformed> {
    let wire: CancelWire = reply::parse(body)?;
    let router = Caller::from(headers).router;
    let mut state = desk.state.lock();
    let used = state.cancel(&wire.id, &router, Instant::now());
    let cancelled = CancelledWire {
        found: used.is_some(),
        prompt: used.map_or(0, |used| used.prompt),
        generated: used.map_or(0, |used| used.generated),
    };
    Ok(reply::ok(&cancelled))
}

fn cache(state: &State, lag: Duration, query: Option<&str>) -> Response<Body> {
    let after = reply::query(query, "after").and_then(|text| text.parse().ok());
    let events = state.cache.events(after.unwrap_or(0), Instant::now(), lag);
    let events: Vec<_> = events.into_iter().map(EventWire::from).collect();
    reply::ok(&json!({"events": events}))
}

fn control(desk: &Desk, body: &Bytes) -> Result<Response<Body>, Malformed> {
    let wire: SwitchesWire = reply::parse(body)?;
    let (closed, frozen) = (wire.refuse_connect_ms, wire.freeze_ms);
    let now = Instant::now();
    let mut state = desk.state.lock();
    state.switches.update(wire)?;
    if let Some(time) = closed {
        desk.gate.close(Duration::from_millis(time));
    }
    if let Some(time) = frozen {
        state.freeze(Duration::from_millis(time), now);
    }
    state.report(now);
    desk.work.notify_one();
    Ok(reply::ok(&SwitchesWire::from(&state.switches)))
}

/// The count of one request, `GET /control/counts/<request>`.
fn count(state: &State, path: &str) -> Response<Body> {
    let id = path.strip_prefix("/control/counts/");
    match id.and_then(|id| state.counts.request(id)) {
        Some(count) => reply::ok(count),
        None => reply::unknown(),
    }
}
