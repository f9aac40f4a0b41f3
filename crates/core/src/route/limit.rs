//! Limits on requests in flight at a backend server.
//!
//! Routers share a server's slots without a shared counter. Each router may keep
//! the requests it had in flight when the load report was taken, plus its share
//! of the spare capacity in the report. As the server fills up, routers with
//! more than an even share give up some of it to those with less. Summed over
//! the routers, these limits equal the server's limit. Each limit is rounded
//! with an offset that differs between routers and reports, so the sum exceeds
//! the server's limit by at most one request per router. A rejection because
//! the server is full shrinks the window at once, and answers let it grow back.

use std::time::{Duration, Instant};

use crate::route::server::{HealthState, Server};

/// Requests in flight per slot of a server, over all routers.
const MAX_PER_SLOT: f64 = 1.05;

/// Fraction of its surplus that a router gives up at a full server.
const CEDED_FRACTION: f64 = 0.3;

/// Spare fraction of the limit from which on no surplus is given up.
const AMPLE_SPARE: f64 = 0.2;

/// Factor by which a rejection shrinks the window.
const SHRINK_FACTOR: f64 = 0.7;

/// Amount that an answer adds to the window.
const GROWTH_STEP: f64 = 0.01;

/// Lower bound of the window.
const MIN_SHARE: f64 = 0.1;

/// Rejections within this time of the last reduction don't shrink the window again.
const SHRINK_INTERVAL: Duration = Duration::from_millis(100);

/// Usable share of the limit, from [`MIN_SHARE`] to 1; rejections shrink it.
#[derive(Debug, Clone)]
pub(crate) struct Window {
    share: f64,
    last_shrink: Option<Instant>,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            share: 1.0,
            last_shrink: None,
        }
    }
}

impl Window {
    /// Grows the window after an answer.
    pub(crate) fn grow(&mut self) {
        self.share = (self.share + GROWTH_STEP).min(1.0);
    }

    /// Shrinks the window after a rejection because the server is full.
    pub(crate) fn shrink(&mut self, now: Instant) {
        if self
            .last_shrink
            .is_some_and(|last_shrink| now < last_shrink + SHRINK_INTERVAL)
        {
            return;
        }
        self.last_shrink = Some(now);
        self.share = (self.share * SHRINK_FACTOR).max(MIN_SHARE);
    }

    /// Returns the usable share of the limit.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}

/// Returns how many requests all routers together may have in flight at `server`.
pub fn cap(server: &Server) -> f64 {
    (f64::from(server.slots()) * MAX_PER_SLOT).max(1.0) * server.window.share()
}

/// Returns how many requests this router, one of `routers`, may have in flight
/// at `server`.
pub fn own_limit(server: &Server, routers: u32) -> u32 {
    let routers = f64::from(routers.max(1));
    let cap = cap(server);
    let even_share = cap / routers;
    let limit = server.report().map_or(even_share.max(1.0), |report| {
        let spare = cap - f64::from(report.running + report.waiting);
        let ceded = CEDED_FRACTION * (1.0 - spare / (AMPLE_SPARE * cap)).clamp(0.0, 1.0);
        let own = f64::from(server.in_flight_at_report());
        own + ceded * (even_share - own) + (1.0 - ceded) * spare / routers
    });
    (limit + server.rounding_offset()).max(0.0) as u32
}

/// Whether this router, one of `routers`, may send another request to `server`.
pub fn has_room(server: &Server, routers: u32) -> bool {
    match server.health {
        HealthState::Healthy => server.in_flight() < own_limit(server, routers),
        HealthState::Probing => server.in_flight() == 0,
        HealthState::Ejected => false,
    }
}
