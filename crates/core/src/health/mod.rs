//! Ejection of unhealthy backend servers.
//!
//! A server is ejected after consecutive failures, for a failure rate far above
//! that of the other servers, or for being far slower than they are. Each
//! ejection lasts longer than the one before. After it, one request probes the
//! server: it returns to service if that succeeds and is ejected again if not.
//! At least half of the servers stay in service, since a fault that affects
//! more of them is probably not their own.

mod record;

use std::fmt;
use std::time::{Duration, Instant};

use crate::health::record::Record;
use crate::id::Name;
use crate::route::server::HealthState;
use crate::sorted::SortedVec;

/// Share of the servers that always stay in service.
const MIN_IN_SERVICE: f64 = 0.5;

/// Consecutive failures that cause an ejection.
const EJECTION_FAILURES: u32 = 3;

/// Failure rate that causes an ejection, if it is far above the others'.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// Least number of recent requests for a meaningful failure rate.
const MIN_REQUESTS: f64 = 20.0;

/// Least ratio of the failure rate to the others' for an ejection.
const FAILURE_RATE_RATIO: f64 = 3.0;

/// A server is slow if its step exceeds the median step by this factor.
const SLOW_RATIO: f64 = 8.0;

/// Time for which a server has to be slow before it is ejected.
const SLOW_TIME: Duration = Duration::from_secs(5);

/// Least number of servers for a meaningful median.
const MIN_COMPARED: usize = 3;

/// Why a server was ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// Consecutive failures.
    ConsecutiveFailures {
        /// Their number.
        failures: u32,
    },
    /// A failure rate far above that of the other servers.
    HighFailureRate {
        /// Failure rate of this server, from 0 to 1.
        own: f64,
        /// Failure rate of the other servers, from 0 to 1.
        others: f64,
    },
    /// Steps far longer than those of the other servers.
    Slow {
        /// Step of this server.
        own: Duration,
        /// Median step of all servers.
        median: Duration,
    },
    /// The probe after an ejection failed.
    ProbeFailed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConsecutiveFailures { failures } => write!(f, "{failures} failures in a row"),
            Self::HighFailureRate { own, others } => {
                write!(f, "{own:.2} of its requests fail, {others:.2} elsewhere")
            }
            Self::Slow { own, median } => {
                let (own, median) = (own.as_micros(), median.as_micros());
                write!(f, "step of {own} us, median {median} us")
            }
            Self::ProbeFailed => f.write_str("the probe failed"),
        }
    }
}

/// A change of a server's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It was ejected.
    Ejected {
        /// Why.
        reason: Reason,
        /// When probing starts.
        until: Instant,
    },
    /// It was not ejected, since too few servers would be left in service.
    NotEjected {
        /// Why it should have been ejected.
        reason: Reason,
    },
    /// It returned to service.
    Restored,
}

/// Health of the servers of one service.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    records: SortedVec<Name, Record>,
}

impl HealthTracker {
    /// Creates a tracker without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the servers to track; the records of those that remain are kept.
    pub fn set_servers(&mut self, names: impl IntoIterator<Item = Name>) {
        let old = std::mem::take(&mut self.records);
        let kept = |name: Name| {
            let record = old.get(&name).cloned().unwrap_or_default();
            (name, record)
        };
        self.records = names.into_iter().map(kept).collect();
    }

    /// Forgets the record of a server that has restarted.
    pub fn reset(&mut self, server: &str) {
        if let Some(record) = self.records.get_mut(server) {
            *record = Record::default();
        }
    }

    /// Records an answer, or a failure that counts against the server.
    pub fn record_outcome(&mut self, server: &str, answered: bool, now: Instant) -> Option<Change> {
        let record = self.records.get_mut(server)?;
        record.count(answered, now);
        let probing = record.state(now) == HealthState::Probing;
        if probing {
            if answered {
                record.restore();
                return Some(Change::Restored);
            }
            return Some(eject(record, Reason::ProbeFailed, now));
        }
        if answered || record.is_ejected() {
            return None;
        }
        let reason = self
            .check_consecutive(server)
            .or_else(|| self.check_rate(server, now))?;
        self.try_eject(server, reason, now)
    }

    /// Ejects servers that have been far slower than the others for some time.
    ///
    /// `steps` gives the step of each server in use. To be called about once a
    /// second.
    pub fn detect_slow(
        &mut self,
        steps: impl IntoIterator<Item = (Name, Duration)>,
        now: Instant,
    ) -> Vec<(Name, Change)> {
        let steps: Vec<(Name, Duration)> = steps.into_iter().collect();
        if steps.len() < MIN_COMPARED {
            return Vec::new();
        }
        let mut sorted: Vec<Duration> = steps.iter().map(|(_, step)| *step).collect();
        let at = sorted.len() / 2;
        let (_, median, _) = sorted.select_nth_unstable(at);
        let median = *median;
        let mut changes = Vec::new();
        for (name, own) in steps {
            let Some(record) = self.records.get_mut(&name) else {
                continue;
            };
            let slow = own.as_secs_f64() > SLOW_RATIO * median.as_secs_f64();
            if record.slow_for(slow, now) >= SLOW_TIME && !record.is_ejected() {
                let reason = Reason::Slow { own, median };
                changes.extend(self.try_eject(&name, reason, now).map(|c| (name, c)));
            }
        }
        changes
    }

    /// The health state of a server, which decides whether it gets requests.
    pub fn state(&self, server: &str, now: Instant) -> HealthState {
        self.records
            .get(server)
            .map_or(HealthState::Healthy, |record| record.state(now))
    }

    /// Number of servers that are ejected or probed.
    pub fn ejected_count(&self) -> usize {
        self.records.iter().filter(|(_, r)| r.is_ejected()).count()
    }

    /// Reason to eject a server for consecutive failures, if there is one.
    fn check_consecutive(&self, server: &str) -> Option<Reason> {
        let failures = self.records.get(server)?.consecutive_failures();
        (failures >= EJECTION_FAILURES).then_some(Reason::ConsecutiveFailures { failures })
    }

    /// Reason to eject a server for its failure rate, if there is one.
    fn check_rate(&self, server: &str, now: Instant) -> Option<Reason> {
        let (answered, failed) = self.records.get(server)?.counts(now);
        let own = failed / (answered + failed);
        if answered + failed < MIN_REQUESTS || own < EJECTION_FAILURE_RATE {
            return None;
        }
        let rest = self.records.iter().filter(|(name, _)| ***name != *server);
        let (answered, failed) = rest
            .map(|(_, r)| r.counts(now))
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let others = if answered + failed > 0.0 {
            failed / (answered + failed)
        } else {
            0.0
        };
        (own >= FAILURE_RATE_RATIO * others).then_some(Reason::HighFailureRate { own, others })
    }

    /// Ejects a server, unless too few would be left in service.
    fn try_eject(&mut self, server: &str, reason: Reason, now: Instant) -> Option<Change> {
        let least = (self.records.len() as f64 * MIN_IN_SERVICE).ceil() as usize;
        let left = self.records.len() - self.ejected_count();
        let record = self.records.get_mut(server)?;
        if left <= least {
            return Some(Change::NotEjected { reason });
        }
        Some(eject(record, reason, now))
    }
}

fn eject(record: &mut Record, reason: Reason, now: Instant) -> Change {
    let until = record.eject(now);
    Change::Ejected { reason, until }
}

/// Whether a server is leaving, by its own report or by the host list.
///
/// Either of them is enough. A later load report without the flag, as after a
/// restart, clears the server's own report; the host list clears its entry when
/// it changes.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeavingStatus {
    /// Time of the server's last report that it is leaving.
    reported_at: Option<Instant>,
    listed: bool,
}

impl LeavingStatus {
    /// Records a refusal or load report of the server, made at `taken`.
    pub fn record_report(&mut self, leaving: bool, taken: Instant) {
        match self.reported_at {
            Some(before) if !leaving && taken > before => self.reported_at = None,
            None if leaving => self.reported_at = Some(taken),
            Some(before) if leaving => self.reported_at = Some(before.max(taken)),
            _ => {}
        }
    }

    /// Records what the host list says.
    pub fn set_listed(&mut self, leaving: bool) {
        self.listed = leaving;
    }

    /// Whether no requests may be sent to it.
    pub fn is_leaving(&self) -> bool {
        self.listed || self.reported_at.is_some()
    }
}
