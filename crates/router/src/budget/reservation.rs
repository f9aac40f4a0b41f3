//! A reservation of tokens for one request.

use std::sync::Arc;
use std::time::Instant;

use poplar_core::id::Name;

use super::manager::BudgetManager;

/// Tokens that are reserved until the request's consumption is known.
///
/// A reservation that is dropped without being settled is written off whole,
/// since it is then unknown what the backend server consumed.
#[derive(Debug)]
pub struct Reservation {
    budgets: Arc<BudgetManager>,
    budget: Name,
    /// Tokens reserved: the most that the request can consume.
    worst_case: u64,
    open: bool,
}

impl Reservation {
    pub(super) fn new(budgets: Arc<BudgetManager>, budget: Name, worst_case: u64) -> Self {
        Self {
            budgets,
            budget,
            worst_case,
            open: true,
        }
    }

    /// Ends the reservation; `used` tokens were consumed and are billed.
    pub fn settle(mut self, used: u64) {
        self.end(used, 0);
    }

    /// Ends the reservation; `used` tokens were consumed and are recorded as
    /// lost instead of billed.
    pub fn write_off(mut self, used: u64) {
        self.end(used, used);
    }

    /// Ends the reservation of a request that did not run.
    pub fn release(mut self) {
        self.end(0, 0);
    }

    fn end(&mut self, used: u64, lost: u64) {
        self.open = false;
        let budgets = &self.budgets;
        budgets.settle(&self.budget, self.worst_case, used, lost, Instant::now());
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.open {
            self.end(self.worst_case, self.worst_case);
        }
    }
}
