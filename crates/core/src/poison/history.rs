//! History of crashes, and the requests to refuse because of them.

use std::time::{Duration, Instant};

use crate::id::{Incarnation, Name};
use crate::poison::{CRASH_LIMIT, Fingerprint, Reason, Sighting};
use crate::sorted::SortedVec;

/// Time after a lost connection within which the server has to be found dead.
const CONFIRM_WITHIN: Duration = Duration::from_secs(5);

/// Sightings of a server within this time count as the same crash.
const SAME_CRASH_WITHIN: Duration = Duration::from_secs(5);

/// Time after which a sighting is forgotten.
const EXPIRY: Duration = Duration::from_secs(15 * 60);

/// Most requests whose sightings are kept.
const MAX_REQUESTS: usize = 1024;

/// Most sightings that are kept of one request.
const MAX_SIGHTINGS: usize = 16;

/// Most lost requests that wait for their server to be found dead.
const MAX_SUSPECTS: usize = 1024;

/// A request whose connection was lost.
#[derive(Debug, Clone)]
struct Suspect {
    fingerprint: Fingerprint,
    server: Name,
    at: Instant,
}

/// The crashes that one router knows of, observed by itself or by others.
#[derive(Debug, Clone)]
pub struct CrashHistory {
    own: Incarnation,
    /// Number of this router's last sighting.
    number: u64,
    suspects: Vec<Suspect>,
    sightings: SortedVec<Fingerprint, Vec<Sighting>>,
}

impl CrashHistory {
    /// Creates an empty history for the router `own`.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            number: 0,
            suspects: Vec::new(),
            sightings: SortedVec::new(),
        }
    }

    /// Records that the connection with a request on it was lost.
    pub fn record_lost_connection(
        &mut self,
        fingerprint: Fingerprint,
        server: &Name,
        now: Instant,
    ) {
        self.suspects.retain(|s| now < s.at + CONFIRM_WITHIN);
        if self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push(Suspect {
                fingerprint,
                server: server.clone(),
                at: now,
            });
        }
    }

    /// Records that a server refuses connections or has restarted.
    ///
    /// Returns the new sightings, which the other routers need to get.
    pub fn record_dead_server(&mut self, server: &str, now: Instant) -> Vec<Sighting> {
        let is_confirmed = |s: &mut Suspect| *s.server == *server && now < s.at + CONFIRM_WITHIN;
        let found: Vec<Suspect> = self.suspects.extract_if(.., is_confirmed).collect();
        let mut sightings: Vec<Sighting> = Vec::new();
        for suspect in found {
            if sightings
                .iter()
                .any(|s| s.fingerprint == suspect.fingerprint)
            {
                continue;
            }
            self.number += 1;
            sightings.push(Sighting {
                fingerprint: suspect.fingerprint,
                server: suspect.server,
                reporter: self.own.clone(),
                number: self.number,
                at: suspect.at,
            });
        }
        for sighting in &sightings {
            self.merge(sighting.clone(), now);
        }
        sightings
    }

    /// Adds a sighting; one that is known already changes nothing.
    pub fn merge(&mut self, sighting: Sighting, now: Instant) {
        if now > sighting.at + EXPIRY {
            return;
        }
        if self.sightings.len() >= MAX_REQUESTS && !self.sightings.contains(&sighting.fingerprint) {
            self.expire(now);
            self.evict_oldest();
        }
        let sightings = self
            .sightings
            .get_or_insert_with(sighting.fingerprint, Vec::new);
        let known = |s: &Sighting| s.reporter == sighting.reporter && s.number == sighting.number;
        if sightings.len() < MAX_SIGHTINGS && !sightings.iter().any(known) {
            sightings.push(sighting);
        }
    }

    /// Removes expired sightings.
    pub fn expire(&mut self, now: Instant) {
        self.sightings.retain(|_, sightings| {
            sightings.retain(|s| now <= s.at + EXPIRY);
            !sightings.is_empty()
        });
    }

    /// Why a request is to be refused; `None` if it may run.
    pub fn refusal_reason(&self, fingerprint: Fingerprint, now: Instant) -> Option<Reason> {
        let crashes = self.crashes(fingerprint, now);
        let last = self
            .sightings
            .get(&fingerprint)?
            .iter()
            .map(|s| s.at)
            .max()?;
        (crashes >= CRASH_LIMIT).then(|| Reason {
            crashes,
            ago: now.saturating_duration_since(last),
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
        self.sightings.iter().flat_map(|(_, sightings)| sightings)
    }

    /// Number of crashes of a request; sightings of the same crash count once.
    pub fn crashes(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let Some(sightings) = self.sightings.get(&fingerprint) else {
            return 0;
        };
        let current: Vec<&Sighting> = sightings.iter().filter(|s| now <= s.at + EXPIRY).collect();
        let is_same = |a: &Sighting, b: &Sighting| {
            let distance = a.at.max(b.at) - a.at.min(b.at);
            a.server == b.server && distance < SAME_CRASH_WITHIN
        };
        let is_first = |(i, s): &(usize, &&Sighting)| !current[..*i].iter().any(|b| is_same(s, b));
        current.iter().enumerate().filter(is_first).count()
    }

    fn evict_oldest(&mut self) {
        if self.sightings.len() < MAX_REQUESTS {
            return;
        }
        let newest = |sightings: &[Sighting]| sightings.iter().map(|s| s.at).max();
        let oldest = self
            .sightings
            .iter()
            .min_by_key(|(_, sightings)| newest(sightings));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.sightings.remove(&fingerprint);
        }
    }
}
