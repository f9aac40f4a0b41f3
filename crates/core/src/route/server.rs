//! One router's view of one backend server.
//!
//! The router knows exactly which of its own requests are in flight. The server's
//! load report covers all routers but is out of date, so it is corrected by the
//! requests that this router sent and that ended since the report was taken.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::route::limit::Window;
use crate::route::rng::SplitMix64;
use crate::route::speed::Speed;
use crate::sorted::SortedVec;

/// Number of priorities that engines distinguish; 0 is the most urgent.
pub const PRIORITY_LEVELS: usize = 10;

/// Number of slots assumed until the first load report.
const DEFAULT_SLOTS: u32 = 8;

/// Number of recently ended requests kept to correct the next load report.
const MAX_RECENT_ENDS: usize = 256;

/// Whether health checks allow requests to a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HealthState {
    /// In service; requests may be sent.
    #[default]
    Healthy,
    /// Ejected, but one request at a time may be sent as a probe.
    Probing,
    /// Ejected; no requests may be sent.
    Ejected,
}

/// A server's report of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Number of requests being served.
    pub running: u32,
    /// Number of requests queued inside the server.
    pub waiting: u32,
    /// Number of requests that can be served concurrently.
    pub slots: u32,
    /// Time of one step, in which each running request gets one token.
    pub step: Duration,
    /// When the server took it: the time of receipt less the report's age.
    pub taken: Instant,
}

/// One of this router's requests in flight at a server.
#[derive(Debug, Clone, Copy)]
pub struct InFlight {
    /// Priority at the server; 0 is the most urgent.
    pub priority: u8,
    /// When it was sent.
    pub sent: Instant,
    /// Prompt tokens that the server was expected to process, without cached ones.
    pub prefill: u32,
    /// Output tokens still expected.
    pub remaining: u32,
    /// Whether a slot was likely free when it was sent.
    ///
    /// [`Server::record_dispatch`] clears it if the server's load shows otherwise.
    pub slot_free: bool,
    /// When its latest token arrived.
    pub last_token: Option<Instant>,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Answered in full, with this many output tokens.
    Answered(u32),
    /// Rejected before it ran because the server was full.
    RejectedFull,
    /// Anything else: rejected for another reason, lost or cancelled.
    Other,
}

/// A backend server as seen by this router.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Round-trip time to it.
    pub rtt: Duration,
    /// Whether the server or the host list says that it is leaving.
    pub leaving: bool,
    /// Whether it rejected this router's fencing token as outdated.
    pub fenced: bool,
    /// Whether health checks allow requests to it.
    pub health: HealthState,
    /// Salt that differs between routers, so that they round their limits differently.
    pub salt: u64,
    /// Window that limits requests in flight after rejections.
    pub(crate) window: Window,
    /// Measured speed.
    pub(crate) speed: Speed,
    requests: SortedVec<u64, InFlight>,
    per_priority: [u32; PRIORITY_LEVELS],
    report: Option<LoadReport>,
    /// Number of load reports received.
    report_count: u64,
    /// Whether any of its answers arrived as a stream of tokens.
    streams: bool,
    /// Own requests in flight that were sent after the report was taken.
    sent_since: u32,
    /// Own requests in flight when the report was taken that have ended since.
    ended_since: u32,
    /// Send and end times of own requests that ended recently.
    recent_ends: VecDeque<(Instant, Instant)>,
    /// When the next response is due at the latest.
    expected_by: Option<Instant>,
}

impl Server {
    /// Creates a server of which nothing is known yet.
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
            speed: Speed::default(),
            requests: SortedVec::new(),
            per_priority: [0; PRIORITY_LEVELS],
            report: None,
            report_count: 0,
            streams: false,
            sent_since: 0,
            ended_since: 0,
            recent_ends: VecDeque::new(),
            expected_by: None,
        }
    }

    /// Records a load report, unless it is older than the last one.
    pub fn record_report(&mut self, report: LoadReport) {
        if self.report.is_some_and(|last| last.taken > report.taken) {
            return;
        }
        let after = |t: Instant| t > report.taken;
        self.sent_since = self
            .requests
            .iter()
            .filter(|(_, request)| after(request.sent))
            .count() as u32;
        self.recent_ends.retain(|(_, ended)| after(*ended));
        let sent_before = |(sent, _): &&(Instant, Instant)| !after(*sent);
        self.ended_since = self.recent_ends.iter().filter(sent_before).count() as u32;
        self.report = Some(report);
        self.report_count += 1;
    }

    /// Records that request `id` was sent.
    pub fn record_dispatch(&mut self, id: u64, mut request: InFlight) {
        request.slot_free &= self.load() < self.slots();
        if self.requests.is_empty() {
            self.expected_by = Some(request.sent + self.rtt + self.response_timeout(&request));
        }
        self.sent_since += 1;
        self.per_priority[priority_index(request.priority)] += 1;
        self.requests.insert(id, request);
    }

    /// Records that `tokens` output tokens of request `id` arrived.
    pub fn record_tokens(&mut self, id: u64, tokens: u32, now: Instant) {
        let step = self.step();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match request.last_token {
            Some(last) => self.speed.record_gap(now - last, tokens, now),
            None if request.slot_free => {
                let busy = (now - request.sent).saturating_sub(self.rtt + step);
                self.speed.record_prefill(request.prefill, busy);
            }
            None => {}
        }
        request.last_token = Some(now);
        self.streams = true;
        request.remaining = request.remaining.saturating_sub(tokens).max(1);
        self.expected_by = Some(now + step * 4);
    }

    /// Records that request `id` ended.
    pub fn record_end(&mut self, id: u64, completion: Completion, now: Instant) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.per_priority[priority_index(request.priority)] -= 1;
        self.count_end(request.sent, now);
        match completion {
            Completion::Answered(output) => {
                self.speed.record_output(output);
                self.window.grow();
            }
            Completion::RejectedFull => self.window.shrink(now),
            Completion::Other => {}
        }
        let next = self.requests.iter().next();
        match next.map(|(_, request)| now + self.rtt + self.response_timeout(request)) {
            Some(at) if !self.streams => self.expected_by = Some(at),
            Some(_) => {}
            None => self.expected_by = None,
        }
    }

    /// Returns how long the first response to a request may take.
    ///
    /// A server that streams responds with the first token. A server that has
    /// never streamed responds only with the whole answer.
    fn response_timeout(&self, request: &InFlight) -> Duration {
        let tokens = if self.streams { 1 } else { request.remaining };
        let steps = f64::from(tokens) * self.step().as_secs_f64();
        Duration::from_secs_f64(2.0 * (self.speed.prefill_seconds(request.prefill) + steps))
    }

    fn count_end(&mut self, sent: Instant, now: Instant) {
        if self.report.is_some_and(|r| sent <= r.taken) {
            self.ended_since += 1;
        } else {
            self.sent_since = self.sent_since.saturating_sub(1);
        }
        if self.recent_ends.len() == MAX_RECENT_ENDS {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back((sent, now));
    }

    /// Returns the number of this router's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.requests.len() as u32
    }

    /// Iterates over this router's requests in flight and their IDs.
    pub fn requests(&self) -> impl Iterator<Item = (&u64, &InFlight)> {
        self.requests.iter()
    }

    /// Returns the last load report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns the number of requests that can be served concurrently.
    pub fn slots(&self) -> u32 {
        self.report.map_or(DEFAULT_SLOTS, |r| r.slots.max(1))
    }

    /// Returns the time of one step: the longer of the reported and the measured one.
    pub fn step(&self) -> Duration {
        let reported = self.report.map(|r| r.step);
        self.speed.step(reported)
    }

    /// Returns how many of this router's requests were in flight when the report was
    /// taken.
    pub fn in_flight_at_report(&self) -> u32 {
        self.in_flight() + self.ended_since - self.sent_since
    }

    /// Returns the number of requests in the server: the load report, corrected by
    /// own requests sent and ended since it was taken.
    pub fn load(&self) -> u32 {
        let reported = self.report.map_or(0, |r| r.running + r.waiting);
        (reported + self.sent_since)
            .saturating_sub(self.ended_since)
            .max(self.in_flight())
    }

    /// Returns an offset in `0.0..1.0` that differs between routers and load reports.
    pub(crate) fn rounding_offset(&self) -> f64 {
        SplitMix64::new(self.salt ^ self.report_count).next_f64()
    }

    /// Returns the share of this router's requests that are at least as urgent.
    ///
    /// It approximates the share among all routers' requests, since load reports
    /// don't break requests down by priority.
    pub fn share_ahead(&self, priority: u8) -> f64 {
        let ahead: u32 = self.per_priority[..=priority_index(priority)].iter().sum();
        f64::from(ahead + 1) / f64::from(self.in_flight() + 1)
    }

    /// Returns how long the next response has been overdue.
    pub fn overdue(&self, now: Instant) -> Duration {
        self.expected_by
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }
}

/// Returns the index of a priority; one out of range counts as the least urgent.
fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}
