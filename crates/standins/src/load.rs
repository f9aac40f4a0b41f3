//! Load reports that are published with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A load report as sent to routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadWire {
    /// Running requests.
    pub running: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Number of requests that can run at once.
    pub slots: usize,
    /// Duration of an engine's step or of a service's call, in microseconds.
    pub step_us: u64,
    /// Whether the backend server is leaving.
    pub leaving: bool,
    /// Age of this report in milliseconds.
    pub age_ms: u64,
}

/// Recent loads, kept so that a report can show an earlier one.
#[derive(Debug, Clone)]
pub struct History {
    lag: Duration,
    loads: VecDeque<(Instant, LoadWire)>,
}

impl History {
    /// Creates a history that starts with `load` and reports it `lag` late.
    pub fn new(lag: Duration, load: LoadWire, now: Instant) -> Self {
        Self {
            lag,
            loads: VecDeque::from([(now, load)]),
        }
    }

    /// Records the current load.
    pub fn record(&mut self, load: LoadWire, now: Instant) {
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.loads.push_back((now, load));
        // Keep the load that reports show now; older ones are no longer needed.
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
        let visible = self.loads.partition_point(|(at, _)| *at + self.lag <= now);
        let at = visible.saturating_sub(1);
        let load = self.loads.get(at).map(|(_, load)| *load);
        LoadWire {
            age_ms: self.lag.as_millis() as u64,
            ..load.unwrap_or_default()
        }
    }
}
