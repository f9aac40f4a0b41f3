//! Trials of requests that can't be told apart from one that crashes servers.
//!
//! All requests that were at the same crashes are refused, though only one of
//! them need be the cause. One router may send one of them, while the others are
//! still refused, and the result tells them apart: an answer clears the request,
//! and another crash explains the crashes of the others. A row in the platform's
//! store, written under a condition, ensures that one trial runs at a time and
//! that each request gets only one.

use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::poison::{EXPIRY, Fingerprint, Kind};
use poplar_platform::rows::{Check, Commit, Partition, Row, Write};
use poplar_platform::store::{Error, Store};
use serde::{Deserialize, Serialize};

use super::wire::{decode_hash, encode_hash};
use super::{Crashes, join};
use crate::relay::age::time_of;
use crate::sync::lock;

const PARTITION: Partition = Partition {
    table: "crash_trials",
    part: "crashes",
};
const KEY: &str = "trials";
/// Most trials in the row, about 30 KB; the oldest make room.
const MAX_TRIALS: usize = 256;
/// Most writes for one trial; each fails if another router's came first.
const MAX_WRITES: u32 = 3;
/// Time-out of a write.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which another trial may begin. Servers crash as they begin to answer,
/// and an answer that goes on for a second is enough.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(3);
/// Separates the causes that one trial tests.
const SEPARATOR: char = '-';
/// Begins a cause that is a request. Builds that count only features can't decode it,
/// and take such a trial for one of something else.
const REQUEST_MARK: char = 'r';

/// Whether a request may be sent on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trial {
    /// It may be sent once, by this router.
    Granted,
    /// Another trial may still run for this long.
    Busy(Duration),
    /// It was sent on trial before, or the store could not be reached.
    Denied,
}

/// The row: the trials of the last time.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
struct TrialsWire {
    trials: Vec<TrialWire>,
}

fn encode(cause: &Fingerprint) -> String {
    let hash = encode_hash(*cause);
    match cause.kind {
        Kind::Feature => hash,
        Kind::Request => format!("{REQUEST_MARK}{hash}"),
    }
}

fn decode(text: &str) -> Option<Fingerprint> {
    match text.strip_prefix(REQUEST_MARK) {
        Some(hash) => decode_hash(hash).map(Fingerprint::of_request),
        None => decode_hash(text).map(Fingerprint::of_feature),
    }
}

/// A trial. Times are those of the store's clock, in milliseconds.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct TrialWire {
    /// The request, or the features that it tests.
    request: String,
    began: u64,
    /// When the request has ended at the latest.
    until: u64,
}

impl TrialWire {
    /// Whether it tested nothing else than these.
    fn is_within(&self, causes: &[Fingerprint]) -> bool {
        let mut tested = self.request.split(SEPARATOR).map(decode);
        tested.all(|tested| tested.is_some_and(|tested| causes.contains(&tested)))
    }

    /// What it tested.
    fn causes(&self) -> Vec<Fingerprint> {
        let tested = self.request.split(SEPARATOR);
        tested.filter_map(decode).collect()
    }
}

/// What a trial is to test.
struct Subject<'a> {
    causes: &'a [Fingerprint],
    /// Whether these are features, for which another request may be tried if a trial
    /// gave no result.
    only_features: bool,
}

/// The version and contents of the row as last seen.
#[derive(Debug, Clone, Default)]
pub(super) struct Seen {
    version: u64,
    row: TrialsWire,
}

impl Seen {
    /// Decodes the rows found by a write that failed; a row that can't be
    /// decoded is replaced.
    fn decode(rows: Vec<Row>) -> Self {
        let Some(row) = rows.into_iter().find(|row| *row.key == *KEY) else {
            return Self::default();
        };
        let decoded = serde_json::from_slice(&row.value).inspect_err(|why| {
            log::warn("crash trials invalid").reason(why).write();
        });
        Self {
            version: row.version,
            row: decoded.unwrap_or_default(),
        }
    }

    /// Why a trial may not begin at `clock`; `None` if it may. `has_crashed` says
    /// whether a trial is known to have ended a server.
    fn objection(
        &self,
        subject: &Subject<'_>,
        clock: u64,
        has_crashed: impl Fn(&TrialWire) -> bool,
    ) -> Option<Trial> {
        let trials = &self.row.trials;
        let excludes = |t: &TrialWire| !subject.only_features || has_crashed(t);
        if trials
            .iter()
            .any(|t| t.is_within(subject.causes) && excludes(t))
        {
            return Some(Trial::Denied);
        }
        let until = trials.iter().map(|t| t.until).max()?;
        (until > clock).then(|| Trial::Busy(Duration::from_millis(until - clock)))
    }

    fn expire(&mut self, clock: u64) {
        let expiry = EXPIRY.as_millis() as u64;
        self.row.trials.retain(|t| t.began + expiry > clock);
        let surplus = (self.row.trials.len() + 1).saturating_sub(MAX_TRIALS);
        self.row.trials.drain(..surplus);
    }
}

impl Crashes {
    /// Asks for a trial of a request to which crashes are attributed because of
    /// these causes, and which takes at most `time_left`.
    pub async fn begin_trial(
        &self,
        store: &Store,
        causes: &[Fingerprint],
        only_features: bool,
        time_left: Duration,
    ) -> Trial {
        let subject = Subject {
            causes,
            only_features,
        };
        let tested: Vec<String> = causes.iter().map(encode).collect();
        let tested = tested.join(&SEPARATOR.to_string());
        let time_left = time_left.min(MAX_TRIAL_TIME);
        let Some(clock) = self.store_clock(Instant::now()) else {
            return Trial::Denied;
        };
        // What was seen of earlier trials still holds, and often saves the call.
        let mut seen = lock(&self.state).trials.clone();
        for _ in 0..MAX_WRITES {
            seen.expire(clock);
            let has_crashed = |t: &TrialWire| self.has_crashed(t, clock, Instant::now());
            if let Some(objection) = seen.objection(&subject, clock, has_crashed) {
                return objection;
            }
            seen.row.trials.push(TrialWire {
                request: tested.clone(),
                began: clock,
                until: clock + time_left.as_millis() as u64,
            });
            let value = serde_json::to_vec(&seen.row).expect("trials can be serialized");
            let commit = Commit {
                checks: vec![Check {
                    key: KEY.into(),
                    version: seen.version,
                }],
                writes: vec![Write {
                    key: KEY.into(),
                    value: Some(value),
                }],
            };
            match store.commit(PARTITION, commit, TIMEOUT).await {
                Ok(committed) => {
                    seen.version = committed.version;
                    lock(&self.state).trials = seen;
                    return Trial::Granted;
                }
                Err(Error::Conflict(rows)) => {
                    seen = Seen::decode(rows);
                    lock(&self.state).trials = seen.clone();
                }
                Err(why) => {
                    log::warn("crash trial not written")
                        .with("causes", join(causes))
                        .reason(why)
                        .write();
                    return Trial::Denied;
                }
            }
        }
        // Other routers' trials came first each time.
        Trial::Busy(TIMEOUT)
    }

    /// Whether a server has crashed under what a trial tests since it began.
    fn has_crashed(&self, trial: &TrialWire, clock: u64, now: Instant) -> bool {
        let began = time_of(clock.saturating_sub(trial.began), now);
        let history = &lock(&self.state).history;
        history.crashed_since(&trial.causes(), began, now)
    }
}
