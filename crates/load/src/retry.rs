//! When a caller sends a request again.

use std::time::Duration;

use poplar_core::id::Name;

/// First wait after a lost connection.
const LOST: Duration = Duration::from_millis(100);
/// Longest wait that a caller takes upon itself without being told.
const LONGEST: Duration = Duration::from_secs(2);

/// A refusal as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Its code.
    pub code: Name,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub run: Name,
    /// When to come back.
    pub wait: Option<Duration>,
}

/// How an attempt ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The router refused.
    Refused(Refusal),
    /// No connection was made.
    Unreached,
    /// The answer broke off, or never came.
    Lost,
}

/// What a caller allows itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Attempts in all.
    pub attempts: u32,
    /// From the arrival to the last moment a retry may begin.
    pub patience: Duration,
}

/// How long to wait before the next attempt; `None` gives up.
///
/// `safe` says that a repeat can't do the work twice. `tried` counts attempts
/// so far and `spent` is the time since the arrival.
pub fn wait(
    failure: &Failure,
    safe: bool,
    tried: u32,
    spent: Duration,
    policy: Policy,
) -> Option<Duration> {
    if tried >= policy.attempts {
        return None;
    }
    let backoff = LOST
        .saturating_mul(1 << (tried.max(1) - 1).min(8))
        .min(LONGEST);
    let wait = match failure {
        Failure::Refused(refusal) if &*refusal.run == "not_run" || safe => refusal.wait?,
        Failure::Unreached => backoff,
        Failure::Lost if safe => backoff,
        Failure::Refused(_) | Failure::Lost => return None,
    };
    (spent + wait <= policy.patience).then_some(wait)
}
