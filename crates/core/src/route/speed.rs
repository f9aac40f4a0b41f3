//! Measured speed of a backend server.
//!
//! Keeps exponentially weighted moving averages of the time between tokens, the
//! prefill rate and the length of answers. The step time that a server reports
//! is used only if it is longer than the measured one, since a slow or throttled
//! server may report its nominal step time.

use std::time::{Duration, Instant};

/// Step time assumed until one is reported or measured, in seconds.
const DEFAULT_STEP_S: f64 = 0.006;

/// Prefill rate assumed until measured, in prompt tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 20_000.0;

/// Length of an answer assumed until measured, in output tokens.
const DEFAULT_OUTPUT_TOKENS: f64 = 100.0;

/// EWMA smoothing factor of the time between tokens.
const GAP_ALPHA: f64 = 0.05;

/// EWMA smoothing factor of the answer length.
const OUTPUT_ALPHA: f64 = 0.1;

/// EWMA smoothing factor for a prefill that was faster than the average.
const FASTER_ALPHA: f64 = 0.5;

/// EWMA smoothing factor for a slower prefill.
///
/// It is lower since the request may have waited in the server's own queue.
const SLOWER_ALPHA: f64 = 0.05;

/// Prompts shorter than this are not used to measure the prefill rate, in tokens.
const MIN_PREFILL_TOKENS: u32 = 64;

/// Moving averages of one server's speed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Speed {
    gap: Option<f64>,
    prefill_rate: Option<f64>,
    output: Option<f64>,
    updated: Option<Instant>,
}

/// Updates a moving average with a new value.
fn update_average(average: &mut Option<f64>, value: f64, alpha: f64) {
    let old = average.unwrap_or(value);
    *average = Some(old + alpha * (value - old));
}

impl Speed {
    /// Records that `tokens` arrived `gap` after the previous ones.
    pub(crate) fn record_gap(&mut self, gap: Duration, tokens: u32, now: Instant) {
        let each = gap.as_secs_f64() / f64::from(tokens.max(1));
        update_average(&mut self.gap, each, GAP_ALPHA);
        self.updated = Some(now);
    }

    /// Records that `tokens` prompt tokens were processed in `busy`.
    pub(crate) fn record_prefill(&mut self, tokens: u32, busy: Duration) {
        if tokens >= MIN_PREFILL_TOKENS && !busy.is_zero() {
            let rate = f64::from(tokens) / busy.as_secs_f64();
            let faster = self.prefill_rate.is_none_or(|average| rate > average);
            let alpha = if faster { FASTER_ALPHA } else { SLOWER_ALPHA };
            let mut average = self.prefill_rate.or(Some(DEFAULT_PREFILL_RATE));
            update_average(&mut average, rate, alpha);
            self.prefill_rate = average;
        }
    }

    /// Records the length of an answer, in tokens.
    pub(crate) fn record_output(&mut self, tokens: u32) {
        update_average(&mut self.output, f64::from(tokens), OUTPUT_ALPHA);
    }

    /// Returns the time of one step: the longer of the reported and the measured one.
    pub(crate) fn step(&self, reported: Option<Duration>) -> Duration {
        let reported = reported.map(|d| d.as_secs_f64());
        let slower = match (reported, self.gap) {
            (Some(reported), Some(gap)) => reported.max(gap),
            (reported, gap) => reported.or(gap).unwrap_or(DEFAULT_STEP_S),
        };
        Duration::from_secs_f64(slower)
    }

    /// Returns the seconds needed to process `tokens` prompt tokens.
    pub(crate) fn prefill_seconds(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_rate.unwrap_or(DEFAULT_PREFILL_RATE)
    }

    /// Returns the mean length of an answer, in tokens.
    pub(crate) fn mean_output(&self) -> f64 {
        self.output.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1.0)
    }
}
