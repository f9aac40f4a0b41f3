//! Admission control: whether a request is accepted when it arrives.
//!
//! A request that can't finish within its class's targets is refused at once,
//! before it runs, with a prediction of when it would be accepted. Any other
//! request is queued or sent. The predicted time to finish is the backlog ahead of
//! the request divided by this router's drain rate, plus the forecast of the best
//! server.

mod drain;

use std::fmt;
use std::time::{Duration, Instant};

pub use drain::DrainRate;

use crate::queue::Backlog;
use crate::route::predict::Forecast;
use crate::route::rng::SplitMix64;

/// Minimum `retry_after` of a refusal, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Maximum `retry_after` of a refusal, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// `retry_after` of a refusal if no server can be used, before jitter.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Largest fraction by which `retry_after` is lengthened at random.
const MAX_JITTER: f64 = 0.5;

/// Latency targets of a request's class, counted from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Target time to the first token.
    pub first: Option<Duration>,
    /// Target time to the whole answer.
    pub finish: Duration,
}

/// The conditions that a request would meet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// Queued work that would be served before it.
    pub ahead: Backlog,
    /// Drain rate of the queue, in tokens per second; `None` if not measured yet.
    pub drain_rate: Option<f64>,
    /// The earliest forecast among usable servers, whether or not they have room
    /// now; `None` if no server can be used.
    pub best: Option<Forecast>,
    /// Whether any usable server has room now.
    pub has_room: bool,
    /// Time since the request arrived.
    pub elapsed: Duration,
}

/// Stable code of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// It can't finish within the targets now.
    Overloaded,
    /// It couldn't finish within the targets on an idle server either.
    TooLong,
    /// No backend server can be used.
    NoBackend,
}

impl Code {
    /// Returns the code that callers see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::TooLong => "too_long",
            Self::NoBackend => "no_backend",
        }
    }
}

/// The target that decided on admission, with times counted from the arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Both targets are predicted to be met.
    OnTime {
        /// Predicted time to the whole answer.
        finish: Duration,
    },
    /// The first token would be late.
    LateFirst {
        /// Predicted time to the first token.
        first: Duration,
        /// The target.
        target: Duration,
    },
    /// The whole answer would be late.
    LateFinish {
        /// Predicted time to the whole answer.
        finish: Duration,
        /// The target.
        target: Duration,
    },
    /// No backend server can be used.
    NoBackend,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OnTime { finish } => write!(f, "whole answer in {} ms", finish.as_millis()),
            Self::LateFirst { first, target } => {
                let (first, target) = (first.as_millis(), target.as_millis());
                write!(f, "first token in {first} ms, target {target} ms")
            }
            Self::LateFinish { finish, target } => {
                let (finish, target) = (finish.as_millis(), target.as_millis());
                write!(f, "whole answer in {finish} ms, target {target} ms")
            }
            Self::NoBackend => f.write_str("no backend server can be used"),
        }
    }
}

/// The decision on admission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is accepted.
    Accept {
        /// When it has to be sent at the latest.
        send_by: Instant,
        /// Predicted time until it is sent.
        start: Duration,
        /// The reason.
        reason: Reason,
    },
    /// The request is refused and did not run.
    Refuse {
        /// The code for the caller.
        code: Code,
        /// Predicted time until it would be accepted; `None` if a retry can't succeed.
        retry_after: Option<Duration>,
        /// The reason.
        reason: Reason,
    },
}

/// Decides whether a request is accepted.
///
/// `random` is a random number that the jitter of `retry_after` is derived from.
pub fn admit(targets: Targets, conditions: &Conditions, random: u64, now: Instant) -> Verdict {
    let Some(best) = conditions.best else {
        return refuse(
            Code::NoBackend,
            Some(NO_BACKEND_RETRY_AFTER),
            Reason::NoBackend,
            random,
        );
    };
    let start = queue_wait(conditions);
    // If no server has room, the wait in the queue already includes the server's
    // own wait.
    let forecast = if conditions.has_room {
        best
    } else {
        without_wait(best)
    };
    let first = conditions.elapsed + start + forecast.first;
    let finish = conditions.elapsed + start + forecast.finish;
    let (reason, late) = check_targets(targets, first, finish);
    if late.is_zero() {
        let send_by = now + max_wait(targets, conditions.elapsed, without_wait(best));
        return Verdict::Accept {
            send_by,
            start,
            reason,
        };
    }
    let idle = without_wait(best);
    let (_, idle_late) = check_targets(targets, idle.first, idle.finish);
    if idle_late.is_zero() {
        refuse(Code::Overloaded, Some(late), reason, random)
    } else {
        refuse(Code::TooLong, None, reason, random)
    }
}

/// Returns the predicted wait in the queue.
fn queue_wait(conditions: &Conditions) -> Duration {
    let Some(best) = conditions.best else {
        return Duration::ZERO;
    };
    if conditions.has_room && conditions.ahead.entries == 0 {
        return Duration::ZERO;
    }
    let queued = match conditions.ahead.rate.or(conditions.drain_rate) {
        Some(rate) if rate > 0.0 => conditions.ahead.tokens as f64 / rate,
        _ => 0.0,
    };
    let queued = Duration::from_secs_f64(queued.min(MAX_RETRY_AFTER.as_secs_f64()));
    if conditions.has_room {
        queued
    } else {
        queued.max(best.wait)
    }
}

/// Returns the forecast without the wait for a slot, as on an idle server.
fn without_wait(best: Forecast) -> Forecast {
    Forecast {
        wait: Duration::ZERO,
        first: best.first - best.wait,
        finish: best.finish - best.wait,
    }
}

/// Returns the reason to report and by how much the targets are missed.
fn check_targets(targets: Targets, first: Duration, finish: Duration) -> (Reason, Duration) {
    let late_first = targets
        .first
        .map_or(Duration::ZERO, |t| first.saturating_sub(t));
    let late_finish = finish.saturating_sub(targets.finish);
    let reason = match targets.first {
        Some(target) if late_first > late_finish => Reason::LateFirst { first, target },
        _ if late_finish.is_zero() => Reason::OnTime { finish },
        _ => Reason::LateFinish {
            finish,
            target: targets.finish,
        },
    };
    (reason, late_first.max(late_finish))
}

/// Returns how long the request may wait and still meet both targets.
fn max_wait(targets: Targets, elapsed: Duration, idle: Forecast) -> Duration {
    let finish = targets.finish.saturating_sub(elapsed + idle.finish);
    let first = targets
        .first
        .map(|t| t.saturating_sub(elapsed + idle.first));
    first.map_or(finish, |first| first.min(finish))
}

fn refuse(code: Code, retry_after: Option<Duration>, reason: Reason, random: u64) -> Verdict {
    let jitter = 1.0 + MAX_JITTER * SplitMix64::new(random).next_f64();
    let retry_after =
        retry_after.map(|d| d.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(jitter));
    Verdict::Refuse {
        code,
        retry_after,
        reason,
    }
}
