//! Retries of requests whose backend server failed.
//!
//! A request that certainly did not run may be sent to another server even if
//! it isn't idempotent. One that may have run is sent again only if it is
//! repeatable; the stream of a model continues at its offset. Each retry takes
//! from a retry budget. If the budget is used up, the request waits for it as
//! long as its deadline allows.

mod budget;
pub mod share;

use std::fmt;
use std::time::{Duration, Instant};

pub use budget::RetryBudget;

/// Most sends of one request that may have run it.
pub const MAX_RUNS: u32 = 3;

/// Most sends of one request in total.
pub const MAX_SENDS: u32 = 8;

/// Wait before a request is sent again after a server refused it as full.
const FULL_DELAY: Duration = Duration::from_millis(20);

/// Why a backend server refused a request before running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The server is leaving.
    Leaving,
    /// The server has no free slot.
    Full,
    /// The server has seen a higher fencing number for the request.
    Fenced,
}

/// How sending to a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection failed, so nothing was sent.
    Connect,
    /// The server refused the request before running it.
    Refused(Refusal),
    /// The connection was lost after the request was sent.
    Lost,
    /// No data came within the time-out.
    Timeout,
    /// The answer says that the server failed.
    Fault,
    /// The answer can't be decoded, belongs to another request or is out of order.
    Garbled,
    /// The answer is larger than any that is accepted.
    TooLarge,
}

impl Failure {
    /// Whether the request certainly did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Self::Connect | Self::Refused(_))
    }

    /// Whether the failure counts against the server's health.
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
            Self::TooLarge => "answer too large",
        })
    }
}

/// State of the request whose send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether an engine can continue its answer at an offset.
    pub resumable: bool,
    /// Tokens of the answer that were received.
    pub received: u32,
    /// Sends so far, this one included.
    pub sends: u32,
    /// Sends so far that may have run, this one included.
    pub runs: u32,
    /// Latest time at which it may be sent.
    pub send_by: Instant,
}

/// Whether a request ran, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It certainly did not run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It may have run and is not repeatable.
    NotRepeatable(Failure),
    /// It was sent the maximum number of times.
    TooManySends(Failure),
    /// It can no longer be sent in time.
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

/// What to do after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it to another server, or to the same one if there is no other, and
    /// request the answer from the token at `offset` on.
    Send {
        /// Number of tokens that were received already.
        offset: u32,
        /// Wait before sending.
        delay: Duration,
    },
    /// Report the failure to the caller.
    GiveUp {
        /// Whether the request ran.
        execution: Execution,
        /// Why.
        reason: Reason,
    },
}

/// Decides what follows a failure. A retry takes from the budget.
pub fn decide(
    failure: Failure,
    attempt: &Attempt,
    budget: &mut RetryBudget,
    now: Instant,
) -> RetryDecision {
    if let Some(reason) = forbidding_reason(failure, attempt) {
        return give_up(reason, attempt, failure);
    }
    let delay = match (budget.take(now), failure) {
        (Err(wait), _) => wait,
        (Ok(()), Failure::Refused(Refusal::Full)) => FULL_DELAY,
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

/// Why the request must not be sent again, whatever the budget allows.
fn forbidding_reason(failure: Failure, attempt: &Attempt) -> Option<Reason> {
    if failure == Failure::Refused(Refusal::Fenced) && !attempt.repeatable {
        return Some(Reason::Superseded);
    }
    if !failure.not_run() && !attempt.repeatable {
        return Some(Reason::NotRepeatable(failure));
    }
    // The caller already has part of the answer, and it can't be continued.
    if attempt.received > 0 && !attempt.resumable {
        return Some(Reason::NotRepeatable(failure));
    }
    let is_exhausted = attempt.sends >= MAX_SENDS || attempt.runs >= MAX_RUNS;
    is_exhausted.then_some(Reason::TooManySends(failure))
}

fn give_up(reason: Reason, attempt: &Attempt, failure: Failure) -> RetryDecision {
    let execution = if failure.not_run() && attempt.runs == 0 {
        Execution::NotRun
    } else {
        Execution::Unknown
    };
    RetryDecision::GiveUp { execution, reason }
}
