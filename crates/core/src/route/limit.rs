//! Limits on requests in flight at a backend server.
//!
//! Routers share a server's slots without a counter between them. Each keeps
//! what it had when the load report was taken, plus its part of what the report
//! showed as spare. As the server fills up, routers with more than an even part
//! pass some of it on to those with less. Summed over the routers this is the
//! server's limit. Parts are rounded by a number that differs between routers
//! and reports, so the sum is over by at most one request for each router.
//! Refusals as full shrink the window at once, and answers let it grow back.

use std::time::{Duration, Instant};

use crate::route::server::{HealthState, Server};

/// Requests that all routers together keep at a server, for each of its slots.
const CAP: f64 = 1.05;

/// What a router passes on of its surplus at a full server.
const PASSED: f64 = 0.3;

/// Spare part of the limit at which nothing is passed on.
const AMPLE: f64 = 0.2;

/// What a refusal as full leaves of the window.
const SHRINK: f64 = 0.7;

/// What an answer adds to the window.
const GROW: f64 = 0.01;

/// The smallest window.
const FLOOR: f64 = 0.1;

/// Refusals within this time count as one.
const ONCE: Duration = Duration::from_millis(100);

/// Share of the limit that refusals as full have left, 0 to 1.
#[derive(Debug, Clone)]
pub(crate) struct Window {
    share: f64,
    cut: Option<Instant>,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            share: 1.0,
            cut: None,
        }
    }
}

impl Window {
    /// Widens it after an answer.
    pub(crate) fn grow(&mut self) {
        self.share = (self.share + GROW).min(1.0);
    }

    /// Narrows it after a refusal as full.
    pub(crate) fn shrink(&mut self, now: Instant) {
        if self.cut.is_some_and(|cut| now < cut + ONCE) {
            return;
        }
        self.cut = Some(now);
        self.share = (self.share * SHRINK).max(FLOOR);
    }

    /// Its present share.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}

/// Requests that all routers together should keep at `server`.
pub fn cap(server: &Server) -> f64 {
    (f64::from(server.slots()) * CAP).max(1.0) * server.window.share()
}

/// Requests that this router, one of `routers`, may keep at `server`.
pub fn own_limit(server: &Server, routers: u32) -> u32 {
    let routers = f64::from(routers.max(1));
    let cap = cap(server);
    let part = cap / routers;
    let limit = server.report().map_or(part.max(1.0), |report| {
        let spare = cap - f64::from(report.running + report.waiting);
        let passed = PASSED * (1.0 - spare / (AMPLE * cap)).clamp(0.0, 1.0);
        let own = f64::from(server.in_flight_at_report());
        own + passed * (part - own) + (1.0 - passed) * spare / routers
    });
    (limit + server.phase()).max(0.0) as u32
}

/// Whether this router, one of `routers`, may send `server` one more.
pub fn has_room(server: &Server, routers: u32) -> bool {
    match server.health {
        HealthState::Healthy => server.in_flight() < own_limit(server, routers),
        HealthState::Probing => server.in_flight() == 0,
        HealthState::Ejected => false,
    }
}
