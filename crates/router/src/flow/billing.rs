//! The end of a request: its bill is made durable before the caller has the
//! answer's last part.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use poplar_core::bill::{Answer, Bill, BilledRow};
use tokio::sync::oneshot;

use crate::budget::bill_queue::BillOutcome;
use crate::flow::request::Job;
use crate::request_trace::unix_ms;
use crate::state::State;

/// What a finished request consumed, and when.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens, or the price of a call.
    pub output: u64,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
    /// When the answer was whole.
    pub completed_at: Instant,
    /// The answer, to be kept where the request has a key.
    pub answer: Answer,
}

/// How sure it is that the request is billed once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BillState {
    /// Its bill is durable.
    Durable,
    /// A peer holds a copy until the store is back.
    Copied,
    /// Neither the store nor a peer could take it; it waits here.
    Alone,
    /// An earlier run was billed, with this answer.
    Earlier(BilledRow),
    /// The router was sealed: it may not bill.
    Sealed,
}

/// Makes the bill of a finished request and waits until it is safe.
pub async fn bill(state: &Arc<State>, job: &Job, finished: &Completion) -> BillState {
    let bill = make(job, finished);
    let met = bill.targets_met;
    let free = bill.tokens() == 0;
    let now = unix_ms(SystemTime::now());
    state
        .burn
        .record_answer(&job.workspace, &job.class.name, met, now);
    let done = state.bill_queue.submit(bill.clone(), job.id.is_keyed());
    if free && !job.id.is_keyed() {
        // Nothing is at stake that would be worth the wait.
        return BillState::Durable;
    }
    wait(state, bill, done).await
}

async fn wait(
    state: &Arc<State>,
    bill: Bill,
    mut done: oneshot::Receiver<BillOutcome>,
) -> BillState {
    tokio::select! {
        biased;
        billed = &mut done => return sure(billed),
        // Once the store is known to fail the copies are made at once.
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
                done.await,
                Ok(BillOutcome::Durable | BillOutcome::AlreadyBilled(_))
            ) {
                state.peers.discard_copies(&state, &id).await;
            }
        });
        return BillState::Copied;
    }
    match tokio::time::timeout(state.settings.budget.unbilled_timeout, done).await {
        Ok(billed) => sure(billed),
        Err(_) => {
            state.bill_queue.mark_answered(&bill.id);
            crate::metrics::count_unbilled_answer("alone");
            BillState::Alone
        }
    }
}

fn sure(billed: Result<BillOutcome, oneshot::error::RecvError>) -> BillState {
    match billed {
        Ok(BillOutcome::Durable) => BillState::Durable,
        Ok(BillOutcome::AlreadyBilled(row)) => BillState::Earlier(row),
        Ok(BillOutcome::Sealed) | Err(_) => BillState::Sealed,
    }
}

fn make(job: &Job, finished: &Completion) -> Bill {
    let since = |at: Instant| at.saturating_duration_since(job.arrived);
    let first = finished.first_token_at.map(since);
    let whole = since(finished.completed_at);
    let in_time = match (first, job.class.first_target) {
        (Some(first), Some(target)) => first <= target,
        _ => true,
    };
    Bill {
        id: job.id.clone(),
        workspace: job.workspace.clone(),
        class: job.class.name.clone(),
        budget: job.budget.clone(),
        body_hash: job.body,
        prompt: finished.prompt,
        output: finished.output,
        at_ms: unix_ms(SystemTime::now()),
        first_ms: first.map(|d| d.as_millis() as u64),
        finish_ms: whole.as_millis() as u64,
        targets_met: in_time && whole <= job.class.finish_target,
        answer: job.id.is_keyed().then(|| finished.answer.clone()),
    }
}
