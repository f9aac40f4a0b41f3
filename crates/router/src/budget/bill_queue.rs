//! Queue of bills and losses that are not durable yet.
//!
//! Request handlers submit bills and receive the outcome of each. The first
//! durable bill of a request wins; a second run of the request learns which
//! batch has the first run's answer. [`super::bill_writer`] writes the batches.

use std::collections::VecDeque;
use std::sync::Mutex;

use poplar_base::platform::Row;
use poplar_core::bill::{self, Bill, BilledRow, Loss};
use poplar_core::id::{Name, RequestId};
use poplar_core::sorted::SortedVec;
use tokio::sync::{Notify, oneshot, watch};

use super::manager::BudgetManager;
use crate::sync::lock;

/// Bills in one batch at most.
const MAX_BATCH: usize = 256;

/// What became of a bill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BillOutcome {
    /// The bill is durable.
    Durable,
    /// An earlier run of the request was billed; the row names the batch that
    /// has its answer.
    AlreadyBilled(BilledRow),
    /// The router was sealed before the bill was durable.
    Sealed,
}

/// A bill that is not durable yet.
#[derive(Debug)]
pub struct Pending {
    bill: Bill,
    /// Whether the batch also marks the request as billed.
    marked: bool,
    /// Whether the answer was sent before the bill was durable.
    answered: bool,
    outcome: oneshot::Sender<BillOutcome>,
}

/// Bills and losses that are not durable yet.
#[derive(Debug)]
pub struct BillQueue {
    queue: Mutex<VecDeque<Pending>>,
    losses: Mutex<Vec<Loss>>,
    /// Wakes the writer when something is added.
    wake: Notify,
    /// Number of bills and losses that are not durable.
    pending: watch::Sender<usize>,
    /// Whether the last batch could not be written.
    failing: watch::Sender<bool>,
    /// Bills of sent answers that were not durable when the router was sealed.
    unbilled: Mutex<Vec<Bill>>,
}

impl Default for BillQueue {
    fn default() -> Self {
        Self {
            queue: Mutex::default(),
            losses: Mutex::default(),
            wake: Notify::new(),
            pending: watch::channel(0).0,
            failing: watch::channel(false).0,
            unbilled: Mutex::default(),
        }
    }
}

impl BillQueue {
    /// Queues a bill and returns the receiver of its outcome.
    ///
    /// The table marks the request of a `marked` bill as billed, so that no
    /// second bill of the same request ever becomes durable.
    pub fn submit(&self, bill: Bill, marked: bool) -> oneshot::Receiver<BillOutcome> {
        let (outcome, receiver) = oneshot::channel();
        let pending = Pending {
            bill,
            marked,
            answered: false,
            outcome,
        };
        lock(&self.queue).push_back(pending);
        self.pending.send_modify(|n| *n += 1);
        self.wake.notify_one();
        receiver
    }

    /// Records that a request's answer is sent although its bill is not durable.
    pub fn mark_answered(&self, id: &RequestId) {
        for pending in lock(&self.queue).iter_mut() {
            pending.answered |= pending.bill.id == *id;
        }
    }

    /// Queues a loss: tokens that were or may have been consumed and that are
    /// not billed.
    pub fn record_loss(&self, budget: &Name, tokens: u64) {
        lock(&self.losses).push(Loss {
            budget: budget.clone(),
            tokens,
        });
        self.pending.send_modify(|n| *n += 1);
        self.wake.notify_one();
    }

    /// Returns how many bills and losses are not durable yet.
    pub fn pending_count(&self) -> usize {
        *self.pending.borrow()
    }

    /// Waits until a batch can't be written; returns at once if that was so for
    /// the last batch.
    pub async fn wait_for_failure(&self) {
        let mut failing = self.failing.subscribe();
        // Can't fail: `self` owns the sender.
        let _ = failing.wait_for(|failing| *failing).await;
    }

    /// Returns the bill of a request while it is not durable.
    pub fn pending_bill(&self, id: &RequestId) -> Option<Bill> {
        let queue = lock(&self.queue);
        let found = queue.iter().find(|p| p.bill.id == *id);
        found.map(|p| p.bill.clone())
    }

    /// Waits until there is a bill or a loss to write.
    pub(super) async fn wait_until_pending(&self) {
        while self.pending_count() == 0 {
            self.wake.notified().await;
        }
    }

    /// Records whether the last batch failed to be written.
    pub(super) fn set_failing(&self, failing: bool) {
        self.failing.send_replace(failing);
    }

    /// Waits until every queued bill and loss is durable.
    pub async fn wait_until_flushed(&self) {
        let mut pending = self.pending.subscribe();
        // Can't fail: `self` owns the sender.
        let _ = pending.wait_for(|n| *n == 0).await;
    }

    /// Returns the content of the next batch, which stays queued until it is
    /// durable.
    pub(super) fn next_batch(&self) -> BatchContent {
        let queue = lock(&self.queue);
        let count = queue.len().min(MAX_BATCH);
        let first = || queue.iter().take(count);
        let marks = first().filter(|p| p.marked).map(|p| Mark {
            key: bill::billed_key(&p.bill.id),
            body: p.bill.body_hash,
        });
        BatchContent {
            bills: first().map(|p| p.bill.clone()).collect(),
            marks: marks.collect(),
            losses: lock(&self.losses).clone(),
        }
    }

    /// Removes the content of a durable batch, updates the ledger and sends the
    /// outcomes.
    pub(super) fn complete_batch(&self, budgets: &BudgetManager, batch: &BatchContent) {
        let mut durable = Vec::with_capacity(batch.bills.len());
        {
            let mut queue = lock(&self.queue);
            for bill in &batch.bills {
                let at = queue.iter().position(|p| p.bill.id == bill.id);
                durable.extend(at.and_then(|at| queue.remove(at)));
            }
        }
        lock(&self.losses).drain(..batch.losses.len());
        for loss in &batch.losses {
            budgets.mark_accounted(&loss.budget, loss.tokens);
        }
        let count = durable.len() + batch.losses.len();
        for pending in durable {
            budgets.mark_accounted(&pending.bill.budget, pending.bill.tokens());
            // A handler that no longer waits needs no outcome.
            let _ = pending.outcome.send(BillOutcome::Durable);
        }
        self.pending.send_modify(|n| *n -= count);
    }

    /// Removes the bills of requests of which another run was billed, according
    /// to the rows that a conflict returned.
    pub(super) fn drop_already_billed(&self, rows: &[Row]) {
        let billed: SortedVec<String, BilledRow> = rows
            .iter()
            .filter(|r| r.version != 0 && r.key.starts_with("billed/"))
            .filter_map(|r| Some((r.key.clone(), r.decode().ok()??)))
            .collect();
        let mut dropped = Vec::new();
        lock(&self.queue).retain_mut(|pending| {
            let key = bill::billed_key(&pending.bill.id);
            let Some(row) = billed.get(&key).filter(|_| pending.marked) else {
                return true;
            };
            let (closed, _) = oneshot::channel();
            let outcome = std::mem::replace(&mut pending.outcome, closed);
            dropped.push((outcome, row.clone(), pending.bill.clone()));
            false
        });
        let count = dropped.len();
        for (outcome, row, bill) in dropped {
            // What this run consumed is a loss, since the request is billed once.
            self.record_loss(&bill.budget, bill.tokens());
            let _ = outcome.send(BillOutcome::AlreadyBilled(row));
        }
        self.pending.send_modify(|n| *n -= count);
    }

    /// Returns the bills of answers that were sent and that this router, being
    /// sealed, can no longer make durable.
    pub fn unbilled_answers(&self) -> Vec<Bill> {
        lock(&self.unbilled).clone()
    }

    /// Empties the queue of a sealed router and reports that to the handlers.
    pub(super) fn abort(&self) {
        let rest: Vec<_> = lock(&self.queue).drain(..).collect();
        self.pending.send_modify(|n| *n -= rest.len());
        let answered = rest.iter().filter(|p| p.answered);
        lock(&self.unbilled).extend(answered.map(|p| p.bill.clone()));
        for pending in rest {
            let _ = pending.outcome.send(BillOutcome::Sealed);
        }
    }
}

/// The content of one batch.
#[derive(Debug)]
pub(super) struct BatchContent {
    pub(super) bills: Vec<Bill>,
    pub(super) marks: Vec<Mark>,
    pub(super) losses: Vec<Loss>,
}

/// A request that the batch marks as billed.
#[derive(Debug)]
pub(super) struct Mark {
    pub(super) key: String,
    pub(super) body: u64,
}
