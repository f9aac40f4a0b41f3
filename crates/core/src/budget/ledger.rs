//! One router's holdings of every budget, in memory.
//!
//! A reservation is the worst case of a request, taken before dispatch. It is
//! settled with what was consumed, or written off whole where that can't be
//! known. Exposure is what the table doesn't know of yet: reserved, spent but
//! not durably accounted for, and given but not recorded. It stays within the
//! bound that the grant's row declares, so that after a crash the rest of the
//! grant can be released.

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
    /// Part of `spent` that is not durably accounted for.
    pub unbilled: u64,
    /// Given to other routers and not yet recorded in the table.
    pub unrecorded: u64,
    /// Bound on the exposure; `None` for no bound.
    pub exposure_limit: Option<u64>,
    /// Whether the router ends its use of the budget.
    pub closing: bool,
}

impl Holding {
    /// What may still be reserved or given, the bound on exposure apart.
    pub fn free(&self) -> u64 {
        self.held.saturating_sub(self.spent + self.reserved)
    }

    /// What the table doesn't know of yet.
    pub fn exposure(&self) -> u64 {
        self.reserved + self.unbilled + self.unrecorded
    }

    /// Whether the table knows of everything, so that the rest can go back.
    pub fn is_settled(&self) -> bool {
        self.exposure() == 0
    }

    /// What may be reserved or given now.
    pub fn usable(&self) -> u64 {
        match self.exposure_limit {
            _ if self.closing => 0,
            Some(bound) => self.free().min(bound.saturating_sub(self.exposure())),
            None => self.free(),
        }
    }
}

/// Too little is free for a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortfall {
    /// Tokens that are missing.
    pub missing: u64,
    /// Whether enough is free and only the bound on exposure stands against it.
    pub exposure_limited: bool,
}

/// Holdings of every budget the router has drawn on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
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

    /// What the table doesn't know of `budget` yet, in tokens.
    pub fn exposure(&self, budget: &str) -> u64 {
        self.holding(budget).exposure()
    }

    fn of(&mut self, budget: &Name) -> &mut Holding {
        self.holdings
            .get_or_insert_with(budget.clone(), Holding::default)
    }

    /// Sets `worst` tokens aside.
    ///
    /// # Errors
    /// Says how much is missing; nothing is set aside then.
    pub fn reserve(&mut self, budget: &Name, worst: u64) -> Result<(), Shortfall> {
        let holding = self.holding(budget);
        let usable = holding.usable();
        if usable < worst {
            return Err(Shortfall {
                missing: worst - usable,
                exposure_limited: holding.free() >= worst,
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
        holding.unbilled += used.min(worst);
    }

    /// Ends a reservation whose consumption can't be known.
    pub fn write_off(&mut self, budget: &Name, worst: u64) {
        self.settle(budget, worst, worst);
        self.of(budget).lost += worst;
    }

    /// `tokens` of what was spent or written off are durably accounted for.
    pub fn mark_billed(&mut self, budget: &Name, tokens: u64) {
        let holding = self.of(budget);
        holding.unbilled = holding.unbilled.saturating_sub(tokens);
    }

    /// Adds tokens that were drawn or received.
    pub fn credit(&mut self, budget: &Name, tokens: u64) {
        self.of(budget).held += tokens;
    }

    /// Takes up to `tokens` free tokens out, to return them.
    pub fn debit(&mut self, budget: &Name, tokens: u64) -> u64 {
        let holding = self.of(budget);
        let taken = tokens.min(holding.free());
        holding.held -= taken;
        taken
    }

    /// Takes up to `tokens` usable tokens out, to give them to a router.
    pub fn transfer_out(&mut self, budget: &Name, tokens: u64) -> u64 {
        let holding = self.of(budget);
        let taken = tokens.min(holding.usable());
        holding.held -= taken;
        holding.unrecorded += taken;
        taken
    }

    /// `tokens` of what was given are recorded in the table.
    pub fn mark_recorded(&mut self, budget: &Name, tokens: u64) {
        let holding = self.of(budget);
        holding.unrecorded = holding.unrecorded.saturating_sub(tokens);
    }

    /// Chooses the exposure to declare with a draw, and keeps to it from now.
    ///
    /// What is in use already can't be declared away. Until the draw took
    /// effect both the old bound and the new one hold.
    pub fn declare_exposure(&mut self, budget: &Name, want: Option<u64>) -> Option<u64> {
        let holding = self.of(budget);
        let declared = want.map(|bound| bound.max(holding.exposure()));
        holding.exposure_limit = match (holding.exposure_limit, declared) {
            (Some(old), Some(new)) => Some(old.min(new)),
            (old, new) => old.or(new),
        };
        declared
    }

    /// A declared exposure is in the table.
    pub fn set_exposure_limit(&mut self, budget: &Name, declared: Option<u64>) {
        self.of(budget).exposure_limit = declared;
    }

    /// Reserves and gives nothing more of `budget`, ahead of its close.
    ///
    /// Returns whether the table knows of everything. Only then may the grant
    /// be closed: what was given and not recorded would go back too.
    pub fn begin_close(&mut self, budget: &Name) -> bool {
        let holding = self.of(budget);
        holding.closing = true;
        holding.is_settled()
    }

    /// The rest went back to the budget, and nothing of it is used any more.
    pub fn close(&mut self, budget: &Name) {
        let holding = self.of(budget);
        holding.held = holding.spent;
        holding.closing = true;
    }
}
