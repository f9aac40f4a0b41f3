//! Budget for retries.

use std::time::{Duration, Instant};

/// Retries that the budget allows for each request.
const RETRY_RATIO: f64 = 0.1;

/// Retries a second that are allowed however few requests there are.
const MIN_RETRY_RATE: f64 = 1.0;

/// Time constant with which unused retries expire.
const WINDOW: Duration = Duration::from_secs(10);

/// A number of allowed retries that grows with requests and with time; unused
/// ones expire.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    level: f64,
    updated_at: Instant,
}

impl RetryBudget {
    /// Creates a budget with the retries that the minimum rate allows in a window.
    pub fn new(now: Instant) -> Self {
        Self {
            level: MIN_RETRY_RATE * WINDOW.as_secs_f64(),
            updated_at: now,
        }
    }

    /// Records that a request was sent for the first time.
    pub fn record_request(&mut self, now: Instant) {
        self.level = self.level(now) + RETRY_RATIO;
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes one retry from the budget.
    ///
    /// # Errors
    /// If there is none, returns the time until the next one, provided that no
    /// other request is retried meanwhile.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let level = self.level(now);
        if level < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - level) / MIN_RETRY_RATE));
        }
        self.level = level - 1.0;
        self.updated_at = self.updated_at.max(now);
        Ok(())
    }

    /// Number of retries that are allowed now.
    pub fn level(&self, now: Instant) -> f64 {
        // Without requests, the level converges to the retries that the minimum
        // rate allows in a window.
        let baseline = MIN_RETRY_RATE * WINDOW.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.updated_at);
        let decay = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        baseline + (self.level - baseline) * decay
    }
}
