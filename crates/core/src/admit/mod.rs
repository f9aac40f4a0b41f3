//! Whether a request is taken in when it arrives.
//!
//! What can't finish within its class's targets is refused at once, before it
//! runs, with a prediction of when it would be taken. What can is queued or
//! sent. The prediction is the queue ahead of it over the rate at which this
//! router's queue is served, and then the best server's forecast.

mod drain;

use std::fmt;
use std::time::{Duration, Instant};

pub use drain::DrainRate;

use crate::queue::Backlog;
use crate::route::predict::Forecast;
use crate::route::rng::SplitMix64;

/// The shortest time to come back.
const RETRY_MIN: Duration = Duration::from_millis(200);

/// The longest time to come back.
const RETRY_MAX: Duration = Duration::from_secs(60);

/// Time to come back where no server can be used.
const RETRY_DOWN: Duration = Duration::from_secs(2);

/// Part of the time to come back by which it is lengthened at random.
const JITTER: f64 = 0.5;

/// What a request's class wants, counted from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Until the first token.
    pub first: Option<Duration>,
    /// Until the whole answer.
    pub finish: Duration,
}

/// What a request would meet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// What is queued before it.
    pub ahead: Backlog,
    /// Tokens a second at which the queue is served; `None` if never measured.
    pub drain_rate: Option<f64>,
    /// Forecast of the server that would answer soonest, whether or not it has
    /// room now; `None` where no server can be used.
    pub best: Option<Forecast>,
    /// Whether a server has room now.
    pub has_room: bool,
    /// Time gone since the arrival.
    pub elapsed: Duration,
}

/// Stable code of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// It can't finish within the targets now.
    Overloaded,
    /// It could not finish within the targets on an idle server either.
    TooLong,
    /// No backend server can be used.
    NoBackend,
}

impl Code {
    /// The code as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::TooLong => "too_long",
            Self::NoBackend => "no_backend",
        }
    }
}

/// Which target decided, with times from the arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Both targets will be met.
    OnTime {
        /// Predicted whole answer.
        finish: Duration,
    },
    /// The first token would be late.
    LateFirst {
        /// Predicted first token.
        first: Duration,
        /// The target.
        target: Duration,
    },
    /// The whole answer would be late.
    LateFinish {
        /// Predicted whole answer.
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

/// Whether a request is taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Accept {
        /// When it has to be sent at the latest.
        send_by: Instant,
        /// When it is predicted to be sent, from now.
        start: Duration,
        /// Why.
        reason: Reason,
    },
    /// It is not, and did not run.
    Refuse {
        /// The code for the caller.
        code: Code,
        /// When it would be taken in; `None` where coming back won't help.
        retry_after: Option<Duration>,
        /// Why.
        reason: Reason,
    },
}

/// Decides on a request; `dice` is a random number.
pub fn admit(targets: Targets, outlook: &Conditions, dice: u64, now: Instant) -> Verdict {
    let Some(best) = outlook.best else {
        return refuse(Code::NoBackend, Some(RETRY_DOWN), Reason::NoBackend, dice);
    };
    let start = wait(outlook);
    // A server without room answers only after the queue's wait, which covers
    // its own wait too.
    let served = if outlook.has_room { best } else { idle(best) };
    let first = outlook.elapsed + start + served.first;
    let finish = outlook.elapsed + start + served.finish;
    let (reason, late) = judge(targets, first, finish);
    if late.is_zero() {
        let send_by = now + slack(targets, outlook.elapsed, idle(best));
        return Verdict::Accept {
            send_by,
            start,
            reason,
        };
    }
    let alone = idle(best);
    let (_, always) = judge(targets, alone.first, alone.finish);
    if always.is_zero() {
        refuse(Code::Overloaded, Some(late), reason, dice)
    } else {
        refuse(Code::TooLong, None, reason, dice)
    }
}

/// Predicted time in the queue.
fn wait(outlook: &Conditions) -> Duration {
    let Some(best) = outlook.best else {
        return Duration::ZERO;
    };
    if outlook.has_room && outlook.ahead.entries == 0 {
        return Duration::ZERO;
    }
    let queued = match outlook.ahead.rate.or(outlook.drain_rate) {
        Some(rate) if rate > 0.0 => outlook.ahead.tokens as f64 / rate,
        _ => 0.0,
    };
    let queued = Duration::from_secs_f64(queued.min(RETRY_MAX.as_secs_f64()));
    if outlook.has_room {
        queued
    } else {
        queued.max(best.wait)
    }
}

/// The forecast without its wait.
fn idle(best: Forecast) -> Forecast {
    Forecast {
        wait: Duration::ZERO,
        first: best.first - best.wait,
        finish: best.finish - best.wait,
    }
}

/// By how much a target is missed, and the reason to give.
fn judge(targets: Targets, first: Duration, finish: Duration) -> (Reason, Duration) {
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

/// For how long it may wait and still meet both targets.
fn slack(targets: Targets, gone: Duration, alone: Forecast) -> Duration {
    let finish = targets.finish.saturating_sub(gone + alone.finish);
    let first = targets.first.map(|t| t.saturating_sub(gone + alone.first));
    first.map_or(finish, |first| first.min(finish))
}

fn refuse(code: Code, after: Option<Duration>, reason: Reason, dice: u64) -> Verdict {
    let jitter = 1.0 + JITTER * SplitMix64::new(dice).next_f64();
    let retry_after = after.map(|d| d.clamp(RETRY_MIN, RETRY_MAX).mul_f64(jitter));
    Verdict::Refuse {
        code,
        retry_after,
        reason,
    }
}
