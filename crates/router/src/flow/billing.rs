//! Bills a completed request.
//!
//! The bill is made durable, or copied to a peer, before the caller receives the
//! last part of the answer, so that a crash of this router does not lose it. If
//! neither succeeds within the configured time-outs, the answer is completed
//! with the bill in this process only.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use poplar_core::bill::{Answer, Bill, BilledRow};
use tokio::sync::oneshot;

use crate::budget::bill_queue::BillOutcome;
use crate::flow::request::Job;
use crate::request_trace::unix_ms;
use crate::state::State;

/// What a completed request consumed, and when.
#[derive(Debug, Clone)]
pub struct CompletedRequest {
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens, or the price of a call.
    pub output: u64,
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// When the answer was complete.
    pub completed_at: Instant,
    /// The answer, kept with the bill if the request has an idempotency key.
    pub answer: Answer,
}

/// How far the bill of a completed request got before the answer's end is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BillState {
    /// The bill is in the store.
    Durable,
    /// A peer holds a copy until the store is reachable again.
    Copied,
    /// Neither the store nor a peer could take it; only this router has it.
    Alone,
    /// An earlier run of the request was billed already, in this row.
    Earlier(BilledRow),
    /// The router was sealed, so it may not bill.
    Sealed,
}

/// Submits the bill of a completed request and waits until it is durable or
/// copied, within the configured time-outs.
pub async fn bill(state: &Arc<State>, job: &Job, completed: &CompletedRequest) -> BillState {
    let bill = make_bill(job, completed);
    let met = bill.targets_met;
    let free = bill.tokens() == 0;
    let now = unix_ms(SystemTime::now());
    state
        .burn
        .record_answer(&job.workspace, &job.class.name, met, now);
    let written = state.bill_queue.submit(bill.clone(), job.id.is_keyed());
    if free && !job.id.is_keyed() {
        // Losing a bill of zero tokens costs nothing, so there is no wait.
        return BillState::Durable;
    }
    wait_durable(state, bill, written).await
}

async fn wait_durable(
    state: &Arc<State>,
    bill: Bill,
    mut written: oneshot::Receiver<BillOutcome>,
) -> BillState {
    tokio::select! {
        biased;
        billed = &mut written => return bill_state(billed),
        // While the store is known to be failing, peers get copies at once.
        () = state.bill_queue.wait_for_failure() => {}
        () = tokio::time::sleep(state.settings.budget.bill_timeout) => {}
    }
    if state.peers.replicate_bill(state, &bill).await {
        state.bill_queue.mark_answered(&bill.id);
        crate::metrics::count_unbilled_answer("copied");
        let state = state.clone();
        let id = bill.id.clone();
        tokio::spawn(async move {
            if matches!(
                written.await,
                Ok(BillOutcome::Durable | BillOutcome::AlreadyBilled(_))
            ) {
                state.peers.discard_copies(&state, &id).await;
            }
        });
        return BillState::Copied;
    }
    match tokio::time::timeout(state.settings.budget.unbilled_timeout, written).await {
        Ok(billed) => bill_state(billed),
        Err(_) => {
            state.bill_queue.mark_answered(&bill.id);
            crate::metrics::count_unbilled_answer("alone");
            BillState::Alone
        }
    }
}

fn bill_state(billed: Result<BillOutcome, oneshot::error::RecvError>) -> BillState {
    match billed {
        Ok(BillOutcome::Durable) => BillState::Durable,
        Ok(BillOutcome::AlreadyBilled(row)) => BillState::Earlier(row),
        Ok(BillOutcome::Sealed) | Err(_) => BillState::Sealed,
    }
}

fn make_bill(job: &Job, completed: &CompletedRequest) -> Bill {
    let since = |at: Instant| at.saturating_duration_since(job.arrived);
    let first = completed.first_token.map(since);
    let total = since(completed.completed_at);
    let first_in_time = match (first, job.class.first_target) {
        (Some(first), Some(target)) => first <= target,
        _ => true,
    };
    Bill {
        id: job.id.clone(),
        workspace: job.workspace.clone(),
        class: job.class.name.clone(),
        budget: job.budget.clone(),
        body_hash: job.body_hash,
        prompt: completed.prompt,
        output: completed.output,
        at_ms: unix_ms(SystemTime::now()),
        first_ms: first.map(|d| d.as_millis() as u64),
        finish_ms: total.as_millis() as u64,
        targets_met: first_in_time && total <= job.class.finish_target,
        answer: job.id.is_keyed().then(|| completed.answer.clone()),
    }
}
