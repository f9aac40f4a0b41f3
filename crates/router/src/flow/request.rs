//! A caller's request after parsing and validation.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use poplar_core::config::Class;
use poplar_core::id::{Name, RequestId};
use poplar_core::poison::Fingerprint;
use poplar_core::prefix::BlockHashes;
use poplar_core::queue;

use crate::refusal::{Code, Refusal};

/// Upper bound on the tokens of a message beyond one per byte.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// Average bytes per prompt token, for predictions only.
const BYTES_PER_TOKEN: usize = 4;

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// The author's role, such as `user` or `system`.
    pub role: String,
    /// The message's text.
    pub content: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatWire {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<i64>,
    max_completion_tokens: Option<i64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<OptionsWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct OptionsWire {
    #[serde(default)]
    include_usage: bool,
}

/// The parsed body of a chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// The class's name, which callers give as the model.
    pub model: String,
    /// The messages of the prompt.
    pub messages: Vec<Message>,
    /// The caller's cap on output, in tokens.
    pub cap: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with a usage chunk.
    pub include_usage: bool,
}

impl Chat {
    /// Parses a body; an output cap above `max_output` tokens is refused.
    ///
    /// # Errors
    /// A refusal that says what is malformed.
    pub fn parse(body: &[u8], max_output: u64) -> Result<Self, Refusal> {
        let malformed = |why: String| Refusal::new(Code::Malformed).detail(why);
        let wire: ChatWire = serde_json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
        if wire.messages.is_empty() {
            return Err(malformed("messages is empty".to_owned()));
        }
        let cap = wire.max_completion_tokens.or(wire.max_tokens);
        let cap = cap.map(|cap| match u32::try_from(cap) {
            Ok(cap) if cap > 0 && u64::from(cap) <= max_output => Ok(cap),
            _ => Err(malformed(format!(
                "max_tokens is {cap}, not 1 to {max_output}"
            ))),
        });
        Ok(Self {
            model: wire.model,
            messages: wire.messages,
            cap: cap.transpose()?,
            stream: wire.stream,
            include_usage: wire.stream_options.is_some_and(|o| o.include_usage),
        })
    }

    /// The prompt's block hashes, computed as engines do for their prefix cache.
    pub fn block_hashes(&self) -> BlockHashes {
        let mut hashes = BlockHashes::new();
        for message in &self.messages {
            hashes.add_message(&message.role, &message.content);
        }
        hashes
    }

    /// The hash that identifies requests with this model and prompt when they
    /// crash backend servers.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut prompt = Vec::new();
        for message in &self.messages {
            for part in [&message.role, &message.content] {
                prompt.extend_from_slice(&(part.len() as u64).to_le_bytes());
                prompt.extend_from_slice(part.as_bytes());
            }
        }
        Fingerprint::new(&self.model, &prompt)
    }

    /// Estimated tokens of the prompt, for predictions.
    pub fn estimated_prompt(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|m| m.content.len()).sum();
        bytes.div_ceil(BYTES_PER_TOKEN) as u32
    }

    /// An upper bound on the prompt's tokens: no token is shorter than a byte.
    pub fn max_prompt(&self) -> u64 {
        let bytes = |m: &Message| (m.role.len() + m.content.len()) as u64 + MESSAGE_OVERHEAD_TOKENS;
        self.messages.iter().map(bytes).sum()
    }
}

/// A validated request, with what all steps of its processing need.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request's identity.
    pub id: RequestId,
    /// The workspace it belongs to.
    pub workspace: Name,
    /// Its class, from the configuration in force at its arrival.
    pub class: Class,
    /// The budget it is paid from.
    pub budget: Name,
    /// Hash of its body, to detect a key reused with another body.
    pub body_hash: u64,
    /// When it arrived.
    pub arrived: Instant,
}

impl Job {
    /// When the complete answer is due.
    pub fn deadline(&self) -> Instant {
        self.arrived + self.class.finish_target
    }

    /// Time left until the complete answer is due.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline().saturating_duration_since(now)
    }

    /// Priority at backend servers: 0 is most urgent, 9 least.
    pub fn priority(&self) -> u8 {
        queue::priority_for_target(self.class.first_target.unwrap_or(self.class.finish_target))
    }
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// The path on the backend server, with its leading slash.
    pub path: String,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The body's content type, if the caller gave one.
    pub content_type: Option<String>,
}
