//! Decides whether and when a caller retries a request.

use std::time::Duration;

use poplar_core::id::Name;

/// First back-off after a failed connection or a lost answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Limit on the back-off; a router's `retry_after_ms` may be longer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A refusal as the caller receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Refusal code.
    pub code: Name,
    /// Whether the request was executed: `not_run`, `ran` or `unknown`.
    pub execution: Name,
    /// Delay that the router asks for; `None` means that no retry is wanted.
    pub retry_after: Option<Duration>,
}

/// Why an attempt has no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The router refused the request.
    Refused(Refusal),
    /// The connection could not be established.
    ConnectError,
    /// The answer was incomplete or did not arrive.
    Lost,
}

/// Limits on the retries of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Limit on attempts, including the first.
    pub max_attempts: u32,
    /// Time after the scheduled arrival at which the caller gives up; no retry starts later.
    pub timeout: Duration,
}

/// Returns the delay before the next attempt, or `None` to give up.
///
/// `repeatable` means that a retry can't execute the request twice. `attempts` are
/// those made so far, and `elapsed` is the time since the scheduled arrival.
pub fn retry_delay(
    failure: &Failure,
    repeatable: bool,
    attempts: u32,
    elapsed: Duration,
    policy: Policy,
) -> Option<Duration> {
    if attempts >= policy.max_attempts {
        return None;
    }
    let backoff = INITIAL_BACKOFF
        .saturating_mul(1 << (attempts.max(1) - 1).min(8))
        .min(MAX_BACKOFF);
    let delay = match failure {
        Failure::Refused(refusal) if &*refusal.execution == "not_run" || repeatable => {
            refusal.retry_after?
        }
        Failure::ConnectError => backoff,
        Failure::Lost if repeatable => backoff,
        Failure::Refused(_) | Failure::Lost => return None,
    };
    (elapsed + delay <= policy.timeout).then_some(delay)
}
