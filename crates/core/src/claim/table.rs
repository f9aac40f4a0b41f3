//! Claims as rows of the table.
//!
//! A claimant inserts the row before dispatch, in a transaction conditional on its
//! own router row not being sealed. After a conflict or a lost answer it reads the
//! row: a claimant that finds its own attempt there has won. A claim is
//! overwritten only if its claimant has stated that it did not run or has itself
//! started a newer attempt.

use serde::{Deserialize, Serialize};

use super::{Attempt, Reason, Verdict};
use crate::budget::rows::Versioned;
use crate::id::Incarnation;

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The attempt may run at any time, or has run.
    Claimed,
    /// The attempt ran, and its answer is recorded with its bill.
    Ran,
    /// The claimant abandoned the attempt before dispatch.
    NotRun,
    /// The attempt was dispatched and its outcome is not known.
    Unknown,
}

/// A claim's row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that holds the claim.
    pub attempt: Attempt,
    /// State of the claim.
    pub stage: Stage,
}

impl ClaimRow {
    /// The row for an attempt that has not been dispatched.
    pub fn claimed(attempt: &Attempt) -> Self {
        Self {
            attempt: attempt.clone(),
            stage: Stage::Claimed,
        }
    }

    /// Whether the attempt may run or may have run.
    pub fn is_binding(&self) -> bool {
        self.stage != Stage::NotRun
    }

    /// Whether the claim prevents `other` from running.
    pub fn excludes(&self, other: &Attempt) -> bool {
        match self.stage {
            Stage::NotRun => false,
            Stage::Claimed => !self.attempt.precedes(other),
            Stage::Ran | Stage::Unknown => true,
        }
    }
}

/// What a claimant does next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Next {
    /// Commit this row, conditional on the version that was read and on the
    /// version of the claimant's router row.
    Write(Versioned<ClaimRow>),
    /// The attempt holds the claim: dispatch.
    Won,
    /// Another attempt holds the claim, or the claimant may not claim.
    Lost(Lost),
}

/// Why an attempt did not get the claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Lost {
    /// Another attempt holds the claim and may run.
    Held(Attempt),
    /// Another attempt ran, and its answer is recorded.
    Ran(Attempt),
    /// Another attempt was dispatched and its outcome is not known.
    Unknown(Attempt),
    /// The claimant is sealed.
    Sealed,
}

impl Lost {
    /// The verdict for the caller; `live` tells whether a claimant is a member.
    pub fn verdict(self, live: impl Fn(&Incarnation) -> bool) -> Verdict {
        match self {
            Self::Held(attempt) if live(&attempt.claimant) => Verdict::InProgress(attempt),
            Self::Held(attempt) | Self::Unknown(attempt) => Verdict::Unknown(attempt),
            Self::Ran(attempt) => Verdict::Ran(attempt),
            Self::Sealed => Verdict::NotRun(Reason::Sealed),
        }
    }
}

/// Decides from the claim's row as it was read, at any point of an attempt.
///
/// `sealed` tells whether the claimant's router row, read before the claim's row,
/// was sealed.
pub fn claim(attempt: &Attempt, row: &Versioned<Option<ClaimRow>>, sealed: bool) -> Next {
    if let Some(found) = &row.row {
        if found.attempt == *attempt && found.stage == Stage::Claimed {
            return Next::Won;
        }
        if found.excludes(attempt) {
            return Next::Lost(reason_lost(found));
        }
    }
    if sealed {
        return Next::Lost(Lost::Sealed);
    }
    Next::Write(Versioned {
        version: row.version,
        row: ClaimRow::claimed(attempt),
    })
}

fn reason_lost(found: &ClaimRow) -> Lost {
    let attempt = found.attempt.clone();
    match found.stage {
        Stage::Ran => Lost::Ran(attempt),
        Stage::Unknown => Lost::Unknown(attempt),
        Stage::Claimed | Stage::NotRun => Lost::Held(attempt),
    }
}

/// The row that ends an attempt; `None` if the row in the table must not change.
///
/// Only the claimant may write it, conditional on the version that was read.
/// [`Stage::NotRun`] requires that the attempt was abandoned before dispatch. If
/// there is no row, this inserts one, so that a delayed insertion fails.
pub fn finish(
    attempt: &Attempt,
    row: &Versioned<Option<ClaimRow>>,
    stage: Stage,
) -> Option<Versioned<ClaimRow>> {
    let may_write = match &row.row {
        None => true,
        Some(found) if found.attempt == *attempt => found.stage == Stage::Claimed,
        Some(found) => !found.excludes(attempt) && stage != Stage::NotRun,
    };
    may_write.then(|| Versioned {
        version: row.version,
        row: ClaimRow {
            attempt: attempt.clone(),
            stage,
        },
    })
}

/// The row that a member writes for another claimant after an outage.
///
/// The member does so for an attempt that it has promised. `None` if the table has
/// the attempt's row or another binding one. `sealed` tells whether the claimant's
/// router row is sealed, and the commit is conditional on that row's version too.
/// A sealed claimant must not find a claim that its sealer did not find, so for a
/// sealed claimant the outcome is recorded as unknown.
pub fn on_behalf(
    attempt: &Attempt,
    row: &Versioned<Option<ClaimRow>>,
    sealed: bool,
) -> Option<Versioned<ClaimRow>> {
    let is_recorded = row.row.as_ref().is_some_and(|r| r.attempt == *attempt);
    if is_recorded {
        return None;
    }
    let stage = if sealed {
        Stage::Unknown
    } else {
        Stage::Claimed
    };
    finish(attempt, row, stage)
}
