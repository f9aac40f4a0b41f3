//! The time that calls of plain services take.

use super::outputs::Quantile;

/// The times of calls of one route and method.
#[derive(Debug, Clone, Default)]
pub struct Calls {
    median: Quantile,
}

impl Calls {
    /// Time expected of the next call in milliseconds; `None` before the first one.
    pub fn predict(&self) -> Option<f64> {
        self.median.value()
    }

    /// Records a call that took this many milliseconds.
    pub fn record(&mut self, ms: f64) {
        self.median.record(ms);
    }
}
