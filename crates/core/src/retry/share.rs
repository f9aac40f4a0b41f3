//! A router's share of a retry budget that all routers have in common.
//!
//! In any window, the retries of all routers must not exceed a ratio of the
//! requests plus a constant. Each router limits itself to the same ratio of its
//! own requests plus an equal part of the constant, so the total holds without
//! messages between them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of the budget that is used. The rest is a margin, since windows that
/// are measured elsewhere start at other times than those counted here.
const SAFETY_FACTOR: f64 = 0.85;

/// The retry budget that all routers have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedBudget {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Additional retries allowed in a window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// One router's share of the budget for one service.
#[derive(Debug, Clone, Default)]
pub struct Share {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Share {
    /// Records a request from a caller.
    pub fn record_request(&mut self, budget: &SharedBudget, now: Instant) {
        self.expire(budget, now);
        self.requests.push_back(now);
    }

    /// Takes one retry; returns false if the share is used up.
    pub fn take(&mut self, budget: &SharedBudget, routers: u32, now: Instant) -> bool {
        self.expire(budget, now);
        let slack = budget.slack / f64::from(routers.max(1));
        let limit = SAFETY_FACTOR * (budget.ratio * self.requests.len() as f64 + slack);
        let allowed = ((self.retries.len() + 1) as f64) <= limit;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn expire(&mut self, budget: &SharedBudget, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now > *at + budget.window) {
                times.pop_front();
            }
        }
    }
}
