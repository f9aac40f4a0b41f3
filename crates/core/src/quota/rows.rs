//! Rows of budgets in the table.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Name;
use crate::sorted::SortedVec;

/// What a router may spend of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "AllocationWire", into = "AllocationWire")]
pub struct Allocation {
    /// Tokens taken out of the budget by this life, its spending included.
    pub granted: u64,
    /// Tokens spent or reserved when the terms were written.
    pub spent: u64,
    /// Tokens that may be spent beyond that at once.
    pub burst: u64,
    /// Milliseconds after which more than the burst may be spent; a router in
    /// touch with the table writes new terms before.
    pub delay_ms: u64,
    /// Tokens that may be spent each second from then on.
    pub rate: u64,
    /// Tokens that the router's callers asked for a second, lately.
    pub demand: u64,
}

impl Allocation {
    /// The most that can have been spent `elapsed` after they were written.
    pub fn max_spent(&self, elapsed: Duration) -> u64 {
        let beyond = elapsed.saturating_sub(Duration::from_millis(self.delay_ms));
        let grown = (self.rate as f64 * beyond.as_secs_f64()) as u64;
        let bound = self.spent.saturating_add(self.burst).saturating_add(grown);
        bound.min(self.granted)
    }

    /// How long after they were written `tokens` in all can have been spent;
    /// `None` where the grant does not cover them.
    pub fn time_to_cover(&self, tokens: u64) -> Option<Duration> {
        if tokens > self.granted {
            return None;
        }
        let beyond = tokens.saturating_sub(self.spent + self.burst);
        if beyond == 0 {
            return Some(Duration::ZERO);
        }
        if self.rate == 0 {
            return None;
        }
        let seconds = beyond as f64 / self.rate as f64;
        Some(Duration::from_millis(self.delay_ms) + Duration::from_secs_f64(seconds))
    }
}

/// The fields in their order: rows are read by small hosts.
type AllocationWire = [u64; 6];

impl From<AllocationWire> for Allocation {
    fn from([granted, spent, burst, delay_ms, rate, demand]: AllocationWire) -> Self {
        Self {
            granted,
            spent,
            burst,
            delay_ms,
            rate,
            demand,
        }
    }
}

impl From<Allocation> for AllocationWire {
    fn from(terms: Allocation) -> Self {
        [
            terms.granted,
            terms.spent,
            terms.burst,
            terms.delay_ms,
            terms.rate,
            terms.demand,
        ]
    }
}

/// A router's row: its terms for each budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderRow {
    /// The life that wrote it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Counts that life's writes.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The table's clock before it was written, in milliseconds.
    pub clock: u64,
    /// Allocations by budget, in order of the names.
    #[serde(rename = "terms")]
    pub allocations: Vec<(Name, Allocation)>,
    /// What became of the grants of lives before, by budget, where the totals
    /// don't have it yet.
    #[serde(default, rename = "ended")]
    pub unsettled: Vec<(Name, Settlement)>,
}

impl HolderRow {
    /// What becomes of all that this life holds, or still owes to the totals,
    /// if it ended `elapsed` after the row was written.
    pub fn settlements(&self, elapsed: Duration) -> Vec<(Name, Settlement)> {
        let terms = self.allocations.iter();
        let bounds = terms.map(|(name, terms)| (name.clone(), settle_allocation(terms, elapsed)));
        let mut all: SortedVec<Name, Settlement> = self.unsettled.iter().cloned().collect();
        for (name, bound) in bounds {
            let sum = all.get_or_insert_with(name, Settlement::default);
            sum.released += bound.released;
            sum.stranded += bound.stranded;
        }
        all.retain(|_, bound| *bound != Settlement::default());
        all.to_vec()
    }
}

/// A budget's row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetTotal {
    /// Tokens that routers have taken out and not given back.
    pub granted: u64,
    /// Tokens of these that a dead router may not have spent.
    pub stranded: u64,
}

impl BudgetTotal {
    /// Takes the end of a life into account.
    pub fn settle(&mut self, bound: &Settlement) {
        self.granted = self.granted.saturating_sub(bound.released);
        self.stranded += bound.stranded;
    }
}

/// What a dead router may have spent of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Settlement {
    /// Tokens that go back to the budget.
    pub released: u64,
    /// Tokens that stay taken out though they may not have been spent.
    pub stranded: u64,
}

/// What becomes of a dead router's grant, `elapsed` after its terms were written.
pub fn settle_allocation(terms: &Allocation, elapsed: Duration) -> Settlement {
    let bound = terms.max_spent(elapsed);
    Settlement {
        released: terms.granted - bound,
        stranded: bound.saturating_sub(terms.spent),
    }
}
