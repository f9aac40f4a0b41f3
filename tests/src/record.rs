//! Records the attempts of callers and their outcomes.

use std::fmt;
use std::sync::Mutex;

/// Outcome of one attempt as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The complete answer, equal to the expected one byte for byte.
    Complete,
    /// A complete answer that differs from the expected one.
    Wrong(String),
    /// A refusal.
    Refused {
        /// Refusal code.
        code: String,
        /// Whether the request was executed: `not_run`, `ran` or `unknown`.
        execution: String,
    },
    /// The connection closed before the answer was complete.
    Cut,
    /// The answer was not complete within the caller's time-out.
    TimedOut,
    /// The connection could not be established.
    Unreachable,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete => f.write_str("whole"),
            Self::Wrong(why) => write!(f, "wrong: {why}"),
            Self::Refused { code, execution } => write!(f, "{code} {execution}"),
            Self::Cut => f.write_str("cut"),
            Self::TimedOut => f.write_str("silent"),
            Self::Unreachable => f.write_str("unreachable"),
        }
    }
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub struct Record {
    /// Request id, if the caller knows it.
    pub id: Option<String>,
    /// Workspace that sent the request.
    pub workspace: String,
    /// Class of the request.
    pub class: String,
    /// Prompt and output tokens of the expected answer.
    pub tokens: (u64, u64),
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether it was refused for lack of budget although the unspent tokens
    /// covered it and were more than the last 2% of the limit.
    pub false_refusal: bool,
    /// Whether it had been executed before it was refused as `not_run`.
    pub ran_before: bool,
    /// Whether the caller retried afterwards.
    pub retried: bool,
}

/// All attempts of a scenario.
#[derive(Debug, Default)]
pub struct Records {
    all: Mutex<Vec<Record>>,
}

impl Records {
    /// Adds an attempt.
    pub fn add(&self, record: Record) {
        self.all
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(record);
    }

    /// Returns all attempts so far.
    pub fn all(&self) -> Vec<Record> {
        self.all.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

/// Counts final outcomes, one line per kind; `omit_counts` leaves the numbers out.
///
/// Attempts that were followed by a retry are not counted.
pub fn tally(records: &[Record], omit_counts: bool) -> String {
    let final_attempts = records.iter().filter(|r| !r.retried);
    let mut outcomes: Vec<String> = final_attempts.map(|r| r.outcome.to_string()).collect();
    outcomes.sort();
    let mut lines = Vec::new();
    for group in outcomes.chunk_by(|a, b| a == b) {
        match omit_counts {
            true => lines.push(group[0].clone()),
            false => lines.push(format!("{} {}", group.len(), group[0])),
        }
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}
