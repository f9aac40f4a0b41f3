//! Exact counts of what the platform was asked for.

use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

use super::invariants::Violation;

/// Span that peaks are counted over.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// The highest count within a second.
#[derive(Debug, Clone)]
pub struct Peak {
    window_start: Instant,
    count: u64,
    /// The highest count so far.
    pub highest: u64,
}

impl Peak {
    /// Nothing counted yet.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            count: 0,
            highest: 0,
        }
    }

    /// Counts `count` more.
    pub fn record(&mut self, count: u64, now: Instant) {
        if now.saturating_duration_since(self.window_start) >= PEAK_WINDOW {
            self.window_start = now;
            self.count = 0;
        }
        self.count += count;
        self.highest = self.highest.max(self.count);
    }
}

/// What one router asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// Rows and objects read.
    pub reads: u64,
    /// Rows and objects written, also in vain by transactions in conflict.
    pub writes: u64,
    /// Calls refused for the limits.
    pub refused: u64,
}

/// Exact counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Rows read, also by scans.
    pub reads: u64,
    /// Rows written.
    pub writes: u64,
    /// Transactions that took effect.
    pub commits: u64,
    /// Transactions whose checks did not hold.
    pub conflicts: u64,
    /// Calls refused for the limits.
    pub refused: u64,
    /// Calls refused or left hanging in an outage.
    pub down: u64,
    /// Calls cut for their router's label.
    pub cut: u64,
    /// Commits and puts that took effect and were not answered.
    pub lost: u64,
    /// Objects put.
    pub puts: u64,
    /// Puts that changed an object's content.
    pub changed: u64,
    /// Objects read.
    pub gets: u64,
    /// Reads of the host list.
    pub hosts: u64,
}

/// One router's share on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareWire {
    /// The router's label.
    pub router: Name,
    /// What it asked for.
    #[serde(flatten)]
    pub share: Share,
}

impl From<(&Name, &Share)> for ShareWire {
    fn from((router, share): (&Name, &Share)) -> Self {
        Self {
            router: router.clone(),
            share: *share,
        }
    }
}

/// The counts on the wire.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CountsWire {
    /// Counts over all routers.
    #[serde(flatten)]
    pub totals: Totals,
    /// The most rows and objects read within a second.
    pub peak_reads: u64,
    /// The most rows and objects written within a second.
    pub peak_writes: u64,
    /// Shares by the router's label.
    pub routers: Vec<ShareWire>,
    /// Commits after which a budget's invariant did not hold.
    pub violations: u64,
    /// The first of them with their rows.
    pub violated: Vec<Violation>,
}

/// Shares by the router's label.
pub type Shares = SortedVec<Name, Share>;
