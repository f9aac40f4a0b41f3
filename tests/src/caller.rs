//! Sends one attempt of a request to a router and checks the answer.
//!
//! The stand-in engine's text is a function of the prompt, so that every answer
//! can be compared with the expected one.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use poplar_core::id::RequestId;
use poplar_standins::engine::text::{self, Message, Prompt};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::audit;
use crate::error::{Error, Result};
use crate::fleet::{Fleet, access_key};
use crate::record::{Outcome, Record};
use crate::web::{self, Answer};

/// Output cap of the class in tokens, used if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 300;
/// Fraction of the budget below which a refusal does not count as false.
const BUDGET_END_SHARE: f64 = 0.02;

/// Time-out of a request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Error message of a call that timed out.
const TIMED_OUT: &str = "silent";

/// Kind and content of a request.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A chat completion.
    Chat {
        /// Text of the prompt's only message.
        text: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// Output cap in tokens, sent as `max_tokens`.
        cap: Option<u32>,
    },
    /// A call of a service.
    Call {
        /// Path at the service.
        path: String,
        /// Request body.
        body: String,
    },
}

/// A request to one router.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Name of the router.
    pub router: String,
    /// Workspace that sends the request.
    pub workspace: String,
    /// Class of the request.
    pub class: String,
    /// Idempotency key, if one is sent.
    pub key: Option<String>,
    /// Kind and content.
    pub payload: Payload,
}

impl CallerRequest {
    fn path(&self) -> String {
        match &self.payload {
            Payload::Chat { .. } => "/v1/chat/completions".to_owned(),
            Payload::Call { path, .. } => format!("/v1/services/{}/{path}", self.class),
        }
    }

    fn body(&self) -> String {
        match &self.payload {
            Payload::Call { body, .. } => body.clone(),
            Payload::Chat { text, stream, cap } => {
                let mut body = json!({
                    "model": self.class, "stream": stream,
                    "messages": [{"role": "user", "content": text}],
                    "stream_options": {"include_usage": true},
                });
                if let Some(cap) = cap {
                    body["max_tokens"] = json!(cap);
                }
                body.to_string()
            }
        }
    }

    /// Returns the expected text, and its prompt and output tokens.
    fn expected_answer(&self) -> (String, (u64, u64)) {
        let Payload::Chat { text, cap, .. } = &self.payload else {
            return (String::new(), (0, 1));
        };
        let message = Message {
            role: "user".to_owned(),
            content: text.clone(),
        };
        let prompt = Prompt::from([message].as_slice());
        let length = prompt.natural_length.min(cap.unwrap_or(DEFAULT_MAX_TOKENS));
        let answer = text::answer(prompt.hash, length);
        (answer, (prompt.tokens, u64::from(length)))
    }

    /// Upper bound on the tokens that the request may cost.
    fn worst_case_tokens(&self) -> u64 {
        match &self.payload {
            Payload::Call { .. } => 1,
            Payload::Chat { text, cap, .. } => {
                text.len() as u64 + u64::from(cap.unwrap_or(DEFAULT_MAX_TOKENS)) + 16
            }
        }
    }
}

/// Sends one attempt and records its outcome.
///
/// # Errors
/// If the harness fails; failures of the router are outcomes.
pub async fn send(fleet: &Fleet, request: &CallerRequest) -> Result<Record> {
    let to = fleet.router(&request.router)?.callers;
    let key = access_key(&request.workspace);
    let mut http_request = Request::post(request.path())
        .header("host", to.to_string())
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {key}"));
    if let Some(key) = &request.key {
        http_request = http_request.header("idempotency-key", key);
    }
    let http_request = http_request.body(Full::new(Bytes::from(request.body())));
    let http_request = http_request.map_err(|e| Error::new("request", e))?;
    let answer = tokio::time::timeout(CALLER_TIMEOUT, web::call(to, http_request)).await;
    let answer = answer.unwrap_or_else(|_| Err(TIMED_OUT.into()));
    let mut record = Record {
        id: request_id(request, answer.as_ref().ok()),
        workspace: request.workspace.clone(),
        class: request.class.clone(),
        tokens: request.expected_answer().1,
        outcome: read_outcome(request, answer),
        false_refusal: false,
        ran_before: false,
        retried: false,
    };
    record.false_refusal = is_false_refusal(fleet, request, &record.outcome).await?;
    record.ran_before = ran_before_refusal(fleet, &record).await?;
    Ok(record)
}

fn request_id(request: &CallerRequest, answer: Option<&Answer>) -> Option<String> {
    if let Some(key) = &request.key {
        return Some(RequestId::from_key(&request.workspace, key).to_string());
    }
    let header = answer?.headers.get("x-request-id")?;
    header.to_str().ok().map(str::to_owned)
}

/// Whether a request refused as `not_run` had already been executed.
async fn ran_before_refusal(fleet: &Fleet, record: &Record) -> Result<bool> {
    let Outcome::Refused { code, execution } = &record.outcome else {
        return Ok(false);
    };
    // `key_reused` refuses another request with the same key, whose body differs;
    // the executions counted under this id belong to the first one.
    let Some(id) = record.id.as_ref().filter(|_| execution == "not_run") else {
        return Ok(false);
    };
    let counts = fleet.counts().await?;
    let runs = counts.iter().flat_map(|count| &count.runs);
    let ran = runs.into_iter().any(|(of, runs)| of == id && *runs > 0);
    Ok(ran && code != "key_reused")
}

async fn is_false_refusal(
    fleet: &Fleet,
    request: &CallerRequest,
    outcome: &Outcome,
) -> Result<bool> {
    let Outcome::Refused { code, .. } = outcome else {
        return Ok(false);
    };
    if !["budget_exhausted", "no_grant"].contains(&code.as_str()) {
        return Ok(false);
    }
    let (limit, used) = audit::consumed(fleet, &request.workspace).await?;
    let unspent = limit.saturating_sub(used);
    Ok(unspent >= request.worst_case_tokens() && unspent as f64 > limit as f64 * BUDGET_END_SHARE)
}

fn read_outcome(request: &CallerRequest, answer: Result<Answer>) -> Outcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(why) if why.0.starts_with("connect") => return Outcome::Unreachable,
        Err(why) if why.0 == TIMED_OUT => return Outcome::TimedOut,
        Err(_) => return Outcome::Cut,
    };
    if !answer.complete {
        return Outcome::Cut;
    }
    if answer.status != StatusCode::OK {
        return parse_refusal(&answer.body).unwrap_or_else(|| unexpected_answer(&answer));
    }
    match &request.payload {
        Payload::Call { path, .. } => check_call(&answer, path),
        Payload::Chat { stream: false, .. } => check_completion(request, &answer),
        Payload::Chat { stream: true, .. } => check_stream(request, &answer),
    }
}

fn unexpected_answer(answer: &Answer) -> Outcome {
    let text = String::from_utf8_lossy(&answer.body);
    Outcome::Wrong(format!("{} {text}", answer.status))
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RefusedWire {
    error: ErrorWire,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ErrorWire {
    code: String,
    #[serde(rename = "run")]
    execution: String,
}

fn parse_refusal(body: &[u8]) -> Option<Outcome> {
    let wire: RefusedWire = serde_json::from_slice(body).ok()?;
    Some(Outcome::Refused {
        code: wire.error.code,
        execution: wire.error.execution,
    })
}

fn check_call(answer: &Answer, path: &str) -> Outcome {
    let Ok(body) = answer.json::<Value>() else {
        return unexpected_answer(answer);
    };
    let id = answer.headers.get("x-request-id");
    let own = id.is_some_and(|id| body["id"] == id.to_str().unwrap_or_default());
    match own && body["path"] == format!("/{path}") {
        true => Outcome::Complete,
        false => unexpected_answer(answer),
    }
}

fn check_answer(request: &CallerRequest, text: &str, reason: &Value, usage: &Value) -> Outcome {
    let (expected, tokens) = request.expected_answer();
    if text != expected {
        let (length, wanted) = (text.len(), expected.len());
        return Outcome::Wrong(format!("{length} bytes, {wanted} expected"));
    }
    if !reason.is_string() {
        return Outcome::Wrong("no finish_reason".to_owned());
    }
    let reported = (&usage["prompt_tokens"], &usage["completion_tokens"]);
    match reported == (&json!(tokens.0), &json!(tokens.1)) {
        true => Outcome::Complete,
        false => Outcome::Wrong(format!("usage {usage}, expected {tokens:?}")),
    }
}

fn check_completion(request: &CallerRequest, answer: &Answer) -> Outcome {
    let Ok(body) = answer.json::<Value>() else {
        return unexpected_answer(answer);
    };
    let choice = &body["choices"][0];
    let text = choice["message"]["content"].as_str().unwrap_or_default();
    check_answer(request, text, &choice["finish_reason"], &body["usage"])
}

fn check_stream(request: &CallerRequest, answer: &Answer) -> Outcome {
    let (mut text, mut done) = (String::new(), false);
    let (mut reason, mut usage) = (Value::Null, Value::Null);
    for line in String::from_utf8_lossy(&answer.body).lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        if let Some(refusal) = parse_refusal(data.as_bytes()) {
            return refusal;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let choice = &event["choices"][0];
        text.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        if choice["finish_reason"].is_string() {
            reason = choice["finish_reason"].clone();
        }
        if event["usage"].is_object() {
            usage = event["usage"].clone();
        }
    }
    match done {
        true => check_answer(request, &text, &reason, &usage),
        false => Outcome::Cut,
    }
}
