//! Reads the event stream of a model engine and puts its chunks in order.
//!
//! Chunks of other requests and duplicates are dropped; chunks that arrive early
//! are buffered. The caller thus receives the tokens of its own request, each
//! once and in order.

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use poplar_core::sorted::SortedVec;

/// Most chunks buffered while an earlier one is missing.
const MAX_EARLY_CHUNKS: usize = 64;
/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One part of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// The text of the next token.
    Token(String),
    /// The end of the text, with the finish reason.
    Finish(String),
    /// Token counts of the complete answer.
    Usage {
        /// Prompt tokens.
        prompt: u64,
        /// Output tokens.
        output: u64,
    },
}

/// Why a stream can't be continued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamError {
    /// The connection ended early or failed.
    Lost(String),
    /// A chunk is missing, or an event can't be parsed.
    Malformed(String),
}

impl std::fmt::Display for StreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Lost(why) => write!(f, "stream lost: {why}"),
            Self::Malformed(why) => write!(f, "stream malformed: {why}"),
        }
    }
}

impl std::error::Error for StreamError {}

#[derive(Debug)]
#[derive(Deserialize)]
struct EventWire {
    id: String,
    #[serde(default)]
    seq: Option<u64>,
    #[serde(default)]
    choices: Vec<ChoiceWire>,
    usage: Option<UsageWire>,
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
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Restores the order of one request's chunks.
#[derive(Debug)]
pub struct ChunkSequence {
    id: String,
    next: u64,
    early: SortedVec<u64, Chunk>,
    finished: bool,
    /// Number of chunks dropped as duplicates or as another request's.
    pub dropped: u64,
}

impl ChunkSequence {
    /// Expects the chunks of request `id`, starting at token `next`.
    pub fn new(id: &str, next: u64) -> Self {
        Self {
            id: id.to_owned(),
            next,
            early: SortedVec::new(),
            finished: false,
            dropped: 0,
        }
    }

    /// Parses the data of one event and appends the chunks that are now in order
    /// to `out`.
    ///
    /// # Errors
    /// If the event can't be parsed, or too many chunks wait for a missing one.
    pub fn accept(&mut self, data: &[u8], out: &mut Vec<Chunk>) -> Result<(), StreamError> {
        let event: EventWire =
            serde_json::from_slice(data).map_err(|e| StreamError::Malformed(e.to_string()))?;
        if event.id != self.id {
            self.dropped += 1;
            return Ok(());
        }
        if let Some(usage) = event.usage {
            // Usage covers the complete answer, so it must not overtake a chunk.
            if !self.finished {
                return Err(StreamError::Malformed(
                    "usage chunk before the end of the text".to_owned(),
                ));
            }
            out.push(Chunk::Usage {
                prompt: usage.prompt_tokens,
                output: usage.completion_tokens,
            });
            return Ok(());
        }
        let (Some(seq), Some(choice)) = (event.seq, event.choices.into_iter().next()) else {
            return Err(StreamError::Malformed(
                "chunk without seq or choices".to_owned(),
            ));
        };
        let chunk = match choice.finish_reason {
            Some(reason) => Chunk::Finish(reason),
            None => Chunk::Token(choice.delta.content.unwrap_or_default()),
        };
        self.insert(seq, chunk, out)
    }

    fn insert(&mut self, seq: u64, chunk: Chunk, out: &mut Vec<Chunk>) -> Result<(), StreamError> {
        if seq < self.next || self.finished || self.early.contains(&seq) {
            self.dropped += 1;
            return Ok(());
        }
        self.early.insert(seq, chunk);
        while let Some(chunk) = self.early.remove(&self.next) {
            self.next += 1;
            self.finished = matches!(chunk, Chunk::Finish(_));
            out.push(chunk);
        }
        if self.early.len() > MAX_EARLY_CHUNKS {
            return Err(StreamError::Malformed(format!(
                "chunk {} is missing",
                self.next
            )));
        }
        Ok(())
    }
}

/// Reads chunks from the body of an engine's response.
#[derive(Debug)]
pub struct ChunkReader {
    body: Incoming,
    buffer: BytesMut,
    sequence: ChunkSequence,
    in_order: Vec<Chunk>,
}

impl ChunkReader {
    /// Reads `body` as the answer to request `id`, starting at token `next`.
    pub fn open(body: Incoming, id: &str, next: u64) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            sequence: ChunkSequence::new(id, next),
            in_order: Vec::new(),
        }
    }

    /// Waits for the next chunks in order, at least one.
    ///
    /// # Errors
    /// If the stream ended early or can't be parsed.
    pub async fn next(&mut self) -> Result<Vec<Chunk>, StreamError> {
        while self.in_order.is_empty() {
            let frame = self.body.frame().await;
            let frame = frame
                .ok_or_else(|| StreamError::Lost("ended before the usage chunk".to_owned()))?;
            let frame = frame.map_err(|e| StreamError::Lost(e.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.buffer.extend_from_slice(&data);
            self.parse_events()?;
        }
        Ok(std::mem::take(&mut self.in_order))
    }

    fn parse_events(&mut self) -> Result<(), StreamError> {
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            self.buffer.advance(2);
            let data = event.strip_prefix(b"data: ").unwrap_or(&event);
            if data != b"[DONE]" && !data.is_empty() {
                self.sequence.accept(data, &mut self.in_order)?;
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(StreamError::Malformed(
                "event exceeds the maximum size".to_owned(),
            ));
        }
        Ok(())
    }
}

fn event_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}
