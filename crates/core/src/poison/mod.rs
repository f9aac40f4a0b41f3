//! Poison requests: requests that crash the backend servers that run them.
//!
//! A request is identified by its content, since its caller may send it again
//! with another id and to another router. A crash counts when a connection is
//! lost, or goes silent, with the request on it and the server is found dead
//! soon after; a network fault alone does not count. Routers exchange their
//! sightings of crashes, and a sighting that is received again does not count
//! again. A complete answer shows that the request does not crash every server,
//! so the sightings before it no longer count.
//!
//! Requests that merely ran beside the one that crashed the server have a
//! sighting, too. The more crashes a request was seen at, the less likely that
//! is: after [`CRASH_LIMIT`] it is refused unless another request was at the same
//! crashes and more, and after [`CULPRIT_LIMIT`] if nothing else explains the
//! crashes. Of requests that were at the same crashes, one may be sent on trial:
//! its result tells them apart.
//!
//! The cause may also be something that different requests have in common, such as
//! a part of their prompts. Each such [feature](Features) is counted like a
//! request, by crashes under any request that has it and by answers to any. The
//! rules for parts are in [`parts`], and those for requests that differ only in
//! details in [`features`].

pub mod features;
mod history;
pub mod parts;

use std::fmt;
use std::time::{Duration, Instant};

pub use features::Features;
pub use history::{CrashHistory, EXPIRY};

use crate::id::{Incarnation, Name};

/// Number of crashes from which on a request is refused unless another one
/// explains them.
pub const CRASH_LIMIT: usize = 3;

/// Number of crashes from which on a request is refused if it was the only one
/// at all of them and no other server crashed meanwhile.
pub const CULPRIT_LIMIT: usize = 2;

/// What a fingerprint identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A feature that different requests may have.
    Feature,
    /// All that tells a request from others.
    Request,
}

/// Identity of a request's content, or of a feature of it, as a hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// What it identifies.
    pub kind: Kind,
    /// The hash.
    pub hash: u128,
}

impl Fingerprint {
    /// The fingerprint of a feature with this hash.
    pub fn of_feature(hash: u128) -> Self {
        Self {
            kind: Kind::Feature,
            hash,
        }
    }

    /// The fingerprint of a request with this hash.
    pub fn of_request(hash: u128) -> Self {
        Self {
            kind: Kind::Request,
            hash,
        }
    }

    /// The fingerprint of requests for `model` with this prompt.
    pub fn new(model: &str, prompt: &[u8]) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(&(model.len() as u64).to_le_bytes());
        hash.update(model.as_bytes());
        hash.update(prompt);
        Self::of_feature(hash.digest128())
    }

    /// The fingerprint of the request that consists of these fields.
    pub fn of_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(2);
        for field in fields {
            // The length comes first, so that fields can't be confused.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Self::of_request(hash.digest128())
    }

    /// The fingerprint of a part of prompts for the servers of `service`.
    pub fn of_part(service: &str, id: u64) -> Self {
        // The seed keeps it apart from those of contents.
        let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(1);
        hash.update(service.as_bytes());
        hash.update(&id.to_le_bytes());
        Self::of_feature(hash.digest128())
    }
}

impl fmt::Display for Fingerprint {
    /// The first half of the hash, which is enough to compare log lines.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.hash >> 64)
    }
}

/// What tells a crash of a server apart from its other crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashId {
    /// The server's process, by its start time in Unix milliseconds. It ends
    /// only once, whenever and by whomever that is seen.
    Process(u64),
    /// A router's report of a server whose process is not known. Reports of one
    /// server at about the same time are of the same crash.
    Report {
        /// The router that observed the crash.
        reporter: Incarnation,
        /// Sequence number among that router's sightings.
        number: u64,
    },
}

/// A crash as one router observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sighting {
    /// The request that was on the lost connection, or a feature of it.
    pub fingerprint: Fingerprint,
    /// The server that was found dead.
    pub server: Name,
    /// Which of the server's crashes it is.
    pub id: CrashId,
    /// When the connection was lost.
    pub at: Instant,
}

/// What routers tell each other about requests and crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// A request was on a server that crashed.
    Crash(Sighting),
    /// A request that was on crashed servers, or that has a feature of one, was
    /// answered.
    Answer {
        /// The request or the feature.
        fingerprint: Fingerprint,
        /// When the answer was complete.
        at: Instant,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason {
    /// Number of crashes.
    pub crashes: usize,
    /// Time since the last crash.
    pub ago: Duration,
    /// Whether another request was at the same crashes, so that this one need
    /// not be their cause.
    pub is_shared: bool,
    /// The features to which the crashes are attributed.
    pub causes: Vec<Fingerprint>,
    /// Whether all of these are features that other requests may have.
    pub only_features: bool,
}

impl Reason {
    /// Whether the request may be sent once on trial. Other requests have the same
    /// features, so that a wrong verdict on one has to come to light.
    pub fn allows_trial(&self) -> bool {
        self.is_shared || self.only_features
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (crashes, ago) = (self.crashes, self.ago.as_secs());
        write!(
            f,
            "it crashed {crashes} backend servers, the last {ago} s ago"
        )
    }
}
