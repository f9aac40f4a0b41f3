//! Gifts of unspent tokens between routers, where the table has nothing left
//! or can't be reached.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::budget::transfer::{Transfer, TransferRequest};
use poplar_core::grant;
use poplar_core::id::{Incarnation, Name};
use poplar_peer::generated::{GiveReply, GiveRequest};
use rand::seq::SliceRandom;

use super::manager::BudgetManager;
use crate::peers::Known;
use crate::state::State;
use crate::sync::lock;

/// How often gifts are recorded in the table.
const RECORD: Duration = Duration::from_millis(500);

impl BudgetManager {
    /// Asks peers until `worst` tokens can be reserved.
    pub(super) async fn ask(&self, budget: &Name, worst: u64, now: Instant) {
        let mut peers = self.peers.living(now);
        // Routers that are short together must not all ask the same peer.
        peers.shuffle(&mut rand::rng());
        for (of, known) in peers {
            let usable = lock(&self.tables).ledger.holding(budget).usable();
            if usable >= worst {
                return;
            }
            self.ask_one(budget, worst - usable, &of, known).await;
        }
    }

    async fn ask_one(&self, budget: &Name, tokens: u64, of: &Incarnation, known: Known) {
        let (number, rate) = {
            let mut tables = lock(&self.tables);
            let rate = tables.account(budget).rate.per_second(Instant::now());
            (tables.receiver.open_request(budget, of), rate)
        };
        let request = GiveRequest {
            asker: self.me.to_string(),
            budget: budget.to_string(),
            number,
            tokens,
            rate,
        };
        let mut client = known.client;
        // After a lost answer the same number is asked again the next time.
        let Ok(reply) = client.give(request).await else {
            return;
        };
        let reply = reply.into_inner();
        if !reply.answered {
            return;
        }
        let gift = Transfer {
            budget: budget.clone(),
            from: of.clone(),
            number,
            tokens: reply.tokens,
        };
        let mut tables = lock(&self.tables);
        let credited = tables.receiver.receive(&gift);
        if credited > 0 {
            tables.ledger.credit(budget, credited);
        }
    }

    /// Answers a peer's ask.
    pub fn give(&self, request: &GiveRequest) -> GiveReply {
        let budget: Name = request.budget.as_str().into();
        let ask = TransferRequest {
            budget: budget.clone(),
            from: Incarnation(request.asker.as_str().into()),
            number: request.number,
            want: request.tokens,
        };
        let wish = grant::PeerRequest {
            need: request.tokens,
            rate: request.rate,
        };
        let mut tables = lock(&self.tables);
        let rate = tables.account(&budget).rate.per_second(Instant::now());
        let tables = &mut *tables;
        let ledger = &mut tables.ledger;
        let answer = tables.donor.answer(&ask, |_| {
            let usable = ledger.holding(&budget).usable();
            ledger.transfer_out(&budget, grant::transfer_amount(usable, &wish, rate))
        });
        GiveReply {
            answered: answer.is_some(),
            tokens: answer.unwrap_or(0),
        }
    }
}

/// Records gifts in the table again and again.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(RECORD).await;
        for (budget, holding) in state.budgets.holdings() {
            if holding.unrecorded > 0 {
                // Where it fails it is tried again the next time.
                let _ = state
                    .budgets
                    .record_transfers(&budget, state.router())
                    .await;
            }
        }
    }
}
