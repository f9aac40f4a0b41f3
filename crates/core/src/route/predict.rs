//! When a request would be answered by one backend server.

use std::time::{Duration, Instant};

use crate::route::Job;
use crate::route::server::Server;

/// How far the other routers are taken to act as this one does.
///
/// 0 takes them to stand still since the load report, 1 to have sent and seen
/// end as many requests each as this router.
const ECHO: f64 = 0.3;

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
    routers: u32,
    now: Instant,
) -> Forecast {
    let step = server.step().as_secs_f64();
    let wait = queueing(server, job.priority, routers, step) + server.overdue(now).as_secs_f64();
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
fn queueing(server: &Server, priority: u8, routers: u32, step: f64) -> f64 {
    let echo = 1.0 + ECHO * f64::from(routers.saturating_sub(1));
    let slots = f64::from(server.slots());
    let excess = server.load(echo) + 1.0 - slots;
    if excess <= 0.0 {
        return 0.0;
    }
    let ahead = (excess - 1.0).max(0.0) * server.share(priority) + excess.min(1.0);
    ahead * server.pace.output() * step / slots
}
