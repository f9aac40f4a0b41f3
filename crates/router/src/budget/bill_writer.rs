//! Writes bills in batches: first an object, then the billing row that points
//! to it.
//!
//! One transaction points the billing row at the batch and marks requests with
//! an idempotency key as billed. It checks the versions of the billing row and
//! of the router's own row. A commit whose answer was lost may take effect late,
//! so it is remembered until the billing row shows whether it did.

use std::time::Duration;

use bytes::Bytes;
use poplar_base::log;
use poplar_base::platform::{Commit, Error, Platform, Row};
use poplar_core::bill::{self, Batch, BilledRow, BillingRow};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::id::{Incarnation, Name};

use super::bill_queue::{BatchContent, BillQueue};
use super::manager::BudgetManager;

/// Least time between two batches of this router, multiplied by the number of
/// live routers: all routers together write at most a hundred batches a second,
/// each a put and a commit.
const BATCH_SPACING: Duration = Duration::from_millis(10);
/// Wait after a first failure; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest wait after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// A commit whose outcome is not known.
#[derive(Debug)]
struct OpenCommit {
    content: BatchContent,
    next: BillingRow,
}

/// How an attempt to write a batch ended.
enum Step {
    /// A batch is durable.
    Committed,
    /// Nothing is written and nothing has failed; the next attempt may follow.
    Retry,
    /// The platform failed.
    Failed,
    /// The router is sealed and may write no more bills.
    Sealed,
}

/// The only writer of this router's billing row.
#[derive(Debug)]
pub struct BillWriter<'a> {
    platform: &'a Platform,
    budgets: &'a BudgetManager,
    bill_queue: &'a BillQueue,
    incarnation: &'a Incarnation,
    router_version: u64,
    billing: BillingRow,
    billing_version: u64,
    attempt: u64,
    open: Vec<OpenCommit>,
}

impl<'a> BillWriter<'a> {
    /// Creates the writer of this router's bills; `router_version` is the version
    /// of its own row.
    pub fn new(
        platform: &'a Platform,
        budgets: &'a BudgetManager,
        bill_queue: &'a BillQueue,
        incarnation: &'a Incarnation,
        router_version: u64,
    ) -> Self {
        Self {
            platform,
            budgets,
            bill_queue,
            incarnation,
            router_version,
            billing: BillingRow::default(),
            billing_version: 0,
            attempt: 0,
            open: Vec::new(),
        }
    }

    /// Writes batches until the router is sealed.
    pub async fn run(mut self) {
        let mut wait = BACKOFF_MIN;
        let mut next = tokio::time::Instant::now();
        loop {
            self.bill_queue.wait_until_pending().await;
            // The first bill after a pause is written at once; later ones
            // collect until the spacing has passed.
            tokio::time::sleep_until(next).await;
            next = tokio::time::Instant::now() + BATCH_SPACING * self.budgets.live_routers();
            match self.step().await {
                Step::Committed => {
                    self.bill_queue.set_failing(false);
                    wait = BACKOFF_MIN;
                }
                Step::Retry => wait = BACKOFF_MIN,
                Step::Failed => {
                    self.bill_queue.set_failing(true);
                    // A random part of the wait keeps routers that failed
                    // together from retrying together.
                    let share = rand::random_range(0.5..1.0);
                    tokio::time::sleep(wait.mul_f64(share)).await;
                    wait = (wait * 2).min(BACKOFF_MAX);
                }
                Step::Sealed => return self.bill_queue.abort(),
            }
        }
    }

    async fn step(&mut self) -> Step {
        if !self.open.is_empty() {
            match self.read_back().await {
                Step::Retry => {}
                other => return other,
            }
        }
        let content = self.bill_queue.next_batch();
        self.attempt += 1;
        let name = bill::batch_name(self.incarnation, self.billing.batches, self.attempt);
        let name: Name = name.into();
        let batch = Batch {
            previous: self.billing.head.clone(),
            bills: content.bills.clone(),
            losses: content.losses.clone(),
        };
        let next = self.billing.with_batch(name.clone(), &batch);
        let bytes = serde_json::to_vec(&batch).expect("bills are plain data");
        let put = (self.platform.put)(name.to_string(), Bytes::from(bytes)).await;
        if put.is_err() {
            // If only the answer was lost, the object stays, but nothing points
            // to it.
            return Step::Failed;
        }
        let commit = self.commit(&next, &name, &content);
        match (self.platform.commit)(commit).await {
            Ok(version) => {
                self.apply_commit(content, next, version);
                Step::Committed
            }
            Err(Error::Conflict(rows)) => self.on_conflict(&rows),
            Err(Error::OutcomeUnknown(_) | Error::Malformed(_)) => {
                self.open.push(OpenCommit { content, next });
                self.read_back().await
            }
            Err(Error::Unavailable(_)) => Step::Failed,
        }
    }

    fn commit(&self, next: &BillingRow, batch: &Name, content: &BatchContent) -> Commit {
        let mut commit = Commit::default()
            .check(incarnation_key(self.incarnation), self.router_version)
            .check(bill::billing_key(self.incarnation), self.billing_version)
            .write(bill::billing_key(self.incarnation), next);
        for mark in &content.marks {
            let row = BilledRow {
                batch: batch.clone(),
                body: mark.body,
            };
            commit = commit.check(&mark.key, 0).write(&mark.key, &row);
        }
        commit
    }

    fn apply_commit(&mut self, content: BatchContent, next: BillingRow, version: u64) {
        self.bill_queue.complete_batch(self.budgets, &content);
        self.billing = next;
        self.billing_version = version;
        // The other open commits check the previous version, so they can't take
        // effect any more.
        self.open.clear();
    }

    /// Evaluates rows that were read: whether an open commit took effect, and
    /// whether the router is sealed.
    fn evaluate_rows(&mut self, rows: &[Row]) -> Step {
        let find = |key: String| rows.iter().find(|r| r.key == key);
        let own = find(incarnation_key(self.incarnation));
        if let Some(row) =
            find(bill::billing_key(self.incarnation)).filter(|r| r.version != self.billing_version)
        {
            let found = row.decode::<BillingRow>().ok().flatten();
            let known = self
                .open
                .iter()
                .position(|open| Some(&open.next) == found.as_ref());
            let Some(at) = known else {
                // Nobody else writes this row unless the router is sealed.
                log::error("billing row changed")
                    .reason("another writer changed the billing row")
                    .write();
                return Step::Sealed;
            };
            let OpenCommit { content, next } = self.open.swap_remove(at);
            self.apply_commit(content, next, row.version);
            return Step::Committed;
        }
        if own.is_some_and(|r| r.version != self.router_version) {
            return Step::Sealed;
        }
        Step::Retry
    }

    fn on_conflict(&mut self, rows: &[Row]) -> Step {
        let step = self.evaluate_rows(rows);
        if matches!(step, Step::Retry) {
            self.bill_queue.drop_already_billed(rows);
        }
        step
    }

    async fn read_back(&mut self) -> Step {
        let keys = vec![
            bill::billing_key(self.incarnation),
            incarnation_key(self.incarnation),
        ];
        match (self.platform.read)(keys).await {
            // A commit that is still on its way checks the same version as the
            // next one, so only one of them can take effect.
            Ok(rows) => self.evaluate_rows(&rows),
            Err(_) => Step::Failed,
        }
    }
}
