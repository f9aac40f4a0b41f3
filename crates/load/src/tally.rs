//! Counts and percentiles of what became of the requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use poplar_core::sorted::SortedVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::caller::{Answer, End, Outcome};
use crate::mix::{Item, Mix, Targets};
use crate::outcome::{Refusals, Row, Totals};
use crate::retry::Failure;

/// Longest time that a histogram holds, in microseconds.
const LONGEST: u64 = 3_600_000_000;
/// Significant digits that a histogram keeps.
const DIGITS: u8 = 3;
/// Most prompts whose answers are compared.
const COMPARED: usize = 100_000;
/// Stands for every workspace of a class.
pub const ALL: &str = "*";
/// Stands for every workspace of a class but the one that rushes.
pub const QUIET: &str = "(quiet)";

/// Whose requests a cell counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Whose {
    /// Every workspace's.
    All,
    /// Those of all but the rushing one.
    Quiet,
    /// Those of the workspace at this place.
    One(usize),
}

/// A histogram of times in microseconds.
pub type Times = Histogram<u64>;

fn times() -> Times {
    Times::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are right")
}

fn record(times: &mut Times, time: Duration) {
    times.saturating_record(time.as_micros() as u64);
}

/// Counts of one class and workspace.
#[derive(Debug, Clone)]
struct Cell {
    totals: Totals,
    refusals: SortedVec<(String, String), Refusals>,
    first: Times,
    gap: Times,
    finish: Times,
}

impl Cell {
    fn new() -> Self {
        Self {
            totals: Totals::default(),
            refusals: SortedVec::new(),
            first: times(),
            gap: times(),
            finish: times(),
        }
    }

    fn add(&mut self, outcome: &Outcome, targets: Targets) {
        self.totals.offered += 1;
        self.totals.attempts += u64::from(outcome.attempts);
        match &outcome.end {
            End::Answered(answer) => self.answered(answer, targets),
            End::Failed(Failure::Refused(_)) => self.totals.refused += 1,
            End::Failed(Failure::Unreached | Failure::Lost) => self.totals.lost += 1,
            End::Shed => self.totals.shed += 1,
        }
        let refused = matches!(outcome.end, End::Failed(Failure::Refused(_)));
        for (at, refusal) in outcome.refusals.iter().enumerate() {
            let last = refused && at + 1 == outcome.refusals.len();
            let key = (refusal.code.to_string(), refusal.run.to_string());
            let refusals = self.refusals.get_or_insert_with(key.clone(), || Refusals {
                code: key.0,
                run: key.1,
                ..Refusals::default()
            });
            refusals.count += 1;
            refusals.last += u64::from(last);
        }
    }

    fn answered(&mut self, answer: &Answer, targets: Targets) {
        self.totals.answered += 1;
        if met(answer, targets) {
            self.totals.met += 1;
        } else {
            self.totals.missed += 1;
        }
        if let Some(first) = answer.first {
            record(&mut self.first, first);
        }
        for gap in &answer.gaps {
            self.gap.saturating_record(u64::from(*gap));
        }
        record(&mut self.finish, answer.finish);
    }
}

/// Whether an answer met its class's targets.
pub fn met(answer: &Answer, targets: Targets) -> bool {
    let first = match (targets.first, answer.first) {
        (Some(target), Some(first)) => first <= target,
        _ => true,
    };
    first && answer.finish <= targets.finish
}

/// Counts of a whole run.
#[derive(Debug)]
pub struct Tally {
    items: Vec<Item>,
    senders: Vec<String>,
    rushing: Option<usize>,
    cells: SortedVec<(usize, Whose), Cell>,
    verify: bool,
    answers: SortedVec<(usize, usize, u64), u64>,
    /// Answers that were compared with an earlier one to the same prompt.
    pub compared: u64,
    /// Answers that differ from an earlier one to the same prompt.
    pub differing: u64,
    /// Answers whose tokens are not as many as their usage says.
    pub miscounted: u64,
    /// How late requests were first sent.
    pub late: Times,
}

impl Tally {
    /// An empty tally; `verify` compares answers to the same prompt.
    ///
    /// `rushing` is the place of the workspace that rushes.
    pub fn new(mix: &Mix, verify: bool, rushing: Option<usize>) -> Self {
        Self {
            items: mix.items.clone(),
            senders: mix.senders.iter().map(|s| s.name.clone()).collect(),
            rushing,
            cells: SortedVec::new(),
            verify,
            answers: SortedVec::new(),
            compared: 0,
            differing: 0,
            miscounted: 0,
            late: times(),
        }
    }

    /// Counts what became of a request.
    pub fn add(&mut self, outcome: &Outcome) {
        let (item, sender) = (outcome.arrival.item, outcome.arrival.sender);
        let targets = self.items[item].targets;
        let quiet = self.rushing.filter(|rushing| *rushing != sender);
        let quiet = quiet.map(|_| Whose::Quiet);
        for whose in [Whose::All, Whose::One(sender)].into_iter().chain(quiet) {
            let cell = self.cells.get_or_insert_with((item, whose), Cell::new);
            cell.add(outcome, targets);
        }
        if outcome.attempts > 0 {
            record(&mut self.late, outcome.late);
        }
        if let End::Answered(answer) = &outcome.end {
            self.miscounted += u64::from(!answer.counted);
            if self.verify && answer.first.is_some() {
                self.compare((item, sender, outcome.arrival.prompt), &answer.text);
            }
        }
    }

    fn compare(&mut self, prompt: (usize, usize, u64), text: &str) {
        let hash = xxh3_64(text.as_bytes());
        if let Some(known) = self.answers.get(&prompt) {
            self.compared += 1;
            self.differing += u64::from(*known != hash);
        } else if self.answers.len() < COMPARED {
            self.answers.insert(prompt, hash);
        }
    }

    /// Sums over all classes and workspaces.
    pub fn totals(&self) -> Totals {
        let sums = self
            .cells
            .iter()
            .filter(|((_, whose), _)| *whose == Whose::All);
        sums.fold(Totals::default(), |sum, (_, cell)| sum.plus(&cell.totals))
    }

    /// A row a class and workspace, each class's sum first.
    pub fn rows(&self) -> Vec<Row> {
        self.cells
            .iter()
            .map(|(key, cell)| self.row(key, cell))
            .collect()
    }

    fn row(&self, key: &(usize, Whose), cell: &Cell) -> Row {
        let workspace = match key.1 {
            Whose::All => ALL,
            Whose::Quiet => QUIET,
            Whose::One(at) => &self.senders[at],
        };
        Row {
            class: self.items[key.0].class.to_owned(),
            workspace: workspace.to_owned(),
            totals: cell.totals.clone(),
            first: (&cell.first).into(),
            gap: (&cell.gap).into(),
            finish: (&cell.finish).into(),
            refusals: cell.refusals.iter().map(|(_, r)| r.clone()).collect(),
        }
    }
}
