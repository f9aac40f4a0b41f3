//! How fast one router's queue is being served.

use std::time::{Duration, Instant};

/// Time over which the rate is averaged.
const WINDOW: Duration = Duration::from_secs(2);

/// Average rate at which entries leave a queue.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    tokens: f64,
    since: Option<Instant>,
    last: Option<Instant>,
}

impl Drain {
    /// Takes in that an entry of `cost` tokens was sent.
    pub fn sent(&mut self, cost: u32, now: Instant) {
        self.tokens = self.left(now) + f64::from(cost);
        self.since.get_or_insert(now);
        self.last = Some(now);
    }

    /// Tokens a second, once there is a measure.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.since?);
        let span = WINDOW.as_secs_f64() * (1.0 - decay(age));
        let full = age >= WINDOW / 4;
        full.then(|| self.left(now) / span)
    }

    /// Tokens of the window that are left of earlier ones.
    fn left(&self, now: Instant) -> f64 {
        let gone = self.last.map(|last| now.saturating_duration_since(last));
        self.tokens * decay(gone.unwrap_or_default())
    }
}

/// What is left of a value after `gone`.
fn decay(gone: Duration) -> f64 {
    (-gone.as_secs_f64() / WINDOW.as_secs_f64()).exp()
}
