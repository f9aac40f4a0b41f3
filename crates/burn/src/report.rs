//! The report as a pure function of what was gathered and the time.
//!
//! The burn rate is the share of answers off target over the share that the
//! class's objective allows: at 1 the error budget lasts exactly the window.

use poplar_core::config::Config;
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use serde::Serialize;

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// Windows that burn is reported for, with their length in milliseconds.
pub const WINDOWS: [(&str, u64); 3] = [
    ("5m", 5 * MINUTE_MS),
    ("1h", 60 * MINUTE_MS),
    ("day", 24 * 60 * MINUTE_MS),
];
/// Burn rate over five minutes and the hour at which somebody should act.
pub const ALARM_BURN_RATE: f64 = 14.4;
/// Objective of a class that is no longer in the configuration.
const DEFAULT_OBJECTIVE: f64 = 0.999;
/// Stands for every workspace of a class.
pub const ALL_WORKSPACES: &str = "*";

/// An answered request, from its bill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerRecord {
    /// Whose request it was.
    pub workspace: Name,
    /// Its class.
    pub class: Name,
    /// When the answer was whole, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Whether it met the class's targets.
    pub met: bool,
}

/// Refused requests of one minute, from a router's page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalCount {
    /// Whose requests they were.
    pub workspace: Name,
    /// Their class.
    pub class: Name,
    /// Minute of Unix time.
    pub minute: u64,
    /// Code of the refusal.
    pub code: Name,
    /// How many there were.
    pub count: u64,
    /// How many of them the fleet's unspent budget would have covered.
    pub false_refusals: u64,
}

/// What a budget holds and what was taken off it, in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetUsage {
    /// The budget.
    pub budget: Name,
    /// Prepaid in all.
    pub limit: u64,
    /// Billed in all.
    pub billed: u64,
    /// Taken off without an answer to bill.
    pub lost: u64,
}

impl BudgetUsage {
    /// Tokens taken off over the limit; must be 0.
    pub fn overspend(&self) -> u64 {
        (self.billed + self.lost).saturating_sub(self.limit)
    }
}

/// What was gathered.
#[derive(Debug, Clone, Default)]
pub struct Input {
    /// The configuration, for the objectives.
    pub config: Config,
    /// Answers of the last day, in any order.
    pub answers: Vec<AnswerRecord>,
    /// Refusals of the last day, in any order.
    pub refusals: Vec<RefusalCount>,
    /// Every budget.
    pub budgets: Vec<BudgetUsage>,
    /// Live routers whose page could not be read.
    pub silent: Vec<Incarnation>,
    /// Chains of bills that break off.
    pub broken: Vec<Name>,
}

/// Counts within a window.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Window {
    /// The window's name.
    pub window: &'static str,
    /// Answers on target.
    pub met: u64,
    /// Answers off target.
    pub missed: u64,
    /// Burn rate; 0 without answers.
    pub burn: f64,
    /// Refused requests.
    pub refused: u64,
    /// Refused although unspent budget would have covered them.
    pub false_refusals: u64,
}

/// A class's counts for a workspace, or for all of them.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// The class.
    pub class: Name,
    /// The workspace; [`ALL_WORKSPACES`] for the sum.
    pub workspace: Name,
    /// Share of answers that must be on target.
    pub objective: f64,
    /// Whether the burn over five minutes and the hour calls for action.
    pub alarm: bool,
    /// By window, in the order of [`WINDOWS`].
    pub windows: Vec<Window>,
}

/// Refusals of a class and workspace over the day by their code.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusalReason {
    /// The class.
    pub class: Name,
    /// The workspace.
    pub workspace: Name,
    /// Code of the refusal.
    pub code: Name,
    /// How many there were.
    pub count: u64,
    /// How many of them were false.
    pub false_refusals: u64,
}

/// The report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// As of when, in milliseconds of Unix time.
    pub at_ms: u64,
    /// By class and workspace, each class's sum first.
    pub rows: Vec<Row>,
    /// Refusals by reason.
    pub refusals: Vec<RefusalReason>,
    /// Every budget.
    pub budgets: Vec<BudgetUsage>,
    /// Overspend of all budgets, in tokens.
    pub overspend: u64,
    /// False refusals of the day.
    pub false_refusals: u64,
    /// Live routers whose refusals are missing from the report.
    pub silent: Vec<Incarnation>,
    /// Chains of bills that break off; their answers are missing.
    pub broken: Vec<Name>,
}

/// Counts of a window before its burn is known.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    met: u64,
    missed: u64,
    refused: u64,
    wrong: u64,
}

type Tallies = SortedVec<(Name, Name), [Counts; WINDOWS.len()]>;

/// Makes the report as of `now`, in milliseconds of Unix time.
pub fn report(input: &Input, now: u64) -> Report {
    let tallies = tally(input, now);
    let refusals = reasons(input, now);
    let row = |(key, counts): (&(Name, Name), &_)| row(&input.config, key, counts);
    Report {
        at_ms: now,
        rows: tallies.iter().map(row).collect(),
        overspend: input.budgets.iter().map(BudgetUsage::overspend).sum(),
        false_refusals: refusals.iter().map(|r| r.false_refusals).sum(),
        refusals,
        budgets: input.budgets.clone(),
        silent: input.silent.clone(),
        broken: input.broken.clone(),
    }
}

/// Whether something that ended at `end` is within `window` before `now`.
fn within(end: u64, now: u64, window: u64) -> bool {
    end > now.saturating_sub(window)
}

fn tally(input: &Input, now: u64) -> Tallies {
    let mut tallies = Tallies::new();
    // Classes without traffic are listed too, so that silence is seen.
    for class in &input.config.classes {
        add(&mut tallies, &class.name, ALL_WORKSPACES, 0, now, |_| ());
    }
    for one in &input.answers {
        let count = |c: &mut Counts| {
            c.met += u64::from(one.met);
            c.missed += u64::from(!one.met);
        };
        for workspace in [ALL_WORKSPACES, &one.workspace] {
            add(&mut tallies, &one.class, workspace, one.at_ms, now, count);
        }
    }
    for one in &input.refusals {
        let count = |c: &mut Counts| {
            c.refused += one.count;
            c.wrong += one.false_refusals;
        };
        for workspace in [ALL_WORKSPACES, &one.workspace] {
            add(&mut tallies, &one.class, workspace, end(one), now, count);
        }
    }
    tallies
}

/// End of a refusal's minute in milliseconds of Unix time.
fn end(refused: &RefusalCount) -> u64 {
    (refused.minute + 1) * MINUTE_MS
}

fn add(
    tallies: &mut Tallies,
    class: &Name,
    workspace: &str,
    end: u64,
    now: u64,
    count: impl Fn(&mut Counts),
) {
    let counts = tallies.get_or_insert_with((class.clone(), workspace.into()), Default::default);
    for ((_, window), counts) in WINDOWS.iter().zip(counts) {
        if within(end, now, *window) {
            count(counts);
        }
    }
}

fn row(config: &Config, key: &(Name, Name), counts: &[Counts; WINDOWS.len()]) -> Row {
    let (class, workspace) = key;
    let objective = config
        .class(class)
        .map_or(DEFAULT_OBJECTIVE, |c| c.objective);
    let windows: Vec<Window> = WINDOWS
        .iter()
        .zip(counts)
        .map(|((name, _), counts)| window(name, counts, objective))
        .collect();
    Row {
        class: class.clone(),
        workspace: workspace.clone(),
        objective,
        alarm: windows[0].burn >= ALARM_BURN_RATE && windows[1].burn >= ALARM_BURN_RATE,
        windows,
    }
}

fn window(name: &'static str, counts: &Counts, objective: f64) -> Window {
    Window {
        window: name,
        met: counts.met,
        missed: counts.missed,
        burn: burn_rate(counts.met, counts.missed, objective),
        refused: counts.refused,
        false_refusals: counts.wrong,
    }
}

/// Missed share over the share that the objective allows.
pub fn burn_rate(met: u64, missed: u64, objective: f64) -> f64 {
    let all = met + missed;
    if all == 0 {
        return 0.0;
    }
    let share = missed as f64 / all as f64;
    share / (1.0 - objective).max(f64::EPSILON)
}

fn reasons(input: &Input, now: u64) -> Vec<RefusalReason> {
    let (_, day) = WINDOWS[WINDOWS.len() - 1];
    let mut sums: SortedVec<(Name, Name, Name), (u64, u64)> = SortedVec::new();
    for one in input.refusals.iter().filter(|r| within(end(r), now, day)) {
        let key = (one.class.clone(), one.workspace.clone(), one.code.clone());
        let sum = sums.get_or_insert_with(key, || (0, 0));
        sum.0 += one.count;
        sum.1 += one.false_refusals;
    }
    let reason =
        |((class, workspace, code), (count, wrong)): (&(Name, Name, Name), &(u64, u64))| {
            RefusalReason {
                class: class.clone(),
                workspace: workspace.clone(),
                code: code.clone(),
                count: *count,
                false_refusals: *wrong,
            }
        };
    sums.iter().map(reason).collect()
}
