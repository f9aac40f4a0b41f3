//! Prometheus metrics of the router.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use poplar_core::id::Name;

use crate::flow::billing::CompletedRequest;
use crate::flow::request::Job;
use crate::refusal::Code;
use crate::state::State;

/// Upper bounds of the latency histograms' buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.56, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
];

/// Installs the process-wide recorder.
///
/// # Errors
/// If one is installed already.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS)?
        .install_recorder()
}

/// Counts an answered request.
pub fn count_answer(job: &Job, completed: &CompletedRequest) {
    let labels = [
        ("workspace", job.workspace.to_string()),
        ("class", job.class.name.to_string()),
    ];
    let since = |at: std::time::Instant| at.saturating_duration_since(job.arrived).as_secs_f64();
    counter!("poplar_answers_total", &labels).increment(1);
    counter!("poplar_tokens_total", &labels).increment(completed.prompt + completed.output);
    histogram!("poplar_finish_seconds", &labels).record(since(completed.completed_at));
    if let Some(first) = completed.first_token {
        histogram!("poplar_first_token_seconds", &labels).record(since(first));
    }
}

/// Counts a refusal.
pub fn count_refusal(workspace: &Name, class: &Name, code: Code) {
    let labels = [
        ("workspace", workspace.to_string()),
        ("class", class.to_string()),
        ("code", code.name().to_owned()),
    ];
    counter!("poplar_refusals_total", &labels).increment(1);
}

/// Counts a request that is sent again after a failure.
pub fn count_retry(class: &Name) {
    counter!("poplar_retries_total", "class" => class.to_string()).increment(1);
}

/// Counts an answer that was sent before its bill was durable.
pub fn count_unbilled_answer(how: &'static str) {
    counter!("poplar_answers_before_bill_total", "how" => how).increment(1);
}

/// Sets the gauges to the present values; called before each scrape.
pub fn update_gauges(state: &State) {
    gauge!("poplar_requests_open").set(state.open_requests.count() as f64);
    gauge!("poplar_requests_queued").set(state.dispatcher.queued() as f64);
    gauge!("poplar_bills_waiting").set(state.bill_queue.pending_count() as f64);
    gauge!("poplar_generation").set(state.config().generation as f64);
    gauge!("poplar_ready").set(f64::from(u8::from(state.is_ready())));
    gauge!("poplar_peers").set(state.peers.live_count(std::time::Instant::now()) as f64);
    for (budget, holding) in state.budgets.holdings() {
        let labels = [("budget", budget.to_string())];
        gauge!("poplar_budget_free_tokens", &labels).set(holding.free() as f64);
        gauge!("poplar_budget_lost_tokens", &labels).set(holding.lost as f64);
    }
}

/// Interval between the recorder's upkeep runs, which keep the memory of
/// histograms bounded.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
