//! Which prefixes one backend server likely holds.

use crate::sorted::SortedVec;

/// Part of the entries that is forgotten when the view is full.
const FORGET: usize = 8;

/// Blocks of one prompt that are noted on dispatch.
const NOTED: usize = 512;

/// What a cache event says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheOp {
    /// The prefix is held now.
    Add,
    /// The prefix is held no more.
    Drop,
}

/// One cache event of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Its number; numbers that are missing were lost.
    pub seq: u64,
    /// What happened.
    pub op: CacheOp,
    /// Chained hash of the prefix's last block.
    pub prefix: u64,
}

/// A prefix that is likely held.
#[derive(Debug, Clone, Copy, Default)]
struct Mark {
    /// When it was last added or used, in ticks of the view.
    used: u64,
    /// Number of the newest event about it, 0 where it is a guess.
    seq: u64,
}

/// A bounded view of a server's prefix cache.
#[derive(Debug, Clone)]
pub struct CacheView {
    bound: usize,
    held: SortedVec<u64, Mark>,
    tick: u64,
    next: u64,
}

impl CacheView {
    /// An empty view of at most `bound` prefixes.
    pub fn new(bound: usize) -> Self {
        Self {
            bound: bound.max(FORGET),
            held: SortedVec::new(),
            tick: 0,
            next: 0,
        }
    }

    /// Number of the newest event that was taken in; 0 for none.
    pub fn cursor(&self) -> u64 {
        self.next.saturating_sub(1)
    }

    /// Takes one event in.
    ///
    /// Lost events may have been drops. Where as many were lost as half the
    /// prefixes that are thought held, all of them are forgotten.
    pub fn apply(&mut self, event: CacheEvent) {
        let lost = event.seq.saturating_sub(self.next);
        if self.next > 0 && lost as usize * 2 > self.held.len() {
            self.held = SortedVec::new();
        }
        self.next = self.next.max(event.seq + 1);
        let newest = self.held.get(&event.prefix).map_or(0, |m| m.seq);
        if event.seq < newest {
            return;
        }
        match event.op {
            CacheOp::Add => self.mark(event.prefix, event.seq),
            CacheOp::Drop => {
                self.held.remove(&event.prefix);
            }
        }
    }

    /// Forgets everything, as after the server's restart.
    pub fn reset(&mut self) {
        *self = Self::new(self.bound);
    }

    /// Notes that a prompt was sent there, so that its blocks will be held.
    pub fn record_sent(&mut self, chain: &[u64]) {
        for prefix in chain.iter().take(NOTED) {
            self.mark(*prefix, 0);
        }
    }

    /// How many of the prompt's first blocks are likely held.
    ///
    /// Servers may drop a prompt's first block before its last one, so the
    /// blocks are looked up in their order; on most servers the first is missing.
    pub fn matched_blocks(&self, chain: &[u64]) -> usize {
        let held = chain
            .iter()
            .take_while(|prefix| self.held.contains(*prefix));
        held.count()
    }

    /// How many prefixes are thought held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is thought held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn mark(&mut self, prefix: u64, seq: u64) {
        if self.held.len() >= self.bound && !self.held.contains(&prefix) {
            self.forget_oldest();
        }
        self.tick += 1;
        let used = self.tick;
        let mark = self.held.get_or_insert_with(prefix, Mark::default);
        mark.used = used;
        mark.seq = mark.seq.max(seq);
    }

    fn forget_oldest(&mut self) {
        let mut ages: Vec<u64> = self.held.iter().map(|(_, m)| m.used).collect();
        let at = ages.len() / FORGET;
        let (_, limit, _) = ages.select_nth_unstable(at);
        let limit = *limit;
        self.held.retain(|_, m| m.used > limit);
    }
}
