//! How fast a backend server was seen to work.
//!
//! Moving averages of gaps between tokens, of prompt work and of the length of
//! answers. A server's own word on its step counts only where it is the slower
//! one, since a slow or throttled server may report its nominal step.

use std::time::{Duration, Instant};

/// Step assumed until one is reported or measured, in seconds.
const STEP: f64 = 0.006;

/// Prompt tokens a second until measured.
const PREFILL: f64 = 20_000.0;

/// Output tokens of an answer until measured.
const OUTPUT: f64 = 100.0;

/// Weight of a new gap in the average.
const GAP_WEIGHT: f64 = 0.05;

/// Weight of a new answer in the average length.
const ANSWER_WEIGHT: f64 = 0.1;

/// Weight of a prompt that was computed faster than the average.
const FASTER_WEIGHT: f64 = 0.5;

/// Weight of a prompt that was computed slower; it may have waited unseen.
const SLOWER_WEIGHT: f64 = 0.05;

/// Prompts shorter than this tell nothing of the speed, in tokens.
const PREFILL_MIN: u32 = 64;

/// Moving averages of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pace {
    gap: Option<f64>,
    prefill: Option<f64>,
    output: Option<f64>,
    seen: Option<Instant>,
}

/// Moves an average towards a new value.
fn blend(average: &mut Option<f64>, value: f64, weight: f64) {
    let old = average.unwrap_or(value);
    *average = Some(old + weight * (value - old));
}

impl Pace {
    /// Takes in that `tokens` came `gap` after the ones before.
    pub(crate) fn saw_gap(&mut self, gap: Duration, tokens: u32, now: Instant) {
        let each = gap.as_secs_f64() / f64::from(tokens.max(1));
        blend(&mut self.gap, each, GAP_WEIGHT);
        self.seen = Some(now);
    }

    /// Takes in that `work` prompt tokens were computed in `busy`.
    pub(crate) fn saw_prefill(&mut self, work: u32, busy: Duration) {
        if work >= PREFILL_MIN && !busy.is_zero() {
            let rate = f64::from(work) / busy.as_secs_f64();
            let faster = self.prefill.is_none_or(|average| rate > average);
            let weight = if faster { FASTER_WEIGHT } else { SLOWER_WEIGHT };
            let mut average = self.prefill.or(Some(PREFILL));
            blend(&mut average, rate, weight);
            self.prefill = average;
        }
    }

    /// Takes in the length of an answer, in tokens.
    pub(crate) fn saw_output(&mut self, tokens: u32) {
        blend(&mut self.output, f64::from(tokens), ANSWER_WEIGHT);
    }

    /// Time of one step, given what the server says.
    pub(crate) fn step(&self, told: Option<Duration>) -> Duration {
        let told = told.map(|d| d.as_secs_f64());
        let slower = match (told, self.gap) {
            (Some(told), Some(gap)) => told.max(gap),
            (told, gap) => told.or(gap).unwrap_or(STEP),
        };
        Duration::from_secs_f64(slower)
    }

    /// Seconds to compute `work` prompt tokens.
    pub(crate) fn prefill(&self, work: u32) -> f64 {
        f64::from(work) / self.prefill.unwrap_or(PREFILL)
    }

    /// Tokens of an average answer.
    pub(crate) fn output(&self) -> f64 {
        self.output.unwrap_or(OUTPUT).max(1.0)
    }
}
