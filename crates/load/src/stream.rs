//! Parses a streamed answer: server-sent events in the OpenAI chat format.

use std::time::Instant;

use poplar_core::id::Name;
use serde::Deserialize;

use crate::retry::Refusal;

/// One event of a streamed answer.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct EventWire {
    #[serde(default)]
    choices: Vec<ChoiceWire>,
    usage: Option<UsageWire>,
    error: Option<ErrorWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChoiceWire {
    #[serde(default)]
    delta: DeltaWire,
    finish_reason: Option<String>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct DeltaWire {
    content: Option<String>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct UsageWire {
    completion_tokens: u64,
}

/// The error object of a refusal, in an event or a body.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct ErrorWire {
    code: Name,
    #[serde(default, rename = "run")]
    execution: Option<Name>,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// The body of a refusal.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct RefusalWire {
    /// Code and details of the refusal.
    pub error: ErrorWire,
}

impl From<ErrorWire> for Refusal {
    fn from(wire: ErrorWire) -> Self {
        Self {
            code: wire.code,
            execution: wire.execution.unwrap_or_else(|| "unknown".into()),
            retry_after: wire.retry_after_ms.map(std::time::Duration::from_millis),
        }
    }
}

/// Incremental parser of a streamed answer.
#[derive(Debug, Default)]
pub struct Reader {
    partial_line: Vec<u8>,
    /// Arrival of the first token.
    pub first_token: Option<Instant>,
    /// Arrival of the latest token.
    last_token: Option<Instant>,
    /// Times between tokens, in microseconds.
    pub token_gaps: Vec<u32>,
    /// The text so far.
    pub text: String,
    /// Number of chunks with text.
    pub chunks: u64,
    /// Number of output tokens that the last event reports.
    pub usage: Option<u64>,
    /// The `finish_reason` of the answer.
    pub finish_reason: Option<String>,
    /// Whether the `[DONE]` event arrived.
    pub done: bool,
    /// Refusal that arrived as an event.
    pub refusal: Option<Refusal>,
    /// Whether an event could not be parsed.
    pub malformed: bool,
}

impl Reader {
    /// Parses bytes that arrived at `now`.
    pub fn push(&mut self, bytes: &[u8], now: Instant) {
        self.partial_line.extend_from_slice(bytes);
        while let Some(end) = self.partial_line.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.partial_line.drain(..=end).collect();
            if let Some(data) = line.trim_ascii().strip_prefix(b"data:") {
                self.handle_event(data.trim_ascii(), now);
            }
        }
    }

    fn handle_event(&mut self, data: &[u8], now: Instant) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_slice::<EventWire>(data) else {
            self.malformed = true;
            return;
        };
        if let Some(error) = event.error {
            self.refusal = Some(error.into());
        }
        if let Some(usage) = event.usage {
            self.usage = Some(usage.completion_tokens);
        }
        for choice in event.choices {
            if let Some(content) = choice.delta.content.filter(|c| !c.is_empty()) {
                self.record_token(&content, now);
            }
            if choice.finish_reason.is_some() {
                self.finish_reason = choice.finish_reason;
            }
        }
    }

    fn record_token(&mut self, content: &str, now: Instant) {
        if let Some(last) = self.last_token {
            let gap = now.saturating_duration_since(last).as_micros();
            self.token_gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
        }
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
        self.text.push_str(content);
        self.chunks += 1;
    }

    /// Whether the answer is complete: finish reason, usage and `[DONE]` arrived
    /// and there was neither a refusal nor a malformed event.
    pub fn is_complete(&self) -> bool {
        let ended = self.done && self.finish_reason.is_some() && self.usage.is_some();
        ended && self.refusal.is_none() && !self.malformed
    }
}
