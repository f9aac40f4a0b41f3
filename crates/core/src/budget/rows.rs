//! Rows of the platform's table that keep budgets, and their transitions.
//!
//! `budget/<budget>` holds the prepaid limit and the sum of grants.
//! `grant/<budget>/<incarnation>` holds what one incarnation has drawn. A draw
//! changes both in one transaction and carries a draw number, so that a lost
//! answer is read back and never repeated blindly.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Name};

/// Key of a budget's row.
pub fn budget_key(budget: &str) -> String {
    format!("budget/{budget}")
}

/// Key of an incarnation's grant of a budget.
pub fn grant_key(budget: &str, of: &Incarnation) -> String {
    format!("grant/{budget}/{of}")
}

/// Key of an incarnation's own row.
pub fn incarnation_key(of: &Incarnation) -> String {
    format!("router/{of}")
}

/// A budget as the table keeps it, in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetRow {
    /// Prepaid in all, top-ups included.
    pub limit: u64,
    /// Sum of what incarnations hold or have spent.
    pub granted: u64,
    /// Identities of the newest top-ups, so that a repeated one is harmless.
    pub topups: Vec<Name>,
}

impl BudgetRow {
    /// What can still be granted.
    pub fn available(&self) -> u64 {
        self.limit.saturating_sub(self.granted)
    }
}

/// What one incarnation has drawn of one budget, in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantRow {
    /// Number of the last draw, return or gift that changed this row.
    pub number: u64,
    /// Drawn and received, less given and returned.
    pub granted: u64,
}

/// The rows after a draw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drawn {
    /// The budget's row.
    pub budget: BudgetRow,
    /// The incarnation's row.
    pub grant: GrantRow,
    /// Tokens that were granted; 0 where nothing is available.
    pub tokens: u64,
}

/// Grants up to `want` tokens, at most what is available.
pub fn draw(budget: &BudgetRow, grant: &GrantRow, want: u64) -> Drawn {
    let tokens = want.min(budget.available());
    Drawn {
        budget: BudgetRow {
            granted: budget.granted + tokens,
            ..budget.clone()
        },
        grant: GrantRow {
            number: grant.number + 1,
            granted: grant.granted + tokens,
        },
        tokens,
    }
}

/// Gives `tokens` of a grant back to its budget.
pub fn give_back(budget: &BudgetRow, grant: &GrantRow, tokens: u64) -> Drawn {
    Drawn {
        budget: BudgetRow {
            granted: budget.granted.saturating_sub(tokens),
            ..budget.clone()
        },
        grant: GrantRow {
            number: grant.number + 1,
            granted: grant.granted.saturating_sub(tokens),
        },
        tokens,
    }
}
