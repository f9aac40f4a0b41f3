//! Requests that crashed backend servers, as observed by this router and its
//! peers.
//!
//! A request that was in flight on several servers when they crashed is
//! refused. Routers exchange their observations, so that the request is refused
//! by all of them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use poplar_core::id::{Incarnation, Name};
use poplar_core::poison::{CrashHistory, CrashId, Fingerprint, Reason, Sighting};
use poplar_peer::generated::Sighting as SightingWire;

use crate::sync::lock;

/// Most sightings in one message to a peer.
const MAX_SIGHTINGS_SENT: usize = 256;

/// Crash observations of this router and its peers.
#[derive(Debug)]
pub struct Crashes {
    history: Mutex<CrashHistory>,
}

impl Crashes {
    /// Creates an empty history for the router `me`.
    pub fn open(me: &Incarnation) -> Self {
        Self {
            history: Mutex::new(CrashHistory::new(me.clone(), Duration::ZERO)),
        }
    }

    /// Records that the connection to `server` was lost during this request.
    pub fn record_lost_connection(&self, fingerprint: Fingerprint, server: &Name, now: Instant) {
        lock(&self.history).record_lost_connection(fingerprint, server, None, now);
    }

    /// Records that a server refuses connections.
    ///
    /// Returns true if that produced new sightings, which peers should learn.
    pub fn record_dead_server(&self, server: &str, now: Instant) -> bool {
        !lock(&self.history)
            .record_dead_server(server, None, now)
            .is_empty()
    }

    /// The reason to refuse a request; `None` if it may be sent.
    pub fn refusal_reason(&self, fingerprint: Fingerprint, now: Instant) -> Option<Reason> {
        lock(&self.history).refusal_reason(fingerprint, now)
    }

    /// Encodes the sightings for a peer.
    pub fn export_sightings(&self, now: Instant) -> Vec<SightingWire> {
        let history = lock(&self.history);
        let sightings = history.sightings().take(MAX_SIGHTINGS_SENT);
        sightings.filter_map(|s| encode(s, now)).collect()
    }

    /// Merges the sightings received from a peer.
    pub fn merge_sightings(&self, sightings: Vec<SightingWire>, now: Instant) {
        let mut history = lock(&self.history);
        for wire in sightings {
            if let Some(sighting) = decode(wire, now) {
                history.merge(sighting, now);
            }
        }
    }

    /// Drops sightings past their expiry time.
    pub fn expire(&self, now: Instant) {
        lock(&self.history).expire(now);
    }
}

/// Encodes a sighting; `None` if it was not reported by a router of this API.
fn encode(sighting: &Sighting, now: Instant) -> Option<SightingWire> {
    let CrashId::Report { reporter, number } = &sighting.id else {
        return None;
    };
    let age = now.saturating_duration_since(sighting.at);
    Some(SightingWire {
        print: sighting.fingerprint.hash.to_be_bytes().to_vec(),
        server: sighting.server.to_string(),
        witness: reporter.to_string(),
        number: *number,
        age: age.as_millis() as u64,
    })
}

/// Decodes a sighting; `None` if its fingerprint has the wrong length.
fn decode(wire: SightingWire, now: Instant) -> Option<Sighting> {
    let print = wire.print.as_slice().try_into().ok()?;
    let age = Duration::from_millis(wire.age);
    Some(Sighting {
        fingerprint: Fingerprint::of_feature(u128::from_be_bytes(print)),
        server: wire.server.as_str().into(),
        id: CrashId::Report {
            reporter: Incarnation(wire.witness.as_str().into()),
            number: wire.number,
        },
        at: now.checked_sub(age).unwrap_or(now),
    })
}
