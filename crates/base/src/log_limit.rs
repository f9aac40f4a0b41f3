//! A bound on how many lines are logged.

use std::time::{Duration, Instant};

/// Lines a second that are written for long: a router at its usual load writes
/// a tenth of it.
const RATE: f64 = 300.0;
/// Lines that may be written at once beyond that.
const BURST: f64 = 900.0;

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is written, after a line that says how many were dropped before it.
    Write {
        /// Lines dropped since the last one that was written.
        dropped: u64,
    },
    /// It is dropped.
    Drop,
}

/// An allowance of lines that grows with time.
#[derive(Debug, Clone, Default)]
pub struct LineLimiter {
    used: f64,
    at: Option<Instant>,
    dropped: u64,
}

impl LineLimiter {
    /// Decides on a line.
    pub fn admit(&mut self, now: Instant) -> Verdict {
        let gone = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        self.used = (self.used - RATE * gone.as_secs_f64()).max(0.0);
        if self.used + 1.0 > BURST {
            self.dropped += 1;
            return Verdict::Drop;
        }
        self.used += 1.0;
        let dropped = std::mem::take(&mut self.dropped);
        Verdict::Write { dropped }
    }
}
