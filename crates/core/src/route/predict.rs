//! Forecast of when one backend server would answer a request.

use std::time::{Duration, Instant};

use crate::route::Job;
use crate::route::server::Server;

/// Highest weight of the estimate from own requests against the load report.
///
/// It is approached as this router has more requests in flight per server.
const MAX_OWN_WEIGHT: f64 = 0.8;

/// Uncertainty of a server's load, as a fraction of its slots.
const LOAD_UNCERTAINTY: f64 = 0.1;

/// Estimates a server's load from its load report and this router's requests.
///
/// A load report is out of date when it is used, and all routers react to it at
/// once, so relying on it alone overshoots. A router's own requests are known
/// exactly, and if each router spreads its own requests evenly, the sum is even
/// too. The estimate is therefore a weighted mean of both.
#[derive(Debug, Clone, Copy)]
pub struct LoadEstimator {
    /// Requests of all routers per request of this router.
    ratio: f64,
    /// Weight of the estimate from own requests, from 0 to 1.
    weight: f64,
}

impl LoadEstimator {
    /// Creates an estimator from the own requests and load reports of `servers`.
    pub fn of<'a>(servers: impl Iterator<Item = &'a Server>) -> Self {
        let (mut own, mut all, mut count) = (0, 0, 0);
        for server in servers {
            own += server.in_flight();
            all += server.load();
            count += 1;
        }
        let mean = f64::from(own) / f64::from(count.max(1));
        Self {
            ratio: f64::from(all.max(1)) / f64::from(own.max(1)),
            weight: MAX_OWN_WEIGHT * mean / (mean + 1.0),
        }
    }

    /// Returns the estimated number of requests in `server`.
    fn load(&self, server: &Server) -> f64 {
        let scaled = self.ratio * f64::from(server.in_flight());
        let reported = f64::from(server.load());
        reported + self.weight * (scaled - reported)
    }
}

/// Predicted times of an answer, counted from now.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Forecast {
    /// Time until a slot is free.
    pub wait: Duration,
    /// Time until the first token.
    pub first: Duration,
    /// Time until the whole answer.
    pub finish: Duration,
}

/// Forecasts the answer of `server`, which has `matched` prompt tokens cached.
pub fn forecast(
    server: &Server,
    job: &Job<'_>,
    matched: u32,
    estimator: &LoadEstimator,
    now: Instant,
) -> Forecast {
    let step = server.step().as_secs_f64();
    let wait =
        queue_wait(server, job.priority, estimator, step) + server.overdue(now).as_secs_f64();
    let uncached = job.prompt.saturating_sub(matched);
    let first = server.rtt.as_secs_f64() + wait + server.speed.prefill_seconds(uncached) + step;
    let finish = first + f64::from(job.output) * step;
    Forecast {
        wait: Duration::from_secs_f64(wait),
        first: Duration::from_secs_f64(first),
        finish: Duration::from_secs_f64(finish),
    }
}

/// Returns the seconds until a slot is free for a request of `priority`.
///
/// Since the load is uncertain, the expected wait rises smoothly (softplus) before
/// all slots are taken. This balances the load even if no server has a queue.
fn queue_wait(server: &Server, priority: u8, estimator: &LoadEstimator, step: f64) -> f64 {
    let slots = f64::from(server.slots());
    let uncertainty = LOAD_UNCERTAINTY * slots;
    let excess = estimator.load(server) + 1.0 - slots;
    let queue = uncertainty * (excess / uncertainty).exp().ln_1p();
    let queue = if queue.is_finite() { queue } else { excess };
    let ahead = (queue - 1.0).max(0.0) * server.share_ahead(priority) + queue.min(1.0);
    ahead * server.speed.mean_output() * step / slots
}
