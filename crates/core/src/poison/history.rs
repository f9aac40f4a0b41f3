//! History of crashes, and the requests to refuse because of them.

use std::time::{Duration, Instant};

use crate::id::{Incarnation, Name};
use crate::poison::{CRASH_LIMIT, CULPRIT_LIMIT, CrashId, Fingerprint, Reason, Report, Sighting};
use crate::sorted::SortedVec;

/// Time after a lost connection within which the server has to be found dead.
const CONFIRM_WITHIN: Duration = Duration::from_secs(5);

/// The same if the process that ended is known. A server that went silent is
/// found dead when it registers again, which an outage of the store may delay.
const CONFIRM_PROCESS_WITHIN: Duration = Duration::from_secs(15);

/// Sightings of a server within this time count as the same crash, if the
/// process that ended is not known.
const SAME_CRASH_WITHIN: Duration = Duration::from_secs(5);

/// Time after which a sighting is forgotten.
pub const EXPIRY: Duration = Duration::from_secs(15 * 60);

/// Most requests whose sightings are kept.
const MAX_REQUESTS: usize = 1024;

/// Most sightings that are kept of one request.
const MAX_SIGHTINGS: usize = 16;

/// Most answers that are remembered, in case a sighting from before them comes.
const MAX_ANSWERS: usize = 2048;

/// Most lost requests that wait for their server to be found dead.
const MAX_SUSPECTS: usize = 1024;

/// A request whose connection was lost.
#[derive(Debug, Clone)]
struct Suspect {
    fingerprint: Fingerprint,
    server: Name,
    /// Start time of the server's process, if it is known.
    process: Option<u64>,
    at: Instant,
}

impl Suspect {
    fn is_current(&self, now: Instant) -> bool {
        let within = match self.process {
            Some(_) => CONFIRM_PROCESS_WITHIN,
            None => CONFIRM_WITHIN,
        };
        now < self.at + within
    }
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
struct Record {
    sightings: Vec<Sighting>,
    /// When it was last answered; earlier sightings don't count.
    answered_at: Option<Instant>,
}

impl Record {
    /// Sightings that count, one for each crash.
    fn crashes(&self, now: Instant) -> Vec<&Sighting> {
        let mut crashes: Vec<&Sighting> = Vec::new();
        for sighting in self.sightings.iter().filter(|s| now <= s.at + EXPIRY) {
            if !crashes.iter().any(|s| is_same_crash(s, sighting)) {
                crashes.push(sighting);
            }
        }
        crashes
    }

    /// Whether the request was at all these crashes.
    fn was_at(&self, crashes: &[&Sighting]) -> bool {
        let was_there = |c: &&Sighting| self.sightings.iter().any(|s| is_same_crash(c, s));
        crashes.iter().all(was_there)
    }

    /// When something was last recorded.
    fn newest(&self) -> Option<Instant> {
        let sightings = self.sightings.iter().map(|s| s.at);
        sightings.chain(self.answered_at).max()
    }
}

fn is_same_crash(a: &Sighting, b: &Sighting) -> bool {
    if a.server != b.server {
        return false;
    }
    if let (CrashId::Process(_), CrashId::Process(_)) = (&a.id, &b.id) {
        return a.id == b.id;
    }
    a.at.max(b.at) - a.at.min(b.at) < SAME_CRASH_WITHIN
}

/// The crashes that one router knows of, observed by itself or by others.
#[derive(Debug, Clone)]
pub struct CrashHistory {
    own: Incarnation,
    /// Time within which other routers' reports of a crash arrive.
    report_time: Duration,
    /// Number of this router's last sighting.
    number: u64,
    suspects: Vec<Suspect>,
    requests: SortedVec<Fingerprint, Record>,
    /// The last answers to requests, and to requests with a feature, that this
    /// router saw, whether or not these have sightings.
    answers: SortedVec<Fingerprint, Instant>,
}

impl CrashHistory {
    /// Creates an empty history for the router `own`, which gets reports of
    /// other routers within `report_time`.
    pub fn new(own: Incarnation, report_time: Duration) -> Self {
        Self {
            own,
            report_time,
            number: 0,
            suspects: Vec::new(),
            requests: SortedVec::new(),
            answers: SortedVec::new(),
        }
    }

    /// Records that the connection with a request on it was lost. `process` is
    /// the start time of the server's process, if it is known.
    pub fn record_lost_connection(
        &mut self,
        fingerprint: Fingerprint,
        server: &Name,
        process: Option<u64>,
        now: Instant,
    ) {
        self.suspects.retain(|s| s.is_current(now));
        if self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push(Suspect {
                fingerprint,
                server: server.clone(),
                process,
                at: now,
            });
        }
    }

    /// Whether requests wait for this server to be found dead.
    pub fn has_suspects(&self, server: &str, process: Option<u64>, now: Instant) -> bool {
        let is_here = |s: &Suspect| *s.server == *server && s.process == process;
        self.suspects
            .iter()
            .any(|s| is_here(s) && s.is_current(now))
    }

    /// Records that a server refuses connections or has restarted.
    ///
    /// Returns the new sightings, which the other routers need to get.
    pub fn record_dead_server(
        &mut self,
        server: &str,
        process: Option<u64>,
        now: Instant,
    ) -> Vec<Sighting> {
        let is_confirmed =
            |s: &mut Suspect| *s.server == *server && s.process == process && s.is_current(now);
        let found: Vec<Suspect> = self.suspects.extract_if(.., is_confirmed).collect();
        let mut sightings: Vec<Sighting> = Vec::new();
        for suspect in found {
            if sightings
                .iter()
                .any(|s| s.fingerprint == suspect.fingerprint)
            {
                continue;
            }
            let sighting = self.sighting(suspect);
            if self.merge(sighting.clone(), now) {
                sightings.push(sighting);
            }
        }
        sightings
    }

    fn sighting(&mut self, suspect: Suspect) -> Sighting {
        let id = match suspect.process {
            Some(started_ms) => CrashId::Process(started_ms),
            None => {
                self.number += 1;
                CrashId::Report {
                    reporter: self.own.clone(),
                    number: self.number,
                }
            }
        };
        Sighting {
            fingerprint: suspect.fingerprint,
            server: suspect.server,
            id,
            at: suspect.at,
        }
    }

    /// Adds a sighting; returns false if it changes nothing, as one that is
    /// known already.
    pub fn merge(&mut self, sighting: Sighting, now: Instant) -> bool {
        if now > sighting.at + EXPIRY {
            return false;
        }
        let record = self.record(sighting.fingerprint, now);
        let is_known = |s: &&mut Sighting| s.server == sighting.server && s.id == sighting.id;
        if let Some(known) = record.sightings.iter_mut().find(is_known) {
            // Ages don't include the time that a report was under way, so that the
            // earliest is the most accurate.
            known.at = known.at.min(sighting.at);
            let answered_at = record.answered_at;
            let counts = |s: &Sighting| answered_at.is_none_or(|at| s.at > at);
            record.sightings.retain(counts);
            return false;
        }
        let is_answered = record.answered_at.is_some_and(|at| sighting.at <= at);
        let is_full = record.sightings.len() >= MAX_SIGHTINGS;
        if is_answered || is_full {
            return false;
        }
        record.sightings.push(sighting);
        true
    }

    /// Adds a report of another router; returns whether it was news.
    pub fn merge_report(&mut self, report: Report, now: Instant) -> bool {
        match report {
            Report::Crash(sighting) => self.merge(sighting, now),
            Report::Answer { fingerprint, at } => self.merge_answer(fingerprint, at, now),
        }
    }

    fn merge_answer(&mut self, fingerprint: Fingerprint, at: Instant, now: Instant) -> bool {
        let record = self.record(fingerprint, now);
        if record.answered_at.is_some_and(|known| known >= at) {
            return false;
        }
        record.answered_at = Some(at);
        record.sightings.retain(|s| s.at > at);
        true
    }

    /// Records that a request was answered here.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.answers.len() >= MAX_ANSWERS && !self.answers.contains(&fingerprint) {
            let kept = now.checked_sub(CONFIRM_PROCESS_WITHIN);
            self.answers
                .retain(|_, at| kept.is_none_or(|kept| *at > kept));
            let oldest = self.answers.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            if self.answers.len() >= MAX_ANSWERS
                && let Some(oldest) = oldest
            {
                self.answers.remove(&oldest);
            }
        }
        self.answers.insert(fingerprint, now);
    }

    /// Whether an answer that this router saw is remembered, from before a crash or
    /// after it.
    pub(super) fn was_answered(&self, fingerprint: Fingerprint) -> bool {
        self.answers.contains(&fingerprint)
    }

    /// Clears sightings of a request that was answered here after one of them.
    ///
    /// Returns when that was, if the other routers need to know.
    pub fn clear_answered(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let sightings = &self.requests.get(&fingerprint)?.sightings;
        let first = sightings.iter().map(|s| s.at).min()?;
        let at = *self.answers.get(&fingerprint).filter(|at| **at > first)?;
        self.merge_answer(fingerprint, at, now).then_some(at)
    }

    /// The record of a request, for which room is made if there is none.
    fn record(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Record {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains(&fingerprint) {
            self.expire(now);
            self.make_room();
        }
        self.requests
            .get_or_insert_with(fingerprint, Record::default)
    }

    /// Removes expired sightings.
    pub fn expire(&mut self, now: Instant) {
        self.requests.retain(|_, record| {
            record.sightings.retain(|s| now <= s.at + EXPIRY);
            record.newest().is_some_and(|at| now <= at + EXPIRY)
        });
    }

    /// Why a request is to be refused; `None` if it may run.
    pub fn refusal_reason(&self, fingerprint: Fingerprint, now: Instant) -> Option<Reason> {
        self.content_reason(fingerprint, &[], now)
    }

    /// As [`Self::refusal_reason`], for a request with these features. What its own
    /// features were at doesn't excuse it.
    pub(super) fn content_reason(
        &self,
        fingerprint: Fingerprint,
        own: &[Fingerprint],
        now: Instant,
    ) -> Option<Reason> {
        let crashes = self.requests.get(&fingerprint)?.crashes(now);
        let last = crashes.iter().map(|s| s.at).max()?;
        let is_own = |other: &Fingerprint| *other == fingerprint || own.contains(other);
        let refused = match crashes.len() {
            n if n >= CRASH_LIMIT => !self.is_explained(&crashes, is_own, now),
            n if n >= CULPRIT_LIMIT => self.is_culprit(&crashes, is_own, now),
            _ => false,
        };
        refused.then(|| Reason {
            crashes: crashes.len(),
            ago: now.saturating_duration_since(last),
            is_shared: self.is_shared(&crashes, is_own),
            causes: vec![fingerprint],
            only_features: false,
        })
    }

    /// Whether a request or feature that is not the requester's own was at all
    /// these crashes.
    pub(super) fn is_shared(
        &self,
        crashes: &[&Sighting],
        is_own: impl Fn(&Fingerprint) -> bool,
    ) -> bool {
        let mut others = self.requests.iter().filter(|(f, _)| !is_own(f));
        others.any(|(_, record)| record.was_at(crashes))
    }

    /// Whether another request was at all these crashes and at more. It explains
    /// them, so that a request that was there only beside it is not refused.
    pub(super) fn is_explained(
        &self,
        crashes: &[&Sighting],
        is_own: impl Fn(&Fingerprint) -> bool,
        now: Instant,
    ) -> bool {
        let others = self.requests.iter().filter(|(f, _)| !is_own(f));
        let mut records = others.filter(|(_, record)| record.sightings.len() > crashes.len());
        records
            .any(|(_, record)| record.crashes(now).len() > crashes.len() && record.was_at(crashes))
    }

    /// Crashes of a request or feature that count, one sighting for each.
    pub(super) fn counted(&self, fingerprint: Fingerprint, now: Instant) -> Vec<&Sighting> {
        let record = self.requests.get(&fingerprint);
        record.map_or_else(Vec::new, |record| record.crashes(now))
    }

    /// Whether a request is the only one that was at all these crashes, and
    /// there was no other crash shortly before or since the first of them.
    /// Servers that crash for another reason may do so under the same request by
    /// chance. What other routers saw has to be known for that.
    fn is_culprit(
        &self,
        crashes: &[&Sighting],
        is_own: impl Fn(&Fingerprint) -> bool,
        now: Instant,
    ) -> bool {
        let times = crashes.iter().map(|s| s.at);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return false;
        };
        if now.saturating_duration_since(last) < self.report_time {
            return false;
        }
        let mut others = self.requests.iter().filter(|(f, _)| !is_own(f));
        others.all(|(_, record)| {
            let current = record.sightings.iter().filter(|s| now <= s.at + EXPIRY);
            let mut since = current.filter(|s| s.at + SAME_CRASH_WITHIN > first);
            let is_explained = |s: &Sighting| crashes.iter().any(|c| is_same_crash(c, s));
            since.all(is_explained) && !record.was_at(crashes)
        })
    }

    /// Whether a request has crashed a server before.
    ///
    /// It should not be sent to a server that runs another such request, since
    /// the next crash would count against both.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes(fingerprint, now) > 0
    }

    /// All sightings, as a router that has just started needs them.
    pub fn sightings(&self) -> impl Iterator<Item = &Sighting> {
        let requests = self.requests.iter();
        requests.flat_map(|(_, record)| &record.sightings)
    }

    /// Number of requests with crashes that count.
    pub fn suspected_requests(&self) -> usize {
        let requests = self.requests.iter();
        requests.filter(|(_, r)| !r.sightings.is_empty()).count()
    }

    /// Number of crashes of a request; sightings of the same crash count once.
    pub fn crashes(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        self.counted(fingerprint, now).len()
    }

    /// Removes a request if there is no room for another one: of those with the
    /// fewest sightings, the one that has been known for the longest time. A
    /// crash of a server with many requests on it then doesn't displace a
    /// request that crashes servers again and again.
    fn make_room(&mut self) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let requests = self.requests.iter();
        let least = requests.min_by_key(|(_, r)| (r.sightings.len(), r.newest()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&fingerprint);
        }
    }
}
