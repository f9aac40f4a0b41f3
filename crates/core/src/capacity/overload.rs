//! Whether a host refuses so many requests that its clients should go to other hosts.

use std::time::{Duration, Instant};

/// Time over which refusals are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Part of the requests, and their number in a window, from which a host is overloaded:
/// retries elsewhere take care of fewer.
const REFUSED_PART: f64 = 0.15;
const MIN_REFUSED: u32 = 10;
/// Time for which an overload counts after its last window. The load balancer checks once
/// a second and needs two checks, so that a shorter time has hardly an effect.
const HOLD: Duration = Duration::from_secs(4);

/// Requests and refusals of late.
#[derive(Debug, Clone)]
pub(super) struct Overload {
    began: Instant,
    requests: u32,
    refused: u32,
    seen: Option<Instant>,
}

impl Overload {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            began: now,
            requests: 0,
            refused: 0,
            seen: None,
        }
    }

    /// Counts a request.
    pub(super) fn record(&mut self, refused: bool, now: Instant) {
        if now >= self.began + WINDOW {
            self.began = now;
            self.requests = 0;
            self.refused = 0;
        }
        self.requests += 1;
        self.refused += u32::from(refused);
        let limit = REFUSED_PART * f64::from(self.requests);
        if self.refused >= MIN_REFUSED && f64::from(self.refused) >= limit {
            self.seen = Some(now);
        }
    }

    /// Whether the host is overloaded, or was until lately.
    pub(super) fn lasts(&self, now: Instant) -> bool {
        self.seen.is_some_and(|at| now < at + HOLD)
    }
}
