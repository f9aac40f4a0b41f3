//! A holder's change of its own grant: draw, record of a gift, or close.
//!
//! A change is one transaction that relies on the versions of the rows it writes
//! and of the holder's own row. Sealing writes the last
//! one, so a sealed holder changes nothing any more. Each change has a number,
//! one above the grant's. After a lost answer the rows are read: if the grant
//! carries the number the change took effect, however late that was seen.
//! Otherwise the change is tried again under the same number, and since both
//! tries rely on the same row at most one of them takes effect.
//!
//! A holder has at most one change of a budget under way.

use super::ledger::Ledger;
use super::rows::{BudgetRow, GrantRow, Versioned, draw, give_back};
use crate::id::Name;

/// What a holder wants to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Take tokens from the budget.
    Draw {
        /// Tokens wanted; fewer may be had.
        want: u64,
        /// Exposure to declare, as [`Ledger::declare_exposure`] returned it.
        exposure: Option<u64>,
    },
    /// Move tokens that were given away to the receiver's grant.
    ///
    /// Where the donor gave what it had been given itself, and that is not
    /// recorded yet, only a part is moved.
    Record {
        /// Tokens that were given.
        tokens: u64,
    },
    /// Return the rest and end the use of the budget.
    Close,
}

/// The holder's own row, as far as budgets need it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderState {
    /// Whether the holder is sealed.
    pub sealed: bool,
    /// Tokens of the budget that are durably billed or written off.
    pub accounted: u64,
}

/// The rows that a change relies on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct View {
    /// The budget's row.
    pub budget: Versioned<BudgetRow>,
    /// The holder's grant.
    pub grant: Versioned<GrantRow>,
    /// The holder's own row.
    pub holder: Versioned<HolderState>,
    /// The receiver's grant, for [`Purpose::Record`] only.
    pub receiver: Versioned<GrantRow>,
}

/// The transaction to commit: versions to rely on and rows to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Writes {
    /// The budget's row, unless a gift is recorded.
    pub budget: Option<Versioned<BudgetRow>>,
    /// The holder's grant.
    pub grant: Versioned<GrantRow>,
    /// The receiver's grant, where a gift is recorded.
    pub receiver: Option<Versioned<GrantRow>>,
    /// Version of the holder's own row; the row itself is not written.
    pub holder: u64,
}

/// Why a change can't be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The holder is sealed, or its use of the budget has ended.
    Sealed,
    /// Nothing of the budget is left to grant.
    Exhausted,
    /// The donor's own grant is empty until gifts to it are recorded.
    GrantEmpty,
}

/// A change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Applied {
    /// What it was for.
    pub purpose: Purpose,
    /// Tokens that it moved.
    pub tokens: u64,
}

/// What to do after the rows were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// Commit [`Change::writes`].
    Commit,
    /// It took effect.
    Applied(Applied),
}

/// A change under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Change {
    purpose: Purpose,
    number: u64,
    writes: Writes,
}

impl Change {
    /// Starts a change from the rows as they were read.
    ///
    /// # Errors
    /// Says why it can't be made; nothing needs to be committed then.
    pub fn begin(purpose: Purpose, view: &View) -> Result<Self, Refusal> {
        let number = view.grant.row.number + 1;
        let writes = plan(purpose, view)?;
        Ok(Self {
            purpose,
            number,
            writes,
        })
    }

    /// What to commit.
    pub fn writes(&self) -> &Writes {
        &self.writes
    }

    /// What it is for.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// The commit was answered as done.
    pub fn on_committed(&self) -> Applied {
        self.applied(&self.writes.grant.row)
    }

    /// The rows as read after a conflict or a lost answer.
    ///
    /// A conflict too may be the trace of an earlier try that took effect.
    ///
    /// # Errors
    /// It did not take effect and never will.
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
    /// Enters the change into the holder's ledger.
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
            let (given, received) = record(grant, &view.receiver.row, tokens);
            Ok(writes(view, None, given, Some(received)))
        }
        Purpose::Close => {
            let rest = grant.granted.saturating_sub(view.holder.row.accounted);
            let back = give_back(budget, grant, rest);
            let grant = GrantRow {
                closed: true,
                ..back.grant
            };
            Ok(writes(view, Some(back.budget), grant, None))
        }
    }
}

fn record(from: &GrantRow, to: &GrantRow, tokens: u64) -> (GrantRow, GrantRow) {
    let given = GrantRow {
        number: from.number + 1,
        last_tokens: tokens,
        granted: from.granted - tokens,
        ..*from
    };
    let received = GrantRow {
        granted: to.granted + tokens,
        ..*to
    };
    (given, received)
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
