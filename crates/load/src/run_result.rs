//! The result of a run, as it is printed in JSON and read back for plots.

use serde::{Deserialize, Serialize};

use crate::tally::Times;

/// Counts of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Scheduled requests.
    pub offered: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Answers within the class's latency targets.
    pub met: u64,
    /// Answers outside the class's latency targets.
    pub missed: u64,
    /// Requests whose last attempt was refused.
    pub refused: u64,
    /// Requests whose last attempt lost its connection or answer.
    pub lost: u64,
    /// Requests not sent, because the limit on concurrent requests was reached.
    pub shed: u64,
    /// Attempts of all requests.
    pub attempts: u64,
}

impl Totals {
    /// Adds each count of `other`.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            offered: self.offered + other.offered,
            answered: self.answered + other.answered,
            met: self.met + other.met,
            missed: self.missed + other.missed,
            refused: self.refused + other.refused,
            lost: self.lost + other.lost,
            shed: self.shed + other.shed,
            attempts: self.attempts + other.attempts,
        }
    }
}

/// Refusals of one code and execution state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusals {
    /// Refusal code.
    pub code: String,
    /// Whether the request was executed: `not_run`, `ran` or `unknown`.
    #[serde(rename = "run")]
    pub execution: String,
    /// All refusals, including those followed by a retry.
    pub count: u64,
    /// Refusals after which the caller gave up.
    #[serde(rename = "last")]
    pub gave_up: u64,
}

/// Percentiles of durations, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl From<&Times> for Percentiles {
    fn from(times: &Times) -> Self {
        let millis_at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: times.len(),
            p50: millis_at(0.5),
            p90: millis_at(0.9),
            p99: millis_at(0.99),
            p999: millis_at(0.999),
            max: times.max() as f64 / 1_000.0,
        }
    }
}

/// Results of one class and workspace.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Name of the class.
    pub class: String,
    /// Name of the workspace; `*` for all, `(quiet)` for all but the one that `--rush` names.
    pub workspace: String,
    /// Request counts.
    #[serde(flatten)]
    pub totals: Totals,
    /// Time to the first token.
    pub first: Percentiles,
    /// Time between tokens.
    pub gap: Percentiles,
    /// Time to the complete answer.
    pub finish: Percentiles,
    /// Refusals by code and execution state.
    pub refusals: Vec<Refusals>,
}

/// Budget figures that the platform and the routers report after the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetReport {
    /// Tokens billed beyond the limits.
    pub overspend: u64,
    /// Refusals during the run although the unspent budget would have covered the request.
    pub false_refusals: u64,
    /// Requests billed within the last day.
    pub billed: u64,
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunResult {
    /// Name of the run, for plots.
    pub name: String,
    /// Name of the mix.
    pub mix: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Arrivals per second, without the rush.
    pub rate: f64,
    /// Duration of the schedule, in seconds.
    pub seconds: f64,
    /// Number of routers that requests were sent to.
    pub targets: usize,
    /// Counts over all classes.
    #[serde(flatten)]
    pub totals: Totals,
    /// Fraction of offered requests that were answered within their targets.
    pub on_target: f64,
    /// Attempts per request that was sent.
    pub amplification: f64,
    /// Answers that were compared with an earlier one to the same prompt.
    pub compared: u64,
    /// Answers that differ from an earlier one to the same prompt.
    pub differing: u64,
    /// Answers whose number of chunks differs from the reported usage.
    pub miscounted: u64,
    /// Delay of first attempts after their scheduled arrival.
    #[serde(rename = "late")]
    pub send_delay: Percentiles,
    /// Budget figures, if the platform's address was given.
    #[serde(rename = "ledger")]
    pub budgets: Option<BudgetReport>,
    /// Results by class and workspace; the sum of each class comes first.
    pub rows: Vec<Row>,
}
