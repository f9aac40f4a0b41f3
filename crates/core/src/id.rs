//! Identifiers that cross process boundaries.
//!
//! An incarnation is one run of a router process. A restarted router on the same
//! host has a new incarnation, so that it never mistakes what the previous
//! process held for its own.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A shared, immutable name.
pub type Name = Arc<str>;

/// Identifier of one run of a router process: `<router>.<random hex>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub Name);

impl Incarnation {
    /// Builds the identifier from the router's name and a random number.
    pub fn new(router: &str, nonce: u64) -> Self {
        Self(format!("{router}.{nonce:016x}").into())
    }

    /// The router's name, without the random suffix.
    pub fn router(&self) -> &str {
        self.0.rsplit_once('.').map_or(&self.0, |(name, _)| name)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifier of a request and of its bill.
///
/// With an idempotency key it is derived from the workspace and the key, so that a
/// retry at another router has the same identifier.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Name);

impl RequestId {
    /// Derives the identifier of a request with an idempotency key.
    pub fn from_key(workspace: &str, key: &str) -> Self {
        let mut text = Vec::with_capacity(workspace.len() + key.len() + 1);
        text.extend_from_slice(workspace.as_bytes());
        text.push(0);
        text.extend_from_slice(key.as_bytes());
        Self(format!("k{:032x}", xxhash_rust::xxh3::xxh3_128(&text)).into())
    }

    /// Builds the identifier of a request without a key: the `count`th of an
    /// incarnation.
    pub fn unkeyed(of: &Incarnation, count: u64) -> Self {
        Self(format!("r{of}.{count:x}").into())
    }

    /// Whether the identifier is derived from a key, so that retries share it.
    pub fn is_keyed(&self) -> bool {
        self.0.starts_with('k')
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
