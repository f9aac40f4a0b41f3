//! What this router has learned of the costs of requests, and how far its predictions
//! were off.

use std::sync::Mutex;
use std::time::Instant;

use poplar_core::cost;
use poplar_core::id::Name;

use crate::relay::request::ClientRequest;
use crate::relay::servers::{Demand, InFlight};
use crate::sync::lock;

/// The costs of requests as this router has seen them.
#[derive(Debug, Default)]
pub struct Costs(Mutex<cost::Costs>);

/// The route of a request, and its workspace or, of a call, its method.
fn pair(request: &ClientRequest) -> (Name, Name) {
    let second = match (&request.workspace, request.head.tokens) {
        (_, None) => request.method.as_str().into(),
        (Some(workspace), _) => workspace.name.clone(),
        (None, _) => "".into(),
    };
    (request.route.name.clone(), second)
}

impl Costs {
    /// What a request asks of a server, after `done` output tokens of it came.
    pub fn demand(&self, request: &ClientRequest, done: u64) -> Demand {
        let pair = pair(request);
        let costs = lock(&self.0);
        let Some(tokens) = request.head.tokens else {
            return Demand {
                call_us: (costs.call_ms(&pair) * 1e3) as u64,
                ..Demand::default()
            };
        };
        let predicted = costs.output(&pair, request.head.output_hint, tokens.output);
        Demand {
            prompt_tokens: tokens.prompt,
            output_tokens: tokens.output,
            likely_output: cost::output_left(predicted, done),
            ..Demand::default()
        }
    }

    /// Records a complete stream of this many output tokens that came from one server.
    pub fn record_stream(
        &self,
        request: &ClientRequest,
        at: &InFlight,
        is_from_one: bool,
        tokens: u64,
        now: Instant,
    ) {
        let Some(counts) = request.head.tokens else {
            return;
        };
        let tokens = tokens.min(counts.output);
        let hint = request.head.output_hint;
        lock(&self.0).record_output(pair(request), hint, tokens, now);
        if is_from_one {
            let off = at.progress.work.output_tokens.abs_diff(tokens);
            metrics::counter!("poplar_output_tokens_total").increment(tokens);
            metrics::counter!("poplar_output_error_tokens_total").increment(off);
            record_completion(at, now);
        }
    }

    /// Records a call that a server answered completely.
    pub fn record_call(&self, request: &ClientRequest, at: &mut InFlight, now: Instant) {
        let Some(took) = at.record_call(now) else {
            return;
        };
        if request.head.tokens.is_none() {
            let pace = at.progress.pace;
            lock(&self.0).record_call(pair(request), took, pace, now);
        }
        record_completion(at, now);
    }

    /// Number of routes and workspaces or methods that are known, for the metrics.
    pub fn pairs(&self) -> usize {
        lock(&self.0).pairs()
    }
}

/// Counts how far the predicted time to completion was off.
fn record_completion(at: &InFlight, now: Instant) {
    let progress = &at.progress;
    if let (Some(predicted), Some(chosen)) = (progress.completion_ms, progress.chosen) {
        let took = now.saturating_duration_since(chosen).as_secs_f64() * 1e3;
        metrics::counter!("poplar_predicted_requests_total").increment(1);
        metrics::counter!("poplar_completion_ms_total").increment(took as u64);
        let off = (predicted - took).abs() as u64;
        metrics::counter!("poplar_completion_error_ms_total").increment(off);
    }
}
