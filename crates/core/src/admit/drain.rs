//! How fast one router's queue is served while something waits in it.
//!
//! Only time with a queue counts: what is sent while nothing waits tells how
//! much was asked for, not how much could be served.

use std::time::{Duration, Instant};

use crate::route::server::PRIORITY_LEVELS;

/// Time with a queue over which the rate is averaged.
const WINDOW: Duration = Duration::from_secs(2);

/// Time with a queue before there is a rate.
const ENOUGH: Duration = Duration::from_millis(250);

/// Average rate at which entries leave a queue, by priority.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    /// Seconds with a queue, older ones weighing less.
    busy: f64,
    /// Tokens sent in them by priority, older ones weighing less.
    tokens: [f64; PRIORITY_LEVELS],
    /// Since when something has waited.
    since: Option<Instant>,
}

impl DrainRate {
    /// Takes in that an entry of `cost` tokens was sent.
    pub fn record_sent(&mut self, priority: u8, cost: u32, now: Instant) {
        if self.since.is_some() {
            self.advance(now);
            let at = usize::from(priority).min(PRIORITY_LEVELS - 1);
            self.tokens[at] += f64::from(cost);
        }
    }

    /// Takes in whether something waits, after each change of the queue.
    pub fn set_waiting(&mut self, some: bool, now: Instant) {
        self.advance(now);
        self.since = some.then_some(now);
    }

    /// Tokens a second left for a priority after what is more urgent, once
    /// there is a measure.
    pub fn rate(&self, priority: u8) -> Option<f64> {
        if self.busy < ENOUGH.as_secs_f64() {
            return None;
        }
        let from = usize::from(priority).min(PRIORITY_LEVELS - 1);
        Some(self.tokens[from..].iter().sum::<f64>() / self.busy)
    }

    fn advance(&mut self, now: Instant) {
        let Some(since) = self.since else {
            return;
        };
        let gone = now.saturating_duration_since(since).as_secs_f64();
        let decay = (-gone / WINDOW.as_secs_f64()).exp();
        self.busy = self.busy * decay + gone;
        for tokens in &mut self.tokens {
            *tokens *= decay;
        }
        self.since = Some(since.max(now));
    }
}
