//! Sightings of crashes, and what follows from them.

use std::time::{Duration, Instant};

use crate::id::{Incarnation, Name};
use crate::poison::{CRASH_LIMIT, Fingerprint, Reason, Sighting};
use crate::sorted::SortedVec;

/// Time within which a lost connection's server has to be found dead.
const CONFIRM: Duration = Duration::from_secs(5);

/// Sightings of one server within this time are of one crash.
const SAME: Duration = Duration::from_secs(5);

/// Time after which a sighting is forgotten.
const EXPIRY: Duration = Duration::from_secs(15 * 60);

/// Requests that are remembered.
const PRINTS: usize = 1024;

/// Sightings that are remembered of one request.
const SIGHTINGS: usize = 16;

/// Lost requests that wait for their server to be found dead.
const SUSPECTS: usize = 1024;

/// A request whose connection was lost.
#[derive(Debug, Clone)]
struct Suspect {
    print: Fingerprint,
    server: Name,
    at: Instant,
}

/// One router's memory of crashes, its own and the other routers'.
#[derive(Debug, Clone)]
pub struct CrashHistory {
    own: Incarnation,
    number: u64,
    suspects: Vec<Suspect>,
    prints: SortedVec<Fingerprint, Vec<Sighting>>,
}

impl CrashHistory {
    /// An empty memory of the router `own`.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            number: 0,
            suspects: Vec::new(),
            prints: SortedVec::new(),
        }
    }

    /// Notes that the connection with a request on it was lost.
    pub fn record_lost_connection(&mut self, print: Fingerprint, server: &Name, now: Instant) {
        self.suspects.retain(|s| now < s.at + CONFIRM);
        if self.suspects.len() < SUSPECTS {
            self.suspects.push(Suspect {
                print,
                server: server.clone(),
                at: now,
            });
        }
    }

    /// Notes that a server refuses connections or has started anew.
    ///
    /// Returns this router's new sightings, for the other routers.
    pub fn record_dead_server(&mut self, server: &str, now: Instant) -> Vec<Sighting> {
        let crashed = |s: &mut Suspect| *s.server == *server && now < s.at + CONFIRM;
        let found: Vec<Suspect> = self.suspects.extract_if(.., crashed).collect();
        let mut seen: Vec<Sighting> = Vec::new();
        for suspect in found {
            if seen.iter().any(|s| s.fingerprint == suspect.print) {
                continue;
            }
            self.number += 1;
            seen.push(Sighting {
                fingerprint: suspect.print,
                server: suspect.server,
                reporter: self.own.clone(),
                number: self.number,
                at: suspect.at,
            });
        }
        for sighting in &seen {
            self.merge(sighting.clone(), now);
        }
        seen
    }

    /// Takes a sighting in; one that is known already changes nothing.
    pub fn merge(&mut self, sighting: Sighting, now: Instant) {
        if now > sighting.at + EXPIRY {
            return;
        }
        if self.prints.len() >= PRINTS && !self.prints.contains(&sighting.fingerprint) {
            self.expire(now);
            self.forget_oldest();
        }
        let seen = self
            .prints
            .get_or_insert_with(sighting.fingerprint, Vec::new);
        let known = |s: &Sighting| s.reporter == sighting.reporter && s.number == sighting.number;
        if seen.len() < SIGHTINGS && !seen.iter().any(known) {
            seen.push(sighting);
        }
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Instant) {
        self.prints.retain(|_, seen| {
            seen.retain(|s| now <= s.at + EXPIRY);
            !seen.is_empty()
        });
    }

    /// Why a request is refused, if it is.
    pub fn refusal_reason(&self, print: Fingerprint, now: Instant) -> Option<Reason> {
        let crashes = self.crashes(print, now);
        let last = self.prints.get(&print)?.iter().map(|s| s.at).max()?;
        (crashes >= CRASH_LIMIT).then(|| Reason {
            crashes,
            ago: now.saturating_duration_since(last),
        })
    }

    /// Whether a request is under suspicion after a first crash.
    ///
    /// It should not be sent to where another such request runs, since the
    /// next crash would be counted against both.
    pub fn is_suspect(&self, print: Fingerprint, now: Instant) -> bool {
        self.crashes(print, now) > 0
    }

    /// Everything that is remembered, for a router that has just started.
    pub fn sightings(&self) -> impl Iterator<Item = &Sighting> {
        self.prints.iter().flat_map(|(_, seen)| seen)
    }

    /// Crashes of a request; sightings of one crash count once.
    fn crashes(&self, print: Fingerprint, now: Instant) -> usize {
        let Some(seen) = self.prints.get(&print) else {
            return 0;
        };
        let fresh: Vec<&Sighting> = seen.iter().filter(|s| now <= s.at + EXPIRY).collect();
        let same = |a: &Sighting, b: &Sighting| {
            let apart = a.at.max(b.at) - a.at.min(b.at);
            a.server == b.server && apart < SAME
        };
        let first = |(i, s): &(usize, &&Sighting)| !fresh[..*i].iter().any(|b| same(s, b));
        fresh.iter().enumerate().filter(first).count()
    }

    fn forget_oldest(&mut self) {
        if self.prints.len() < PRINTS {
            return;
        }
        let newest = |seen: &[Sighting]| seen.iter().map(|s| s.at).max();
        let oldest = self.prints.iter().min_by_key(|(_, seen)| newest(seen));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.prints.remove(&print);
        }
    }
}
