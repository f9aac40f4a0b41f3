//! Cold servers: engines that crash if they get too many requests after their start.
//!
//! The load concerned is that of all routers at a server that has just started, looks
//! idle to each of them, and would get requests from all at once. While it is cold, and
//! in [`STEPS`] after that, it gets requests by a schedule of permits that all routers
//! share without messages, see [`crate::server_limit`]. How long it stays cold is stated
//! in its registration and in its answers; the longest statement holds, since each may
//! have been on its way for a while.

use std::time::{Duration, Instant};

use crate::id::Name;
use crate::server_limit::COLD_PERMIT_TIME;
use crate::sorted::SortedVec;

/// Rates after a cold start, as multiples of the rate while cold, one after another.
/// A server that gets a ninetieth of 460 requests a second is not limited by the last.
pub const STEPS: [f64; 3] = [1.5, 2.0, 4.0];
/// Length of a step.
pub const STEP_TIME: Duration = Duration::from_secs(1);
/// Longest time for which a statement counts. A longer one is taken for a fault.
pub const MAX_COLD: Duration = Duration::from_secs(60);
/// Part of a second by which requests of different routers are delayed on their way, and
/// by which their clocks differ.
const DELAY_S: f64 = 0.3;
/// Difference from which a statement of the time left is news.
const SIGNIFICANT: Duration = Duration::from_millis(500);
/// Messages that a statement goes into; some may be lost.
const SENDS: u32 = 3;
/// Most statements in one message, about 40 bytes each.
const MAX_REPORTS: usize = 16;

/// How many requests a cold server of a service takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second.
    pub per_s: f64,
    /// Time for which a server is cold after its start.
    pub start: Duration,
}

/// How far the requests of one second may exceed the rate of a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for Excess {
    fn default() -> Self {
        Self {
            factor: 1.5,
            slack: 0.0,
        }
    }
}

impl ColdLimit {
    /// The rate of permits with which all routers together keep within the excess: those
    /// of a second, of the time for which a permit is valid, and of the delays.
    pub fn rate(&self, excess: Excess) -> f64 {
        let most = self.per_s * excess.factor + excess.slack - 1.0;
        let window = 1.0 + COLD_PERMIT_TIME.as_secs_f64() + DELAY_S;
        (most / window).clamp(0.0, self.per_s)
    }
}

/// A statement of a server's process that it is cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The server.
    pub server: Name,
    /// Start time of its process, in Unix milliseconds.
    pub process: u64,
    /// How long it stays cold.
    pub left: Duration,
}

#[derive(Debug, Clone)]
struct Entry {
    process: u64,
    /// Version of the last registration that was applied.
    row: u64,
    until: Instant,
    sends: u32,
}

/// The cold servers that a router knows of.
#[derive(Debug, Default)]
pub struct ColdServers(SortedVec<Name, Entry>);

impl ColdServers {
    /// Records what a server's process stated to this router; returns whether it was not
    /// known. Other routers are told of that.
    pub fn record(&mut self, report: &Report, now: Instant) -> bool {
        let is_new = self.extend(report, now);
        if is_new && let Some(entry) = self.0.get_mut(&*report.server) {
            entry.sends = SENDS;
        }
        is_new
    }

    /// The same of a registration of version `row`, which counts once however often it is
    /// read.
    pub fn record_row(&mut self, report: &Report, row: u64, now: Instant) -> bool {
        let known = self.0.get(&*report.server);
        if known.is_some_and(|e| e.process == report.process && e.row == row) {
            return false;
        }
        let is_new = self.record(report, now);
        if let Some(entry) = self.0.get_mut(&*report.server) {
            entry.row = row;
        }
        is_new
    }

    /// Records what another router was told. It is not passed on, so that the time on the
    /// way does not add up.
    pub fn merge(&mut self, report: &Report, now: Instant) -> bool {
        self.extend(report, now)
    }

    fn extend(&mut self, report: &Report, now: Instant) -> bool {
        let new = Entry {
            process: report.process,
            row: 0,
            until: now,
            sends: 0,
        };
        let server = report.server.clone();
        let known = self.0.contains(&*server);
        if !known && report.left.is_zero() {
            return false;
        }
        let entry = self.0.get_or_insert_with(server, || new.clone());
        if entry.process > report.process {
            return false;
        }
        if entry.process < report.process {
            *entry = new;
        }
        let until = now + report.left.min(MAX_COLD);
        let is_new = until > entry.until.max(now) + SIGNIFICANT;
        entry.until = entry.until.max(until);
        is_new
    }

    /// How many requests a second a server's process gets from all routers, if it gets
    /// `rate` while it is cold; `None` for no limit.
    pub fn rate(&self, server: &str, process: u64, rate: f64, now: Instant) -> Option<f64> {
        let entry = self.0.get(server).filter(|e| e.process >= process)?;
        let Some(past) = now.checked_duration_since(entry.until) else {
            return Some(rate);
        };
        let step = usize::try_from(past.as_millis() / STEP_TIME.as_millis()).ok()?;
        STEPS.get(step).map(|factor| rate * factor)
    }

    /// What the next message to the other routers says.
    pub fn take_reports(&mut self, now: Instant) -> Vec<Report> {
        let unsent = self.0.iter_mut();
        let unsent = unsent.filter(|(_, e)| e.sends > 0 && now < e.until);
        let report = |(server, entry): (&Name, &mut Entry)| {
            entry.sends -= 1;
            Report {
                server: server.clone(),
                process: entry.process,
                left: entry.until.saturating_duration_since(now),
            }
        };
        unsent.take(MAX_REPORTS).map(report).collect()
    }

    /// Forgets servers that are not listed.
    pub fn expire(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|server, _| is_listed(server));
    }

    /// Number of cold servers, for the metrics.
    pub fn count(&self, now: Instant) -> usize {
        self.0.iter().filter(|(_, e)| now < e.until).count()
    }
}
