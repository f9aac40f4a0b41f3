//! Which backend servers are ejected, and when they are tried again.
//!
//! A server is ejected after failures in a row, for a failure rate far above
//! the others', or for being far slower than the others. An ejection lasts
//! longer each time. After it one request probes the server and decides. At
//! least half of the servers stay in, since a fault that hits all of them is
//! not theirs.

mod record;

use std::fmt;
use std::time::{Duration, Instant};

use crate::health::record::Record;
use crate::id::Name;
use crate::route::server::HealthState;
use crate::sorted::SortedVec;

/// Share of the servers that stay in whatever they do.
const STAY: f64 = 0.5;

/// Failures in a row that eject.
const ROW: u32 = 3;

/// Failure rate that ejects, if it is far above the others'.
const RATE: f64 = 0.3;

/// Requests in the window below which a rate says nothing.
const ENOUGH: f64 = 20.0;

/// How many times the others' a failure rate has to be.
const RATE_TIMES: f64 = 3.0;

/// How many times the median a server's step has to be.
const SLOW_TIMES: f64 = 8.0;

/// How long it has to be that slow.
const SLOW_FOR: Duration = Duration::from_secs(5);

/// Servers below which slowness has nothing to be compared with.
const SLOW_OF: usize = 3;

/// Why a server was ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// Failures in a row.
    ConsecutiveFailures {
        /// How many.
        failures: u32,
    },
    /// A failure rate far above the others'.
    HighFailureRate {
        /// Its own, 0 to 1.
        own: f64,
        /// The others', 0 to 1.
        others: f64,
    },
    /// A step far longer than the others'.
    Slow {
        /// Its own.
        own: Duration,
        /// The median.
        median: Duration,
    },
    /// The probe failed.
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

/// What changed for a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It was ejected.
    Ejected {
        /// Why.
        reason: Reason,
        /// When it is probed.
        until: Instant,
    },
    /// It would have been ejected, but too few would be left.
    NotEjected {
        /// What speaks against it.
        reason: Reason,
    },
    /// It was taken back.
    Restored,
}

/// Health of the servers that offer one thing.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    records: SortedVec<Name, Record>,
}

impl HealthTracker {
    /// A board without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps records of exactly these servers.
    pub fn set_servers(&mut self, names: impl IntoIterator<Item = Name>) {
        let old = std::mem::take(&mut self.records);
        let kept = |name: Name| {
            let record = old.get(&name).cloned().unwrap_or_default();
            (name, record)
        };
        self.records = names.into_iter().map(kept).collect();
    }

    /// Takes in an answer, or a failure that blames the server.
    pub fn record_outcome(&mut self, server: &str, good: bool, now: Instant) -> Option<Change> {
        let record = self.records.get_mut(server)?;
        record.count(good, now);
        let probing = record.gate(now) == HealthState::Probing;
        if probing {
            if good {
                record.restore();
                return Some(Change::Restored);
            }
            return Some(eject(record, Reason::ProbeFailed, now));
        }
        if good || record.is_out() {
            return None;
        }
        let reason = self.row(server).or_else(|| self.rate(server, now))?;
        self.judge(server, reason, now)
    }

    /// Looks for servers that are far slower than the others.
    ///
    /// `steps` gives the step of each server that is in use, to be called about
    /// once a second.
    pub fn detect_slow(
        &mut self,
        steps: impl IntoIterator<Item = (Name, Duration)>,
        now: Instant,
    ) -> Vec<(Name, Change)> {
        let steps: Vec<(Name, Duration)> = steps.into_iter().collect();
        if steps.len() < SLOW_OF {
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
            let slow = own.as_secs_f64() > SLOW_TIMES * median.as_secs_f64();
            if record.slow_for(slow, now) >= SLOW_FOR && !record.is_out() {
                let reason = Reason::Slow { own, median };
                changes.extend(self.judge(&name, reason, now).map(|c| (name, c)));
            }
        }
        changes
    }

    /// What routing may do with a server.
    pub fn state(&self, server: &str, now: Instant) -> HealthState {
        self.records
            .get(server)
            .map_or(HealthState::Healthy, |record| record.gate(now))
    }

    /// Servers that are ejected.
    pub fn ejected_count(&self) -> usize {
        self.records.iter().filter(|(_, r)| r.is_out()).count()
    }

    /// Failures in a row, if they are too many.
    fn row(&self, server: &str) -> Option<Reason> {
        let failures = self.records.get(server)?.row();
        (failures >= ROW).then_some(Reason::ConsecutiveFailures { failures })
    }

    /// A failure rate that is too high beside the others'.
    fn rate(&self, server: &str, now: Instant) -> Option<Reason> {
        let (good, bad) = self.records.get(server)?.counts(now);
        let own = bad / (good + bad);
        if good + bad < ENOUGH || own < RATE {
            return None;
        }
        let rest = self.records.iter().filter(|(name, _)| ***name != *server);
        let (good, bad) = rest
            .map(|(_, r)| r.counts(now))
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let others = if good + bad > 0.0 {
            bad / (good + bad)
        } else {
            0.0
        };
        (own >= RATE_TIMES * others).then_some(Reason::HighFailureRate { own, others })
    }

    /// Ejects a server, unless too few would be left.
    fn judge(&mut self, server: &str, reason: Reason, now: Instant) -> Option<Change> {
        let stay = (self.records.len() as f64 * STAY).ceil() as usize;
        let left = self.records.len() - self.ejected_count();
        let record = self.records.get_mut(server)?;
        if left <= stay {
            return Some(Change::NotEjected { reason });
        }
        Some(eject(record, reason, now))
    }
}

fn eject(record: &mut Record, reason: Reason, now: Instant) -> Change {
    let until = record.eject(now);
    Change::Ejected { reason, until }
}

/// Whether a server is leaving, by its own word and the host list's.
///
/// Either is enough. The server takes its word back in a later load report, as
/// after a restart; the list, when it changes.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeavingStatus {
    own: Option<Instant>,
    listed: bool,
}

impl LeavingStatus {
    /// Takes the server's own word in: a refusal, or a load report of `taken`.
    pub fn record_report(&mut self, leaving: bool, taken: Instant) {
        match self.own {
            Some(before) if !leaving && taken > before => self.own = None,
            None if leaving => self.own = Some(taken),
            Some(before) if leaving => self.own = Some(before.max(taken)),
            _ => {}
        }
    }

    /// Takes the host list's word in.
    pub fn set_listed(&mut self, leaving: bool) {
        self.listed = leaving;
    }

    /// Whether nothing may be sent to it.
    pub fn is_leaving(&self) -> bool {
        self.listed || self.own.is_some()
    }
}
