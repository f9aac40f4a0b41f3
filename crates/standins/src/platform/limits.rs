//! Limits of the platform as token buckets.

use std::time::Instant;

/// A token bucket that holds one second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket for `rate` tokens a second.
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            level: rate,
            refilled_at: now,
        }
    }

    /// Takes `cost` tokens, or none where there are too few.
    ///
    /// A cost above what a full bucket holds is taken from a full one, which is
    /// in debt afterwards; else a long scan could never pass.
    pub fn try_take(&mut self, cost: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate).min(self.rate);
        self.refilled_at = now;
        let cost = cost as f64;
        let passes = self.level >= cost.min(self.rate);
        if passes {
            self.level -= cost;
        }
        passes
    }
}
