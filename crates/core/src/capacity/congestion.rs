//! What a host sees of its own delays.
//!
//! New connections to servers pass this host's link in both directions, and servers are
//! milliseconds away. One slow server says nothing, but if even the fastest of several
//! connections took long, the delay is on this host. So it is if its own timers fire late.

use std::time::{Duration, Instant};

/// Time over which the least delay is taken.
const WINDOW: Duration = Duration::from_millis(200);
/// Connections in a window for a meaningful least delay.
const MIN_CONNECTIONS: u32 = 3;
/// Least time of a connection from which the link counts as congested. It is some ten
/// times the usual time between data centres.
const SLOW_CONNECTION: Duration = Duration::from_millis(40);
/// Lateness of all timers in a window from which the processor counts as congested.
const LATE_TIMER: Duration = Duration::from_millis(40);
/// Least part of the capacity that is still used.
const MIN_FACTOR: f64 = 0.4;
/// Factor of the used part after a congested window, and what is added after another one.
const DECREASE: f64 = 0.85;
const INCREASE: f64 = 0.04;
/// Time after a congested window for which the host counts as congested.
const HOLD: Duration = Duration::from_secs(1);

/// The least of the delays in a window.
#[derive(Debug, Clone, Default)]
struct Least {
    count: u32,
    least: Option<Duration>,
}

impl Least {
    fn record(&mut self, delay: Duration) {
        self.count += 1;
        self.least = Some(self.least.map_or(delay, |least| least.min(delay)));
    }

    fn exceeds(&self, limit: Duration, count: u32) -> bool {
        self.count >= count && self.least.is_some_and(|least| least >= limit)
    }
}

/// Delays of this host, and the part of its capacity that it should use.
#[derive(Debug, Clone)]
pub struct Congestion {
    began: Instant,
    connections: Least,
    timeouts: u32,
    timers: Least,
    factor: f64,
    seen: Option<Instant>,
}

impl Congestion {
    /// No delays seen yet.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            connections: Least::default(),
            timeouts: 0,
            timers: Least::default(),
            factor: 1.0,
            seen: None,
        }
    }

    /// Part of the capacity to use, at most 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Whether delays of this host were seen lately.
    pub fn is_congested(&self, now: Instant) -> bool {
        self.seen.is_some_and(|at| now < at + HOLD)
    }

    /// Records how long a connection to a server took that was accepted.
    pub fn record_connection(&mut self, delay: Duration, now: Instant) {
        self.roll(now);
        self.connections.record(delay);
    }

    /// Records that a connection to a server timed out. That lowers the part of the
    /// capacity that is used, but alone it does not show a delay of this host.
    pub fn record_timeout(&mut self, now: Instant) {
        self.roll(now);
        self.timeouts += 1;
    }

    /// Records how much too late a timer of this process fired.
    pub fn record_timer(&mut self, lateness: Duration, now: Instant) {
        self.roll(now);
        self.timers.record(lateness);
    }

    fn roll(&mut self, now: Instant) {
        if now < self.began + WINDOW {
            return;
        }
        self.began = now;
        let connections = std::mem::take(&mut self.connections);
        let timers = std::mem::take(&mut self.timers);
        let timeouts = std::mem::take(&mut self.timeouts);
        let is_slow = connections.exceeds(SLOW_CONNECTION, MIN_CONNECTIONS);
        let none_in_time = timeouts >= MIN_CONNECTIONS
            && connections
                .least
                .is_none_or(|least| least >= SLOW_CONNECTION);
        // Late timers alone don't explain why connections time out: a host that has lost
        // its path to the servers may be short of processor time, too.
        if is_slow {
            self.seen = Some(now);
        }
        let is_late = is_slow || timers.exceeds(LATE_TIMER, 1);
        if is_late || none_in_time {
            self.factor = (self.factor * DECREASE).max(MIN_FACTOR);
        } else if connections.count > 0 || timeouts == 0 {
            self.factor = (self.factor + INCREASE).min(1.0);
        }
    }
}
