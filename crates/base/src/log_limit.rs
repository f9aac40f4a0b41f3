//! Rate limit of log lines, so that a burst of errors can't flood the log.

use std::time::{Duration, Instant};

/// Sustained lines per second: ten times what a router writes at its usual load.
const LINES_PER_SECOND: f64 = 300.0;
/// Lines that may be written at once.
const BURST_LINES: f64 = 900.0;

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The line is written, after a line with the number of dropped lines if
    /// there are any.
    Write {
        /// Lines dropped since the last written one.
        dropped: u64,
    },
    /// The line is dropped.
    Drop,
}

/// A token bucket for log lines.
#[derive(Debug, Clone, Default)]
pub struct LineLimiter {
    /// Lines taken from the bucket and not yet refilled.
    used: f64,
    updated_at: Option<Instant>,
    dropped: u64,
}

impl LineLimiter {
    /// Decides whether a line may be written at `now`.
    pub fn admit(&mut self, now: Instant) -> Verdict {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.updated_at = Some(now);
        self.used = (self.used - LINES_PER_SECOND * elapsed.as_secs_f64()).max(0.0);
        if self.used + 1.0 > BURST_LINES {
            self.dropped += 1;
            return Verdict::Drop;
        }
        self.used += 1.0;
        let dropped = std::mem::take(&mut self.dropped);
        Verdict::Write { dropped }
    }
}
