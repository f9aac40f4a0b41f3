//! Rows of the platform's table that keep budgets, and their transitions.
//!
//! `budget/<budget>` holds the prepaid limit and the sum of grants.
//! `grant/<incarnation>/<budget>` holds what one incarnation has drawn. A draw
//! changes both in one transaction and carries a draw number, so that a lost
//! answer is read back and never repeated blindly.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Name};

/// Key of a budget's row.
pub fn budget_key(budget: &str) -> String {
    format!("budget/{budget}")
}

/// Key of an incarnation's grant of a budget; an incarnation's grants stand
/// together, so that what a dead one holds is found by one scan.
pub fn grant_key(budget: &str, of: &Incarnation) -> String {
    format!("grant/{of}/{budget}")
}

/// Key of an incarnation's own row.
pub fn incarnation_key(of: &Incarnation) -> String {
    format!("router/{of}")
}

/// Key of the row that marks one top-up as made.
pub fn topup_key(budget: &str, id: &Name) -> String {
    format!("topup/{budget}/{id}")
}

/// A row with the version it was read at, 0 where there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Versioned<T> {
    /// Version of the row's last write.
    pub version: u64,
    /// The row; its default where there is none.
    pub row: T,
}

/// A budget as the table keeps it, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct BudgetRow {
    /// Prepaid in all, top-ups included.
    pub limit: u64,
    /// Sum of what incarnations hold or have spent.
    pub granted: u64,
}

impl BudgetRow {
    /// What can still be granted.
    pub fn available(&self) -> u64 {
        self.limit.saturating_sub(self.granted)
    }
}

/// What one incarnation has drawn of one budget, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct GrantRow {
    /// Number of the holder's last change of this row.
    pub number: u64,
    /// Tokens that this change moved.
    #[serde(rename = "last")]
    pub last_tokens: u64,
    /// Drawn and received, less given, returned and released.
    pub granted: u64,
    /// Bound on what the holder uses beyond its durable totals; `None` for all.
    pub exposure: Option<u64>,
    /// Released after the holder's end.
    pub released: u64,
    /// Whether the holder has ended its use of the budget itself.
    pub closed: bool,
}

/// The rows after a draw or a return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moved {
    /// The budget's row.
    pub budget: BudgetRow,
    /// The incarnation's row.
    pub grant: GrantRow,
    /// Tokens that were moved; 0 where nothing is available.
    pub tokens: u64,
}

/// Grants up to `want` tokens, at most what is available.
pub fn draw(budget: &BudgetRow, grant: &GrantRow, want: u64) -> Moved {
    let tokens = want.min(budget.available());
    Moved {
        budget: BudgetRow {
            granted: budget.granted + tokens,
            ..*budget
        },
        grant: GrantRow {
            number: grant.number + 1,
            last_tokens: tokens,
            granted: grant.granted + tokens,
            ..*grant
        },
        tokens,
    }
}

/// Gives `tokens` of a grant back to its budget, at most all of it.
pub fn give_back(budget: &BudgetRow, grant: &GrantRow, tokens: u64) -> Moved {
    let tokens = tokens.min(grant.granted);
    Moved {
        budget: BudgetRow {
            granted: budget.granted.saturating_sub(tokens),
            ..*budget
        },
        grant: GrantRow {
            number: grant.number + 1,
            last_tokens: tokens,
            granted: grant.granted - tokens,
            ..*grant
        },
        tokens,
    }
}
