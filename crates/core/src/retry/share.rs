//! A router's share of a retry budget that all routers have in common.
//!
//! In any window, the retries of all routers must not exceed a ratio of the
//! requests plus a constant. Each router limits itself to the same ratio of its
//! own requests plus an equal part of the constant, so the total holds without
//! messages between them.
//!
//! The parts of the constant add up to the whole only if no router takes a part
//! that another one has used. A process that has just started doesn't know what
//! the one before it used, and has no part until a window has passed. A router
//! that no longer sees another one can't tell whether that one has ended or is
//! only cut off and still uses its part; it divides by the most routers that it
//! has seen for some time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;

/// Share of the budget that is used. The rest is a margin, since windows that
/// are measured elsewhere start at other times than those counted here.
const SAFETY_FACTOR: f64 = 0.85;

/// Time for which a router that is no longer seen counts. Data centres lose each
/// other for minutes.
const ROUTER_MEMORY: Duration = Duration::from_secs(5 * 60);

/// Time from the decision to retry until the request is at the server: a
/// connection may take 0.3 s.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);

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

/// One router's requests and retries of one service.
#[derive(Debug, Clone, Default)]
struct Share {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// One router's shares of the budgets of all services.
#[derive(Debug, Clone)]
pub struct Shares {
    started: Instant,
    services: SortedVec<Name, Share>,
    /// Numbers of live routers, each greater than the ones after it, and when
    /// they were last seen.
    routers: VecDeque<(Instant, u32)>,
}

impl Shares {
    /// The shares of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            services: SortedVec::new(),
            routers: VecDeque::new(),
        }
    }

    /// Records the number of live routers, including this one.
    pub fn record_routers(&mut self, routers: u32, now: Instant) {
        while self.routers.back().is_some_and(|(_, n)| *n <= routers) {
            self.routers.pop_back();
        }
        self.routers.push_back((now, routers));
        while self
            .routers
            .front()
            .is_some_and(|(at, _)| now > *at + ROUTER_MEMORY)
        {
            self.routers.pop_front();
        }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, service: &Name, budget: &SharedBudget, now: Instant) {
        let share = self.share(service);
        share.expire(budget, now);
        share.requests.push_back(now);
    }

    /// Takes one retry; returns false if the share is used up.
    pub fn take(&mut self, service: &Name, budget: &SharedBudget, now: Instant) -> bool {
        let slack = self.slack(budget, now);
        let share = self.share(service);
        share.expire(budget, now);
        let limit = SAFETY_FACTOR * (budget.ratio * share.requests.len() as f64 + slack);
        let allowed = ((share.retries.len() + 1) as f64) <= limit;
        if allowed {
            share.retries.push_back(now);
        }
        allowed
    }

    /// Records that a retry that was taken at `taken` is sent only now, since the
    /// process was frozen or a connection took time.
    pub fn record_send(&mut self, service: &Name, taken: Instant, now: Instant) {
        let share = self.share(service);
        if let Some(place) = share.retries.iter().position(|at| *at == taken) {
            share.retries.remove(place);
        }
        share.retries.push_back(now);
    }

    /// This router's part of the slack.
    fn slack(&self, budget: &SharedBudget, now: Instant) -> f64 {
        if now < self.started + budget.window + ARRIVAL_TIME {
            return 0.0;
        }
        let routers = self.routers.front().map_or(1, |(_, n)| *n);
        budget.slack / f64::from(routers.max(1))
    }

    fn share(&mut self, service: &Name) -> &mut Share {
        self.services
            .get_or_insert_with(service.clone(), Share::default)
    }
}

impl Share {
    fn expire(&mut self, budget: &SharedBudget, now: Instant) {
        for (times, kept) in [
            (&mut self.requests, budget.window),
            (&mut self.retries, budget.window + ARRIVAL_TIME),
        ] {
            while times.front().is_some_and(|at| now > *at + kept) {
                times.pop_front();
            }
        }
    }
}
