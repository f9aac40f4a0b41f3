//! Bills on their way to the store.
//!
//! Flows hand bills over and learn what became of them. The first durable bill
//! of a request wins; a second run of it learns where the first one's answer
//! is. The batches are written by [`super::writer`].

use std::collections::VecDeque;
use std::sync::Mutex;

use poplar_base::platform::Row;
use poplar_core::bill::{self, Bill, BilledRow, Loss};
use poplar_core::id::{Name, RequestId};
use poplar_core::sorted::SortedVec;
use tokio::sync::{Notify, oneshot, watch};

use super::manager::BudgetManager;
use crate::sync::lock;

/// Bills in one batch at the most.
const MOST: usize = 256;
/// What became of a bill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BillOutcome {
    /// It is durable.
    Durable,
    /// An earlier run of the request was billed; its answer is in this batch.
    AlreadyBilled(BilledRow),
    /// The router was sealed before it was durable.
    Sealed,
}

/// A bill on its way.
#[derive(Debug)]
pub struct Pending {
    bill: Bill,
    marked: bool,
    /// Whether the answer went out before the bill was durable.
    answered: bool,
    done: oneshot::Sender<BillOutcome>,
}

/// Bills that are not durable yet.
#[derive(Debug)]
pub struct BillQueue {
    queue: Mutex<VecDeque<Pending>>,
    losses: Mutex<Vec<Loss>>,
    wake: Notify,
    waiting: watch::Sender<usize>,
    failing: watch::Sender<bool>,
    left: Mutex<Vec<Bill>>,
}

impl Default for BillQueue {
    fn default() -> Self {
        Self {
            queue: Mutex::default(),
            losses: Mutex::default(),
            wake: Notify::new(),
            waiting: watch::channel(0).0,
            failing: watch::channel(false).0,
            left: Mutex::default(),
        }
    }
}

impl BillQueue {
    /// Hands a bill over; the receiver learns what became of it.
    ///
    /// `marked` bills are marked in the table by their request's identity, so
    /// that no second one of the same request is ever made durable.
    pub fn submit(&self, bill: Bill, marked: bool) -> oneshot::Receiver<BillOutcome> {
        let (done, receiver) = oneshot::channel();
        let pending = Pending {
            bill,
            marked,
            answered: false,
            done,
        };
        lock(&self.queue).push_back(pending);
        self.waiting.send_modify(|n| *n += 1);
        self.wake.notify_one();
        receiver
    }

    /// Registry that a request's answer goes out though its bill waits.
    pub fn mark_answered(&self, id: &RequestId) {
        for pending in lock(&self.queue).iter_mut() {
            pending.answered |= pending.bill.id == *id;
        }
    }

    /// Hands over tokens that were consumed, or may have been, for nothing.
    pub fn record_loss(&self, budget: &Name, tokens: u64) {
        lock(&self.losses).push(Loss {
            budget: budget.clone(),
            tokens,
        });
        self.waiting.send_modify(|n| *n += 1);
        self.wake.notify_one();
    }

    /// How many bills are not durable yet.
    pub fn pending_count(&self) -> usize {
        *self.waiting.borrow()
    }

    /// Waits until the store did not take a batch, at once where it did not
    /// take the last one.
    pub async fn wait_for_failure(&self) {
        let mut failing = self.failing.subscribe();
        // The sender lives as long as self does.
        let _ = failing.wait_for(|failing| *failing).await;
    }

    /// The bill of a request that is not durable yet.
    pub fn pending_bill(&self, id: &RequestId) -> Option<Bill> {
        let queue = lock(&self.queue);
        let found = queue.iter().find(|p| p.bill.id == *id);
        found.map(|p| p.bill.clone())
    }

    /// Waits until there is a bill.
    pub(super) async fn some(&self) {
        while self.pending_count() == 0 {
            self.wake.notified().await;
        }
    }

    /// Registry whether the store took the last batch.
    pub(super) fn failed(&self, failed: bool) {
        self.failing.send_replace(failed);
    }

    /// Waits until every bill handed over is durable.
    pub async fn wait_until_flushed(&self) {
        let mut waiting = self.waiting.subscribe();
        // The sender lives as long as self does.
        let _ = waiting.wait_for(|n| *n == 0).await;
    }

    /// What goes into the next batch; it stays queued until it is durable.
    pub(super) fn take(&self) -> Taken {
        let queue = lock(&self.queue);
        let many = queue.len().min(MOST);
        let first = || queue.iter().take(many);
        let marks = first().filter(|p| p.marked).map(|p| Mark {
            key: bill::billed_key(&p.bill.id),
            body: p.bill.body_hash,
        });
        Taken {
            bills: first().map(|p| p.bill.clone()).collect(),
            marks: marks.collect(),
            losses: lock(&self.losses).clone(),
        }
    }

    /// Takes out what a batch made durable, and tells `bank` and the flows.
    pub(super) fn finish(&self, budgets: &BudgetManager, taken: &Taken) {
        let mut done = Vec::with_capacity(taken.bills.len());
        {
            let mut queue = lock(&self.queue);
            for bill in &taken.bills {
                let at = queue.iter().position(|p| p.bill.id == bill.id);
                done.extend(at.and_then(|at| queue.remove(at)));
            }
        }
        lock(&self.losses).drain(..taken.losses.len());
        for loss in &taken.losses {
            budgets.mark_accounted(&loss.budget, loss.tokens);
        }
        let many = done.len() + taken.losses.len();
        for pending in done {
            budgets.mark_accounted(&pending.bill.budget, pending.bill.tokens());
            // A caller that is gone needs no word.
            let _ = pending.done.send(BillOutcome::Durable);
        }
        self.waiting.send_modify(|n| *n -= many);
    }

    /// Takes out the bills of requests that another run was billed for.
    pub(super) fn drop_earlier(&self, now: &[Row]) {
        let earlier: SortedVec<String, BilledRow> = now
            .iter()
            .filter(|r| r.version != 0 && r.key.starts_with("billed/"))
            .filter_map(|r| Some((r.key.clone(), r.decode().ok()??)))
            .collect();
        let mut dropped = Vec::new();
        lock(&self.queue).retain_mut(|pending| {
            let key = bill::billed_key(&pending.bill.id);
            let Some(row) = earlier.get(&key).filter(|_| pending.marked) else {
                return true;
            };
            let (closed, _) = oneshot::channel();
            let done = std::mem::replace(&mut pending.done, closed);
            dropped.push((done, row.clone(), pending.bill.clone()));
            false
        });
        let many = dropped.len();
        for (done, row, bill) in dropped {
            // What this run consumed is billed to nobody.
            self.record_loss(&bill.budget, bill.tokens());
            let _ = done.send(BillOutcome::AlreadyBilled(row));
        }
        self.waiting.send_modify(|n| *n -= many);
    }

    /// Bills of answers that went out, which this router can't make durable.
    pub fn unbilled_answers(&self) -> Vec<Bill> {
        lock(&self.left).clone()
    }

    /// Tells every waiting flow that the router may bill no more.
    pub(super) fn give_up(&self) {
        let rest: Vec<_> = lock(&self.queue).drain(..).collect();
        self.waiting.send_modify(|n| *n -= rest.len());
        let answered = rest.iter().filter(|p| p.answered);
        lock(&self.left).extend(answered.map(|p| p.bill.clone()));
        for pending in rest {
            let _ = pending.done.send(BillOutcome::Sealed);
        }
    }
}

/// What one batch holds.
#[derive(Debug)]
pub(super) struct Taken {
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
