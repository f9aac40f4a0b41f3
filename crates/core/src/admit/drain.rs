//! Rate at which one router's queue drains while requests wait in it.
//!
//! Only time during which requests wait is measured: the rate at which requests are
//! sent from an empty queue reflects demand, not the capacity of the servers.

use std::time::{Duration, Instant};

use crate::route::server::PRIORITY_LEVELS;

/// Time constant of the average; only time with requests waiting counts.
const WINDOW: Duration = Duration::from_secs(2);

/// Time with requests waiting that is needed before a rate is reported.
const MIN_BUSY: Duration = Duration::from_millis(250);

/// Average rate at which entries leave a queue, by priority.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    /// Seconds with requests waiting, exponentially decayed.
    busy_seconds: f64,
    /// Tokens sent during this time by priority, exponentially decayed.
    tokens: [f64; PRIORITY_LEVELS],
    /// Time of the last update; `None` while no requests wait.
    updated: Option<Instant>,
}

impl DrainRate {
    /// Records that an entry of `cost` tokens was sent.
    pub fn record_sent(&mut self, priority: u8, cost: u32, now: Instant) {
        if self.updated.is_some() {
            self.advance(now);
            let level = usize::from(priority).min(PRIORITY_LEVELS - 1);
            self.tokens[level] += f64::from(cost);
        }
    }

    /// Sets whether requests wait; to be called after each change of the queue.
    pub fn set_waiting(&mut self, waiting: bool, now: Instant) {
        self.advance(now);
        self.updated = waiting.then_some(now);
    }

    /// Returns the rate left for a priority after more urgent entries, in tokens per
    /// second, or `None` if too little time was measured.
    pub fn rate(&self, priority: u8) -> Option<f64> {
        if self.busy_seconds < MIN_BUSY.as_secs_f64() {
            return None;
        }
        let level = usize::from(priority).min(PRIORITY_LEVELS - 1);
        Some(self.tokens[level..].iter().sum::<f64>() / self.busy_seconds)
    }

    fn advance(&mut self, now: Instant) {
        let Some(updated) = self.updated else {
            return;
        };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        let decay = (-elapsed / WINDOW.as_secs_f64()).exp();
        self.busy_seconds = self.busy_seconds * decay + elapsed;
        for tokens in &mut self.tokens {
            *tokens *= decay;
        }
        self.updated = Some(updated.max(now));
    }
}
