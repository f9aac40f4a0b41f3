//! Gifts of unspent tokens between routers, also while the table is down.
//!
//! A receiver numbers its asks to each donor and has one open at a time, which
//! it may send again. The donor takes the tokens out of its ledger before it
//! answers, remembers the answer under the ask's number and gives it again to a
//! repeated ask. An ask older than the newest one is ignored. The receiver
//! credits each number once. So both sides keep one entry for each partner and
//! budget. Later the donor records the gift in the table.

use crate::id::{Incarnation, Name};
use crate::sorted::SortedVec;

/// A partner in gifts of one budget.
type Partner = (Name, Incarnation);

/// A request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferRequest {
    /// Which budget.
    pub budget: Name,
    /// Who asks.
    pub from: Incarnation,
    /// Number of the ask, among those of this receiver to this donor.
    pub number: u64,
    /// Tokens wanted; fewer may be given.
    pub want: u64,
}

/// The answer to an ask.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transfer {
    /// Which budget.
    pub budget: Name,
    /// Who gives.
    pub from: Incarnation,
    /// Number of the ask that it answers.
    pub number: u64,
    /// Tokens that are given.
    pub tokens: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Given {
    number: u64,
    tokens: u64,
    unrecorded: u64,
}

/// What a router has given.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Donor {
    given: SortedVec<Partner, Given>,
}

impl Donor {
    /// Answers an ask; `None` where it is older than one answered before.
    ///
    /// `take` takes tokens out of the ledger, see
    /// [`Ledger::transfer_out`](super::ledger::Ledger::transfer_out).
    pub fn answer(&mut self, ask: &TransferRequest, take: impl FnOnce(u64) -> u64) -> Option<u64> {
        let partner = (ask.budget.clone(), ask.from.clone());
        let given = self.given.get_or_insert_with(partner, Given::default);
        if ask.number < given.number {
            return None;
        }
        if ask.number > given.number {
            let tokens = take(ask.want);
            given.number = ask.number;
            given.tokens = tokens;
            given.unrecorded += tokens;
        }
        Some(given.tokens)
    }

    /// The next gift to record in the table.
    pub fn next_unrecorded(&self, budget: &Name) -> Option<(&Incarnation, u64)> {
        let mut all = self.given.iter();
        let found = all.find(|((of, _), given)| of == budget && given.unrecorded > 0);
        found.map(|((_, to), given)| (to, given.unrecorded))
    }

    /// A record of `tokens` given to `to` took effect.
    pub fn mark_recorded(&mut self, budget: &Name, to: &Incarnation, tokens: u64) {
        if let Some(given) = self.given.get_mut(&(budget.clone(), to.clone())) {
            given.unrecorded = given.unrecorded.saturating_sub(tokens);
        }
    }

    /// Drops a partner that is sealed and has nothing to be recorded.
    pub fn forget(&mut self, partner: &Incarnation) {
        self.given
            .retain(|(_, of), given| of != partner || given.unrecorded > 0);
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Asked {
    number: u64,
    open: bool,
}

/// What a router has asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Receiver {
    asked: SortedVec<Partner, Asked>,
}

impl Receiver {
    /// Number of the open ask to `donor`, a new one where none is open.
    pub fn open_request(&mut self, budget: &Name, donor: &Incarnation) -> u64 {
        let partner = (budget.clone(), donor.clone());
        let asked = self.asked.get_or_insert_with(partner, Asked::default);
        if !asked.open {
            asked.number += 1;
            asked.open = true;
        }
        asked.number
    }

    /// Tokens to credit for a gift; 0 where it was credited before.
    pub fn receive(&mut self, gift: &Transfer) -> u64 {
        let partner = (gift.budget.clone(), gift.from.clone());
        let Some(asked) = self.asked.get_mut(&partner) else {
            return 0;
        };
        if !asked.open || asked.number != gift.number {
            return 0;
        }
        asked.open = false;
        gift.tokens
    }

    /// Drops a partner that is sealed; a gift of it that comes later is lost.
    pub fn forget(&mut self, partner: &Incarnation) {
        self.asked.retain(|(_, of), _| of != partner);
    }
}
