//! Writes bills in batches: an object, then the billing row that leads to it.
//!
//! One transaction points the billing row at the batch and marks requests with
//! an idempotency key as billed. It relies on the versions of the billing row
//! and of the router's own row. A try whose answer was lost is remembered until
//! the row shows what became of it, since it may take effect late.

use std::time::Duration;

use bytes::Bytes;
use poplar_base::log;
use poplar_base::platform::{Commit, Error, Platform, Row};
use poplar_core::bill::{self, Batch, BilledRow, BillingRow};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::id::{Incarnation, Name};

use super::bill_queue::{BillQueue, Taken};
use super::manager::BudgetManager;

/// Least time between two batches of this router, times the live routers: all
/// together they make a hundred batches a second, each a put and a commit.
const SPACING: Duration = Duration::from_millis(10);
/// First wait after a failure; it doubles.
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after failures.
const BACKOFF_MOST: Duration = Duration::from_secs(2);

/// A commit whose outcome is not known.
#[derive(Debug)]
struct Try {
    taken: Taken,
    next: BillingRow,
}

/// How a step ended.
enum Step {
    Committed,
    Again,
    Failed,
    Sealed,
}

/// The one writer of this router's billing row.
#[derive(Debug)]
pub struct BillWriter<'a> {
    platform: &'a Platform,
    budgets: &'a BudgetManager,
    bill_queue: &'a BillQueue,
    me: &'a Incarnation,
    router: u64,
    row: BillingRow,
    version: u64,
    attempt: u64,
    open: Vec<Try>,
}

impl<'a> BillWriter<'a> {
    /// A writer for the router `me` whose own row has the version `router`.
    pub fn new(
        platform: &'a Platform,
        budgets: &'a BudgetManager,
        bill_queue: &'a BillQueue,
        me: &'a Incarnation,
        router: u64,
    ) -> Self {
        Self {
            platform,
            budgets,
            bill_queue,
            me,
            router,
            row: BillingRow::default(),
            version: 0,
            attempt: 0,
            open: Vec::new(),
        }
    }

    /// Works until the router is sealed.
    pub async fn run(mut self) {
        let mut wait = BACKOFF;
        let mut next = tokio::time::Instant::now();
        loop {
            self.bill_queue.some().await;
            // The first bill after a pause goes at once; others gather.
            tokio::time::sleep_until(next).await;
            next = tokio::time::Instant::now() + SPACING * self.budgets.routers();
            match self.step().await {
                Step::Committed => {
                    self.bill_queue.failed(false);
                    wait = BACKOFF;
                }
                Step::Again => wait = BACKOFF,
                Step::Failed => {
                    self.bill_queue.failed(true);
                    // Routers that failed together must not come back together.
                    let share = rand::random_range(0.5..1.0);
                    tokio::time::sleep(wait.mul_f64(share)).await;
                    wait = (wait * 2).min(BACKOFF_MOST);
                }
                Step::Sealed => return self.bill_queue.give_up(),
            }
        }
    }

    async fn step(&mut self) -> Step {
        if !self.open.is_empty() {
            match self.read_back().await {
                Step::Again => {}
                other => return other,
            }
        }
        let taken = self.bill_queue.take();
        self.attempt += 1;
        let name = bill::batch_name(self.me, self.row.batches, self.attempt);
        let name: Name = name.into();
        let batch = Batch {
            previous: self.row.head.clone(),
            bills: taken.bills.clone(),
            losses: taken.losses.clone(),
        };
        let next = self.row.with_batch(name.clone(), &batch);
        let bytes = serde_json::to_vec(&batch).expect("bills are plain data");
        let put = (self.platform.put)(name.to_string(), Bytes::from(bytes)).await;
        if put.is_err() {
            // A put whose answer was lost leaves an object nothing leads to.
            return Step::Failed;
        }
        let commit = self.commit(&next, &name, &taken);
        match (self.platform.commit)(commit).await {
            Ok(version) => {
                self.committed(taken, next, version);
                Step::Committed
            }
            Err(Error::Conflict(rows)) => self.conflict(&rows),
            Err(Error::Unknown(_) | Error::Malformed(_)) => {
                self.open.push(Try { taken, next });
                self.read_back().await
            }
            Err(Error::Down(_)) => Step::Failed,
        }
    }

    fn commit(&self, next: &BillingRow, batch: &Name, taken: &Taken) -> Commit {
        let mut commit = Commit::default()
            .check(incarnation_key(self.me), self.router)
            .check(bill::billing_key(self.me), self.version)
            .write(bill::billing_key(self.me), next);
        for mark in &taken.marks {
            let row = BilledRow {
                batch: batch.clone(),
                body_hash: mark.body,
            };
            commit = commit.check(&mark.key, 0).write(&mark.key, &row);
        }
        commit
    }

    fn committed(&mut self, taken: Taken, next: BillingRow, version: u64) {
        self.bill_queue.finish(self.budgets, &taken);
        self.row = next;
        self.version = version;
        // They relied on the version before.
        self.open.clear();
    }

    /// What rows that were read say of the own row and of open tries.
    fn look(&mut self, rows: &[Row]) -> Step {
        let find = |key: String| rows.iter().find(|r| r.key == key);
        let own = find(incarnation_key(self.me));
        if let Some(row) = find(bill::billing_key(self.me)).filter(|r| r.version != self.version) {
            let found = row.decode::<BillingRow>().ok().flatten();
            let known = self
                .open
                .iter()
                .position(|t| Some(&t.next) == found.as_ref());
            let Some(at) = known else {
                // Nobody else writes this row while the router is not sealed.
                log::error("billing row")
                    .reason("written by another")
                    .write();
                return Step::Sealed;
            };
            let Try { taken, next } = self.open.swap_remove(at);
            self.committed(taken, next, row.version);
            return Step::Committed;
        }
        if own.is_some_and(|r| r.version != self.router) {
            return Step::Sealed;
        }
        Step::Again
    }

    fn conflict(&mut self, rows: &[Row]) -> Step {
        let step = self.look(rows);
        if matches!(step, Step::Again) {
            self.bill_queue.drop_earlier(rows);
        }
        step
    }

    async fn read_back(&mut self) -> Step {
        let keys = vec![bill::billing_key(self.me), incarnation_key(self.me)];
        match (self.platform.read)(keys).await {
            // A try that is still on its way relies on the same version as the
            // next one, so that one of the two fails.
            Ok(rows) => self.look(&rows),
            Err(_) => Step::Failed,
        }
    }
}
