//! Computes the report as a pure function of its input and the time.
//!
//! The burn rate is the share of answers that missed their targets, divided by the
//! share that the class's objective allows. At a burn rate of 1 the error budget
//! lasts exactly for the window.

use poplar_core::config::Config;
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use serde::Serialize;

const MINUTE_MS: u64 = 60_000;
/// Windows of the report: name and length in milliseconds.
pub const WINDOWS: [(&str, u64); 3] = [
    ("5m", 5 * MINUTE_MS),
    ("1h", 60 * MINUTE_MS),
    ("day", 24 * 60 * MINUTE_MS),
];
/// Burn rate that raises the alarm if both five minutes and the hour reach it.
pub const ALARM_BURN_RATE: f64 = 14.4;
/// Objective of a class that is no longer in the configuration.
const DEFAULT_OBJECTIVE: f64 = 0.999;
/// Workspace name of the rows that sum all workspaces of a class.
pub const ALL_WORKSPACES: &str = "*";

/// An answered request, from its bill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerRecord {
    /// Workspace of the request.
    pub workspace: Name,
    /// Class of the request.
    pub class: Name,
    /// Time at which the answer was complete, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Whether it met the class's targets.
    pub met: bool,
}

/// Number of refused requests in one minute, from a router's `/v1/burn`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalCount {
    /// Workspace of the requests.
    pub workspace: Name,
    /// Class of the requests.
    pub class: Name,
    /// Unix time in minutes.
    pub minute: u64,
    /// Code of the refusal.
    pub code: Name,
    /// Number of refusals.
    pub count: u64,
    /// Number of them that the fleet's unspent budget would have covered.
    pub false_refusals: u64,
}

/// Limit and use of one budget, in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetUsage {
    /// Name of the budget.
    pub budget: Name,
    /// Prepaid tokens.
    pub limit: u64,
    /// Billed tokens.
    pub billed: u64,
    /// Recorded as a loss: spent without an answer that could be billed.
    pub lost: u64,
}

impl BudgetUsage {
    /// Returns the tokens spent beyond the limit; must be 0.
    pub fn overspend(&self) -> u64 {
        (self.billed + self.lost).saturating_sub(self.limit)
    }
}

/// Input of the report.
#[derive(Debug, Clone, Default)]
pub struct Input {
    /// Configuration, which contains the objectives.
    pub config: Config,
    /// Answers of the last day, in any order.
    pub answers: Vec<AnswerRecord>,
    /// Refusals of the last day, in any order.
    pub refusals: Vec<RefusalCount>,
    /// Use of each budget.
    pub budgets: Vec<BudgetUsage>,
    /// Live routers that did not answer; their refusals are missing.
    pub silent: Vec<Incarnation>,
    /// Batches at which chains of bills break; the bills before them are missing.
    pub broken: Vec<Name>,
}

/// Counts within a window.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Window {
    /// Name of the window.
    pub window: &'static str,
    /// Answers that met their targets.
    pub met: u64,
    /// Answers that missed a target.
    pub missed: u64,
    /// Burn rate; 0 if there are no answers.
    pub burn: f64,
    /// Refused requests.
    pub refused: u64,
    /// Requests refused although unspent budget would have covered them.
    pub false_refusals: u64,
}

/// Counts of one class for one workspace or for all workspaces.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// The class.
    pub class: Name,
    /// The workspace, or [`ALL_WORKSPACES`] for the sum.
    pub workspace: Name,
    /// Share of answers that must meet their targets.
    pub objective: f64,
    /// Whether the burn rates over five minutes and the hour both reach
    /// [`ALARM_BURN_RATE`].
    pub alarm: bool,
    /// Counts by window, in the order of [`WINDOWS`].
    pub windows: Vec<Window>,
}

/// Refusals of one class and workspace with one code, over the day.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusalReason {
    /// The class.
    pub class: Name,
    /// The workspace.
    pub workspace: Name,
    /// Code of the refusal.
    pub code: Name,
    /// Number of refusals.
    pub count: u64,
    /// Number of false refusals among them.
    pub false_refusals: u64,
}

/// The report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Time of the report, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Counts by class and workspace; the sum of each class comes first.
    pub rows: Vec<Row>,
    /// Refusals by class, workspace and code.
    pub refusals: Vec<RefusalReason>,
    /// Use of each budget.
    pub budgets: Vec<BudgetUsage>,
    /// Sum of the overspend of all budgets, in tokens.
    pub overspend: u64,
    /// False refusals over the day.
    pub false_refusals: u64,
    /// Live routers that did not answer; their refusals are missing.
    pub silent: Vec<Incarnation>,
    /// Batches at which chains of bills break; answers before them are missing.
    pub broken: Vec<Name>,
}

/// Counts of one window, without the burn rate.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    met: u64,
    missed: u64,
    refused: u64,
    false_refusals: u64,
}

/// Counts of each window by class and workspace.
type WindowCounts = SortedVec<(Name, Name), [Counts; WINDOWS.len()]>;

/// Computes the report as of `now`, in milliseconds of Unix time.
pub fn report(input: &Input, now: u64) -> Report {
    let counts_by_key = count_windows(input, now);
    let refusals = refusals_by_code(input, now);
    let row = |(key, counts): (&(Name, Name), &_)| row(&input.config, key, counts);
    Report {
        at_ms: now,
        rows: counts_by_key.iter().map(row).collect(),
        overspend: input.budgets.iter().map(BudgetUsage::overspend).sum(),
        false_refusals: refusals.iter().map(|r| r.false_refusals).sum(),
        refusals,
        budgets: input.budgets.clone(),
        silent: input.silent.clone(),
        broken: input.broken.clone(),
    }
}

/// Whether the time `end_ms` is within the `window_ms` before `now_ms`.
fn is_within(end_ms: u64, now_ms: u64, window_ms: u64) -> bool {
    end_ms > now_ms.saturating_sub(window_ms)
}

fn count_windows(input: &Input, now: u64) -> WindowCounts {
    let mut counts_by_key = WindowCounts::new();
    // Classes without traffic are listed too, so that their lack of it is visible.
    for class in &input.config.classes {
        add(
            &mut counts_by_key,
            &class.name,
            ALL_WORKSPACES,
            0,
            now,
            |_| (),
        );
    }
    for answer in &input.answers {
        let count = |c: &mut Counts| {
            c.met += u64::from(answer.met);
            c.missed += u64::from(!answer.met);
        };
        for workspace in [ALL_WORKSPACES, &answer.workspace] {
            add(
                &mut counts_by_key,
                &answer.class,
                workspace,
                answer.at_ms,
                now,
                count,
            );
        }
    }
    for refusal in &input.refusals {
        let count = |c: &mut Counts| {
            c.refused += refusal.count;
            c.false_refusals += refusal.false_refusals;
        };
        for workspace in [ALL_WORKSPACES, &refusal.workspace] {
            add(
                &mut counts_by_key,
                &refusal.class,
                workspace,
                end_of_minute_ms(refusal),
                now,
                count,
            );
        }
    }
    counts_by_key
}

/// Returns the end of the refusals' minute in milliseconds of Unix time.
fn end_of_minute_ms(refusal: &RefusalCount) -> u64 {
    (refusal.minute + 1) * MINUTE_MS
}

/// Applies `count` to each window that contains the time `end_ms`.
fn add(
    counts_by_key: &mut WindowCounts,
    class: &Name,
    workspace: &str,
    end_ms: u64,
    now: u64,
    count: impl Fn(&mut Counts),
) {
    let counts =
        counts_by_key.get_or_insert_with((class.clone(), workspace.into()), Default::default);
    for ((_, window), counts) in WINDOWS.iter().zip(counts) {
        if is_within(end_ms, now, *window) {
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
        false_refusals: counts.false_refusals,
    }
}

/// Returns the burn rate: the share of missed targets over the allowed share.
pub fn burn_rate(met: u64, missed: u64, objective: f64) -> f64 {
    let total = met + missed;
    if total == 0 {
        return 0.0;
    }
    let share = missed as f64 / total as f64;
    share / (1.0 - objective).max(f64::EPSILON)
}

fn refusals_by_code(input: &Input, now: u64) -> Vec<RefusalReason> {
    let (_, day) = WINDOWS[WINDOWS.len() - 1];
    let mut sums: SortedVec<(Name, Name, Name), (u64, u64)> = SortedVec::new();
    for refusal in input
        .refusals
        .iter()
        .filter(|r| is_within(end_of_minute_ms(r), now, day))
    {
        let key = (
            refusal.class.clone(),
            refusal.workspace.clone(),
            refusal.code.clone(),
        );
        let sum = sums.get_or_insert_with(key, || (0, 0));
        sum.0 += refusal.count;
        sum.1 += refusal.false_refusals;
    }
    let refusal = |((class, workspace, code), (count, false_refusals)): (
        &(Name, Name, Name),
        &(u64, u64),
    )| {
        RefusalReason {
            class: class.clone(),
            workspace: workspace.clone(),
            code: code.clone(),
            count: *count,
            false_refusals: *false_refusals,
        }
    };
    sums.iter().map(refusal).collect()
}
