//! Creating and topping up budgets.
//!
//! Each top-up has an identifier and a row of its own, inserted in the same
//! transaction that raises the limit. A repeated top-up finds this row and does
//! nothing, however late it arrives. The first top-up creates the budget.

use serde::{Deserialize, Serialize};

use super::rows::{BudgetRow, Versioned};

/// Marks one top-up as applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TopUpRow {
    /// Tokens that the top-up added.
    pub tokens: u64,
}

/// What is to be done for a top-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopUp {
    /// Write both rows, conditional on the versions that were read.
    Write {
        /// The budget's row.
        budget: BudgetRow,
        /// The top-up's row.
        mark: TopUpRow,
    },
    /// The top-up was applied before.
    AlreadyMade,
    /// The identifier was used before with a different amount.
    AmountDiffers {
        /// Tokens that were added under the identifier.
        made: u64,
    },
}

/// Adds `tokens` to a budget's limit, once per top-up row.
///
/// After a lost answer or a conflict, read both rows and call this again.
pub fn top_up(budget: &Versioned<BudgetRow>, mark: &Versioned<TopUpRow>, tokens: u64) -> TopUp {
    if mark.version != 0 {
        let made = mark.row.tokens;
        return if made == tokens {
            TopUp::AlreadyMade
        } else {
            TopUp::AmountDiffers { made }
        };
    }
    TopUp::Write {
        budget: BudgetRow {
            limit: budget.row.limit + tokens,
            ..budget.row
        },
        mark: TopUpRow { tokens },
    }
}
