//! One router's holdings of every budget, in memory.
//!
//! A reservation covers the worst-case cost of a request and is made before
//! dispatch. It is settled with the tokens that were consumed, or written off in
//! full if the consumption cannot be known.
//!
//! Exposure is the tokens in use that the table does not show yet: reserved,
//! spent but not durably accounted for, and transferred but not recorded. It
//! stays within the limit that the grant's row declares, so that after a crash
//! the rest of the grant can be released.

use crate::id::Name;
use crate::sorted::SortedVec;

/// A router's holding of one budget, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holding {
    /// Tokens drawn and received, minus those transferred and returned.
    pub held: u64,
    /// Tokens consumed by settled requests, written-off reservations included.
    pub spent: u64,
    /// Tokens reserved for requests in progress.
    pub reserved: u64,
    /// Part of `spent` that was written off because its consumption is unknown.
    pub lost: u64,
    /// Part of `spent` that is not durably accounted for.
    pub unbilled: u64,
    /// Tokens transferred to other routers and not yet recorded in the table.
    pub unrecorded: u64,
    /// Limit on the exposure; `None` for no limit.
    pub exposure_limit: Option<u64>,
    /// Whether the grant is being closed, so that nothing more may be used.
    pub closing: bool,
}

impl Holding {
    /// Tokens that are neither spent nor reserved, whatever the exposure limit.
    pub fn free(&self) -> u64 {
        self.held.saturating_sub(self.spent + self.reserved)
    }

    /// Tokens in use that the table does not show yet.
    pub fn exposure(&self) -> u64 {
        self.reserved + self.unbilled + self.unrecorded
    }

    /// Whether the table shows all use, so that the unused tokens can be returned.
    pub fn is_settled(&self) -> bool {
        self.exposure() == 0
    }

    /// Tokens that may be reserved or transferred now.
    pub fn usable(&self) -> u64 {
        match self.exposure_limit {
            _ if self.closing => 0,
            Some(limit) => self.free().min(limit.saturating_sub(self.exposure())),
            None => self.free(),
        }
    }
}

/// The error for a reservation that exceeds the usable tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortfall {
    /// Tokens that are missing.
    pub missing: u64,
    /// Whether enough tokens are free and only the exposure limit prevents it.
    pub exposure_limited: bool,
}

/// The holdings of all budgets that the router has drawn on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ledger {
    holdings: SortedVec<Name, Holding>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// The holding of `budget`; empty if nothing was drawn.
    pub fn holding(&self, budget: &str) -> Holding {
        self.holdings.get(budget).copied().unwrap_or_default()
    }

    /// All holdings, sorted by the budgets' names.
    pub fn holdings(&self) -> impl Iterator<Item = (&Name, &Holding)> {
        self.holdings.iter()
    }

    /// Tokens of `budget` in use that the table does not show yet.
    pub fn exposure(&self, budget: &str) -> u64 {
        self.holding(budget).exposure()
    }

    fn holding_mut(&mut self, budget: &Name) -> &mut Holding {
        self.holdings
            .get_or_insert_with(budget.clone(), Holding::default)
    }

    /// Reserves `worst_case` tokens.
    ///
    /// # Errors
    /// Returns how many tokens are missing; nothing is reserved then.
    pub fn reserve(&mut self, budget: &Name, worst_case: u64) -> Result<(), Shortfall> {
        let holding = self.holding(budget);
        let usable = holding.usable();
        if usable < worst_case {
            return Err(Shortfall {
                missing: worst_case - usable,
                exposure_limited: holding.free() >= worst_case,
            });
        }
        self.holding_mut(budget).reserved += worst_case;
        Ok(())
    }

    /// Settles a reservation of `worst_case` tokens of which `used` were consumed.
    ///
    /// Never charges more than the reservation; the engine's output cap keeps
    /// consumption within it.
    pub fn settle(&mut self, budget: &Name, worst_case: u64, used: u64) {
        let holding = self.holding_mut(budget);
        holding.reserved = holding.reserved.saturating_sub(worst_case);
        holding.spent += used.min(worst_case);
        holding.unbilled += used.min(worst_case);
    }

    /// Writes off a reservation whose consumption cannot be known.
    pub fn write_off(&mut self, budget: &Name, worst_case: u64) {
        self.settle(budget, worst_case, worst_case);
        self.holding_mut(budget).lost += worst_case;
    }

    /// Marks `tokens` that were spent or written off as durably accounted for.
    pub fn mark_billed(&mut self, budget: &Name, tokens: u64) {
        let holding = self.holding_mut(budget);
        holding.unbilled = holding.unbilled.saturating_sub(tokens);
    }

    /// Adds tokens that were drawn or received.
    pub fn credit(&mut self, budget: &Name, tokens: u64) {
        self.holding_mut(budget).held += tokens;
    }

    /// Removes up to `tokens` free tokens, to return them to the budget.
    pub fn debit(&mut self, budget: &Name, tokens: u64) -> u64 {
        let holding = self.holding_mut(budget);
        let taken = tokens.min(holding.free());
        holding.held -= taken;
        taken
    }

    /// Removes up to `tokens` usable tokens, to transfer them to another router.
    pub fn transfer_out(&mut self, budget: &Name, tokens: u64) -> u64 {
        let holding = self.holding_mut(budget);
        let taken = tokens.min(holding.usable());
        holding.held -= taken;
        holding.unrecorded += taken;
        taken
    }

    /// Marks `tokens` that were transferred as recorded in the table.
    pub fn mark_recorded(&mut self, budget: &Name, tokens: u64) {
        let holding = self.holding_mut(budget);
        holding.unrecorded = holding.unrecorded.saturating_sub(tokens);
    }

    /// Chooses the exposure limit to declare with a draw and applies it at once.
    ///
    /// The declared limit is never below the current exposure. Until the draw has
    /// taken effect, the lower of the old and the new limit applies.
    pub fn declare_exposure(&mut self, budget: &Name, limit: Option<u64>) -> Option<u64> {
        let holding = self.holding_mut(budget);
        let declared = limit.map(|limit| limit.max(holding.exposure()));
        holding.exposure_limit = match (holding.exposure_limit, declared) {
            (Some(old), Some(new)) => Some(old.min(new)),
            (old, new) => old.or(new),
        };
        declared
    }

    /// Sets the exposure limit that the table now shows.
    pub fn set_exposure_limit(&mut self, budget: &Name, declared: Option<u64>) {
        self.holding_mut(budget).exposure_limit = declared;
    }

    /// Stops reserving and transferring tokens of `budget`, before its close.
    ///
    /// Returns whether the table shows all use. Only then may the grant be closed,
    /// since a close would also return tokens whose transfer is not recorded yet.
    pub fn begin_close(&mut self, budget: &Name) -> bool {
        let holding = self.holding_mut(budget);
        holding.closing = true;
        holding.is_settled()
    }

    /// Closes the holding after its unused tokens were returned to the budget.
    pub fn close(&mut self, budget: &Name) {
        let holding = self.holding_mut(budget);
        holding.held = holding.spent;
        holding.closing = true;
    }
}
