//! Prompt prefixes and an estimate of which backend servers have them cached.
//!
//! A prompt is cut into blocks whose hashes are chained, so that the hash of a
//! block identifies the whole prompt up to the end of that block. The estimate
//! of a server's cache combines its cache events, which come late and with
//! gaps, with the prompts that this router sent there. A wrong estimate costs
//! time and nothing else.

mod recent;
mod view;

pub use recent::RecentServers;
pub use view::{CacheEvent, CacheOp, CacheView};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Size of one block.
pub const BLOCK_BYTES: usize = 256;

/// Chained hashes of a prompt's blocks, computed as the prompt is added.
#[derive(Debug, Clone, Default)]
pub struct BlockHashes {
    hashes: Vec<u64>,
    block: Vec<u8>,
    bytes: usize,
}

impl BlockHashes {
    /// Creates the hashes of an empty prompt.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one message of the prompt.
    pub fn add_message(&mut self, role: &str, content: &str) {
        for part in [role, "\n", content, "\n"] {
            self.write(part.as_bytes());
        }
    }

    /// Adds bytes of the prompt.
    pub fn write(&mut self, mut bytes: &[u8]) {
        self.bytes += bytes.len();
        while !bytes.is_empty() {
            let free = BLOCK_BYTES - self.block.len();
            let (part, rest) = bytes.split_at(free.min(bytes.len()));
            self.block.extend_from_slice(part);
            bytes = rest;
            if self.block.len() == BLOCK_BYTES {
                let hash = match self.hashes.last() {
                    Some(last) => xxh3_64_with_seed(&self.block, *last),
                    None => xxh3_64(&self.block),
                };
                self.hashes.push(hash);
                self.block.clear();
            }
        }
    }

    /// Hashes of the complete blocks.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Estimated tokens in the first `blocks` blocks of a prompt of `tokens`.
    pub fn tokens_in(&self, blocks: usize, tokens: u32) -> u32 {
        let share = (blocks * BLOCK_BYTES) as f64 / self.bytes.max(1) as f64;
        (f64::from(tokens) * share.min(1.0)) as u32
    }
}
