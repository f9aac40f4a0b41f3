//! Claims as rows of the table.
//!
//! The row is inserted before dispatch, in a transaction that relies on the
//! claimant's own row not being sealed. After a conflict or a lost answer it is
//! read: whoever finds its own attempt there has won. A claim is overwritten
//! only where its claimant has said that it did not run.

use serde::{Deserialize, Serialize};

use super::{Attempt, Reason, Verdict};
use crate::budget::rows::Versioned;
use crate::id::Incarnation;

/// How far a claim is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The attempt may run at any time, or has.
    Claimed,
    /// It ran and its answer is recorded with its bill.
    Ran,
    /// Its claimant gave it up before dispatch.
    NotRun,
    /// It was dispatched and its claimant can't tell what became of it.
    Unknown,
}

/// A claim's row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that holds it.
    pub attempt: Attempt,
    /// How far it is.
    pub stage: Stage,
}

impl ClaimRow {
    /// The row of an attempt before dispatch.
    pub fn claimed(attempt: &Attempt) -> Self {
        Self {
            attempt: attempt.clone(),
            stage: Stage::Claimed,
        }
    }

    /// Whether the attempt may run or have run.
    pub fn is_binding(&self) -> bool {
        self.stage != Stage::NotRun
    }

    /// Whether it keeps `other` from running.
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
    /// Commit this row, relying on the version that was read and on the
    /// claimant's own row.
    Write(Versioned<ClaimRow>),
    /// The claim is held: dispatch.
    Won,
    /// Another attempt holds it, or none can be had.
    Lost(Lost),
}

/// Why a claim was not had.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Lost {
    /// Another attempt holds it and may run.
    Held(Attempt),
    /// Another attempt ran, with an answer on record.
    Ran(Attempt),
    /// Another attempt ran or not; its claimant doesn't know.
    Unknown(Attempt),
    /// The claimant is sealed.
    Sealed,
}

impl Lost {
    /// What the caller is told; `live` says whether a claimant is a member.
    pub fn verdict(self, live: impl Fn(&Incarnation) -> bool) -> Verdict {
        match self {
            Self::Held(attempt) if live(&attempt.claimant) => Verdict::InProgress(attempt),
            Self::Held(attempt) | Self::Unknown(attempt) => Verdict::Unknown(attempt),
            Self::Ran(attempt) => Verdict::Ran(attempt),
            Self::Sealed => Verdict::NotRun(Reason::Sealed),
        }
    }
}

/// Decides from the claim's row as it was read, at any time of an attempt.
///
/// `sealed` is the claimant's own row, read before the claim's.
pub fn claim(attempt: &Attempt, row: &Versioned<Option<ClaimRow>>, sealed: bool) -> Next {
    if let Some(found) = &row.row {
        if found.attempt == *attempt && found.stage == Stage::Claimed {
            return Next::Won;
        }
        if found.excludes(attempt) {
            return Next::Lost(lost(found));
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

fn lost(found: &ClaimRow) -> Lost {
    let attempt = found.attempt.clone();
    match found.stage {
        Stage::Ran => Lost::Ran(attempt),
        Stage::Unknown => Lost::Unknown(attempt),
        Stage::Claimed | Stage::NotRun => Lost::Held(attempt),
    }
}

/// The row that ends an attempt, `None` where the table has no place for it.
///
/// Only the claimant may write it, relying on the version that was read.
/// [`Stage::NotRun`] needs an attempt that was abandoned before dispatch; where
/// there is no row this inserts one, so that an insertion on its way fails.
pub fn finish(
    attempt: &Attempt,
    row: &Versioned<Option<ClaimRow>>,
    stage: Stage,
) -> Option<Versioned<ClaimRow>> {
    let free = match &row.row {
        None => true,
        Some(found) if found.attempt == *attempt => found.stage == Stage::Claimed,
        Some(found) => !found.excludes(attempt) && stage != Stage::NotRun,
    };
    free.then(|| Versioned {
        version: row.version,
        row: ClaimRow {
            attempt: attempt.clone(),
            stage,
        },
    })
}

/// The row that a note's holder writes for the claimant after an outage.
///
/// `None` where the table has the attempt's row or another that binds. `sealed`
/// is the claimant's own row. The commit relies on that row's version too: a
/// claimant that is sealed must not find a claim that its sealer did not, so
/// for a sealed one the outcome is recorded as unknown.
pub fn on_behalf(
    attempt: &Attempt,
    row: &Versioned<Option<ClaimRow>>,
    sealed: bool,
) -> Option<Versioned<ClaimRow>> {
    let own = row.row.as_ref().is_some_and(|r| r.attempt == *attempt);
    if own {
        return None;
    }
    let stage = if sealed {
        Stage::Unknown
    } else {
        Stage::Claimed
    };
    finish(attempt, row, stage)
}
