//! When a request would be answered by one backend server.

use std::time::{Duration, Instant};

use crate::route::Job;
use crate::route::server::Server;

/// Weight of own requests against the load report, where they are many.
const OWN_WEIGHT: f64 = 0.8;

/// Uncertainty of a server's load, as a part of its slots.
const BLUR: f64 = 0.1;

/// How this router's requests compare with everybody's.
///
/// The load report is of the past, and all routers correct for it at once, so
/// following it alone overshoots. Own requests are known exactly, and where
/// each router spreads its own evenly the sum is even. The load is therefore
/// estimated from both.
#[derive(Debug, Clone, Copy)]
pub struct LoadEstimator {
    /// Requests of all routers for each of this router's.
    ratio: f64,
    /// Weight of the estimate from own requests, 0 to 1.
    weight: f64,
}

impl LoadEstimator {
    /// Compares own requests with the load reports of some servers.
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
            weight: OWN_WEIGHT * mean / (mean + 1.0),
        }
    }

    /// Requests that are likely in `server`.
    fn load(&self, server: &Server) -> f64 {
        let scaled = self.ratio * f64::from(server.in_flight());
        let told = f64::from(server.load());
        told + self.weight * (scaled - told)
    }
}

/// When a request would be answered, counted from now.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Forecast {
    /// Until a slot is free.
    pub wait: Duration,
    /// Until the first token.
    pub first: Duration,
    /// Until the whole answer.
    pub finish: Duration,
}

/// Predicts an answer of `server`, which holds `matched` tokens of the prompt.
pub fn forecast(
    server: &Server,
    job: &Job<'_>,
    matched: u32,
    scale: &LoadEstimator,
    now: Instant,
) -> Forecast {
    let step = server.step().as_secs_f64();
    let wait = queueing(server, job.priority, scale, step) + server.overdue(now).as_secs_f64();
    let work = job.prompt.saturating_sub(matched);
    let first = server.rtt.as_secs_f64() + wait + server.pace.prefill(work) + step;
    let finish = first + f64::from(job.output) * step;
    Forecast {
        wait: Duration::from_secs_f64(wait),
        first: Duration::from_secs_f64(first),
        finish: Duration::from_secs_f64(finish),
    }
}

/// Seconds until a slot is free for a request of `priority`.
///
/// The load is uncertain, so the expected wait rises smoothly before all slots
/// are taken. This keeps the servers' loads even where none has a queue.
fn queueing(server: &Server, priority: u8, scale: &LoadEstimator, step: f64) -> f64 {
    let slots = f64::from(server.slots());
    let blur = BLUR * slots;
    let excess = scale.load(server) + 1.0 - slots;
    let queue = blur * (excess / blur).exp().ln_1p();
    let queue = if queue.is_finite() { queue } else { excess };
    let ahead = (queue - 1.0).max(0.0) * server.share_ahead(priority) + queue.min(1.0);
    ahead * server.pace.output() * step / slots
}
