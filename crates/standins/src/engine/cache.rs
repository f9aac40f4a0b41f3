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
const KEPT: usize = 8192;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// It came into the cache.
    Add,
    /// It left the cache.
    Drop,
}

/// A change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Counts all events from 1, also those that get lost.
    pub seq: u64,
    /// What happened.
    pub op: Op,
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
    pub gap: f64,
    /// Seed of the losses.
    pub seed: u64,
}

/// The prefix cache.
#[derive(Debug)]
pub struct Cache {
    blocks: usize,
    gap: f64,
    random: StdRng,
    /// Time of last use by block, in uses.
    used: SortedVec<u64, u64>,
    /// Uses in order; one that a later use of its block followed is stale.
    order: VecDeque<(u64, u64)>,
    uses: u64,
    events: VecDeque<Event>,
    seq: u64,
}

impl Cache {
    /// An empty cache.
    pub fn new(settings: &Settings) -> Self {
        Self {
            blocks: settings.blocks,
            gap: settings.gap,
            random: StdRng::seed_from_u64(settings.seed),
            used: SortedVec::new(),
            order: VecDeque::new(),
            uses: 0,
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// How many leading blocks of a prompt are in the cache; uses them.
    pub fn hits(&mut self, prompt: &[u64]) -> usize {
        let found = prompt.iter().take_while(|block| self.used.contains(*block));
        let hits = found.count();
        for block in &prompt[..hits] {
            self.touch(*block);
        }
        hits
    }

    /// Takes the blocks of a prompt in.
    pub fn add(&mut self, prompt: &[u64], now: Instant) {
        // What does not fit would only drive out the prompt's own start.
        for block in prompt.iter().take(self.blocks) {
            if !self.used.contains(block) {
                self.note(Op::Add, *block, now);
            }
            self.touch(*block);
        }
        while self.used.len() > self.blocks {
            self.evict(now);
        }
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        self.used.insert(block, self.uses);
        self.order.push_back((self.uses, block));
    }

    fn evict(&mut self, now: Instant) {
        while let Some((use_, block)) = self.order.pop_front() {
            if self.used.get(&block) == Some(&use_) {
                self.used.remove(&block);
                self.note(Op::Drop, block, now);
                return;
            }
        }
    }

    fn note(&mut self, op: Op, block: u64, at: Instant) {
        self.seq += 1;
        if self.gap > 0.0 && self.random.random::<f64>() < self.gap {
            return;
        }
        let seq = self.seq;
        self.events.push_back(Event { seq, op, block, at });
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// Events after `seq` that are at least `lag` old.
    pub fn events(&self, seq: u64, now: Instant, lag: Duration) -> Vec<Event> {
        let from = self.events.partition_point(|e| e.seq <= seq);
        let events = self.events.range(from..);
        let shown = events.take_while(|e| e.at + lag <= now);
        shown.copied().collect()
    }

    /// How many blocks are in the cache.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
