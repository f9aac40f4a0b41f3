//! Claims: mutual exclusion for calls that may run at most once.
//!
//! A claim is an attempt's exclusive right to dispatch a request. While the table
//! is reachable, a claim is a row that is inserted before dispatch ([`table`]).
//! During an outage of the table it is a promise by every member of the group
//! ([`promise`], [`registry`]).
//!
//! In both cases exclusivity comes from the insertion or from the members'
//! registries, never from time, and a claim is never taken over. A holder that was
//! paused between claim and dispatch can therefore resume safely, even if the
//! backend server doesn't check fencing numbers.
//!
//! The members of the group are listed in a row of their own ([`group`]).

pub mod group;
pub mod promise;
pub mod registry;
pub mod table;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, RequestId};

/// Key of a request's [`ClaimRow`](table::ClaimRow).
pub fn claim_key(id: &RequestId) -> String {
    format!("claim/{id}")
}

/// One attempt of one incarnation to run a request.
///
/// An attempt is dispatched at most once and belongs to one request only.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// The incarnation that makes the attempt.
    pub claimant: Incarnation,
    /// Number of the attempt among those of the claimant, growing by one with each;
    /// it serves as the claim's fencing token.
    pub number: u64,
}

impl Attempt {
    /// Whether this is an older attempt of the same claimant than `newer`.
    ///
    /// If both belong to one request, the older attempt was abandoned.
    pub fn precedes(&self, newer: &Self) -> bool {
        self.claimant == newer.claimant && self.number < newer.number
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.claimant, self.number)
    }
}

/// The answer to a caller whose call may not be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// An attempt of a current member of the group holds the claim.
    InProgress(Attempt),
    /// An attempt whose outcome cannot be known holds the claim.
    Unknown(Attempt),
    /// The request ran; its recorded answer is returned again.
    Ran(Attempt),
    /// The attempt did not run and never will.
    NotRun(Reason),
}

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// This router is sealed.
    Sealed,
    /// This router is not an active member of the group yet.
    Joining,
    /// The registry of this router or of another member is full.
    Full,
    /// A member did not promise in time.
    Missing,
    /// A member knows a newer epoch of the group.
    Older,
    /// A member is not ready to promise.
    Unready,
}
