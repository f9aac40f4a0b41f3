//! Rate limits of the platform.

use std::time::Instant;

/// A token bucket with a capacity of one second's tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate` tokens per second.
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            level: rate,
            refilled_at: now,
        }
    }

    /// Takes `cost` tokens. Takes none and returns false if there are too few.
    ///
    /// A cost above the capacity is allowed if the bucket is full and leaves its
    /// level negative. Otherwise a long scan could never pass.
    pub fn try_take(&mut self, cost: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate).min(self.rate);
        self.refilled_at = now;
        let cost = cost as f64;
        let allowed = self.level >= cost.min(self.rate);
        if allowed {
            self.level -= cost;
        }
        allowed
    }
}
