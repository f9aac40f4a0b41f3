//! Transfers of unspent tokens between routers, for when the table has nothing
//! left or can't be reached.
//!
//! A router asks its peers one after the other. The donor takes the tokens from
//! its own grant at once; a background task records the transfer in the table.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::budget::transfer::{Transfer, TransferRequest};
use poplar_core::grant;
use poplar_core::id::{Incarnation, Name};
use poplar_peer::generated::{GiveReply, GiveRequest};
use rand::seq::SliceRandom;

use super::manager::BudgetManager;
use crate::peers::PeerEntry;
use crate::state::State;
use crate::sync::lock;

/// How often transfers are recorded in the table.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

impl BudgetManager {
    /// Requests transfers from live peers until `worst_case` tokens can be
    /// reserved.
    pub(super) async fn request_transfers(&self, budget: &Name, worst_case: u64, now: Instant) {
        let mut peers = self.peers.live_peers(now);
        // A random order keeps routers that are short at the same time from all
        // asking the same peer.
        peers.shuffle(&mut rand::rng());
        for (donor, peer) in peers {
            let usable = lock(&self.tables).ledger.holding(budget).usable();
            if usable >= worst_case {
                return;
            }
            self.request_from(budget, worst_case - usable, &donor, peer)
                .await;
        }
    }

    async fn request_from(&self, budget: &Name, tokens: u64, donor: &Incarnation, peer: PeerEntry) {
        let (number, rate) = {
            let mut tables = lock(&self.tables);
            let rate = tables.account(budget).rate.per_second(Instant::now());
            (tables.receiver.open_request(budget, donor), rate)
        };
        let request = GiveRequest {
            asker: self.incarnation.to_string(),
            budget: budget.to_string(),
            number,
            tokens,
            rate,
        };
        let mut client = peer.client;
        // If the answer is lost, the next request uses the same number, so the
        // donor doesn't give twice.
        let Ok(reply) = client.give(request).await else {
            return;
        };
        let reply = reply.into_inner();
        if !reply.answered {
            return;
        }
        let transfer = Transfer {
            budget: budget.clone(),
            from: donor.clone(),
            number,
            tokens: reply.tokens,
        };
        let mut tables = lock(&self.tables);
        let credited = tables.receiver.receive(&transfer);
        if credited > 0 {
            tables.ledger.credit(budget, credited);
        }
    }

    /// Answers a peer's request for a transfer of tokens.
    pub fn handle_give(&self, request: &GiveRequest) -> GiveReply {
        let budget: Name = request.budget.as_str().into();
        let transfer_request = TransferRequest {
            budget: budget.clone(),
            from: Incarnation(request.asker.as_str().into()),
            number: request.number,
            want: request.tokens,
        };
        let peer_request = grant::PeerRequest {
            need: request.tokens,
            rate: request.rate,
        };
        let mut tables = lock(&self.tables);
        let rate = tables.account(&budget).rate.per_second(Instant::now());
        let tables = &mut *tables;
        let ledger = &mut tables.ledger;
        let answer = tables.donor.answer(&transfer_request, |_| {
            let usable = ledger.holding(&budget).usable();
            ledger.transfer_out(&budget, grant::transfer_amount(usable, &peer_request, rate))
        });
        GiveReply {
            answered: answer.is_some(),
            tokens: answer.unwrap_or(0),
        }
    }
}

/// Periodically records unrecorded transfers in the table.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(RECORD_INTERVAL).await;
        for (budget, holding) in state.budgets.holdings() {
            if holding.unrecorded > 0 {
                // On failure the next round tries again.
                let _ = state
                    .budgets
                    .record_transfers(&budget, state.row_version())
                    .await;
            }
        }
    }
}
