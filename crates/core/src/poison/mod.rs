//! Requests that crash the backend servers that run them.
//!
//! A request is known by its content, since its caller sends it again under
//! another identity and to another router. A crash is a connection that was
//! lost with the request on it, of a server that is then found dead; a cut
//! network alone is not one. After the second crash the request is refused on
//! every router. Routers tell one another of their sightings, and a sighting
//! that is told again does not count again.

mod history;

use std::fmt;
use std::time::{Duration, Instant};

pub use history::CrashHistory;

use crate::id::{Incarnation, Name};

/// Crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;

/// What a request is known by: a hash of its model and messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The print of a request for `model` with this prompt.
    pub fn new(model: &str, prompt: &[u8]) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(&(model.len() as u64).to_le_bytes());
        hash.update(model.as_bytes());
        hash.update(prompt);
        Self(hash.digest128())
    }
}

/// A crash as one router saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sighting {
    /// The request that was on the lost connection.
    pub fingerprint: Fingerprint,
    /// The server that was found dead.
    pub server: Name,
    /// The router that saw it.
    pub reporter: Incarnation,
    /// Counts that router's sightings.
    pub number: u64,
    /// When it was seen.
    pub at: Instant,
}

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason {
    /// Crashes seen.
    pub crashes: usize,
    /// Time since the last one.
    pub ago: Duration,
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
