//! How many requests may be sent again.

use std::time::{Duration, Instant};

/// Requests sent again, as a share of all, that the budget allows.
const SHARE: f64 = 0.1;

/// Requests a second that may be sent again however few there are.
const FLOOR: f64 = 1.0;

/// Time after which an unused allowance has mostly lapsed.
const WINDOW: Duration = Duration::from_secs(10);

/// An allowance that grows with requests and time and lapses unused.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    level: f64,
    last: Instant,
}

impl RetryBudget {
    /// A budget that allows the floor's worth of one window.
    pub fn new(now: Instant) -> Self {
        Self {
            level: FLOOR * WINDOW.as_secs_f64(),
            last: now,
        }
    }

    /// Takes in that a request was sent for the first time.
    pub fn record_request(&mut self, now: Instant) {
        self.level = self.level(now) + SHARE;
        self.last = self.last.max(now);
    }

    /// Takes one from the budget.
    ///
    /// # Errors
    /// Says when the next one is allowed, if nothing else is sent again.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let level = self.level(now);
        if level < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - level) / FLOOR));
        }
        self.level = level - 1.0;
        self.last = self.last.max(now);
        Ok(())
    }

    /// How many may be sent again now.
    pub fn level(&self, now: Instant) -> f64 {
        // The level tends to the floor's worth of one window.
        let rest = FLOOR * WINDOW.as_secs_f64();
        let gone = now.saturating_duration_since(self.last);
        let decay = (-gone.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        rest + (self.level - rest) * decay
    }
}
