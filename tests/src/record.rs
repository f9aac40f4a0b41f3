//! What callers asked for and what came of it.

use std::fmt;
use std::sync::Mutex;

/// What one attempt came to, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole answer, byte for byte.
    Whole,
    /// An answer that ended as a whole one and is not the right one.
    Wrong(String),
    /// A refusal.
    Refused {
        /// Its code.
        code: String,
        /// What it says of the run.
        run: String,
    },
    /// The connection ended before the answer's end.
    Cut,
    /// No whole answer for so long that the caller gave up.
    Silent,
    /// Nobody listens there.
    Unreachable,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole => f.write_str("whole"),
            Self::Wrong(why) => write!(f, "wrong: {why}"),
            Self::Refused { code, run } => write!(f, "{code} {run}"),
            Self::Cut => f.write_str("cut"),
            Self::Silent => f.write_str("silent"),
            Self::Unreachable => f.write_str("unreachable"),
        }
    }
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request's identity, where the caller has learnt it.
    pub id: Option<String>,
    /// Whose request it was.
    pub workspace: String,
    /// Its class of work.
    pub class: String,
    /// Prompt and output tokens of the right answer.
    pub tokens: (u64, u64),
    /// What came of it.
    pub outcome: Outcome,
    /// Whether it was refused though the unspent tokens would have covered it
    /// and more than the last of the budget was unspent.
    pub falsely: bool,
    /// Whether it had run by the time that it was said not to have run.
    pub ran: bool,
    /// Whether the caller tried again.
    pub retried: bool,
}

/// All attempts of a scenario.
#[derive(Debug, Default)]
pub struct Records {
    all: Mutex<Vec<Record>>,
}

impl Records {
    /// Adds one.
    pub fn add(&self, record: Record) {
        self.all
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(record);
    }

    /// All so far.
    pub fn all(&self) -> Vec<Record> {
        self.all.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

/// Counts outcomes, one line each; `words` leaves the numbers out.
pub fn tally(records: &[Record], words: bool) -> String {
    let last = records.iter().filter(|r| !r.retried);
    let mut outcomes: Vec<String> = last.map(|r| r.outcome.to_string()).collect();
    outcomes.sort();
    let mut lines = Vec::new();
    for group in outcomes.chunk_by(|a, b| a == b) {
        match words {
            true => lines.push(group[0].clone()),
            false => lines.push(format!("{} {}", group.len(), group[0])),
        }
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}
