//! Which workspace fills this host.

use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;

/// Time after which a byte counts for a third.
const MEMORY: Duration = Duration::from_secs(2);
/// A workspace fills the host if it uses this many times its even share.
const DOMINANT_SHARE: f64 = 1.5;
/// Bytes below which a workspace is forgotten.
const FORGOTTEN: f64 = 100.0;

/// Bytes that the workspaces moved of late.
#[derive(Debug, Clone)]
pub(super) struct Usage {
    bytes: SortedVec<Name, f64>,
    updated: Instant,
}

impl Usage {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            bytes: SortedVec::new(),
            updated: now,
        }
    }

    /// Counts bytes of a workspace.
    pub(super) fn record(&mut self, workspace: &Name, bytes: f64, now: Instant) {
        self.decay(now);
        *self.bytes.get_or_insert_with(workspace.clone(), || 0.0) += bytes;
    }

    /// Whether a workspace uses far more than an even share of what all use.
    pub(super) fn dominates(&mut self, workspace: &str, now: Instant) -> bool {
        self.decay(now);
        let total: f64 = self.bytes.iter().map(|(_, bytes)| bytes).sum();
        let own = self.bytes.get(workspace).copied().unwrap_or_default();
        self.bytes.len() > 1 && own * self.bytes.len() as f64 > DOMINANT_SHARE * total
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated);
        if passed < MEMORY / 20 {
            return;
        }
        self.updated = now;
        let left = (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        for (_, bytes) in self.bytes.iter_mut() {
            *bytes *= left;
        }
        self.bytes.retain(|_, bytes| *bytes >= FORGOTTEN);
    }
}
