//! A caller's request, read and checked.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use poplar_core::config::Class;
use poplar_core::id::{Name, RequestId};
use poplar_core::poison::Fingerprint;
use poplar_core::prefix::BlockHashes;
use poplar_core::queue;

use crate::refusal::{Code, Refusal};

/// Tokens that a message may cost beyond its bytes.
const MESSAGE_TOKENS: u64 = 8;

/// Bytes of prompt to a token, for predictions only.
const TOKEN_BYTES: usize = 4;

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
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

/// A chat request's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// The class's name.
    pub model: String,
    /// The chat so far.
    pub messages: Vec<Message>,
    /// The caller's cap on output, in tokens.
    pub cap: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with its usage.
    pub usage: bool,
}

impl Chat {
    /// Reads a body; caps above `most` tokens are refused.
    ///
    /// # Errors
    /// Says what can't be read.
    pub fn read(body: &[u8], most: u64) -> Result<Self, Refusal> {
        let malformed = |why: String| Refusal::new(Code::Malformed).detail(why);
        let wire: ChatWire = serde_json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
        if wire.messages.is_empty() {
            return Err(malformed("messages is empty".to_owned()));
        }
        let cap = wire.max_completion_tokens.or(wire.max_tokens);
        let cap = cap.map(|cap| match u32::try_from(cap) {
            Ok(cap) if cap > 0 && u64::from(cap) <= most => Ok(cap),
            _ => Err(malformed(format!("max_tokens is {cap}, not 1 to {most}"))),
        });
        Ok(Self {
            model: wire.model,
            messages: wire.messages,
            cap: cap.transpose()?,
            stream: wire.stream,
            usage: wire.stream_options.is_some_and(|o| o.include_usage),
        })
    }

    /// The prompt's blocks, as engines hash and cache them.
    pub fn chain(&self) -> BlockHashes {
        let mut chain = BlockHashes::new();
        for message in &self.messages {
            chain.add_message(&message.role, &message.content);
        }
        chain
    }

    /// What the request is known by when it crashes backend servers.
    pub fn print(&self) -> Fingerprint {
        let mut prompt = Vec::new();
        for message in &self.messages {
            for part in [&message.role, &message.content] {
                prompt.extend_from_slice(&(part.len() as u64).to_le_bytes());
                prompt.extend_from_slice(part.as_bytes());
            }
        }
        Fingerprint::new(&self.model, &prompt)
    }

    /// The prompt's tokens as predictions take them.
    pub fn prompt_guess(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|m| m.content.len()).sum();
        bytes.div_ceil(TOKEN_BYTES) as u32
    }

    /// An upper bound on the prompt's tokens: no token is shorter than a byte.
    pub fn prompt_bound(&self) -> u64 {
        let bytes = |m: &Message| (m.role.len() + m.content.len()) as u64 + MESSAGE_TOKENS;
        self.messages.iter().map(bytes).sum()
    }
}

/// A request on its way through the router.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request's identity.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: Name,
    /// Its class of work as of its arrival.
    pub class: Class,
    /// The budget it is paid from.
    pub budget: Name,
    /// Hash of its body, to tell a reused key.
    pub body: u64,
    /// When it arrived.
    pub arrived: Instant,
}

impl Job {
    /// When the whole answer is due.
    pub fn due(&self) -> Instant {
        self.arrived + self.class.finish_target
    }

    /// What is left until the whole answer is due.
    pub fn left(&self, now: Instant) -> Duration {
        self.due().saturating_duration_since(now)
    }

    /// Urgency at backend servers: 0 is most urgent, 9 least.
    pub fn priority(&self) -> u8 {
        queue::priority_for_target(self.class.first_target.unwrap_or(self.class.finish_target))
    }
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// The path at the backend server, with its leading slash.
    pub path: String,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The body's type, where the caller gave one.
    pub content: Option<String>,
}
