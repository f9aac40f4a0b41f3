//! Tokens set aside for one request.

use std::sync::Arc;
use std::time::Instant;

use poplar_core::id::Name;

use super::manager::BudgetManager;

/// A reservation, settled once.
///
/// Dropped without being settled it is written off whole, since then nobody
/// knows what the backend server consumed.
#[derive(Debug)]
pub struct Reservation {
    budgets: Arc<BudgetManager>,
    budget: Name,
    worst: u64,
    open: bool,
}

impl Reservation {
    pub(super) fn new(budgets: Arc<BudgetManager>, budget: Name, worst: u64) -> Self {
        Self {
            budgets,
            budget,
            worst,
            open: true,
        }
    }

    /// Ends it with `used` tokens consumed, which are billed.
    pub fn settle(mut self, used: u64) {
        self.end(used, 0);
    }

    /// Ends it with `used` tokens consumed, which nobody is billed for.
    pub fn waste(mut self, used: u64) {
        self.end(used, used);
    }

    /// Ends it where nothing ran.
    pub fn release(mut self) {
        self.end(0, 0);
    }

    fn end(&mut self, used: u64, lost: u64) {
        self.open = false;
        let budgets = &self.budgets;
        budgets.settle(&self.budget, self.worst, used, lost, Instant::now());
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.open {
            self.end(self.worst, self.worst);
        }
    }
}
