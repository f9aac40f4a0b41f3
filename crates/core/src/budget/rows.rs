//! Rows of the platform's table that store budgets, and their transitions.
//!
//! `budget/<budget>` stores the prepaid limit and the sum of grants.
//! `grant/<incarnation>/<budget>` stores what one incarnation has drawn. A draw
//! changes both rows in one transaction and carries a number. After a lost
//! answer the number shows whether the draw took effect, so that it is never
//! applied twice.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Name};

/// Key of a budget's row.
pub fn budget_key(budget: &str) -> String {
    format!("budget/{budget}")
}

/// Key of an incarnation's grant of a budget.
///
/// The incarnation comes first, so that one scan by prefix finds all grants of a
/// dead incarnation.
pub fn grant_key(budget: &str, of: &Incarnation) -> String {
    format!("grant/{of}/{budget}")
}

/// Key of an incarnation's [`RouterRow`](crate::bill::RouterRow).
pub fn incarnation_key(of: &Incarnation) -> String {
    format!("router/{of}")
}

/// Key of the row that marks one top-up as applied.
pub fn topup_key(budget: &str, id: &Name) -> String {
    format!("topup/{budget}/{id}")
}

/// A row with the version it was read at; version 0 means that there is no row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Versioned<T> {
    /// Version of the row's last write.
    pub version: u64,
    /// The row, or its default value where there is none.
    pub row: T,
}

/// A budget as stored in the table, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct BudgetRow {
    /// Tokens prepaid in total, top-ups included.
    pub limit: u64,
    /// Tokens that incarnations hold or have spent.
    pub granted: u64,
}

impl BudgetRow {
    /// Tokens that can still be granted.
    pub fn available(&self) -> u64 {
        self.limit.saturating_sub(self.granted)
    }
}

/// One incarnation's grant of one budget, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct GrantRow {
    /// Number of the holder's last change of this row.
    pub number: u64,
    /// Tokens that the last change moved.
    #[serde(rename = "last")]
    pub last_tokens: u64,
    /// Tokens drawn and received, minus those transferred, returned and released.
    pub granted: u64,
    /// Limit on what the holder uses beyond its durable totals; `None` for no
    /// limit below the grant itself.
    pub exposure: Option<u64>,
    /// Tokens released after the end of the holder.
    pub released: u64,
    /// Whether the holder has closed the grant itself.
    pub closed: bool,
}

/// The rows after a draw or a return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moved {
    /// The budget's row.
    pub budget: BudgetRow,
    /// The incarnation's row.
    pub grant: GrantRow,
    /// Tokens that were moved; 0 if none are available.
    pub tokens: u64,
}

/// Grants up to `want` tokens, limited to what is available.
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

/// Returns `tokens` of a grant to its budget, limited to the whole grant.
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
