//! Estimate of the prefixes that one backend server has cached.

use crate::sorted::SortedVec;

/// When the view is full, one entry in this many is evicted.
const EVICTION_DIVISOR: usize = 8;

/// Most blocks of one prompt that are recorded when it is sent.
const MAX_SENT_BLOCKS: usize = 512;

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheOp {
    /// The prefix was cached.
    Add,
    /// The prefix was evicted.
    Drop,
}

/// One cache event of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number; events whose numbers are missing were lost.
    pub seq: u64,
    /// What happened to the prefix.
    pub op: CacheOp,
    /// Chained hash of the prefix's last block.
    pub prefix: u64,
}

/// A prefix that is probably cached.
#[derive(Debug, Clone, Copy, Default)]
struct CachedPrefix {
    /// When it was last added or sent, in ticks of the view.
    used: u64,
    /// Number of the newest event about it; 0 if it was only sent by this router.
    seq: u64,
}

/// A bounded estimate of a server's prefix cache.
#[derive(Debug, Clone)]
pub struct CacheView {
    bound: usize,
    cached: SortedVec<u64, CachedPrefix>,
    tick: u64,
    next: u64,
}

impl CacheView {
    /// Creates an empty view of at most `bound` prefixes.
    pub fn new(bound: usize) -> Self {
        Self {
            bound: bound.max(EVICTION_DIVISOR),
            cached: SortedVec::new(),
            tick: 0,
            next: 0,
        }
    }

    /// Number of the newest applied event; 0 if there was none.
    pub fn cursor(&self) -> u64 {
        self.next.saturating_sub(1)
    }

    /// Applies one event.
    ///
    /// Lost events may have been evictions. If more events were lost than half
    /// the number of prefixes in the view, the view is cleared.
    pub fn apply(&mut self, event: CacheEvent) {
        let lost = event.seq.saturating_sub(self.next);
        if self.next > 0 && lost as usize * 2 > self.cached.len() {
            self.cached = SortedVec::new();
        }
        self.next = self.next.max(event.seq + 1);
        let newest = self.cached.get(&event.prefix).map_or(0, |m| m.seq);
        if event.seq < newest {
            return;
        }
        match event.op {
            CacheOp::Add => self.record(event.prefix, event.seq),
            CacheOp::Drop => {
                self.cached.remove(&event.prefix);
            }
        }
    }

    /// Clears the view, as after a restart of the server.
    pub fn reset(&mut self) {
        *self = Self::new(self.bound);
    }

    /// Records that a prompt was sent to the server, which will cache its blocks.
    pub fn record_sent(&mut self, chain: &[u64]) {
        for prefix in chain.iter().take(MAX_SENT_BLOCKS) {
            self.record(*prefix, 0);
        }
    }

    /// Number of leading blocks of the prompt that are probably cached.
    ///
    /// Servers may evict a prompt's first block before its last one, so the blocks
    /// are looked up in order. On most servers the first one is missing already.
    pub fn matched_blocks(&self, chain: &[u64]) -> usize {
        let cached = chain
            .iter()
            .take_while(|prefix| self.cached.contains(*prefix));
        cached.count()
    }

    /// Number of prefixes in the view.
    pub fn len(&self) -> usize {
        self.cached.len()
    }

    /// Whether the view has no prefixes.
    pub fn is_empty(&self) -> bool {
        self.cached.is_empty()
    }

    fn record(&mut self, prefix: u64, seq: u64) {
        if self.cached.len() >= self.bound && !self.cached.contains(&prefix) {
            self.evict_oldest();
        }
        self.tick += 1;
        let used = self.tick;
        let entry = self
            .cached
            .get_or_insert_with(prefix, CachedPrefix::default);
        entry.used = used;
        entry.seq = entry.seq.max(seq);
    }

    fn evict_oldest(&mut self) {
        let mut ticks: Vec<u64> = self.cached.iter().map(|(_, m)| m.used).collect();
        let at = ticks.len() / EVICTION_DIVISOR;
        let (_, limit, _) = ticks.select_nth_unstable(at);
        let limit = *limit;
        self.cached.retain(|_, m| m.used > limit);
    }
}
