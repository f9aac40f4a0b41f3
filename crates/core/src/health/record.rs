//! What is remembered of one backend server's health.

use std::time::{Duration, Instant};

use crate::route::server::HealthState;

/// Time over which answers and failures are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Length of the first ejection.
const FIRST: Duration = Duration::from_secs(1);

/// Length of the longest ejection.
const LONGEST: Duration = Duration::from_secs(60);

/// Time in service after which earlier ejections are forgotten.
const FORGIVEN: Duration = Duration::from_secs(120);

/// Whether the server is in service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum State {
    /// In service.
    #[default]
    In,
    /// Ejected; probed from then on.
    Out {
        /// When probing starts.
        until: Instant,
    },
}

/// Counts and state of one server.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    state: State,
    row: u32,
    good: f64,
    bad: f64,
    counted: Option<Instant>,
    slow: Option<Instant>,
    times: u32,
    last: Option<Instant>,
}

impl Record {
    /// Counts an answer or a failure.
    pub(super) fn count(&mut self, good: bool, now: Instant) {
        (self.good, self.bad) = self.counts(now);
        self.counted = Some(now);
        if good {
            self.good += 1.0;
            self.row = 0;
        } else {
            self.bad += 1.0;
            self.row += 1;
        }
    }

    /// Recent answers and failures, older ones weighing less.
    pub(super) fn counts(&self, now: Instant) -> (f64, f64) {
        let gone = self.counted.map(|at| now.saturating_duration_since(at));
        let gone = gone.unwrap_or_default().as_secs_f64();
        let decay = (-gone / WINDOW.as_secs_f64()).exp();
        (self.good * decay, self.bad * decay)
    }

    /// Failures in a row.
    pub(super) fn row(&self) -> u32 {
        self.row
    }

    /// For how long it has been slow, given whether it is now.
    pub(super) fn slow_for(&mut self, slow: bool, now: Instant) -> Duration {
        if !slow {
            self.slow = None;
            return Duration::ZERO;
        }
        let since = *self.slow.get_or_insert(now);
        now.saturating_duration_since(since)
    }

    /// Ejects it, and says until when.
    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let forgiven = self.last.is_some_and(|last| now > last + FORGIVEN);
        self.times = if forgiven { 1 } else { self.times + 1 };
        let doublings = self.times.saturating_sub(1).min(16);
        let until = now + (FIRST * (1 << doublings)).min(LONGEST);
        self.last = Some(until);
        self.slow = None;
        self.state = State::Out { until };
        until
    }

    /// Takes it back.
    pub(super) fn restore(&mut self) {
        self.state = State::In;
        self.row = 0;
        (self.good, self.bad) = (0.0, 0.0);
    }

    /// Whether it is ejected.
    pub(super) fn is_out(&self) -> bool {
        self.state != State::In
    }

    /// What routing may do with it.
    pub(super) fn gate(&self, now: Instant) -> HealthState {
        match self.state {
            State::In => HealthState::Healthy,
            State::Out { until } if now >= until => HealthState::Probing,
            State::Out { .. } => HealthState::Ejected,
        }
    }
}
