//! Aggregates outcomes of requests into counts and latency percentiles.

use std::time::Duration;

use hdrhistogram::Histogram;
use poplar_core::sorted::SortedVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::caller::{Answer, RequestEnd, RequestOutcome};
use crate::mix::{ClassLoad, Mix, Targets};
use crate::retry::Failure;
use crate::run_result::{Refusals, Row, Totals};

/// Upper bound of a histogram, in microseconds (1 hour).
const MAX_TIME_US: u64 = 3_600_000_000;
/// Precision of a histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Limit on prompts whose answers are kept for comparison.
const MAX_COMPARED_PROMPTS: usize = 100_000;
/// Workspace name of rows over all workspaces of a class.
pub const ALL_WORKSPACES: &str = "*";
/// Workspace name of rows over all workspaces of a class but the rushing one.
pub const OTHER_WORKSPACES: &str = "(quiet)";

/// The workspaces that a counter covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    /// All workspaces.
    All,
    /// All workspaces but the one that rushes.
    Others,
    /// The workspace at this index.
    Workspace(usize),
}

/// A histogram of durations in microseconds.
pub type Times = Histogram<u64>;

fn new_times() -> Times {
    Times::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn record(times: &mut Times, time: Duration) {
    times.saturating_record(time.as_micros() as u64);
}

/// Counts of one class and scope.
#[derive(Debug, Clone)]
struct Counter {
    totals: Totals,
    refusals: SortedVec<(String, String), Refusals>,
    first: Times,
    gap: Times,
    finish: Times,
}

impl Counter {
    fn new() -> Self {
        Self {
            totals: Totals::default(),
            refusals: SortedVec::new(),
            first: new_times(),
            gap: new_times(),
            finish: new_times(),
        }
    }

    fn add(&mut self, outcome: &RequestOutcome, targets: Targets) {
        self.totals.offered += 1;
        self.totals.attempts += u64::from(outcome.attempts);
        match &outcome.end {
            RequestEnd::Answered(answer) => self.add_answer(answer, targets),
            RequestEnd::Failed(Failure::Refused(_)) => self.totals.refused += 1,
            RequestEnd::Failed(Failure::ConnectError | Failure::Lost) => self.totals.lost += 1,
            RequestEnd::Shed => self.totals.shed += 1,
        }
        let gave_up = matches!(outcome.end, RequestEnd::Failed(Failure::Refused(_)));
        for (at, refusal) in outcome.refusals.iter().enumerate() {
            let is_last = gave_up && at + 1 == outcome.refusals.len();
            let key = (refusal.code.to_string(), refusal.execution.to_string());
            let refusals = self.refusals.get_or_insert_with(key.clone(), || Refusals {
                code: key.0,
                execution: key.1,
                ..Refusals::default()
            });
            refusals.count += 1;
            refusals.gave_up += u64::from(is_last);
        }
    }

    fn add_answer(&mut self, answer: &Answer, targets: Targets) {
        self.totals.answered += 1;
        if met_targets(answer, targets) {
            self.totals.met += 1;
        } else {
            self.totals.missed += 1;
        }
        if let Some(first) = answer.first_token {
            record(&mut self.first, first);
        }
        for gap in &answer.token_gaps {
            self.gap.saturating_record(u64::from(*gap));
        }
        record(&mut self.finish, answer.finish);
    }
}

/// Whether an answer is within the targets of its class.
pub fn met_targets(answer: &Answer, targets: Targets) -> bool {
    let first = match (targets.first_token, answer.first_token) {
        (Some(target), Some(first)) => first <= target,
        _ => true,
    };
    first && answer.finish <= targets.finish
}

/// Aggregated outcomes of a run.
#[derive(Debug)]
pub struct Tally {
    classes: Vec<ClassLoad>,
    senders: Vec<String>,
    rushing_sender: Option<usize>,
    counters: SortedVec<(usize, Scope), Counter>,
    verify: bool,
    answer_hashes: SortedVec<(usize, usize, u64), u64>,
    /// Answers that were compared with an earlier one to the same prompt.
    pub compared: u64,
    /// Answers that differ from an earlier one to the same prompt.
    pub differing: u64,
    /// Answers whose number of chunks differs from the reported usage.
    pub miscounted: u64,
    /// Delay of first attempts after their scheduled arrival.
    pub send_delay: Times,
}

impl Tally {
    /// Creates an empty tally; `verify` compares answers to the same prompt.
    ///
    /// `rushing_sender` is the index of the workspace that rushes.
    pub fn new(mix: &Mix, verify: bool, rushing_sender: Option<usize>) -> Self {
        Self {
            classes: mix.classes.clone(),
            senders: mix.senders.iter().map(|s| s.name.clone()).collect(),
            rushing_sender,
            counters: SortedVec::new(),
            verify,
            answer_hashes: SortedVec::new(),
            compared: 0,
            differing: 0,
            miscounted: 0,
            send_delay: new_times(),
        }
    }

    /// Adds the outcome of a request.
    pub fn add(&mut self, outcome: &RequestOutcome) {
        let (class, sender) = (outcome.arrival.class, outcome.arrival.sender);
        let targets = self.classes[class].targets;
        let others = self.rushing_sender.filter(|rushing| *rushing != sender);
        let others = others.map(|_| Scope::Others);
        for scope in [Scope::All, Scope::Workspace(sender)]
            .into_iter()
            .chain(others)
        {
            let counter = self
                .counters
                .get_or_insert_with((class, scope), Counter::new);
            counter.add(outcome, targets);
        }
        if outcome.attempts > 0 {
            record(&mut self.send_delay, outcome.send_delay);
        }
        if let RequestEnd::Answered(answer) = &outcome.end {
            self.miscounted += u64::from(!answer.count_matches);
            if self.verify && answer.first_token.is_some() {
                self.compare((class, sender, outcome.arrival.prompt), &answer.text);
            }
        }
    }

    fn compare(&mut self, prompt: (usize, usize, u64), text: &str) {
        let hash = xxh3_64(text.as_bytes());
        if let Some(earlier) = self.answer_hashes.get(&prompt) {
            self.compared += 1;
            self.differing += u64::from(*earlier != hash);
        } else if self.answer_hashes.len() < MAX_COMPARED_PROMPTS {
            self.answer_hashes.insert(prompt, hash);
        }
    }

    /// Sums the counts over all classes and workspaces.
    pub fn totals(&self) -> Totals {
        let sums = self
            .counters
            .iter()
            .filter(|((_, scope), _)| *scope == Scope::All);
        sums.fold(Totals::default(), |sum, (_, counter)| {
            sum.plus(&counter.totals)
        })
    }

    /// Returns one row per class and scope; the sum of each class comes first.
    pub fn rows(&self) -> Vec<Row> {
        self.counters
            .iter()
            .map(|(key, counter)| self.row(key, counter))
            .collect()
    }

    fn row(&self, key: &(usize, Scope), counter: &Counter) -> Row {
        let workspace = match key.1 {
            Scope::All => ALL_WORKSPACES,
            Scope::Others => OTHER_WORKSPACES,
            Scope::Workspace(index) => &self.senders[index],
        };
        Row {
            class: self.classes[key.0].name.to_owned(),
            workspace: workspace.to_owned(),
            totals: counter.totals.clone(),
            first: (&counter.first).into(),
            gap: (&counter.gap).into(),
            finish: (&counter.finish).into(),
            refusals: counter.refusals.iter().map(|(_, r)| r.clone()).collect(),
        }
    }
}
