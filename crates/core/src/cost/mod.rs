//! What a request costs a server: its load is the uneven work of requests that look
//! alike.
//!
//! The unit is a millisecond of a server at its usual pace. The time that a request
//! takes alone differs from the share that it takes of a server which decodes all its
//! slots at once: the former counts for the request itself, the latter for what it
//! leaves to the others.

mod calls;
mod outputs;

use std::time::{Duration, Instant};

pub use calls::Calls;
pub use outputs::Outputs;

use crate::id::Name;
use crate::sorted::SortedVec;

/// Prompt tokens that an engine processes in a millisecond.
const PREFILL_PER_MS: f64 = 53.0;
/// Time of a step with one request.
const MIN_STEP_MS: f64 = 3.8;
/// Time of a step with all slots taken.
const MAX_STEP_MS: f64 = 5.2;
/// Output tokens assumed before any stream has ended.
const DEFAULT_OUTPUT: f64 = 120.0;
/// Time of a call assumed before any has ended.
const DEFAULT_CALL_MS: f64 = 20.0;
/// Most pairs of a route and a workspace or method; the one that was unused for longest
/// makes room.
const MAX_PAIRS: usize = 512;
/// Time without a sample after which a pair is forgotten.
const MAX_AGE: Duration = Duration::from_secs(3600);
/// Most output tokens that a prediction or a sample may have, against figures of clients
/// that are far off.
const MAX_OUTPUT: f64 = 1e6;
/// Share of the prediction that is left of an output that has reached it: long outputs
/// go on for long.
const MIN_SHARE_LEFT: f64 = 0.25;

/// Time to process this many prompt tokens.
pub fn prefill_ms(tokens: u64) -> f64 {
    tokens as f64 / PREFILL_PER_MS
}

/// Time of a step while this many of the slots are taken.
pub fn step_ms(running: u32, slots: u32) -> f64 {
    let share = f64::from(running) / f64::from(slots.max(1));
    MIN_STEP_MS + (MAX_STEP_MS - MIN_STEP_MS) * share.min(1.0)
}

/// Tokens left of an output of which `done` tokens came.
pub fn output_left(predicted: u64, done: u64) -> u64 {
    let least = (predicted as f64 * MIN_SHARE_LEFT) as u64;
    predicted.saturating_sub(done).max(least)
}

/// The work of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that have to be processed wherever it goes.
    pub prompt_tokens: u64,
    /// Prompt tokens that are cached at the home server.
    pub shared_tokens: u64,
    /// Output tokens that are expected.
    pub output_tokens: u64,
    /// Time of a call, which has no tokens.
    pub call_ms: f64,
}

impl Work {
    /// Time that it takes at a server with this many requests running.
    pub fn alone_ms(&self, running: u32, slots: u32) -> f64 {
        let step = step_ms(running.saturating_add(1), slots);
        prefill_ms(self.prompt_tokens) + self.output_tokens as f64 * step + self.call_ms
    }

    /// Time that it takes of a server whose slots are all taken.
    pub fn share_ms(&self, slots: u32) -> f64 {
        let decode = self.output_tokens as f64 * MAX_STEP_MS + self.call_ms;
        prefill_ms(self.prompt_tokens) + decode / f64::from(slots.max(1))
    }
}

/// What is learned for a route and a workspace or method, and when it last was.
type Pairs<T> = SortedVec<(Name, Name), (Instant, T)>;

/// The costs of requests as this router has seen them.
#[derive(Debug, Default)]
pub struct Costs {
    outputs: Pairs<Outputs>,
    all_outputs: Outputs,
    calls: Pairs<Calls>,
    all_calls: Calls,
}

impl Costs {
    /// Output tokens expected of a request of this route and workspace, `max` at most.
    pub fn output(&self, pair: &(Name, Name), hint: Option<u64>, max: u64) -> u64 {
        let known = self.outputs.get(pair).map(|(_, known)| known);
        let known = known.filter(|known| known.is_learned());
        let predicted = known.and_then(|known| known.predict(hint));
        let mean = || {
            let known = self.outputs.get(pair).and_then(|(_, known)| known.mean());
            known.or_else(|| self.all_outputs.mean())
        };
        let predicted = predicted.or_else(mean).unwrap_or(DEFAULT_OUTPUT);
        (predicted.round().clamp(1.0, MAX_OUTPUT) as u64).min(max.max(1))
    }

    /// Records a complete stream of this many output tokens.
    pub fn record_output(
        &mut self,
        pair: (Name, Name),
        hint: Option<u64>,
        tokens: u64,
        now: Instant,
    ) {
        if tokens == 0 {
            return;
        }
        let tokens = (tokens as f64).min(MAX_OUTPUT);
        self.all_outputs.record(None, tokens);
        entry(&mut self.outputs, pair, now).record(hint, tokens);
    }

    /// Time expected of a call of this route and method at pace 1, in milliseconds.
    pub fn call_ms(&self, pair: &(Name, Name)) -> f64 {
        let known = self.calls.get(pair).and_then(|(_, calls)| calls.predict());
        let known = known.or_else(|| self.all_calls.predict());
        known.unwrap_or(DEFAULT_CALL_MS)
    }

    /// Records a call that took this long at a server of pace `pace`.
    pub fn record_call(&mut self, pair: (Name, Name), took: Duration, pace: f64, now: Instant) {
        let ms = took.as_secs_f64() * 1e3 * pace;
        if ms.is_finite() && ms > 0.0 {
            self.all_calls.record(ms);
            entry(&mut self.calls, pair, now).record(ms);
        }
    }

    /// Number of pairs that are known, for the metrics.
    pub fn pairs(&self) -> usize {
        self.outputs.len() + self.calls.len()
    }
}

/// The entry of a pair, for which another one makes room.
fn entry<T: Default>(pairs: &mut Pairs<T>, pair: (Name, Name), now: Instant) -> &mut T {
    if !pairs.contains(&pair) && pairs.len() >= MAX_PAIRS {
        let oldest = pairs.iter().map(|(_, (at, _))| *at).min();
        pairs.retain(|_, (at, _)| Some(*at) != oldest && now < *at + MAX_AGE);
    }
    let (at, known) = pairs.get_or_insert_with(pair, || (now, T::default()));
    if now >= *at + MAX_AGE {
        *known = T::default();
    }
    *at = now;
    known
}
