//! Prefix cache of prompt blocks, with bounded capacity and LRU eviction.
//!
//! Every insertion and eviction is an event with a sequence number. Events are
//! published after a delay, a fraction of them is lost, and only the newest are
//! kept.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplar_core::sorted::SortedVec;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How many of the newest events are kept.
const MAX_EVENTS: usize = 8192;

/// The change that an event reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheOp {
    /// A block was added to the cache.
    Add,
    /// A block was evicted from the cache.
    Drop,
}

/// A change to the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number, from 1; lost events are counted too.
    pub seq: u64,
    /// The kind of change.
    pub op: CacheOp,
    /// Chained hash of the block.
    pub block: u64,
    /// When the change happened.
    pub at: Instant,
}

/// Settings of the cache.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Capacity in blocks.
    pub blocks: usize,
    /// Fraction of events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Random seed for the lost events.
    pub seed: u64,
}

/// The prefix cache.
#[derive(Debug)]
pub struct Cache {
    blocks: usize,
    event_loss: f64,
    random: StdRng,
    /// Number of the last use of each cached block.
    last_use: SortedVec<u64, u64>,
    /// Uses in order, as use number and block. An entry is stale once its block
    /// has been used again.
    use_order: VecDeque<(u64, u64)>,
    use_count: u64,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(settings: &Settings) -> Self {
        Self {
            blocks: settings.blocks,
            event_loss: settings.event_loss,
            random: StdRng::seed_from_u64(settings.seed),
            last_use: SortedVec::new(),
            use_order: VecDeque::new(),
            use_count: 0,
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Returns how many leading blocks of a prompt are cached and marks them as
    /// used.
    pub fn lookup(&mut self, prompt: &[u64]) -> usize {
        let found = prompt
            .iter()
            .take_while(|block| self.last_use.contains(*block));
        let hits = found.count();
        for block in &prompt[..hits] {
            self.touch(*block);
        }
        hits
    }

    /// Adds the blocks of a prompt.
    pub fn insert(&mut self, prompt: &[u64], now: Instant) {
        // Blocks beyond the capacity would only evict the start of the same prompt.
        for block in prompt.iter().take(self.blocks) {
            if !self.last_use.contains(block) {
                self.record_event(CacheOp::Add, *block, now);
            }
            self.touch(*block);
        }
        while self.last_use.len() > self.blocks {
            self.evict(now);
        }
    }

    fn touch(&mut self, block: u64) {
        self.use_count += 1;
        self.last_use.insert(block, self.use_count);
        self.use_order.push_back((self.use_count, block));
    }

    fn evict(&mut self, now: Instant) {
        while let Some((use_number, block)) = self.use_order.pop_front() {
            if self.last_use.get(&block) == Some(&use_number) {
                self.last_use.remove(&block);
                self.record_event(CacheOp::Drop, block, now);
                return;
            }
        }
    }

    fn record_event(&mut self, op: CacheOp, block: u64, at: Instant) {
        self.seq += 1;
        if self.event_loss > 0.0 && self.random.random::<f64>() < self.event_loss {
            return;
        }
        let seq = self.seq;
        self.events.push_back(CacheEvent { seq, op, block, at });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after sequence number `seq` that are at least `lag` old.
    pub fn events_after(&self, seq: u64, now: Instant, lag: Duration) -> Vec<CacheEvent> {
        let from = self.events.partition_point(|e| e.seq <= seq);
        let events = self.events.range(from..);
        let published = events.take_while(|e| e.at + lag <= now);
        published.copied().collect()
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
}
