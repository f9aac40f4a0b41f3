//! A router's rate of spending from one budget.

use std::time::{Duration, Instant};

/// Time constant of the moving average.
pub const RATE_WINDOW: Duration = Duration::from_secs(60);

/// Exponentially weighted moving average of the tokens spent per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    tokens: f64,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Rate {
    /// Records that `tokens` were spent at `now`.
    pub fn record(&mut self, tokens: u64, now: Instant) {
        self.tokens = self.decayed(now) + tokens as f64;
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Tokens spent per second.
    ///
    /// While the history is shorter than the window, the average is over the time
    /// since the first spending, but over at least a tenth of the window.
    pub fn per_second(&self, now: Instant) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        let age = now.saturating_duration_since(first).max(RATE_WINDOW / 10);
        let span = RATE_WINDOW.as_secs_f64() * (1.0 - decay(age));
        self.decayed(now) / span
    }

    /// Time since tokens were last spent; `None` if they never were.
    pub fn idle_time(&self, now: Instant) -> Option<Duration> {
        self.last.map(|last| now.saturating_duration_since(last))
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = self.last.map(|last| now.saturating_duration_since(last));
        self.tokens * decay(elapsed.unwrap_or_default())
    }
}

fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
}
