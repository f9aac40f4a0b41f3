//! Identifiers that cross process boundaries.
//!
//! An incarnation is one life of one router process. A restarted router on the
//! same host gets a new incarnation, so that nothing it held before is mistaken
//! for its own.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A shared immutable name.
pub type Name = Arc<str>;

/// One life of one router process: `<router>.<random hex>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub Name);

impl Incarnation {
    /// Names the life `nonce` of the router `router`.
    pub fn new(router: &str, nonce: u64) -> Self {
        Self(format!("{router}.{nonce:016x}").into())
    }

    /// The router's name without the life's suffix.
    pub fn router(&self) -> &str {
        self.0.rsplit_once('.').map_or(&self.0, |(name, _)| name)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A request's identity, which is also its bill's identity.
///
/// With an idempotency key it is derived from workspace and key, so that a
/// retry at another router has the same one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Name);

impl RequestId {
    /// Derives the identity of a request that carries an idempotency key.
    pub fn from_key(workspace: &str, key: &str) -> Self {
        let mut text = Vec::with_capacity(workspace.len() + key.len() + 1);
        text.extend_from_slice(workspace.as_bytes());
        text.push(0);
        text.extend_from_slice(key.as_bytes());
        Self(format!("k{:032x}", xxhash_rust::xxh3::xxh3_128(&text)).into())
    }

    /// Names a request without a key: the `count`th of an incarnation.
    pub fn unkeyed(of: &Incarnation, count: u64) -> Self {
        Self(format!("r{of}.{count:x}").into())
    }

    /// Whether a retry elsewhere would have the same identity.
    pub fn is_keyed(&self) -> bool {
        self.0.starts_with('k')
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
