//! Reads a model engine's event stream and checks each chunk.
//!
//! A chunk of another request is dropped, one that came before its turn is
//! kept until then, and one that came twice is dropped. So the caller sees the
//! tokens of its own request, each once and in order.

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use poplar_core::sorted::SortedVec;

/// Chunks kept for a turn that has not come.
const EARLY_MOST: usize = 64;
/// Bytes of one event at the most.
const EVENT_MOST: usize = 1 << 20;

/// One step of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// The next token's text.
    Token(String),
    /// The last token came; why the answer ended.
    Finish(String),
    /// Tokens of the whole answer.
    Usage {
        /// Prompt tokens.
        prompt: u64,
        /// Output tokens.
        output: u64,
    },
}

/// Why a stream can't go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamError {
    /// The connection ended early or failed.
    Lost(String),
    /// A chunk never came, or an event can't be read.
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

/// Puts the chunks of one request in order.
#[derive(Debug)]
pub struct ChunkSequence {
    id: String,
    next: u64,
    early: SortedVec<u64, Chunk>,
    finished: bool,
    /// Chunks that were dropped: foreign or repeated.
    pub dropped: u64,
}

impl ChunkSequence {
    /// Expects chunks of request `id` from token `next` on.
    pub fn new(id: &str, next: u64) -> Self {
        Self {
            id: id.to_owned(),
            next,
            early: SortedVec::new(),
            finished: false,
            dropped: 0,
        }
    }

    /// Takes one event's data; the chunk goes to `out` once its turn has come.
    ///
    /// # Errors
    /// Where it can't be read, or too many chunks wait for one that never came.
    pub fn accept(&mut self, data: &[u8], out: &mut Vec<Chunk>) -> Result<(), StreamError> {
        let event: EventWire =
            serde_json::from_slice(data).map_err(|e| StreamError::Malformed(e.to_string()))?;
        if event.id != self.id {
            self.dropped += 1;
            return Ok(());
        }
        if let Some(usage) = event.usage {
            // Usage is of the whole answer, so it may not pass a missing chunk.
            if !self.finished {
                return Err(StreamError::Malformed("usage before the end".to_owned()));
            }
            out.push(Chunk::Usage {
                prompt: usage.prompt_tokens,
                output: usage.completion_tokens,
            });
            return Ok(());
        }
        let (Some(seq), Some(choice)) = (event.seq, event.choices.into_iter().next()) else {
            return Err(StreamError::Malformed(
                "a chunk without seq or choice".to_owned(),
            ));
        };
        let chunk = match choice.finish_reason {
            Some(reason) => Chunk::Finish(reason),
            None => Chunk::Token(choice.delta.content.unwrap_or_default()),
        };
        self.place(seq, chunk, out)
    }

    fn place(&mut self, seq: u64, chunk: Chunk, out: &mut Vec<Chunk>) -> Result<(), StreamError> {
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
        if self.early.len() > EARLY_MOST {
            return Err(StreamError::Malformed(format!(
                "chunk {} is missing",
                self.next
            )));
        }
        Ok(())
    }
}

/// Reads chunks from an answer's body.
#[derive(Debug)]
pub struct ChunkReader {
    body: Incoming,
    buffer: BytesMut,
    sequence: ChunkSequence,
    ready: Vec<Chunk>,
}

impl ChunkReader {
    /// Reads `body` as the answer to request `id`, from token `next` on.
    pub fn open(body: Incoming, id: &str, next: u64) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            sequence: ChunkSequence::new(id, next),
            ready: Vec::new(),
        }
    }

    /// The chunks that came next, at least one.
    ///
    /// # Errors
    /// Where the stream ended early or can't be read.
    pub async fn next(&mut self) -> Result<Vec<Chunk>, StreamError> {
        while self.ready.is_empty() {
            let frame = self.body.frame().await;
            let frame = frame.ok_or_else(|| StreamError::Lost("ended early".to_owned()))?;
            let frame = frame.map_err(|e| StreamError::Lost(e.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.buffer.extend_from_slice(&data);
            self.split()?;
        }
        Ok(std::mem::take(&mut self.ready))
    }

    fn split(&mut self) -> Result<(), StreamError> {
        while let Some(end) = find_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            self.buffer.advance(2);
            let data = event.strip_prefix(b"data: ").unwrap_or(&event);
            if data != b"[DONE]" && !data.is_empty() {
                self.sequence.accept(data, &mut self.ready)?;
            }
        }
        if self.buffer.len() > EVENT_MOST {
            return Err(StreamError::Malformed("an event without an end".to_owned()));
        }
        Ok(())
    }
}

fn find_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}
