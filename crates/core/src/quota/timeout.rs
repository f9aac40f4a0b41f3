//! How long an answer of the table is waited for.
//!
//! An answer may be lost without a sign, and the table may be slow. The wait
//! follows the answers that came, and doubles with each one that did not.

use std::time::Duration;

/// The shortest wait: many times a transaction, less than a target's half.
const LEAST: Duration = Duration::from_millis(120);
/// The longest wait.
const MOST: Duration = Duration::from_millis(800);
/// How many times the usual answer is waited for.
const TIMES: f64 = 5.0;
/// Weight of the newest answer in the usual one.
const NEWEST: f64 = 0.3;
/// The usual answer before the first.
const FIRST: Duration = Duration::from_millis(40);

/// How fast the table answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableTimeout {
    usual: Option<Duration>,
    missed: u32,
}

impl TableTimeout {
    /// How long the next answer is waited for.
    pub fn timeout(&self) -> Duration {
        let usual = self.usual.unwrap_or(FIRST).mul_f64(TIMES).max(LEAST);
        (usual * (1 << self.missed.min(4))).min(MOST)
    }

    /// Notes that an answer came after `took`.
    pub fn record_answer(&mut self, took: Duration) {
        let usual = self.usual.unwrap_or(took);
        self.usual = Some(usual.mul_f64(1.0 - NEWEST) + took.mul_f64(NEWEST));
        self.missed = 0;
    }

    /// Notes that none came in time.
    pub fn record_timeout(&mut self) {
        self.missed += 1;
    }
}
