//! Reads a streamed answer: server-sent events in the shape that clients of
//! language models know.

use std::time::Instant;

use poplar_core::id::Name;
use serde::Deserialize;

use crate::retry::Refusal;

/// An event of an answer.
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

/// The error of a refusal, in an event or a body.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct ErrorWire {
    code: Name,
    #[serde(default)]
    run: Option<Name>,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// The body of a refusal.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct RefusalWire {
    /// What was refused.
    pub error: ErrorWire,
}

impl From<ErrorWire> for Refusal {
    fn from(wire: ErrorWire) -> Self {
        Self {
            code: wire.code,
            run: wire.run.unwrap_or_else(|| "unknown".into()),
            wait: wire.retry_after_ms.map(std::time::Duration::from_millis),
        }
    }
}

/// An answer as it comes in.
#[derive(Debug, Default)]
pub struct Reader {
    rest: Vec<u8>,
    /// When the first token came.
    pub first: Option<Instant>,
    /// When the newest token came.
    last: Option<Instant>,
    /// Times between tokens, in microseconds.
    pub gaps: Vec<u32>,
    /// The text so far.
    pub text: String,
    /// Chunks that carried text.
    pub chunks: u64,
    /// Tokens of the answer, as the last event says.
    pub usage: Option<u64>,
    /// Why the answer ended.
    pub reason: Option<String>,
    /// Whether the stream said that it is over.
    pub done: bool,
    /// A refusal within the stream.
    pub refusal: Option<Refusal>,
    /// An event could not be read.
    pub malformed: bool,
}

impl Reader {
    /// Takes bytes that came at `now`.
    pub fn take(&mut self, bytes: &[u8], now: Instant) {
        self.rest.extend_from_slice(bytes);
        while let Some(end) = self.rest.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            if let Some(data) = line.trim_ascii().strip_prefix(b"data:") {
                self.event(data.trim_ascii(), now);
            }
        }
    }

    fn event(&mut self, data: &[u8], now: Instant) {
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
                self.token(&content, now);
            }
            if choice.finish_reason.is_some() {
                self.reason = choice.finish_reason;
            }
        }
    }

    fn token(&mut self, content: &str, now: Instant) {
        if let Some(last) = self.last {
            let gap = now.saturating_duration_since(last).as_micros();
            self.gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.text.push_str(content);
        self.chunks += 1;
    }

    /// Whether the answer came whole.
    pub fn whole(&self) -> bool {
        let ended = self.done && self.reason.is_some() && self.usage.is_some();
        ended && self.refusal.is_none() && !self.malformed
    }
}
