//! What one router knows of one backend server.
//!
//! Its own requests in flight are exact. The load report covers all routers
//! but lags, so it is corrected by what this router sent and saw end since the
//! report was taken.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::route::limit::Window;
use crate::route::pace::Pace;
use crate::route::rng::SplitMix64;
use crate::sorted::SortedVec;

/// Priorities that engines honour; 0 is the most urgent.
pub const PRIORITY_LEVELS: usize = 10;

/// Slots assumed until the first load report.
const SLOTS: u32 = 8;

/// Own ends that are kept to correct the next load report.
const ENDS: usize = 256;

/// Whether health lets requests through.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HealthState {
    /// Requests may be sent.
    #[default]
    Healthy,
    /// Ejected; one request at a time may probe it.
    Probing,
    /// Ejected; nothing may be sent.
    Ejected,
}

/// A load report, dated when the server took it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that are being served.
    pub running: u32,
    /// Requests that wait inside the server.
    pub waiting: u32,
    /// Requests that can be served at a time.
    pub slots: u32,
    /// Time of one step.
    pub step: Duration,
    /// When it was taken: the receipt less its age.
    pub taken: Instant,
}

/// One of this router's requests at a server.
#[derive(Debug, Clone, Copy)]
pub struct InFlight {
    /// 0 is the most urgent.
    pub priority: u8,
    /// When it was sent.
    pub sent: Instant,
    /// Prompt tokens that were expected to be computed.
    pub prefill: u32,
    /// Output tokens that are still expected.
    pub remaining: u32,
    /// Whether a slot may have been free; the server's load has a say too.
    pub slot_free: bool,
    /// When its newest token came.
    pub last_token: Option<Instant>,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Answered whole, with this many output tokens.
    Answered(u32),
    /// Refused as full before it ran.
    RejectedFull,
    /// Anything else: refused otherwise, lost or cancelled.
    Other,
}

/// A backend server as this router sees it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Round trip to it.
    pub rtt: Duration,
    /// Whether it said, or the host list says, that it is leaving.
    pub leaving: bool,
    /// Whether it refused this router's fencing number.
    pub fenced: bool,
    /// What health allows.
    pub health: HealthState,
    /// A number of this router's own, so that routers round differently.
    pub salt: u64,
    /// Share of the limit that refusals as full have left.
    pub(crate) window: Window,
    /// How fast it was seen to work.
    pub(crate) pace: Pace,
    flights: SortedVec<u64, InFlight>,
    ranks: [u32; PRIORITY_LEVELS],
    report: Option<LoadReport>,
    /// Load reports so far.
    reports: u64,
    /// Whether an answer of it was seen to come token by token.
    streams: bool,
    /// Own requests sent since the report was taken and still in flight.
    sent: u32,
    /// Own requests that were in flight then and have ended.
    ended: u32,
    /// When own requests that ended lately were sent, and ended.
    ends: VecDeque<(Instant, Instant)>,
    /// When something should have been heard.
    expect: Option<Instant>,
}

impl Server {
    /// A server that was not heard of before.
    pub fn new(name: Name, centre: Name, rtt: Duration) -> Self {
        Self {
            name,
            centre,
            rtt,
            leaving: false,
            fenced: false,
            health: HealthState::Healthy,
            salt: 0,
            window: Window::default(),
            pace: Pace::default(),
            flights: SortedVec::new(),
            ranks: [0; PRIORITY_LEVELS],
            report: None,
            reports: 0,
            streams: false,
            sent: 0,
            ended: 0,
            ends: VecDeque::new(),
            expect: None,
        }
    }

    /// Takes a load report in; one that is older than the last is dropped.
    pub fn record_report(&mut self, report: LoadReport) {
        if self.report.is_some_and(|last| last.taken > report.taken) {
            return;
        }
        let after = |t: Instant| t > report.taken;
        self.sent = self.flights.iter().filter(|(_, f)| after(f.sent)).count() as u32;
        self.ends.retain(|(_, ended)| after(*ended));
        let known = |(sent, _): &&(Instant, Instant)| !after(*sent);
        self.ended = self.ends.iter().filter(known).count() as u32;
        self.report = Some(report);
        self.reports += 1;
    }

    /// Notes that request `id` was sent.
    pub fn record_dispatch(&mut self, id: u64, mut flight: InFlight) {
        flight.slot_free &= self.load() < self.slots();
        if self.flights.is_empty() {
            self.expect = Some(flight.sent + self.rtt + self.patience(&flight));
        }
        self.sent += 1;
        self.ranks[rank(flight.priority)] += 1;
        self.flights.insert(id, flight);
    }

    /// Notes that `tokens` of request `id` came.
    pub fn record_tokens(&mut self, id: u64, tokens: u32, now: Instant) {
        let step = self.step();
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        match flight.last_token {
            Some(last) => self.pace.saw_gap(now - last, tokens, now),
            None if flight.slot_free => {
                let busy = (now - flight.sent).saturating_sub(self.rtt + step);
                self.pace.saw_prefill(flight.prefill, busy);
            }
            None => {}
        }
        flight.last_token = Some(now);
        self.streams = true;
        flight.remaining = flight.remaining.saturating_sub(tokens).max(1);
        self.expect = Some(now + step * 4);
    }

    /// Notes that request `id` ended.
    pub fn record_end(&mut self, id: u64, end: Completion, now: Instant) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.ranks[rank(flight.priority)] -= 1;
        self.note_end(flight.sent, now);
        match end {
            Completion::Answered(output) => {
                self.pace.saw_output(output);
                self.window.grow();
            }
            Completion::RejectedFull => self.window.shrink(now),
            Completion::Other => {}
        }
        let next = self.flights.iter().next();
        match next.map(|(_, f)| now + self.rtt + self.patience(f)) {
            Some(at) if !self.streams => self.expect = Some(at),
            Some(_) => {}
            None => self.expect = None,
        }
    }

    /// How long to wait for news of a request that was sent.
    ///
    /// A server that streams is heard of at the first token. From one that was
    /// never seen to stream nothing is heard until the answer is whole.
    fn patience(&self, flight: &InFlight) -> Duration {
        let tokens = if self.streams { 1 } else { flight.remaining };
        let steps = f64::from(tokens) * self.step().as_secs_f64();
        Duration::from_secs_f64(2.0 * (self.pace.prefill(flight.prefill) + steps))
    }

    fn note_end(&mut self, sent: Instant, now: Instant) {
        if self.report.is_some_and(|r| sent <= r.taken) {
            self.ended += 1;
        } else {
            self.sent = self.sent.saturating_sub(1);
        }
        if self.ends.len() == ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((sent, now));
    }

    /// This router's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.flights.len() as u32
    }

    /// This router's requests in flight, by their identity.
    pub fn requests(&self) -> impl Iterator<Item = (&u64, &InFlight)> {
        self.flights.iter()
    }

    /// The last load report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Requests that can be served at a time.
    pub fn slots(&self) -> u32 {
        self.report.map_or(SLOTS, |r| r.slots.max(1))
    }

    /// Time of one step, the slower of reported and measured.
    pub fn step(&self) -> Duration {
        let told = self.report.map(|r| r.step);
        self.pace.step(told)
    }

    /// This router's requests that were in the server when the report was taken.
    pub fn in_flight_at_report(&self) -> u32 {
        self.in_flight() + self.ended - self.sent
    }

    /// Requests in the server: the load report, corrected by own sends and ends
    /// since it was taken.
    pub fn load(&self) -> u32 {
        let told = self.report.map_or(0, |r| r.running + r.waiting);
        (told + self.sent)
            .saturating_sub(self.ended)
            .max(self.in_flight())
    }

    /// A number of this router's own for each load report, at least 0 and
    /// below 1.
    pub(crate) fn phase(&self) -> f64 {
        SplitMix64::new(self.salt ^ self.reports).next_f64()
    }

    /// Share of this router's requests that are at least as urgent.
    ///
    /// It stands for the share of all, as reports don't break requests down.
    pub fn share_ahead(&self, priority: u8) -> f64 {
        let ahead: u32 = self.ranks[..=rank(priority)].iter().sum();
        f64::from(ahead + 1) / f64::from(self.in_flight() + 1)
    }

    /// For how long the server has been silent beyond what was expected.
    pub fn overdue(&self, now: Instant) -> Duration {
        self.expect
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }
}

/// Index of a priority; what is out of range counts as least urgent.
fn rank(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}
