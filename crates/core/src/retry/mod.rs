//! What to do with a request whose backend server failed.
//!
//! What certainly did not run may go elsewhere, also where it isn't
//! idempotent. What may have run is sent again only if it may be repeated, and
//! a model's stream goes on at its offset. Everything that is sent again takes
//! from a budget; where that is used up the request waits for it, as long as
//! its deadline allows.

mod budget;
pub mod share;

use std::fmt;
use std::time::{Duration, Instant};

pub use budget::RetryBudget;

/// Most sends of one request that may have run.
pub const MAX_RUNS: u32 = 3;

/// Most sends of one request in all.
pub const MAX_SENDS: u32 = 8;

/// Wait before a request goes out again after a refusal as full.
const FULL_WAIT: Duration = Duration::from_millis(20);

/// Why a backend server refused before anything ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It is leaving.
    Leaving,
    /// It has no slot.
    Full,
    /// It has seen a higher fencing number.
    Fenced,
}

/// How sending to a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, so nothing was sent.
    Connect,
    /// Refused before it ran.
    Refused(Refusal),
    /// The connection was lost after the request was sent.
    Lost,
    /// Nothing came for too long.
    Timeout,
    /// An answer that says the server failed.
    Fault,
    /// A stream of another request or out of its order.
    Garbled,
}

impl Failure {
    /// Whether the request certainly did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Self::Connect | Self::Refused(_))
    }

    /// Whether it counts against the server's health.
    pub fn blames_server(self) -> bool {
        !matches!(self, Self::Refused(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "no connection",
            Self::Refused(Refusal::Leaving) => "refused as leaving",
            Self::Refused(Refusal::Full) => "refused as full",
            Self::Refused(Refusal::Fenced) => "refused as fenced",
            Self::Lost => "connection lost",
            Self::Timeout => "timed out",
            Self::Fault => "server failed",
            Self::Garbled => "stream garbled",
        })
    }
}

/// What is known of the request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether an engine can go on at an offset.
    pub resumable: bool,
    /// Tokens of the answer that were received.
    pub received: u32,
    /// Sends so far, this one included.
    pub sends: u32,
    /// Sends so far that may have run, this one included.
    pub runs: u32,
    /// When it has to be sent at the latest.
    pub send_by: Instant,
}

/// Whether a request ran, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It did not.
    NotRun,
    /// It did or it did not; nobody knows.
    Unknown,
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It may not be repeated and may have run.
    NotRepeatable(Failure),
    /// It was sent too often.
    TooManySends(Failure),
    /// It can no longer finish on time.
    TooLate(Failure),
    /// This router's claim on it was superseded.
    Superseded,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRepeatable(failure) => write!(f, "{failure}, and it may not be repeated"),
            Self::TooManySends(failure) => write!(f, "{failure}, and it was sent too often"),
            Self::TooLate(failure) => write!(f, "{failure}, and it is too late to repeat it"),
            Self::Superseded => f.write_str("the claim was superseded"),
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it to another server, or once more to this one if there is none,
    /// for the answer from token `from` on.
    Send {
        /// Tokens that are had already.
        offset: u32,
        /// Wait before it.
        delay: Duration,
    },
    /// Tell the caller.
    GiveUp {
        /// Whether it ran.
        execution: Execution,
        /// Why.
        reason: Reason,
    },
}

/// Decides what follows a failure, and takes from the budget if it is a send.
pub fn decide(
    failure: Failure,
    attempt: &Attempt,
    budget: &mut RetryBudget,
    now: Instant,
) -> RetryDecision {
    if let Some(reason) = hindrance(failure, attempt) {
        return give_up(reason, attempt, failure);
    }
    let delay = match (budget.take(now), failure) {
        (Err(wait), _) => wait,
        (Ok(()), Failure::Refused(Refusal::Full)) => FULL_WAIT,
        (Ok(()), _) => Duration::ZERO,
    };
    if now + delay > attempt.send_by {
        return give_up(Reason::TooLate(failure), attempt, failure);
    }
    RetryDecision::Send {
        offset: if attempt.resumable {
            attempt.received
        } else {
            0
        },
        delay,
    }
}

/// What forbids to send it again, whatever the budget.
fn hindrance(failure: Failure, attempt: &Attempt) -> Option<Reason> {
    if failure == Failure::Refused(Refusal::Fenced) && !attempt.repeatable {
        return Some(Reason::Superseded);
    }
    if !failure.not_run() && !attempt.repeatable {
        return Some(Reason::NotRepeatable(failure));
    }
    // A service's answer that has begun can't be taken back.
    if attempt.received > 0 && !attempt.resumable {
        return Some(Reason::NotRepeatable(failure));
    }
    let spent = attempt.sends >= MAX_SENDS || attempt.runs >= MAX_RUNS;
    spent.then_some(Reason::TooManySends(failure))
}

fn give_up(reason: Reason, attempt: &Attempt, failure: Failure) -> RetryDecision {
    let execution = if failure.not_run() && attempt.runs == 0 {
        Execution::NotRun
    } else {
        Execution::Unknown
    };
    RetryDecision::GiveUp { execution, reason }
}
