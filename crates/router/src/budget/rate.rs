//! Rate of spending as a moving average.

use std::time::{Duration, Instant};

/// Span over which an older rate fades to a third.
const FADE: Duration = Duration::from_secs(30);

/// Tokens a second, faded exponentially.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    per_second: f64,
    at: Instant,
}

impl Rate {
    /// No spending so far.
    pub fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    /// Counts `tokens` spent at `now`.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        self.per_second = self.per_second(now) + tokens as f64 / FADE.as_secs_f64();
        self.at = now;
    }

    /// Tokens a second as of `now`.
    pub fn per_second(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-since / FADE.as_secs_f64()).exp()
    }
}
