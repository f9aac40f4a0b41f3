//! Exact counts of the calls to the platform.

use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

use super::invariants::Violation;

/// Length of the window over which peaks are counted.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// The highest count within one window.
#[derive(Debug, Clone)]
pub struct Peak {
    window_start: Instant,
    count: u64,
    /// The highest count so far.
    pub highest: u64,
}

impl Peak {
    /// Creates a peak with nothing counted.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            count: 0,
            highest: 0,
        }
    }

    /// Adds `count` to the current window.
    pub fn record(&mut self, count: u64, now: Instant) {
        if now.saturating_duration_since(self.window_start) >= PEAK_WINDOW {
            self.window_start = now;
            self.count = 0;
        }
        self.count += count;
        self.highest = self.highest.max(self.count);
    }
}

/// Usage of the platform by one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// Rows and objects read.
    pub reads: u64,
    /// Cost of its writes, including transactions that ended in a conflict.
    pub writes: u64,
    /// Calls refused because a limit was reached.
    pub refused: u64,
}

/// Exact counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Rows read, including by scans.
    pub reads: u64,
    /// Rows written.
    pub writes: u64,
    /// Transactions that took effect.
    pub commits: u64,
    /// Transactions refused because a check failed.
    pub conflicts: u64,
    /// Calls refused because a limit was reached.
    pub refused: u64,
    /// Calls refused or left hanging because of an outage.
    pub down: u64,
    /// Calls whose connection was cut because of the router's label.
    pub cut: u64,
    /// Commits and puts that took effect without an answer.
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

/// The usage of one router on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareWire {
    /// Label of the router.
    pub router: Name,
    /// Its usage.
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
    /// Totals over all routers.
    #[serde(flatten)]
    pub totals: Totals,
    /// Highest cost of reads within a second.
    pub peak_reads: u64,
    /// Highest cost of writes within a second.
    pub peak_writes: u64,
    /// Usage by the label of the router.
    pub routers: Vec<ShareWire>,
    /// Budgets found with a broken invariant, counted at every commit.
    pub violations: u64,
    /// The first violations, with their rows.
    pub violated: Vec<Violation>,
}

/// Usage by the label of the router.
pub type Shares = SortedVec<Name, Share>;
