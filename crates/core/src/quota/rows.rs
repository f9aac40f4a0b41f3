//! Rows of the shared table that hold the state of the budgets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Name;
use crate::sorted::SortedVec;

/// What a router may spend from one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "AllocationWire", into = "AllocationWire")]
pub struct Allocation {
    /// Tokens taken out of the budget by this incarnation, spent ones included.
    pub granted: u64,
    /// Tokens spent or reserved when the allocation was written.
    pub spent: u64,
    /// Tokens that may be spent beyond `spent` at once.
    pub burst: u64,
    /// Milliseconds after which more than the burst may be spent. A router that
    /// reaches the table writes a new allocation earlier.
    pub delay_ms: u64,
    /// Tokens that may be spent each second after `delay_ms`.
    pub rate: u64,
    /// Recent demand of the router's callers, in tokens a second.
    pub demand: u64,
}

impl Allocation {
    /// Whether it says more than no allocation.
    pub fn is_worth_writing(&self) -> bool {
        self.granted > 0 || self.demand > 0
    }

    /// The most that can have been spent `elapsed` after the write.
    pub fn max_spent(&self, elapsed: Duration) -> u64 {
        let beyond = elapsed.saturating_sub(Duration::from_millis(self.delay_ms));
        let grown = (self.rate as f64 * beyond.as_secs_f64()) as u64;
        let bound = self.spent.saturating_add(self.burst).saturating_add(grown);
        bound.min(self.granted)
    }

    /// Time after the write until `tokens` in total may have been spent; `None`
    /// if the allocation never allows that many.
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

/// The fields in order, as an array, so that rows stay short for the small hosts
/// that read them.
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
    fn from(allocation: Allocation) -> Self {
        [
            allocation.granted,
            allocation.spent,
            allocation.burst,
            allocation.delay_ms,
            allocation.rate,
            allocation.demand,
        ]
    }
}

/// A router's row: its allocation for each budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderRow {
    /// The incarnation that wrote the row.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Counts the writes of that incarnation.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The table's clock before the write, in milliseconds.
    pub clock: u64,
    /// Allocations by budget, in order of the names.
    #[serde(rename = "terms")]
    pub allocations: Vec<(Name, Allocation)>,
    /// Settlements of earlier incarnations that the totals do not contain yet,
    /// by budget.
    #[serde(default, rename = "ended")]
    pub unsettled: Vec<(Name, Settlement)>,
}

impl HolderRow {
    /// Settlements of everything that this incarnation holds, if it ended
    /// `elapsed` after the write, together with the earlier unsettled ones.
    pub fn settlements(&self, elapsed: Duration) -> Vec<(Name, Settlement)> {
        let allocations = self.allocations.iter();
        let own = allocations
            .map(|(name, allocation)| (name.clone(), settle_allocation(allocation, elapsed)));
        let mut all: SortedVec<Name, Settlement> = self.unsettled.iter().cloned().collect();
        for (name, settlement) in own {
            let sum = all.get_or_insert_with(name, Settlement::default);
            sum.released += settlement.released;
            sum.stranded += settlement.stranded;
        }
        all.retain(|_, settlement| *settlement != Settlement::default());
        all.to_vec()
    }
}

/// A budget's row: the sums over all routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetTotal {
    /// Tokens that routers have taken out and not returned.
    pub granted: u64,
    /// Granted tokens that dead processes may or may not have spent.
    pub stranded: u64,
}

impl BudgetTotal {
    /// Applies the settlement of an ended incarnation.
    pub fn settle(&mut self, settlement: &Settlement) {
        self.granted = self.granted.saturating_sub(settlement.released);
        self.stranded += settlement.stranded;
    }
}

/// How the allocation of a dead process from one budget is settled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Settlement {
    /// Tokens that return to the budget.
    pub released: u64,
    /// Tokens that stay deducted, though they may not have been spent.
    pub stranded: u64,
}

/// Settles the allocation of a process that died `elapsed` after the write.
pub fn settle_allocation(allocation: &Allocation, elapsed: Duration) -> Settlement {
    let max_spent = allocation.max_spent(elapsed);
    Settlement {
        released: allocation.granted - max_spent,
        stranded: max_spent.saturating_sub(allocation.spent),
    }
}
