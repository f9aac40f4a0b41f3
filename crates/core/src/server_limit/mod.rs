//! Limits of requests a second that backend servers name, shared by all routers.
//!
//! A server that is overloaded says in its answers how many requests a second it
//! takes from all routers together. What one router is told goes to the others as
//! [`Report`]s. Each request to such a server then needs a permit. The permits of
//! a second are as many as the limit allows; the [`schedule`] gives each of them
//! to one router, without messages between them. A permit that is not used
//! expires after [`PERMIT_SLOTS`], so that the permits that can be used within
//! some time exceed the limit by little, however many routers there are.
//!
//! Permits of a router that has no requests for the service would be lost. Such a
//! router [yields](Yield) its next ones, which it then does not use. The next
//! router in the order of each permit may use it, provided that all routers
//! before it have yielded. A lost message therefore loses permits and never
//! duplicates one.
//!
//! Cold servers, see [`crate::cold`], get permits of a rate of their own in the same way.

mod clock;
mod counter;
pub mod schedule;

use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;
use clock::SharedClock;
use counter::{Counter, Shares, contains};

/// Slots after which a permit expires.
pub const PERMIT_SLOTS: u64 = 20;
/// Slots after which a permit of a cold server expires. What is left of one second adds
/// to the requests of the next.
const COLD_PERMIT_SLOTS: u64 = 6;
/// The same as a time.
pub const COLD_PERMIT_TIME: Duration = Duration::from_millis(300);
/// Slots that a router yields ahead, in which several messages may be lost.
const YIELD_SLOTS: u64 = 20;
/// Time without a request for a service after which its permits are yielded.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Least limit that is applied, in requests a second. Without requests a router
/// would never learn that a limit of zero has ended.
const MIN_RATE: f64 = 0.2;
/// Limit from which on none is applied, in requests a second: all routers together
/// hardly send as many to one server, and counting the permits takes time.
const MAX_RATE: f64 = 1000.0;
/// Relative change of a limit that the other routers are told of.
const SIGNIFICANT_CHANGE: f64 = 0.05;
/// Messages that a changed limit goes into; some may be lost.
const SENDS: u32 = 3;
/// Most changed limits in one message, about 60 bytes each.
const MAX_CHANGED: usize = 16;
/// Limits in force that each message repeats, in turn, for routers that missed
/// the change.
const REPEATED: usize = 4;
/// Time after which the limit of a server that is not listed is forgotten.
const EXPIRY: Duration = Duration::from_secs(60);
/// When clients that no server takes should retry: at least and at most.
const RETRY_RANGE: (f64, f64) = (0.25, 2.0);

/// What a router knows of a server's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The server.
    pub server: Name,
    /// Start time of its process, in Unix milliseconds.
    pub process: u64,
    /// Requests a second from all routers; `None` if it has no limit any more.
    pub rate: Option<f64>,
    /// When it said so.
    pub at: Instant,
}

/// A router's promise not to use its permits for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Yield {
    /// The service.
    pub service: Name,
    /// First slot whose permits are yielded.
    pub from: u64,
    /// Last one.
    pub until: u64,
}

/// Whether a server takes a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// It has no limit.
    Unlimited,
    /// It has, and there is a permit.
    Permit,
    /// It has, and there is none.
    Exhausted,
}

#[derive(Debug, Clone)]
struct Entry {
    report: Report,
    /// Messages that the report still goes into.
    sends: u32,
    /// Whether the report is to be stored for routers that get no messages.
    unstored: bool,
    counter: Counter,
}

/// The limits that one router knows of, and its permits.
#[derive(Debug)]
pub struct Limits {
    own: IpAddr,
    /// The other live routers; `None` until they are known.
    routers: Option<Vec<IpAddr>>,
    clock: SharedClock,
    entries: SortedVec<Name, Entry>,
    /// Permits of cold servers, with the start times of their processes.
    cold: SortedVec<Name, (u64, Counter)>,
    /// Slots that other routers have yielded.
    yields: SortedVec<(Name, IpAddr), (u64, u64)>,
    /// Slots that this router has yielded, by service.
    own_yields: SortedVec<Name, (u64, u64)>,
    /// When the last request for each service came.
    requested: SortedVec<Name, Instant>,
    /// Where the repetition of limits in force goes on.
    repeat_from: usize,
}

impl Limits {
    /// No limits yet, for the router at `own`.
    pub fn new(own: IpAddr) -> Self {
        Self {
            own,
            routers: None,
            clock: SharedClock::default(),
            entries: SortedVec::new(),
            cold: SortedVec::new(),
            yields: SortedVec::new(),
            own_yields: SortedVec::new(),
            requested: SortedVec::new(),
            repeat_from: 0,
        }
    }

    /// Sets the other live routers.
    pub fn set_routers(&mut self, routers: Vec<IpAddr>) {
        self.yields
            .retain(|(_, router), _| routers.contains(router));
        self.routers = Some(routers);
    }

    /// Records that the clock that all routers share showed `clock_ms` at `now`
    /// or shortly before.
    pub fn set_clock(&mut self, clock_ms: u64, now: Instant) {
        self.clock.record(clock_ms, now);
    }

    /// The shared clock in milliseconds; `None` if it is not known yet.
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        self.clock.at(now)
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, service: &Name, now: Instant) {
        self.requested.insert(service.clone(), now);
    }

    /// Records what a server said in an answer to this router. Returns whether
    /// that is a significant change, which the other routers are told of.
    pub fn observe(&mut self, report: Report) -> bool {
        let known = self.entries.get(&*report.server).map(|e| &e.report);
        if known.is_some_and(|known| known.process > report.process) {
            return false;
        }
        let same = known.filter(|known| known.process == report.process);
        let changed = is_significant(same.and_then(|known| known.rate), report.rate);
        // Most answers are of servers that never named a limit.
        if changed || same.is_some() {
            self.store(report, changed);
        }
        changed
    }

    /// Adds what another router knows. Returns whether that is a significant
    /// change.
    pub fn merge(&mut self, report: Report) -> bool {
        let known = self.entries.get(&*report.server).map(|e| &e.report);
        let is_old = |known: &Report| (known.process, known.at) >= (report.process, report.at);
        if known.is_some_and(is_old) {
            return false;
        }
        let same = known.filter(|known| known.process == report.process);
        let changed = is_significant(same.and_then(|known| known.rate), report.rate);
        self.store(report, false);
        changed
    }

    /// Keeps a report. If `announced`, the other routers are told of it.
    fn store(&mut self, report: Report, announced: bool) {
        // Permits of slots before the limit was known are not counted: the
        // requests of that time were sent without them.
        let counted = self.clock.slot(report.at).unwrap_or(0);
        let entry = self
            .entries
            .get_or_insert_with(report.server.clone(), || Entry {
                report: report.clone(),
                sends: 0,
                unstored: false,
                counter: Counter {
                    counted,
                    ..Counter::default()
                },
            });
        if entry.report.process != report.process || entry.report.rate.is_none() {
            entry.counter.permits.clear();
            entry.counter.counted = entry.counter.counted.max(counted);
        }
        entry.report = report;
        if announced {
            entry.sends = SENDS;
            entry.unstored = true;
        }
    }

    /// The limit in force of a server's process, in requests a second.
    pub fn rate(&self, server: &str, process: u64) -> Option<f64> {
        let report = &self.entries.get(server)?.report;
        let rate = report.rate.filter(|rate| *rate < MAX_RATE)?;
        (report.process >= process).then_some(rate)
    }

    /// Number of servers with a limit, for the metrics.
    pub fn count(&self) -> usize {
        let entries = self.entries.iter();
        entries.filter(|(_, e)| e.report.rate.is_some()).count()
    }

    /// Whether a server's process takes a request for `service` at `now`.
    pub fn allowance(
        &mut self,
        server: &str,
        process: u64,
        service: &Name,
        now: Instant,
    ) -> Allowance {
        let Some(rate) = self.rate(server, process) else {
            return Allowance::Unlimited;
        };
        let (Some(slot), Some(routers)) = (self.clock.slot(now), &self.routers) else {
            return Allowance::Exhausted;
        };
        let Some(entry) = self.entries.get_mut(server) else {
            return Allowance::Unlimited;
        };
        let own_yield = self.own_yields.get(service).copied();
        let yields = &self.yields;
        let shares = Shares {
            own: self.own,
            routers,
            own_yield,
            has_yielded: |router: &IpAddr, slot| has_yielded(yields, service, *router, slot),
        };
        let rate = rate.max(MIN_RATE);
        let counter = &mut entry.counter;
        if counter.count(server, rate, slot, PERMIT_SLOTS, &shares) {
            Allowance::Permit
        } else {
            Allowance::Exhausted
        }
    }

    /// Whether a server's process that is or was cold, and gets `rate` requests a second
    /// from all routers, takes a request for `service` at `now`. Its permits don't pile up
    /// for longer than [`COLD_PERMIT_TIME`].
    pub fn cold_allowance(
        &mut self,
        server: &Name,
        process: u64,
        rate: f64,
        service: &Name,
        now: Instant,
    ) -> Allowance {
        let (Some(slot), Some(routers)) = (self.clock.slot(now), &self.routers) else {
            return Allowance::Exhausted;
        };
        let new = || {
            let counted = slot;
            let counter = Counter {
                counted,
                ..Counter::default()
            };
            (process, counter)
        };
        let entry = self.cold.get_or_insert_with(server.clone(), new);
        if entry.0 != process {
            *entry = new();
        }
        let yields = &self.yields;
        let shares = Shares {
            own: self.own,
            routers,
            own_yield: self.own_yields.get(service).copied(),
            has_yielded: |router: &IpAddr, slot| has_yielded(yields, service, *router, slot),
        };
        let rate = rate.max(MIN_RATE);
        if entry
            .1
            .count(server, rate, slot, COLD_PERMIT_SLOTS, &shares)
        {
            Allowance::Permit
        } else {
            Allowance::Exhausted
        }
    }

    /// Uses a permit of a server.
    pub fn take_permit(&mut self, server: &str) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.counter.permits.pop_front();
        }
        if let Some((_, counter)) = self.cold.get_mut(server) {
            counter.permits.pop_front();
        }
    }

    /// When clients should retry if these servers have a limit and no permit:
    /// about the time between two permits of all routers, drawn with `random`
    /// from 0 to 1 so that the clients don't return at once.
    pub fn retry_after<'a>(
        &self,
        servers: impl Iterator<Item = (&'a str, u64)>,
        random: f64,
    ) -> Duration {
        let rates = servers.filter_map(|(server, process)| self.rate(server, process));
        let rate: f64 = rates.map(|rate| rate.max(MIN_RATE)).sum();
        let (least, most) = RETRY_RANGE;
        let interval = (1.0 / rate).clamp(least, most);
        Duration::from_secs_f64(interval * (0.5 + random))
    }

    /// What the next message to the other routers says of limits.
    pub fn take_reports(&mut self) -> Vec<Report> {
        let mut reports = Vec::new();
        for (_, entry) in self.entries.iter_mut() {
            if entry.sends > 0 && reports.len() < MAX_CHANGED {
                entry.sends -= 1;
                reports.push(entry.report.clone());
            }
        }
        let in_force = self.entries.iter().map(|(_, e)| &e.report);
        let in_force: Vec<&Report> = in_force.filter(|r| r.rate.is_some()).collect();
        for n in 0..REPEATED.min(in_force.len()) {
            let report = in_force[(self.repeat_from + n) % in_force.len()];
            if !reports.contains(report) {
                reports.push(report.clone());
            }
        }
        self.repeat_from = self.repeat_from.wrapping_add(REPEATED);
        reports
    }

    /// Yields the next permits for those of `services` that have no requests;
    /// returns what the other routers need to know of it.
    pub fn take_yields(
        &mut self,
        services: impl Iterator<Item = Name>,
        now: Instant,
    ) -> Vec<Yield> {
        let Some(slot) = self.clock.slot(now) else {
            return Vec::new();
        };
        let requested = &self.requested;
        let is_idle = |service: &Name| {
            let last = requested.get(&**service);
            last.is_none_or(|at| now > *at + IDLE_TIME)
        };
        let mut yields = Vec::new();
        for service in services.filter(is_idle) {
            let until = slot + YIELD_SLOTS;
            let range = self
                .own_yields
                .get_or_insert_with(service.clone(), || (0, 0));
            // Permits of this slot and earlier ones may have been used.
            let goes_on = range.0 <= slot + 1 && slot <= range.1;
            let from = if goes_on { range.0 } else { slot + 1 };
            *range = (from, until);
            yields.push(Yield {
                service,
                from,
                until,
            });
        }
        yields
    }

    /// Adds what another router yields.
    pub fn merge_yield(&mut self, router: IpAddr, offer: Yield) {
        let key = (offer.service, router);
        let range = self.yields.get_or_insert_with(key, || (0, 0));
        let was_set_back = offer.until + PERMIT_SLOTS < range.1;
        if offer.until > range.1 || was_set_back {
            *range = (offer.from, offer.until);
        }
    }

    /// Own reports that are to be stored.
    pub fn unstored(&self) -> Vec<Report> {
        let entries = self.entries.iter().map(|(_, entry)| entry);
        let unstored = entries.filter(|e| e.unstored);
        unstored.map(|e| e.report.clone()).collect()
    }

    /// Records that reports have been stored.
    pub fn record_stored(&mut self, reports: &[Report]) {
        for report in reports {
            if let Some(entry) = self.entries.get_mut(&*report.server) {
                let changed = is_significant(entry.report.rate, report.rate);
                entry.unstored &= changed || entry.report.process != report.process;
            }
        }
    }

    /// Forgets limits of servers that are no longer listed.
    pub fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: Instant) {
        self.cold.retain(|server, _| is_listed(server));
        self.entries
            .retain(|server, e| is_listed(server) || now < e.report.at + EXPIRY);
    }
}

/// Whether a number can be a limit in requests a second.
pub fn is_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}

/// Whether the other routers need to know of a change between two limits.
fn is_significant(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (after - before).abs() > SIGNIFICANT_CHANGE * before,
        (before, after) => before.is_some() != after.is_some(),
    }
}

/// Whether a router has yielded the permits of a slot.
fn has_yielded(
    yields: &SortedVec<(Name, IpAddr), (u64, u64)>,
    service: &Name,
    router: IpAddr,
    slot: u64,
) -> bool {
    let range = yields.get(&(service.clone(), router));
    range.is_some_and(|range| contains(*range, slot))
}
