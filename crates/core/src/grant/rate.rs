//! How fast a router spends of one budget.

use std::time::{Duration, Instant};

/// Time over which the rate is averaged.
pub const RATE_WINDOW: Duration = Duration::from_secs(60);

/// Moving average of tokens spent a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    tokens: f64,
    since: Option<Instant>,
    last: Option<Instant>,
}

impl Rate {
    /// Takes in that `tokens` were spent.
    pub fn record(&mut self, tokens: u64, now: Instant) {
        self.tokens = self.left(now) + tokens as f64;
        self.since.get_or_insert(now);
        self.last = Some(now);
    }

    /// Tokens a second.
    ///
    /// Until a window has gone by the average is over the time since the first
    /// spending, at least a tenth of the window.
    pub fn per_second(&self, now: Instant) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let age = now.saturating_duration_since(since).max(RATE_WINDOW / 10);
        let span = RATE_WINDOW.as_secs_f64() * (1.0 - decay(age));
        self.left(now) / span
    }

    /// Time since the last spending.
    pub fn idle_time(&self, now: Instant) -> Option<Duration> {
        self.last.map(|last| now.saturating_duration_since(last))
    }

    fn left(&self, now: Instant) -> f64 {
        let gone = self.last.map(|last| now.saturating_duration_since(last));
        self.tokens * decay(gone.unwrap_or_default())
    }
}

fn decay(gone: Duration) -> f64 {
    (-gone.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
}
