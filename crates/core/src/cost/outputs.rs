//! Output tokens, predicted by a decayed median and the client's hints.
//!
//! Outputs have a heavy tail, so that all is learned from logarithms. Hints are used as
//! far as they proved right: several blends of hint and median are compared with each
//! output, and the one with the least recent error makes the prediction.

/// Streams after which the median is used instead of the mean.
const MIN_SAMPLES: u32 = 8;
/// Least weight of a sample in a decayed mean.
const MIN_WEIGHT: f64 = 0.05;
/// Least step of the quantile, as a multiple of the mean deviation.
const MIN_STEP: f64 = 0.05;
/// Least deviation of logarithms that the quantile moves by a step of, so that it leaves
/// a run of equal values again.
const MIN_DEVIATION: f64 = 0.05;
/// Largest error of a blend that counts, in logarithms: a factor of twenty.
const MAX_ERROR: f64 = 3.0;
/// Shares of the hint in the blends.
const SHARES: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];

/// A decayed mean.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn record(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        self.value += weight * (value - self.value);
    }

    fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// A decayed median of positive values.
#[derive(Debug, Clone, Default)]
pub(super) struct Quantile {
    /// Logarithm of the median.
    log: f64,
    /// Mean distance of values from it, in logarithms.
    deviation: Mean,
    samples: u32,
}

impl Quantile {
    pub(super) fn record(&mut self, value: f64) {
        let value = value.ln();
        if self.samples == 0 {
            self.log = value;
        }
        self.samples = self.samples.saturating_add(1);
        let distance = value - self.log;
        self.deviation.record(distance.abs());
        let step = (2.0 / f64::from(self.samples)).clamp(MIN_STEP, 1.0);
        let most = step * self.deviation.value.max(MIN_DEVIATION);
        self.log += distance.clamp(-most, most);
    }

    pub(super) fn value(&self) -> Option<f64> {
        (self.samples > 0).then(|| self.log.exp())
    }
}

/// Output tokens of one route and workspace.
#[derive(Debug, Clone, Default)]
pub struct Outputs {
    mean: Mean,
    median: Quantile,
    /// Median of outputs as a multiple of the hint.
    bias: Quantile,
    /// Mean error of each blend, in logarithms.
    errors: [Mean; SHARES.len()],
}

impl Outputs {
    /// Whether there are enough samples for the median.
    pub fn is_learned(&self) -> bool {
        self.median.samples >= MIN_SAMPLES
    }

    /// Mean of the outputs.
    pub fn mean(&self) -> Option<f64> {
        self.mean.get()
    }

    /// Output tokens expected of the next stream; `None` before the first one.
    pub fn predict(&self, hint: Option<u64>) -> Option<f64> {
        let median = self.median.value()?;
        let Some(hint) = self.corrected(hint) else {
            return Some(median);
        };
        let least = |a: &usize, b: &usize| {
            let error = |at: usize| self.errors[at].value;
            error(*a).total_cmp(&error(*b))
        };
        let best = (0..SHARES.len()).min_by(least).unwrap_or(0);
        Some(blend(median, hint, SHARES[best]))
    }

    /// Records the output of a complete stream, above 0 tokens.
    pub fn record(&mut self, hint: Option<u64>, tokens: f64) {
        if let (Some(median), Some(corrected)) = (self.median.value(), self.corrected(hint)) {
            for (share, error) in SHARES.iter().zip(&mut self.errors) {
                let off = (blend(median, corrected, *share) / tokens).ln();
                error.record(off.abs().min(MAX_ERROR));
            }
        }
        if let Some(hint) = hint.filter(|hint| *hint > 0) {
            self.bias.record(tokens / hint as f64);
        }
        self.mean.record(tokens);
        self.median.record(tokens);
    }

    /// The hint times the median of what outputs were of it; `None` without a hint, or
    /// before the first one.
    fn corrected(&self, hint: Option<u64>) -> Option<f64> {
        let hint = hint.filter(|hint| *hint > 0)?;
        Some(hint as f64 * self.bias.value()?)
    }
}

/// The geometric mean of the two, in which the hint has this share.
fn blend(median: f64, hint: f64, share: f64) -> f64 {
    (median.ln() * (1.0 - share) + hint.ln() * share).exp()
}
