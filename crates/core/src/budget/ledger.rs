//! One router's holdings of every budget, in memory.
//!
//! A reservation is the worst case of a request, taken before dispatch. It is
//! settled with what was consumed, or written off whole where that can't be
//! known.

use crate::id::Name;
use crate::sorted::SortedVec;

/// A router's holding of one budget, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holding {
    /// Drawn and received, less given and returned.
    pub held: u64,
    /// Consumed by settled requests, written-off reservations included.
    pub spent: u64,
    /// Set aside for requests that run.
    pub reserved: u64,
    /// Part of `spent` that was written off: consumed or not, nobody knows.
    pub lost: u64,
}

impl Holding {
    /// What may still be reserved or given.
    pub fn free(&self) -> u64 {
        self.held.saturating_sub(self.spent + self.reserved)
    }
}

/// Too little is free for a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short {
    /// Tokens that are missing.
    pub missing: u64,
}

/// Holdings of every budget the router has drawn on.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    holdings: SortedVec<Name, Holding>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// The holding of `budget`, empty where nothing was drawn.
    pub fn holding(&self, budget: &str) -> Holding {
        self.holdings.get(budget).copied().unwrap_or_default()
    }

    /// Every holding in order of the budgets' names.
    pub fn holdings(&self) -> impl Iterator<Item = (&Name, &Holding)> {
        self.holdings.iter()
    }

    fn of(&mut self, budget: &Name) -> &mut Holding {
        self.holdings.entry(budget.clone(), Holding::default)
    }

    /// Sets `worst` tokens aside.
    ///
    /// # Errors
    /// Says how much is missing; nothing is set aside then.
    pub fn reserve(&mut self, budget: &Name, worst: u64) -> Result<(), Short> {
        let free = self.holding(budget).free();
        if free < worst {
            return Err(Short {
                missing: worst - free,
            });
        }
        self.of(budget).reserved += worst;
        Ok(())
    }

    /// Ends a reservation of `worst` tokens of which `used` were consumed.
    ///
    /// More than the reservation is never taken; the engine's cap holds there.
    pub fn settle(&mut self, budget: &Name, worst: u64, used: u64) {
        let holding = self.of(budget);
        holding.reserved = holding.reserved.saturating_sub(worst);
        holding.spent += used.min(worst);
    }

    /// Ends a reservation whose consumption can't be known.
    pub fn write_off(&mut self, budget: &Name, worst: u64) {
        self.settle(budget, worst, worst);
        self.of(budget).lost += worst;
    }

    /// Adds tokens that were drawn or received.
    pub fn credit(&mut self, budget: &Name, tokens: u64) {
        self.of(budget).held += tokens;
    }

    /// Takes up to `tokens` free tokens out, to give or to return them.
    pub fn debit(&mut self, budget: &Name, tokens: u64) -> u64 {
        let holding = self.of(budget);
        let taken = tokens.min(holding.free());
        holding.held -= taken;
        taken
    }
}
