//! A router's share of a repeat budget that all routers have in common.
//!
//! The budget counts, in any window, sends beyond the first of each request:
//! a ratio of the requests plus a constant. Each router keeps to the same
//! ratio of its own requests plus an equal part of the constant, so that the
//! sum is kept without a message between them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the budget that is used, since windows are cut elsewhere than here.
const CAUTION: f64 = 0.85;

/// The budget that all routers have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedBudget {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in a window beyond that.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// One router's share of it for one service.
#[derive(Debug, Clone, Default)]
pub struct Share {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Share {
    /// Notes a request that a client sent.
    pub fn record_request(&mut self, terms: &SharedBudget, now: Instant) {
        self.expire(terms, now);
        self.requests.push_back(now);
    }

    /// Takes one repeat; false where the share is used up.
    pub fn take(&mut self, terms: &SharedBudget, routers: u32, now: Instant) -> bool {
        self.expire(terms, now);
        let slack = terms.slack / f64::from(routers.max(1));
        let most = CAUTION * (terms.ratio * self.requests.len() as f64 + slack);
        let allowed = ((self.repeats.len() + 1) as f64) <= most;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    fn expire(&mut self, terms: &SharedBudget, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now > *at + terms.window) {
                times.pop_front();
            }
        }
    }
}
