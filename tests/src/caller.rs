//! One attempt of a caller at a router, and whether the answer is the right one.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use poplar_core::id::RequestId;
use poplar_standins::engine::text::{self, Message, Prompt};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::audit;
use crate::fault::{Fault, Result};
use crate::fleet::{Fleet, access_key};
use crate::record::{Outcome, Record};
use crate::web::{self, Answer};

/// Cap on output where the caller names none, in tokens.
const CAP: u32 = 300;
/// Share of a budget at its end in which refusals are no false ones.
const LAST: f64 = 0.02;

/// How long a caller waits before it gives up.
const PATIENCE: Duration = Duration::from_secs(30);
/// The fault of a call that was given up.
const SILENT: &str = "silent";

/// What is asked.
#[derive(Debug, Clone)]
pub enum What {
    /// A chat completion.
    Chat {
        /// The prompt's only message.
        text: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// Cap on output in tokens.
        cap: Option<u32>,
    },
    /// A call of a service.
    Call {
        /// The path at the service.
        path: String,
        /// The body.
        body: String,
    },
}

/// A request as it is sent to one router.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The router's name.
    pub at: String,
    /// Whose request it is.
    pub workspace: String,
    /// Its class of work.
    pub class: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// What is asked.
    pub what: What,
}

impl Ask {
    fn path(&self) -> String {
        match &self.what {
            What::Chat { .. } => "/v1/chat/completions".to_owned(),
            What::Call { path, .. } => format!("/v1/services/{}/{path}", self.class),
        }
    }

    fn body(&self) -> String {
        match &self.what {
            What::Call { body, .. } => body.clone(),
            What::Chat { text, stream, cap } => {
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

    /// The right answer's text and its tokens.
    fn right(&self) -> (String, (u64, u64)) {
        let What::Chat { text, cap, .. } = &self.what else {
            return (String::new(), (0, 1));
        };
        let message = Message {
            role: "user".to_owned(),
            content: text.clone(),
        };
        let prompt = Prompt::from([message].as_slice());
        let length = prompt.natural_length.min(cap.unwrap_or(CAP));
        let answer = text::answer(prompt.hash, length);
        (answer, (prompt.tokens, u64::from(length)))
    }

    /// Tokens that it may cost at the most.
    fn worst(&self) -> u64 {
        match &self.what {
            What::Call { .. } => 1,
            What::Chat { text, cap, .. } => text.len() as u64 + u64::from(cap.unwrap_or(CAP)) + 16,
        }
    }
}

/// Asks once.
///
/// # Errors
/// Where the test itself went wrong.
pub async fn ask(fleet: &Fleet, ask: &Ask) -> Result<Record> {
    let to = fleet.router(&ask.at)?.callers;
    let key = access_key(&ask.workspace);
    let mut request = Request::post(ask.path())
        .header("host", to.to_string())
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {key}"));
    if let Some(key) = &ask.key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from(ask.body())));
    let request = request.map_err(|e| Fault::of("request", e))?;
    let answer = tokio::time::timeout(PATIENCE, web::call(to, request)).await;
    let answer = answer.unwrap_or_else(|_| Err(SILENT.into()));
    let mut record = Record {
        id: identity(ask, answer.as_ref().ok()),
        workspace: ask.workspace.clone(),
        class: ask.class.clone(),
        tokens: ask.right().1,
        outcome: outcome(ask, answer),
        falsely: false,
        ran: false,
        retried: false,
    };
    record.falsely = falsely(fleet, ask, &record.outcome).await?;
    record.ran = ran(fleet, &record).await?;
    Ok(record)
}

fn identity(ask: &Ask, answer: Option<&Answer>) -> Option<String> {
    if let Some(key) = &ask.key {
        return Some(RequestId::from_key(&ask.workspace, key).to_string());
    }
    let header = answer?.headers.get("x-request-id")?;
    header.to_str().ok().map(str::to_owned)
}

/// Whether a request that is said not to have run had run by then.
async fn ran(fleet: &Fleet, record: &Record) -> Result<bool> {
    let Outcome::Refused { code, run } = &record.outcome else {
        return Ok(false);
    };
    // With another body it is another request that did not run.
    let Some(id) = record.id.as_ref().filter(|_| run == "not_run") else {
        return Ok(false);
    };
    let counts = fleet.counts().await?;
    let runs = counts.iter().flat_map(|count| &count.runs);
    let ran = runs.into_iter().any(|(of, runs)| of == id && *runs > 0);
    Ok(ran && code != "key_reused")
}

async fn falsely(fleet: &Fleet, ask: &Ask, outcome: &Outcome) -> Result<bool> {
    let Outcome::Refused { code, .. } = outcome else {
        return Ok(false);
    };
    if !["budget_exhausted", "no_grant"].contains(&code.as_str()) {
        return Ok(false);
    }
    let (limit, used) = audit::consumed(fleet, &ask.workspace).await?;
    let unspent = limit.saturating_sub(used);
    Ok(unspent >= ask.worst() && unspent as f64 > limit as f64 * LAST)
}

fn outcome(ask: &Ask, answer: Result<Answer>) -> Outcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(why) if why.0.starts_with("connect") => return Outcome::Unreachable,
        Err(why) if why.0 == SILENT => return Outcome::Silent,
        Err(_) => return Outcome::Cut,
    };
    if !answer.whole {
        return Outcome::Cut;
    }
    if answer.status != StatusCode::OK {
        return refused(&answer.body).unwrap_or_else(|| strange(&answer));
    }
    match &ask.what {
        What::Call { path, .. } => called(&answer, path),
        What::Chat { stream: false, .. } => completed(ask, &answer),
        What::Chat { stream: true, .. } => streamed(ask, &answer),
    }
}

fn strange(answer: &Answer) -> Outcome {
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
    run: String,
}

fn refused(body: &[u8]) -> Option<Outcome> {
    let wire: RefusedWire = serde_json::from_slice(body).ok()?;
    Some(Outcome::Refused {
        code: wire.error.code,
        run: wire.error.run,
    })
}

fn called(answer: &Answer, path: &str) -> Outcome {
    let Ok(body) = answer.json::<Value>() else {
        return strange(answer);
    };
    let id = answer.headers.get("x-request-id");
    let own = id.is_some_and(|id| body["id"] == id.to_str().unwrap_or_default());
    match own && body["path"] == format!("/{path}") {
        true => Outcome::Whole,
        false => strange(answer),
    }
}

fn compare(ask: &Ask, text: &str, reason: &Value, usage: &Value) -> Outcome {
    let (right, tokens) = ask.right();
    if text != right {
        let (is, wanted) = (text.len(), right.len());
        return Outcome::Wrong(format!("{is} bytes, not the {wanted} of the engine"));
    }
    if !reason.is_string() {
        return Outcome::Wrong("no reason of its end".to_owned());
    }
    let told = (&usage["prompt_tokens"], &usage["completion_tokens"]);
    match told == (&json!(tokens.0), &json!(tokens.1)) {
        true => Outcome::Whole,
        false => Outcome::Wrong(format!("usage {usage}, not {tokens:?}")),
    }
}

fn completed(ask: &Ask, answer: &Answer) -> Outcome {
    let Ok(body) = answer.json::<Value>() else {
        return strange(answer);
    };
    let choice = &body["choices"][0];
    let text = choice["message"]["content"].as_str().unwrap_or_default();
    compare(ask, text, &choice["finish_reason"], &body["usage"])
}

fn streamed(ask: &Ask, answer: &Answer) -> Outcome {
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
        if let Some(refused) = refused(data.as_bytes()) {
            return refused;
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
        true => compare(ask, &text, &reason, &usage),
        false => Outcome::Cut,
    }
}
