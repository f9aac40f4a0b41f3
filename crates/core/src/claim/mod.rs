//! Claims: calls that may run at most once.
//!
//! A claim is an attempt's sole right to dispatch a request. While the table is
//! reachable it is a row, inserted before dispatch ([`table`]). While it is
//! not, it is the promise of every member of the group ([`ask`], [`notes`]).
//! Either way exclusivity comes from the insertion or from the notes, never
//! from time, and no one takes a claim over. So a holder that was paused
//! between claim and dispatch does no harm when it goes on, also where the
//! backend server doesn't check fencing numbers.
//!
//! Who is a member is a row of its own ([`group`]).

pub mod group;
pub mod promise;
pub mod registry;
pub mod table;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, RequestId};

/// Key of a request's claim.
pub fn claim_key(id: &RequestId) -> String {
    format!("claim/{id}")
}

/// One attempt of one incarnation; never used for two requests or twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// Who attempts.
    pub claimant: Incarnation,
    /// Grows by one with each attempt of the claimant; the claim's token.
    pub number: u64,
}

impl Attempt {
    /// Whether it is an older attempt of the same claimant.
    ///
    /// For one request that means that it was abandoned.
    pub fn precedes(&self, newer: &Self) -> bool {
        self.claimant == newer.claimant && self.number < newer.number
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.claimant, self.number)
    }
}

/// What a caller is told where its call may not be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// An attempt of a live member holds the claim.
    InProgress(Attempt),
    /// An attempt whose outcome nobody can tell holds the claim.
    Unknown(Attempt),
    /// It ran; the recorded answer is given again.
    Ran(Attempt),
    /// This attempt did not run and never will.
    NotRun(Reason),
}

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// This router is sealed.
    Sealed,
    /// This router is not yet an active member of the group.
    Joining,
    /// Too many requests are noted here or at another member.
    Full,
    /// A member did not promise in time.
    Missing,
    /// A member knows a newer set of members.
    Older,
    /// A member is not ready to promise.
    Unready,
}
