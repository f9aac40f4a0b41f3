//! Transfers of unspent tokens between routers, possible while the table is down.
//!
//! A receiver numbers its requests to each donor and has at most one open at a
//! time, which it may resend. The donor takes the tokens out of its ledger before
//! it answers, stores the answer under the number of the request and repeats it
//! for a resent request. It ignores a request older than the newest one. The
//! receiver credits each number once. Each side therefore keeps only one entry
//! per peer and budget. The donor records the transfer in the table later.

use crate::id::{Incarnation, Name};
use crate::sorted::SortedVec;

/// A budget and the peer that tokens of it are exchanged with.
type PeerKey = (Name, Incarnation);

/// A request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferRequest {
    /// The budget.
    pub budget: Name,
    /// The router that asks.
    pub from: Incarnation,
    /// Number among the requests of this receiver to this donor.
    pub number: u64,
    /// Tokens wanted; fewer may be transferred.
    pub want: u64,
}

/// The answer to a [`TransferRequest`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transfer {
    /// The budget.
    pub budget: Name,
    /// The donor.
    pub from: Incarnation,
    /// Number of the request that it answers.
    pub number: u64,
    /// Tokens that are transferred.
    pub tokens: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Sent {
    number: u64,
    tokens: u64,
    unrecorded: u64,
}

/// The donor's side: what a router has transferred to each peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Donor {
    sent: SortedVec<PeerKey, Sent>,
}

impl Donor {
    /// Answers a request; `None` if it is older than one answered before.
    ///
    /// `take` removes tokens from the ledger, see
    /// [`Ledger::transfer_out`](super::ledger::Ledger::transfer_out).
    pub fn answer(
        &mut self,
        request: &TransferRequest,
        take: impl FnOnce(u64) -> u64,
    ) -> Option<u64> {
        let peer = (request.budget.clone(), request.from.clone());
        let sent = self.sent.get_or_insert_with(peer, Sent::default);
        if request.number < sent.number {
            return None;
        }
        if request.number > sent.number {
            let tokens = take(request.want);
            sent.number = request.number;
            sent.tokens = tokens;
            sent.unrecorded += tokens;
        }
        Some(sent.tokens)
    }

    /// The next transfer to record in the table: receiver and tokens.
    pub fn next_unrecorded(&self, budget: &Name) -> Option<(&Incarnation, u64)> {
        let mut all = self.sent.iter();
        let found = all.find(|((of, _), sent)| of == budget && sent.unrecorded > 0);
        found.map(|((_, to), sent)| (to, sent.unrecorded))
    }

    /// Marks `tokens` transferred to `to` as recorded in the table.
    pub fn mark_recorded(&mut self, budget: &Name, to: &Incarnation, tokens: u64) {
        if let Some(sent) = self.sent.get_mut(&(budget.clone(), to.clone())) {
            sent.unrecorded = sent.unrecorded.saturating_sub(tokens);
        }
    }

    /// Drops the entries of a sealed peer, except for unrecorded transfers.
    pub fn forget(&mut self, peer: &Incarnation) {
        self.sent
            .retain(|(_, of), sent| of != peer || sent.unrecorded > 0);
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Requested {
    number: u64,
    open: bool,
}

/// The receiver's side: what a router has requested from each peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Receiver {
    requested: SortedVec<PeerKey, Requested>,
}

impl Receiver {
    /// Returns the number of the open request to `donor`, opening one if needed.
    pub fn open_request(&mut self, budget: &Name, donor: &Incarnation) -> u64 {
        let peer = (budget.clone(), donor.clone());
        let requested = self.requested.get_or_insert_with(peer, Requested::default);
        if !requested.open {
            requested.number += 1;
            requested.open = true;
        }
        requested.number
    }

    /// Returns the tokens to credit for a transfer; 0 if it was credited before.
    pub fn receive(&mut self, transfer: &Transfer) -> u64 {
        let peer = (transfer.budget.clone(), transfer.from.clone());
        let Some(requested) = self.requested.get_mut(&peer) else {
            return 0;
        };
        if !requested.open || requested.number != transfer.number {
            return 0;
        }
        requested.open = false;
        transfer.tokens
    }

    /// Drops the entries of a sealed peer; a transfer that arrives later is lost.
    pub fn forget(&mut self, peer: &Incarnation) {
        self.requested.retain(|(_, of), _| of != peer);
    }
}
