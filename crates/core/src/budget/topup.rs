//! Creating and topping up budgets.
//!
//! Each top-up has an identity and a row of its own, inserted in the same
//! transaction that raises the limit. A repeated top-up finds the row and does
//! nothing, however late it comes. The first top-up creates the budget.

use serde::{Deserialize, Serialize};

use super::rows::{BudgetRow, Versioned};

/// Marks one top-up as made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TopUpRow {
    /// Tokens that it added.
    pub tokens: u64,
}

/// What a top-up needs to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopUp {
    /// Write both rows, relying on the versions that were read.
    Write {
        /// The budget's row.
        budget: BudgetRow,
        /// The top-up's row.
        mark: TopUpRow,
    },
    /// It was made before.
    AlreadyMade,
    /// The identity was used for another amount.
    AmountDiffers {
        /// Tokens that were added under it.
        made: u64,
    },
}

/// Adds `tokens` to a budget's limit, once for each mark.
///
/// After a lost answer or a conflict, read both rows again and ask again.
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
