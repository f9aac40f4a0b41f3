//! Changes of a holder's own grant: draw, record of a transfer, or close.
//!
//! A change is one transaction, conditional on the versions of the rows that it
//! writes and of the holder's own row. Sealing a holder writes that row, so a
//! sealed holder can change nothing any more.
//!
//! Each change has a number, one above the number in the grant's row. After a
//! lost answer the rows are read again. If the grant carries the number, the
//! change took effect. Otherwise it is retried under the same number; since both
//! attempts are conditional on the same version, at most one takes effect.
//!
//! A holder has at most one change per budget in progress.

use super::ledger::Ledger;
use super::rows::{BudgetRow, GrantRow, Versioned, draw, give_back};
use crate::id::Name;

/// The kind of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Moves tokens from the budget to the grant.
    Draw {
        /// Tokens wanted; fewer may be granted.
        want: u64,
        /// Exposure limit to declare, as [`Ledger::declare_exposure`] returned it.
        exposure: Option<u64>,
    },
    /// Moves transferred tokens from the donor's grant to the receiver's.
    ///
    /// Only a part is moved while the donor's own grant is too small, because it
    /// passed on tokens whose transfer to it is not recorded yet.
    Record {
        /// Tokens that were transferred.
        tokens: u64,
    },
    /// Returns the unused tokens and closes the grant.
    Close,
}

/// What budgets need to know of the holder's own rows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderState {
    /// Whether the holder is sealed.
    pub sealed: bool,
    /// Tokens of the budget that are durably recorded as billed or lost.
    pub accounted: u64,
}

/// The rows that a change depends on, as they were read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct View {
    /// The budget's row.
    pub budget: Versioned<BudgetRow>,
    /// The holder's grant.
    pub grant: Versioned<GrantRow>,
    /// The state of the holder, with the version of its router row.
    pub holder: Versioned<HolderState>,
    /// The receiver's grant, for [`Purpose::Record`] only.
    pub receiver: Versioned<GrantRow>,
}

/// The transaction to commit: rows to write and versions to check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Writes {
    /// The budget's row; `None` where a transfer is recorded.
    pub budget: Option<Versioned<BudgetRow>>,
    /// The holder's grant.
    pub grant: Versioned<GrantRow>,
    /// The receiver's grant; set only where a transfer is recorded.
    pub receiver: Option<Versioned<GrantRow>>,
    /// Version of the holder's router row, which is checked and not written.
    pub holder: u64,
}

/// Why a change cannot be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The holder is sealed, or its grant is closed.
    Sealed,
    /// The budget has no tokens left to grant.
    Exhausted,
    /// The donor's own grant is empty until the transfers to it are recorded.
    GrantEmpty,
}

/// A change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Applied {
    /// The kind of change.
    pub purpose: Purpose,
    /// Tokens that were moved.
    pub tokens: u64,
}

/// What to do after the rows were read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// Commit [`Change::writes`].
    Commit,
    /// The change has taken effect.
    Applied(Applied),
}

/// A change in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Change {
    purpose: Purpose,
    number: u64,
    writes: Writes,
}

impl Change {
    /// Plans a change from the rows as they were read.
    ///
    /// # Errors
    /// Returns the reason why the change cannot be made; nothing is to be
    /// committed then.
    pub fn begin(purpose: Purpose, view: &View) -> Result<Self, Refusal> {
        let number = view.grant.row.number + 1;
        let writes = plan(purpose, view)?;
        Ok(Self {
            purpose,
            number,
            writes,
        })
    }

    /// The transaction to commit.
    pub fn writes(&self) -> &Writes {
        &self.writes
    }

    /// The kind of change.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Handles the answer that the transaction was committed.
    pub fn on_committed(&self) -> Applied {
        self.applied(&self.writes.grant.row)
    }

    /// Decides from the rows as read after a conflict or a lost answer.
    ///
    /// A conflict may also be caused by an earlier attempt that took effect.
    ///
    /// # Errors
    /// Returns the reason why the change did not take effect and never will.
    pub fn on_rows(&mut self, view: &View) -> Result<Next, Refusal> {
        if view.grant.row.number >= self.number {
            return Ok(Next::Applied(self.applied(&view.grant.row)));
        }
        self.writes = plan(self.purpose, view)?;
        Ok(Next::Commit)
    }

    fn applied(&self, grant: &GrantRow) -> Applied {
        Applied {
            purpose: self.purpose,
            tokens: grant.last_tokens,
        }
    }
}

impl Applied {
    /// Applies the change to the holder's ledger.
    pub fn apply_to(&self, ledger: &mut Ledger, budget: &Name) {
        match self.purpose {
            Purpose::Draw { exposure, .. } => {
                ledger.credit(budget, self.tokens);
                ledger.set_exposure_limit(budget, exposure);
            }
            Purpose::Record { .. } => ledger.mark_recorded(budget, self.tokens),
            Purpose::Close => ledger.close(budget),
        }
    }
}

fn plan(purpose: Purpose, view: &View) -> Result<Writes, Refusal> {
    if view.holder.row.sealed || view.grant.row.closed {
        return Err(Refusal::Sealed);
    }
    let (budget, grant) = (&view.budget.row, &view.grant.row);
    match purpose {
        Purpose::Draw { want, exposure } => {
            if budget.available() == 0 {
                return Err(Refusal::Exhausted);
            }
            let drawn = draw(budget, grant, want);
            let grant = GrantRow {
                exposure,
                ..drawn.grant
            };
            Ok(writes(view, Some(drawn.budget), grant, None))
        }
        Purpose::Record { tokens } => {
            if grant.granted == 0 {
                return Err(Refusal::GrantEmpty);
            }
            let tokens = tokens.min(grant.granted);
            let (donor, receiver) = record(grant, &view.receiver.row, tokens);
            Ok(writes(view, None, donor, Some(receiver)))
        }
        Purpose::Close => {
            let unused = grant.granted.saturating_sub(view.holder.row.accounted);
            let returned = give_back(budget, grant, unused);
            let grant = GrantRow {
                closed: true,
                ..returned.grant
            };
            Ok(writes(view, Some(returned.budget), grant, None))
        }
    }
}

fn record(donor: &GrantRow, receiver: &GrantRow, tokens: u64) -> (GrantRow, GrantRow) {
    let donor = GrantRow {
        number: donor.number + 1,
        last_tokens: tokens,
        granted: donor.granted - tokens,
        ..*donor
    };
    let receiver = GrantRow {
        granted: receiver.granted + tokens,
        ..*receiver
    };
    (donor, receiver)
}

fn writes(
    view: &View,
    budget: Option<BudgetRow>,
    grant: GrantRow,
    receiver: Option<GrantRow>,
) -> Writes {
    Writes {
        budget: budget.map(|row| Versioned {
            version: view.budget.version,
            row,
        }),
        grant: Versioned {
            version: view.grant.version,
            row: grant,
        },
        receiver: receiver.map(|row| Versioned {
            version: view.receiver.version,
            row,
        }),
        holder: view.holder.version,
    }
}
