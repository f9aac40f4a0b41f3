//! Adaptive time-out for answers of the table.
//!
//! An answer may be lost without notice, and the table may be slow. The
//! time-out follows the response time of past answers and doubles with each
//! time-out in a row.

use std::time::Duration;

/// Shortest time-out: many times a transaction, less than half of a latency
/// target.
const MIN_TIMEOUT: Duration = Duration::from_millis(120);
const MAX_TIMEOUT: Duration = Duration::from_millis(800);
/// Time-out as a multiple of the average response time.
const TIMEOUT_FACTOR: f64 = 5.0;
/// EWMA smoothing factor of the response time.
const SMOOTHING: f64 = 0.3;
/// Response time assumed before the first answer.
const INITIAL_RESPONSE: Duration = Duration::from_millis(40);

/// Response time of the table and the time-out that follows from it.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableTimeout {
    average: Option<Duration>,
    timeouts: u32,
}

impl TableTimeout {
    /// Time-out for the next answer.
    pub fn timeout(&self) -> Duration {
        let base = self
            .average
            .unwrap_or(INITIAL_RESPONSE)
            .mul_f64(TIMEOUT_FACTOR)
            .max(MIN_TIMEOUT);
        (base * (1 << self.timeouts.min(4))).min(MAX_TIMEOUT)
    }

    /// Records an answer that came after `took`.
    pub fn record_answer(&mut self, took: Duration) {
        let average = self.average.unwrap_or(took);
        self.average = Some(average.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING));
        self.timeouts = 0;
    }

    /// Records that no answer came in time.
    pub fn record_timeout(&mut self) {
        self.timeouts += 1;
    }
}
