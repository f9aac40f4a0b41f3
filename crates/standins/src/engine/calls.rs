//! The engine's calls over HTTP.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::Desk;
use super::batch::Job;
use super::cache::Op;
use super::control::SwitchesWire;
use super::counts::CountsWire;
use super::streams::{self, Outputs};
use super::text::{Message, Prompt};
use crate::door::Caller;
use crate::serve::{self, Body, Reply};

/// Header with the request's priority.
const PRIORITY: &str = "x-priority";
/// Header with the number of tokens that the caller has.
const RESUME: &str = "x-resume-from";
/// Priority of a request that names none.
const USUAL: u8 = 5;
/// Cap on an answer whose caller names none, in tokens.
const CAP: u32 = 4096;

/// A chat completion as it is asked for.
#[derive(Debug, Deserialize)]
struct ChatWire {
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// A request to stop another one.
#[derive(Debug, Serialize, Deserialize)]
struct CancelWire {
    id: String,
}

/// A change of the prefix cache.
#[derive(Debug, Serialize)]
struct EventWire {
    seq: u64,
    op: &'static str,
    prefix: String,
}

/// Answers one call.
pub(super) async fn handle(desk: Desk, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = serve::whole(body).await?;
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::POST, "/v1/chat/completions") => chat(desk, &head.headers, &body).await,
        (&Method::POST, "/v1/cancel") => Ok(cancel(&desk, &body)),
        (&Method::GET, "/v1/load") => Ok(ok(&desk.lock().load(Instant::now()))),
        (&Method::GET, "/v1/cache") => Ok(cache(&desk, head.uri.query())),
        (&Method::GET, "/control") => Ok(ok(&SwitchesWire::from(&desk.lock().switches))),
        (&Method::POST, "/control") => Ok(control(&desk, &body)),
        (&Method::GET, "/control/counts") => Ok(ok(&CountsWire::from(&desk.lock().counts))),
        (&Method::GET, _) => Ok(count(&desk, path)),
        _ => Ok(unknown()),
    }
}

fn ok(value: &impl Serialize) -> Response<Body> {
    serve::json(StatusCode::OK, value)
}

fn unknown() -> Response<Body> {
    serve::refusal(StatusCode::NOT_FOUND, "unknown")
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|e| serve::malformed(&e))
}

async fn chat(desk: Desk, headers: &HeaderMap, body: &Bytes) -> Reply {
    let chat: ChatWire = match parse(body) {
        Ok(chat) => chat,
        Err(refusal) => return Ok(refusal),
    };
    let accept = desk.lock().switches.accept;
    if !accept.is_zero() {
        tokio::time::sleep(accept).await;
    }
    let mut caller = Caller::from(headers);
    let submitted = {
        let mut state = desk.lock();
        if caller.id.is_empty() {
            caller.id = state.name();
        }
        let job = job(&caller, headers, &chat);
        match state.arrive(&caller) {
            Ok(()) => {
                let submitted = state.submit(job.clone(), Instant::now());
                submitted.map(|(ticket, receiver)| (job, ticket, receiver))
            }
            Err(refusal) => Err(refusal),
        }
    };
    let (job, ticket, receiver) = match submitted {
        Ok(submitted) => submitted,
        Err(refusal) => return Ok(refusal.response()),
    };
    desk.work.notify_one();
    let outputs = Outputs::new(desk, ticket, receiver);
    match chat.stream {
        true => Ok(streams::streamed(outputs, &job)),
        false => streams::whole(outputs, &job).await,
    }
}

fn job(caller: &Caller, headers: &HeaderMap, chat: &ChatWire) -> Job {
    Job {
        id: caller.id.clone(),
        workspace: caller.workspace.clone(),
        priority: serve::text(headers, PRIORITY).parse().unwrap_or(USUAL),
        prompt: Prompt::from(chat.messages.as_slice()),
        cap: chat.max_tokens.unwrap_or(CAP),
        resume: serve::text(headers, RESUME).parse().ok(),
    }
}

fn cancel(desk: &Desk, body: &Bytes) -> Response<Body> {
    let wire: CancelWire = match parse(body) {
        Ok(wire) => wire,
        Err(refusal) => return refusal,
    };
    let cancelled = desk.lock().cancel(&wire.id, Instant::now());
    ok(&json!({
        "found": cancelled.found,
        "prompt": cancelled.prompt,
        "generated": cancelled.generated,
    }))
}

fn cache(desk: &Desk, query: Option<&str>) -> Response<Body> {
    let after = serve::query(query, "after").and_then(|text| text.parse().ok());
    let lag = desk.settings.cache_lag;
    let state = desk.lock();
    let events = state.cache.events(after.unwrap_or(0), Instant::now(), lag);
    let wire = events.iter().map(|event| EventWire {
        seq: event.seq,
        op: match event.op {
            Op::Add => "add",
            Op::Drop => "drop",
        },
        prefix: format!("{:016x}", event.block),
    });
    ok(&json!({"events": wire.collect::<Vec<_>>()}))
}

fn control(desk: &Desk, body: &Bytes) -> Response<Body> {
    let wire: SwitchesWire = match parse(body) {
        Ok(wire) => wire,
        Err(refusal) => return refusal,
    };
    let now = Instant::now();
    let mut state = desk.lock();
    if let Some(time) = wire.refuse_connect_ms {
        desk.gate.close(Duration::from_millis(time));
    }
    if let Some(time) = wire.freeze_ms {
        state.freeze(Duration::from_millis(time), now);
    }
    if let Err(why) = state.switches.update(wire) {
        return serve::malformed(&why);
    }
    state.report(now);
    desk.work.notify_one();
    ok(&SwitchesWire::from(&state.switches))
}

/// The count of one request, `GET /control/counts/<request>`.
fn count(desk: &Desk, path: &str) -> Response<Body> {
    let state = desk.lock();
    let id = path.strip_prefix("/control/counts/");
    match id.and_then(|id| state.counts.request(id)) {
        Some(count) => ok(count),
        None => unknown(),
    }
}
