//! Load reports that lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A load report on the wire.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadWire {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that can run at once.
    pub slots: usize,
    /// Time of a step, or of a service's call, in microseconds.
    pub step_us: u64,
    /// Whether the backend server is leaving.
    pub leaving: bool,
    /// Age of this report in milliseconds.
    pub age_ms: u64,
}

/// Loads as they were.
#[derive(Debug, Clone)]
pub struct History {
    lag: Duration,
    loads: VecDeque<(Instant, LoadWire)>,
}

impl History {
    /// A history that starts with `load`.
    pub fn new(lag: Duration, load: LoadWire, now: Instant) -> Self {
        Self {
            lag,
            loads: VecDeque::from([(now, load)]),
        }
    }

    /// Notes the load as it is.
    pub fn record(&mut self, load: LoadWire, now: Instant) {
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.loads.push_back((now, load));
        // The newest report that shows is still needed, older ones are not.
        while self
            .loads
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.loads.pop_front();
        }
    }

    /// The load as it was one lag before `now`.
    pub fn report(&self, now: Instant) -> LoadWire {
        let shown = self.loads.partition_point(|(at, _)| *at + self.lag <= now);
        let at = shown.saturating_sub(1);
        let load = self.loads.get(at).map(|(_, load)| *load);
        LoadWire {
            age_ms: self.lag.as_millis() as u64,
            ..load.unwrap_or_default()
        }
    }
}
