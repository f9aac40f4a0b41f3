//! Parts of prompts that crash the servers that begin to answer.
//!
//! Requests that share such a part may have nothing else in common, so that none of
//! them is seen twice. A part is the cause of crashes if it was at all of them and
//! is never answered. A sound part that many requests have is at many crashes, too,
//! but it is also answered again and again, and each answer takes back the crashes
//! before it. Two things are left that look alike for a short time:
//!
//! - Several servers that crash at the same moment, for any reason, all have
//!   requests with the same popular parts. The crashes therefore have to be at
//!   several times, between which a sound part is answered.
//! - Parts that were at the same crashes, beside the cause or in the same requests.
//!   One that was answered before is less likely to be the cause than one that never
//!   was. If that doesn't decide, a trial of a request that has only one of them does.

use std::time::{Duration, Instant};

use crate::poison::{CrashHistory, Fingerprint, Reason, Sighting};

/// Crashes at different times from which on a part is refused.
const OCCASION_LIMIT: usize = 3;
/// Crashes from which on two times are enough.
const MANY_CRASHES: usize = 5;
/// Crashes within this time count as one occasion. Popular parts are answered many
/// times a second.
const OCCASION_TIME: Duration = Duration::from_millis(250);

/// Number of times at which there were crashes.
fn occasions(crashes: &[&Sighting]) -> usize {
    let mut times: Vec<Instant> = crashes.iter().map(|s| s.at).collect();
    times.sort_unstable();
    let mut last: Option<Instant> = None;
    times.retain(|at| {
        let is_new = last.is_none_or(|last| *at >= last + OCCASION_TIME);
        last = if is_new { Some(*at) } else { last };
        is_new
    });
    times.len()
}

impl CrashHistory {
    /// Why requests with a part are to be refused.
    pub(super) fn part_reason(&self, part: Fingerprint, now: Instant) -> Option<Reason> {
        let crashes = self.counted(part, now);
        let last = crashes.iter().map(|s| s.at).max()?;
        let enough = match occasions(&crashes) {
            n if n >= OCCASION_LIMIT => true,
            n if n > 1 => crashes.len() >= MANY_CRASHES,
            _ => false,
        };
        let is_own = |other: &Fingerprint| *other == part;
        let refused = enough
            && !self.is_explained(&crashes, is_own, now)
            && !(self.was_answered(part) && self.is_shared(&crashes, |f| self.was_answered(*f)));
        refused.then(|| Reason {
            crashes: crashes.len(),
            ago: now.saturating_duration_since(last),
            is_shared: self.is_shared(&crashes, is_own),
            causes: vec![part],
            only_features: true,
        })
    }

    /// Whether all of these were at a crash later than `since`.
    pub fn crashed_since(&self, causes: &[Fingerprint], since: Instant, now: Instant) -> bool {
        let crashed = |cause: &Fingerprint| self.counted(*cause, now).iter().any(|s| s.at > since);
        causes.iter().all(crashed)
    }
}
