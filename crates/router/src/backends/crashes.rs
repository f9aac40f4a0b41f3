//! Requests that crashed backend servers, as this router and its peers saw it.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use poplar_core::id::{Incarnation, Name};
use poplar_core::poison::{CrashHistory, Fingerprint, Reason, Sighting};
use poplar_peer::generated::Sighting as SightingWire;

use crate::sync::lock;

/// Sightings in one message at the most.
const TOLD: usize = 256;

/// The router's memory of crashes.
#[derive(Debug)]
pub struct Crashes {
    book: Mutex<CrashHistory>,
}

impl Crashes {
    /// An empty memory of the router `me`.
    pub fn open(me: &Incarnation) -> Self {
        Self {
            book: Mutex::new(CrashHistory::new(me.clone())),
        }
    }

    /// Notes that the connection with a request on it was lost.
    pub fn record_lost_connection(&self, print: Fingerprint, server: &Name, now: Instant) {
        lock(&self.book).record_lost_connection(print, server, now);
    }

    /// Notes that a server refuses connections; true where that is news.
    pub fn record_dead_server(&self, server: &str, now: Instant) -> bool {
        !lock(&self.book).record_dead_server(server, now).is_empty()
    }

    /// Why a request is refused, if it is.
    pub fn refusal_reason(&self, print: Fingerprint, now: Instant) -> Option<Reason> {
        lock(&self.book).refusal_reason(print, now)
    }

    /// What peers are told.
    pub fn export_sightings(&self, now: Instant) -> Vec<SightingWire> {
        let book = lock(&self.book);
        let sightings = book.sightings().take(TOLD);
        sightings.map(|s| encode(s, now)).collect()
    }

    /// Takes over what a peer tells.
    pub fn merge_sightings(&self, sightings: Vec<SightingWire>, now: Instant) {
        let mut book = lock(&self.book);
        for wire in sightings {
            if let Some(sighting) = decode(wire, now) {
                book.merge(sighting, now);
            }
        }
    }

    /// Forgets what is old.
    pub fn expire(&self, now: Instant) {
        lock(&self.book).expire(now);
    }
}

fn encode(sighting: &Sighting, now: Instant) -> SightingWire {
    let age = now.saturating_duration_since(sighting.at);
    SightingWire {
        print: sighting.fingerprint.0.to_be_bytes().to_vec(),
        server: sighting.server.to_string(),
        witness: sighting.reporter.to_string(),
        number: sighting.number,
        age: age.as_millis() as u64,
    }
}

/// Reads a sighting; `None` where its print is not one.
fn decode(wire: SightingWire, now: Instant) -> Option<Sighting> {
    let print = wire.print.as_slice().try_into().ok()?;
    let age = Duration::from_millis(wire.age);
    Some(Sighting {
        fingerprint: Fingerprint(u128::from_be_bytes(print)),
        server: wire.server.as_str().into(),
        reporter: Incarnation(wire.witness.as_str().into()),
        number: wire.number,
        at: now.checked_sub(age).unwrap_or(now),
    })
}
