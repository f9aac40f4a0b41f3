//! Admission of requests by the capacity of this host.
//!
//! The load addressed: the load balancer hashes by client, so that the clients of one
//! large workspace may meet at one small host, which then gets more requests than its
//! link carries. Without admission control, all of them wait behind each other in the
//! link, none ends in time, and the host goes on beginning new ones.
//!
//! [`Capacity`] estimates how long the bytes of the requests that were admitted still
//! take on the link, and refuses what would wait longer than a limit. A client that is
//! refused at once retries at another host with nearly all of its time left. The estimate
//! is corrected by what the host sees of itself in [`congestion`].

pub mod congestion;
mod overload;
mod usage;

use std::time::{Duration, Instant};

use crate::capacity::congestion::Congestion;
use crate::capacity::overload::Overload;
use crate::capacity::usage::Usage;
use crate::id::Name;

/// Part of the link that requests may fill. The rest is for the store, messages between
/// routers, and headers of packets.
const REQUEST_SHARE: f64 = 0.8;
/// Estimated wait on the link from which requests are refused. The targets for a first
/// event begin at some 300 ms, and a refused client needs about 100 ms to be served
/// elsewhere.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// The limit for small requests, as a multiple: refusing them frees little.
const SMALL_FACTOR: f64 = 2.0;
/// A request is small up to this part of the mean size.
const SMALL_PART: f64 = 0.3;
/// The limit for the workspace that fills the host, as a multiple: its requests make room
/// before those of others are refused.
const DOMINANT_FACTOR: f64 = 0.5;
/// Longest wait that is counted, so that the host admits requests again soon after an
/// overload.
const MAX_COUNTED_WAIT: Duration = Duration::from_millis(500);
/// Time after a refusal for which the host counts as late.
const LATE_AFTER: Duration = Duration::from_secs(1);
/// Weight of a new request in the mean size.
const MEAN_WEIGHT: f64 = 0.02;

/// What a request moves over the link, in bytes in each direction: it is received and
/// sent on, and so is its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transfer {
    /// Bytes of the request.
    pub request: f64,
    /// Bytes that its answer is expected to have.
    pub answer: f64,
}

impl Transfer {
    fn bytes(self) -> f64 {
        self.request + self.answer
    }
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Admitted,
    /// The link is full; the estimated wait.
    Refused {
        /// Time that the admitted requests still take on the link.
        wait: Duration,
        /// Whether its workspace fills the host.
        dominant: bool,
    },
}

/// The requests that this host carries.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// Bytes a second that the link carries in each direction; `None` if unknown.
    link: Option<f64>,
    /// Bytes of admitted requests that the link has not carried yet.
    backlog: f64,
    updated: Instant,
    mean: f64,
    usage: Usage,
    refused: Option<Instant>,
    overload: Overload,
    /// What the host sees of its own delays.
    pub congestion: Congestion,
}

impl Capacity {
    /// The capacity of a host whose link carries `link` bytes a second.
    pub fn new(link: Option<f64>, now: Instant) -> Self {
        Self {
            link,
            backlog: 0.0,
            updated: now,
            mean: 0.0,
            usage: Usage::new(now),
            refused: None,
            overload: Overload::new(now),
            congestion: Congestion::new(now),
        }
    }

    /// Bytes a second that requests may take now; `None` if the link is unknown.
    fn rate(&self) -> Option<f64> {
        self.link
            .map(|link| link * REQUEST_SHARE * self.congestion.factor())
    }

    /// Time that the admitted requests still take on the link.
    pub fn wait(&self) -> Duration {
        let seconds = self.rate().map_or(0.0, |rate| self.backlog / rate);
        Duration::from_secs_f64(seconds)
    }

    /// Decides about a request of a workspace that moves these bytes, and counts it if it
    /// is admitted.
    pub fn admit(&mut self, workspace: Option<&Name>, transfer: Transfer, now: Instant) -> Verdict {
        self.drain(now);
        let Some(rate) = self.rate() else {
            return Verdict::Admitted;
        };
        let bytes = transfer.bytes();
        let dominant = workspace.is_some_and(|name| self.usage.dominates(name, now));
        let mut limit = MAX_WAIT.as_secs_f64();
        if bytes <= SMALL_PART * self.mean {
            limit *= SMALL_FACTOR;
        } else if dominant {
            limit *= DOMINANT_FACTOR;
        }
        if self.mean == 0.0 {
            self.mean = bytes;
        }
        self.mean += MEAN_WEIGHT * (bytes - self.mean);
        // The bytes of the request itself don't count: one alone is always admitted.
        if self.backlog / rate > limit {
            let wait = self.wait();
            self.refused = Some(now);
            self.overload.record(true, now);
            return Verdict::Refused { wait, dominant };
        }
        let most = MAX_COUNTED_WAIT.as_secs_f64() * rate;
        self.backlog = (self.backlog + bytes).min(most.max(bytes));
        self.overload.record(false, now);
        if let Some(name) = workspace {
            self.usage.record(name, bytes, now);
        }
        Verdict::Admitted
    }

    /// Whether the load balancer should send new connections to other hosts, and open ones
    /// should not be kept: a request that is refused has filled the link all the same.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        self.overload.lasts(now)
    }

    /// Whether this host itself is late, so that what it sees of others says little of
    /// them.
    pub fn is_late(&self, now: Instant) -> bool {
        let refused = self.refused.is_some_and(|at| now < at + LATE_AFTER);
        refused || self.congestion.is_congested(now)
    }

    fn drain(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated);
        self.updated = now;
        if let Some(rate) = self.rate() {
            self.backlog = (self.backlog - rate * passed.as_secs_f64()).max(0.0);
        }
    }
}
