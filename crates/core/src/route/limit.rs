//! Limits on requests in flight at a backend server.
//!
//! Routers share a server's slots without a counter of their own: each may
//! always use its part of the slots, and beyond it a part of what the last
//! load report showed as spare. All routers acting on one report therefore
//! over-commit by a bounded number. Refusals as full shrink the window at once,
//! and answers let it grow back slowly.

use std::time::{Duration, Instant};

use crate::route::server::{Gate, PRIORITIES, Server};

/// Share of the slots that may be in flight for the most urgent priority.
const MOST: f64 = 1.25;

/// Share of the slots that may be in flight for the least urgent priority.
const LEAST: f64 = 0.85;

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
pub fn cap(server: &Server, priority: u8) -> f64 {
    let rank = f64::from(priority.min(PRIORITIES as u8 - 1)) / (PRIORITIES - 1) as f64;
    let share = MOST + (LEAST - MOST) * rank;
    (f64::from(server.slots()) * share).max(1.0) * server.window.share()
}

/// Requests that this router, one of `routers`, may keep at `server`.
pub fn own_limit(server: &Server, priority: u8, routers: u32) -> u32 {
    let routers = f64::from(routers.max(1));
    let cap = cap(server, priority);
    let part = (cap / routers).floor().max(1.0) as u32;
    let Some(report) = server.report() else {
        return part;
    };
    let spare = cap - f64::from(report.running + report.waiting);
    let more = (spare / routers).ceil().max(0.0) as u32;
    let base = server.own().saturating_sub(server.sent());
    part.max(base + more)
}

/// Whether this router, one of `routers`, may send `server` one more.
pub fn has_room(server: &Server, priority: u8, routers: u32) -> bool {
    match server.gate {
        Gate::Open => server.own() < own_limit(server, priority, routers),
        Gate::Probe => server.own() == 0,
        Gate::Shut => false,
    }
}
