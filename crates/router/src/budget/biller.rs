//! Makes bills durable, many at a time.
//!
//! One worker puts a batch of bills into the object store and then points the
//! billing row at it, in one transaction that also marks requests with an
//! idempotency key as billed. The first durable bill of a request wins; a
//! second run of it learns where the first one's answer is.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use poplar_base::platform::{Commit, Error, Platform, Row};
use poplar_core::bill::{self, Batch, Bill, BilledRow, BillingRow, Loss};
use poplar_core::id::{Incarnation, Name, RequestId};
use poplar_core::sorted::SortedVec;
use tokio::sync::{Notify, oneshot, watch};

use super::bank::Bank;
use crate::sync::lock;

/// Bills in one batch at the most.
const MOST: usize = 256;
/// Least time between two batches of this router, times the live routers: all
/// together they make a hundred batches a second, each a put and a commit.
const SPACING: Duration = Duration::from_millis(10);
/// First wait after a failure; it doubles.
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after failures.
const BACKOFF_MOST: Duration = Duration::from_secs(2);

/// What became of a bill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Billed {
    /// It is durable.
    Mine,
    /// An earlier run of the request was billed; its answer is in this batch.
    Earlier(BilledRow),
    /// The router was sealed before it was durable.
    Sealed,
}

/// A bill on its way.
#[derive(Debug)]
pub struct Pending {
    bill: Bill,
    marked: bool,
    done: oneshot::Sender<Billed>,
}

/// Bills that are not durable yet.
#[derive(Debug)]
pub struct Biller {
    queue: Mutex<VecDeque<Pending>>,
    losses: Mutex<Vec<Loss>>,
    wake: Notify,
    waiting: watch::Sender<usize>,
    failing: watch::Sender<bool>,
}

/// What the worker must know of the router's rows.
#[derive(Debug, Clone)]
pub struct Rows {
    /// The router.
    pub me: Incarnation,
    /// Version of its router row.
    pub router: u64,
}

impl Default for Biller {
    fn default() -> Self {
        Self {
            queue: Mutex::default(),
            losses: Mutex::default(),
            wake: Notify::new(),
            waiting: watch::channel(0).0,
            failing: watch::channel(false).0,
        }
    }
}

impl Biller {
    /// Hands a bill over; the receiver learns what became of it.
    ///
    /// `marked` bills are marked in the table by their request's identity, so
    /// that no second one of the same request is ever made durable.
    pub fn submit(&self, bill: Bill, marked: bool) -> oneshot::Receiver<Billed> {
        let (done, receiver) = oneshot::channel();
        let pending = Pending { bill, marked, done };
        lock(&self.queue).push_back(pending);
        self.waiting.send_modify(|n| *n += 1);
        self.wake.notify_one();
        receiver
    }

    /// Hands over tokens that were consumed, or may have been, for nothing.
    pub fn lose(&self, budget: &Name, tokens: u64) {
        lock(&self.losses).push(Loss {
            budget: budget.clone(),
            tokens,
        });
        self.waiting.send_modify(|n| *n += 1);
        self.wake.notify_one();
    }

    /// How many bills are not durable yet.
    pub fn waiting(&self) -> usize {
        *self.waiting.borrow()
    }

    /// Waits until the store did not take a batch, at once where it did not
    /// take the last one.
    pub async fn fails(&self) {
        let mut failing = self.failing.subscribe();
        // The sender lives as long as self does.
        let _ = failing.wait_for(|failing| *failing).await;
    }

    /// The bill of a request that is not durable yet.
    pub fn waiting_bill(&self, id: &RequestId) -> Option<Bill> {
        let queue = lock(&self.queue);
        let found = queue.iter().find(|p| p.bill.id == *id);
        found.map(|p| p.bill.clone())
    }

    /// Waits until every bill handed over is durable.
    pub async fn flushed(&self) {
        let mut waiting = self.waiting.subscribe();
        // The sender lives as long as self does.
        let _ = waiting.wait_for(|n| *n == 0).await;
    }

    /// Works until the router is sealed; tells `bank` what became durable.
    pub async fn run(&self, platform: &Platform, bank: &Bank, rows: Rows) {
        let mut row = BillingRow::default();
        let mut version = 0;
        let mut attempt = 0;
        let mut wait = BACKOFF;
        let mut next = tokio::time::Instant::now();
        loop {
            while self.waiting() == 0 {
                self.wake.notified().await;
            }
            // The first bill after a pause goes at once; others gather.
            tokio::time::sleep_until(next).await;
            next = tokio::time::Instant::now() + SPACING * bank.routers();
            let taken = self.take();
            attempt += 1;
            let state = Worker {
                platform,
                rows: &rows,
                row: &row,
                version,
                attempt,
            };
            match self.step(&state, &taken).await {
                Step::Committed(next, at) => {
                    self.finish(bank, &taken);
                    row = next;
                    version = at;
                    wait = BACKOFF;
                    self.failing.send_replace(false);
                }
                Step::Again => wait = BACKOFF,
                Step::Failed => {
                    self.failing.send_replace(true);
                    tokio::time::sleep(jittered(wait)).await;
                    wait = (wait * 2).min(BACKOFF_MOST);
                }
                Step::Sealed => return self.give_up(),
            }
        }
    }

    /// What goes into the next batch; it stays queued until it is durable.
    fn take(&self) -> Taken {
        let queue = lock(&self.queue);
        let many = queue.len().min(MOST);
        let first = || queue.iter().take(many);
        let marks = first().filter(|p| p.marked).map(|p| Mark {
            key: bill::billed_key(&p.bill.id),
            body: p.bill.body,
        });
        Taken {
            bills: first().map(|p| p.bill.clone()).collect(),
            marks: marks.collect(),
            losses: lock(&self.losses).clone(),
        }
    }

    async fn step(&self, worker: &Worker<'_>, taken: &Taken) -> Step {
        let name = bill::batch_name(&worker.rows.me, worker.row.batches, worker.attempt);
        let name: Name = name.into();
        let batch = Batch {
            previous: worker.row.head.clone(),
            bills: taken.bills.clone(),
            losses: taken.losses.clone(),
        };
        let next = worker.row.with(name.clone(), &batch);
        let bytes = serde_json::to_vec(&batch).expect("bills are plain data");
        let put = (worker.platform.put)(name.to_string(), Bytes::from(bytes)).await;
        if put.is_err() {
            // A put whose answer was lost leaves an object nothing leads to.
            return Step::Failed;
        }
        let commit = worker.commit(&next, &name, &taken.marks);
        match (worker.platform.commit)(commit).await {
            Ok(version) => Step::Committed(next, version),
            Err(Error::Conflict(rows)) => self.conflict(worker, &rows, next),
            Err(Error::Unknown(_) | Error::Malformed(_)) => self.read_back(worker, next).await,
            Err(Error::Down(_)) => Step::Failed,
        }
    }

    fn finish(&self, bank: &Bank, taken: &Taken) {
        let done: Vec<_> = lock(&self.queue).drain(..taken.bills.len()).collect();
        lock(&self.losses).drain(..taken.losses.len());
        for loss in &taken.losses {
            bank.accounted(&loss.budget, loss.tokens);
        }
        for pending in done {
            bank.accounted(&pending.bill.budget, pending.bill.tokens());
            // A caller that is gone needs no word.
            let _ = pending.done.send(Billed::Mine);
        }
        let many = taken.bills.len() + taken.losses.len();
        self.waiting.send_modify(|n| *n -= many);
    }

    fn conflict(&self, worker: &Worker<'_>, now: &[Row], next: BillingRow) -> Step {
        let find = |key: &str| now.iter().find(|r| r.key == key);
        if let Some(row) = find(&worker.billing_key()).filter(|r| is(r, &next)) {
            return Step::Committed(next, row.version);
        }
        if find(&worker.router_key()).is_some_and(|r| r.version != worker.rows.router) {
            return Step::Sealed;
        }
        self.drop_earlier(now);
        Step::Again
    }

    /// Takes out the bills of requests that another run was billed for.
    fn drop_earlier(&self, now: &[Row]) {
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
            self.lose(&bill.budget, bill.tokens());
            let _ = done.send(Billed::Earlier(row));
        }
        self.waiting.send_modify(|n| *n -= many);
    }

    async fn read_back(&self, worker: &Worker<'_>, next: BillingRow) -> Step {
        let keys = vec![worker.billing_key(), worker.router_key()];
        match (worker.platform.read)(keys).await {
            Ok(rows) if rows.first().is_some_and(|r| is(r, &next)) => {
                Step::Committed(next, rows[0].version)
            }
            Ok(rows) if rows.get(1).is_some_and(|r| r.version != worker.rows.router) => {
                Step::Sealed
            }
            // A write that is still on its way relies on the same version as
            // the next try, so that one of the two fails.
            Ok(_) => Step::Again,
            Err(_) => Step::Failed,
        }
    }

    fn give_up(&self) {
        let rest: Vec<_> = lock(&self.queue).drain(..).collect();
        self.waiting.send_modify(|n| *n -= rest.len());
        for pending in rest {
            let _ = pending.done.send(Billed::Sealed);
        }
    }
}

/// What one batch holds.
struct Taken {
    bills: Vec<Bill>,
    marks: Vec<Mark>,
    losses: Vec<Loss>,
}

struct Mark {
    key: String,
    body: u64,
}

struct Worker<'a> {
    platform: &'a Platform,
    rows: &'a Rows,
    row: &'a BillingRow,
    version: u64,
    attempt: u64,
}

impl Worker<'_> {
    fn billing_key(&self) -> String {
        bill::billing_key(&self.rows.me)
    }

    fn router_key(&self) -> String {
        poplar_core::budget::rows::incarnation_key(&self.rows.me)
    }

    fn commit(&self, next: &BillingRow, batch: &Name, marks: &[Mark]) -> Commit {
        let mut commit = Commit::default()
            .check(self.router_key(), self.rows.router)
            .check(self.billing_key(), self.version)
            .write(self.billing_key(), next);
        for mark in marks {
            let row = BilledRow {
                batch: batch.clone(),
                body: mark.body,
            };
            commit = commit.check(&mark.key, 0).write(&mark.key, &row);
        }
        commit
    }
}

enum Step {
    Committed(BillingRow, u64),
    Again,
    Failed,
    Sealed,
}

fn is(row: &Row, expected: &BillingRow) -> bool {
    row.decode::<BillingRow>()
        .is_ok_and(|found| found.as_ref() == Some(expected))
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::random_range(0.5..1.0))
}
