//! Prompts and the answers to them.
//!
//! An answer is a pure function of the prompt and the token's index, so that
//! one resumed at an offset on another engine is the same byte for byte.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes in a block of the prefix cache.
pub const BLOCK_BYTES: usize = 256;
/// Bytes in a prompt's token.
const TOKEN_BYTES: usize = 4;
/// Shortest natural answer, in tokens.
const MIN_LENGTH: u64 = 16;
/// How many lengths natural answers have.
const LENGTH_COUNT: u64 = 112;
/// Mark that sets an answer's natural length.
const LENGTH_MARK: &str = "[tokens=";
/// Mark of a prompt that crashes each engine that runs it.
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

/// A message of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A prompt as far as an engine cares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the whole prompt.
    pub hash: u64,
    /// Its size in tokens, at least 1.
    pub tokens: u64,
    /// Chained hashes of its whole blocks.
    pub blocks: Vec<u64>,
    /// Length of the answer if no cap is lower, in tokens.
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

/// Chained hashes of the whole blocks of a prompt.
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

/// The token at `index` of the answer to the prompt with this hash.
pub fn answer_token(prompt: u64, index: u32) -> String {
    let pick = xxh3_64_with_seed(&index.to_le_bytes(), prompt);
    let word = WORDS[(pick % WORDS.len() as u64) as usize];
    match index {
        0 => word.to_owned(),
        _ => format!(" {word}"),
    }
}

/// The first `length` tokens of an answer.
pub fn answer(prompt: u64, length: u32) -> String {
    (0..length)
        .map(|index| answer_token(prompt, index))
        .collect()
}
