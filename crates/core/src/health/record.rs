//! Health record of one backend server.

use std::time::{Duration, Instant};

use crate::route::server::HealthState;

/// Time constant with which counted answers and failures decay.
const WINDOW: Duration = Duration::from_secs(10);

/// Duration of the first ejection; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Time since the end of the last ejection after which the next one is as short
/// as the first.
const RESET_AFTER: Duration = Duration::from_secs(120);

/// Whether the server is ejected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum State {
    /// In service.
    #[default]
    InService,
    /// Ejected, or probed after that.
    Ejected {
        /// When probing starts.
        until: Instant,
    },
}

/// Counts and state of one server.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    state: State,
    consecutive_failures: u32,
    /// Decayed counts as of `counted_at`.
    answers: f64,
    failures: f64,
    counted_at: Option<Instant>,
    slow_since: Option<Instant>,
    /// Ejections that the duration of the next one depends on.
    ejections: u32,
    /// End of the last ejection.
    ejected_until: Option<Instant>,
}

impl Record {
    /// Counts an answer or a failure.
    pub(super) fn count(&mut self, answered: bool, now: Instant) {
        (self.answers, self.failures) = self.counts(now);
        self.counted_at = Some(now);
        if answered {
            self.answers += 1.0;
            self.consecutive_failures = 0;
        } else {
            self.failures += 1.0;
            self.consecutive_failures += 1;
        }
    }

    /// Numbers of answers and failures, which decay exponentially.
    pub(super) fn counts(&self, now: Instant) -> (f64, f64) {
        let elapsed = self.counted_at.map(|at| now.saturating_duration_since(at));
        let elapsed = elapsed.unwrap_or_default().as_secs_f64();
        let decay = (-elapsed / WINDOW.as_secs_f64()).exp();
        (self.answers * decay, self.failures * decay)
    }

    /// Failures since the last answer.
    pub(super) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Updates and returns the time for which the server has been slow.
    pub(super) fn slow_for(&mut self, slow: bool, now: Instant) -> Duration {
        if !slow {
            self.slow_since = None;
            return Duration::ZERO;
        }
        let since = *self.slow_since.get_or_insert(now);
        now.saturating_duration_since(since)
    }

    /// Ejects the server and returns until when.
    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let is_reset = self
            .ejected_until
            .is_some_and(|end| now > end + RESET_AFTER);
        self.ejections = if is_reset { 1 } else { self.ejections + 1 };
        let doublings = self.ejections.saturating_sub(1).min(16);
        let until = now + (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        self.ejected_until = Some(until);
        self.slow_since = None;
        self.state = State::Ejected { until };
        until
    }

    /// Returns the server to service.
    pub(super) fn restore(&mut self) {
        self.state = State::InService;
        self.consecutive_failures = 0;
        (self.answers, self.failures) = (0.0, 0.0);
    }

    /// Whether the server is ejected or probed.
    pub(super) fn is_ejected(&self) -> bool {
        self.state != State::InService
    }

    /// The health state, which decides whether the server gets requests.
    pub(super) fn state(&self, now: Instant) -> HealthState {
        match self.state {
            State::InService => HealthState::Healthy,
            State::Ejected { until } if now >= until => HealthState::Probing,
            State::Ejected { .. } => HealthState::Ejected,
        }
    }
}
