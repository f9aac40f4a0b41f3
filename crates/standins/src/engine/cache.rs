//! The prefix cache: blocks of prompts in bounded memory.
//!
//! The least recently used block goes first. Every change is an event with a
//! sequence number. Events show late, some never, and only the newest are kept.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplar_core::sorted::SortedVec;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How many events are kept.
const MAX_EVENTS: usize = 8192;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheOp {
    /// It came into the cache.
    Add,
    /// It left the cache.
    Drop,
}

/// A change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Counts all events from 1, also those that get lost.
    pub seq: u64,
    /// What happened.
    pub op: CacheOp,
    /// The block's chained hash.
    pub block: u64,
    /// When it happened.
    pub at: Instant,
}

/// How the cache is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How many blocks it holds.
    pub blocks: usize,
    /// Share of events that get lost, 0 to 1.
    pub event_loss: f64,
    /// Seed of the losses.
    pub seed: u64,
}

/// The prefix cache.
#[derive(Debug)]
pub struct Cache {
    blocks: usize,
    event_loss: f64,
    random: StdRng,
    /// Time of last use by block, in uses.
    last_use: SortedVec<u64, u64>,
    /// Uses in order; one that a later use of its block followed is stale.
    use_order: VecDeque<(u64, u64)>,
    use_count: u64,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl Cache {
    /// An empty cache.
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

    /// How many leading blocks of a prompt are in the cache; uses them.
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

    /// Takes the blocks of a prompt in.
    pub fn insert(&mut self, prompt: &[u64], now: Instant) {
        // What does not fit would only drive out the prompt's own start.
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

    /// Events after `seq` that are at least `lag` old.
    pub fn events_after(&self, seq: u64, now: Instant, lag: Duration) -> Vec<CacheEvent> {
        let from = self.events.partition_point(|e| e.seq <= seq);
        let events = self.events.range(from..);
        let shown = events.take_while(|e| e.at + lag <= now);
        shown.copied().collect()
    }

    /// How many blocks are in the cache.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
}
