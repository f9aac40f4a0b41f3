//! What a router takes while it stops, and when what is left gets its answer.
//!
//! The platform kills the process at the end of the grace period. A request that may
//! not have ended by then is refused as not run, so that its client goes to another
//! router. What is open at the end is answered rather than cut.

use std::time::{Duration, Instant};

use poplar_core::deployment::RouteKind;

/// Part of the grace period that is kept for the last writes and the exit.
const WRITE_RESERVE: Duration = Duration::from_millis(900);
/// Time for the last answers to reach their clients before that.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);
/// Part of the grace period, and the longest time, in which streams are taken that may
/// last longer: most end long before their deadlines, and the load balancer still sends
/// new connections.
const STREAM_GRACE_FRACTION: f64 = 0.35;
const MAX_STREAM_TIME: Duration = Duration::from_secs(3);

/// A planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    began: Instant,
    grace: Duration,
}

impl Stop {
    /// A stop that begins now, after which the process has `grace` until it is killed.
    pub fn new(grace: Duration, now: Instant) -> Self {
        Self { began: now, grace }
    }

    /// When the process is killed.
    pub fn kill_time(&self) -> Instant {
        self.began + self.grace
    }

    /// When open requests are abandoned.
    pub fn deadline(&self) -> Instant {
        self.began + self.grace.saturating_sub(WRITE_RESERVE)
    }

    /// When requests without an answer get one.
    pub fn answer_time(&self) -> Instant {
        let reserve = WRITE_RESERVE + ANSWER_RESERVE;
        self.began + self.grace.saturating_sub(reserve)
    }

    /// Whether a request is taken now that ends at `deadline` at the latest.
    pub fn takes(&self, kind: RouteKind, deadline: Instant, now: Instant) -> bool {
        if deadline <= self.answer_time() {
            return true;
        }
        let stream_time = self.grace.mul_f64(STREAM_GRACE_FRACTION);
        let stopping = now.saturating_duration_since(self.began);
        kind.is_stream() && stopping <= stream_time.min(MAX_STREAM_TIME)
    }
}
