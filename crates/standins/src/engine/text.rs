//! Prompts and the answers generated for them.
//!
//! Each token is a pure function of the prompt and the token's index, so an
//! answer that is resumed at an offset on another engine is identical byte for
//! byte.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes per block of the prefix cache.
pub const BLOCK_BYTES: usize = 256;
/// Bytes per prompt token.
const TOKEN_BYTES: usize = 4;
/// Length of the shortest answer to a prompt without a length mark, in tokens.
const MIN_LENGTH: u64 = 16;
/// Number of different lengths of answers to prompts without a length mark.
const LENGTH_COUNT: u64 = 112;
/// Mark in a prompt that sets the natural length of its answer.
const LENGTH_MARK: &str = "[tokens=";
/// Mark in a prompt that crashes every engine that runs it.
const CRASH_MARK: &str = "[crash]";

/// Words that answers are made of.
const WORDS: [&str; 64] = [
    "amber", "arch", "ash", "bank", "beam", "bell", "bend", "blue", "bright", "brook", "calm",
    "cedar", "clear", "cliff", "coast", "copper", "crest", "dawn", "deep", "dim", "drift", "dusk",
    "east", "edge", "elm", "fade", "fern", "field", "flare", "flow", "gate", "glow", "gold",
    "grove", "harbour", "hill", "hush", "iron", "ivory", "lake", "lamp", "lane", "light", "linen",
    "low", "mist", "moon", "north", "oak", "park", "pine", "pole", "quay", "rain", "reed", "ridge",
    "sand", "shade", "slow", "south", "star", "stone", "tide", "warm",
];

/// One message of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Message {
    /// Role of the speaker.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// The properties of a prompt that an engine needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the whole prompt.
    pub hash: u64,
    /// Size in tokens, at least 1.
    pub tokens: u64,
    /// Chained hashes of its complete blocks.
    pub blocks: Vec<u64>,
    /// Length of the answer in tokens, unless the request limits it further.
    pub natural_length: u32,
    /// Whether running it crashes the engine.
    pub crashes: bool,
}

impl From<&[Message]> for Prompt {
    fn from(messages: &[Message]) -> Self {
        let mut whole = String::new();
        let mut bytes = 0;
        for message in messages {
            bytes += message.content.len();
            for part in [&message.role, "\n", &message.content, "\n"] {
                whole.push_str(part);
            }
        }
        let hash = xxh3_64(whole.as_bytes());
        let natural = || (MIN_LENGTH + hash % LENGTH_COUNT) as u32;
        Self {
            hash,
            tokens: (bytes.div_ceil(TOKEN_BYTES) as u64).max(1),
            blocks: blocks(whole.as_bytes()),
            natural_length: marked_length(&whole).unwrap_or_else(natural),
            crashes: whole.contains(CRASH_MARK),
        }
    }
}

/// Chained hashes of the complete blocks of a prompt.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hashes: Vec<u64> = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        let hash = match hashes.last() {
            Some(last) => xxh3_64_with_seed(block, *last),
            None => xxh3_64(block),
        };
        hashes.push(hash);
    }
    hashes
}

fn marked_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(LENGTH_MARK)?;
    let (number, _) = rest.split_once(']')?;
    number.parse().ok()
}

/// The token at `index` of the answer to the prompt with the hash `prompt`.
pub fn answer_token(prompt: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    match index {
        0 => word.to_owned(),
        _ => format!(" {word}"),
    }
}

/// The first `length` tokens of the answer to the prompt with the hash `prompt`.
pub fn answer(prompt: u64, length: u32) -> String {
    (0..length)
        .map(|index| answer_token(prompt, index))
        .collect()
}
