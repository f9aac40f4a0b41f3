//! The result of a run, as it is written and read again for plots.

use serde::{Deserialize, Serialize};

use crate::tally::Times;

/// Counts of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests with their whole answer.
    pub answered: u64,
    /// Answers on target.
    pub met: u64,
    /// Answers off target.
    pub missed: u64,
    /// Requests whose caller gave up on a refusal.
    pub refused: u64,
    /// Requests whose caller gave up on lost connections or answers.
    pub lost: u64,
    /// Requests that were not sent, since too many were under way.
    pub shed: u64,
    /// How often requests were sent, in all.
    pub attempts: u64,
}

impl Totals {
    /// The sum of both.
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

/// Refusals of one code.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusals {
    /// The code.
    pub code: String,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub run: String,
    /// How many there were, those that were tried again included.
    pub count: u64,
    /// How many of them the caller gave up on.
    pub last: u64,
}

/// Percentiles of times, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Percentiles {
    /// How many were measured.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl From<&Times> for Percentiles {
    fn from(times: &Times) -> Self {
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: times.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: times.max() as f64 / 1_000.0,
        }
    }
}

/// What became of the requests of a class and workspace.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// The class.
    pub class: String,
    /// The workspace; `*` for all of the class, `(quiet)` for all but a rushing one.
    pub workspace: String,
    /// Counts.
    #[serde(flatten)]
    pub totals: Totals,
    /// Until the first token.
    pub first: Percentiles,
    /// Between tokens.
    pub gap: Percentiles,
    /// Until the whole answer.
    pub finish: Percentiles,
    /// Refusals by code.
    pub refusals: Vec<Refusals>,
}

/// What the platform and the routers say after the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ledger {
    /// Tokens billed over the limits.
    pub overspend: u64,
    /// Refusals during the run that unspent budget would have covered.
    pub false_refusals: u64,
    /// Bills of the last day.
    pub billed: u64,
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the run, for plots.
    pub name: String,
    /// The mix.
    pub mix: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Arrivals a second, without a rush.
    pub rate: f64,
    /// How long requests arrived, in seconds.
    pub seconds: f64,
    /// Routers that were sent to.
    pub targets: usize,
    /// Counts of all requests.
    #[serde(flatten)]
    pub totals: Totals,
    /// Share of offered requests that were answered on target.
    pub on_target: f64,
    /// Times sent for each request that was sent.
    pub amplification: f64,
    /// Answers that were compared with an earlier one to the same prompt.
    pub compared: u64,
    /// Answers that differ from an earlier one to the same prompt.
    pub differing: u64,
    /// Answers whose tokens are not as many as their usage says.
    pub miscounted: u64,
    /// How late requests were first sent.
    pub late: Percentiles,
    /// Budgets, where the platform was asked.
    pub ledger: Option<Ledger>,
    /// By class and workspace, each class's sum first.
    pub rows: Vec<Row>,
}
