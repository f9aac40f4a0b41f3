//! Changes of this router's grants in the table: draws, records of transfers,
//! and the close at shutdown.
//!
//! `poplar_core::budget::change` decides; this module commits the changes and
//! reads the rows back after a conflict or a lost answer.

use std::time::{Duration, Instant};

use poplar_base::platform::{Commit, Error, Row};
use poplar_core::bill::{BillingRow, billing_key};
use poplar_core::budget::change::{self, Applied, Change, Next, Purpose, View, Writes};
use poplar_core::budget::rows::{self, BudgetRow, GrantRow};
use poplar_core::id::{Incarnation, Name};

use super::manager::{BudgetError, BudgetManager};
use crate::sync::lock;

/// Attempts to commit one change while other routers write the same rows.
const MAX_ATTEMPTS: u32 = 24;
/// Longest wait between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A budget's rows as last read; only one change at a time is made to them.
#[derive(Debug, Default)]
pub(super) struct CachedRows {
    view: Option<View>,
    /// A change whose outcome is not known yet.
    open: Option<OpenChange>,
}

/// A change that may or may not have taken effect.
#[derive(Debug)]
struct OpenChange {
    change: Change,
    keys: RowKeys,
}

/// Keys of the rows that a change reads or writes.
#[derive(Debug)]
struct RowKeys {
    budget: String,
    grant: String,
    /// This router's own row.
    router: String,
    billing: String,
    receiver: Option<(Incarnation, String)>,
}

impl RowKeys {
    fn new(budget: &Name, incarnation: &Incarnation, receiver: Option<&Incarnation>) -> Self {
        Self {
            budget: rows::budget_key(budget),
            grant: rows::grant_key(budget, incarnation),
            router: rows::incarnation_key(incarnation),
            billing: billing_key(incarnation),
            receiver: receiver.map(|r| (r.clone(), rows::grant_key(budget, r))),
        }
    }

    fn all(&self) -> Vec<String> {
        let Self {
            budget,
            grant,
            router,
            billing,
            receiver,
        } = self;
        let mut all = vec![
            budget.clone(),
            grant.clone(),
            router.clone(),
            billing.clone(),
        ];
        all.extend(receiver.iter().map(|(_, key)| key.clone()));
        all
    }

    fn commit(&self, writes: &Writes) -> Commit {
        let mut commit = Commit::default()
            .check(&self.router, writes.holder)
            .check(&self.grant, writes.grant.version)
            .write(&self.grant, &writes.grant.row);
        if let Some(budget) = &writes.budget {
            commit = commit
                .check(&self.budget, budget.version)
                .write(&self.budget, &budget.row);
        }
        if let (Some((_, key)), Some(receiver)) = (&self.receiver, &writes.receiver) {
            commit = commit
                .check(key, receiver.version)
                .write(key, &receiver.row);
        }
        commit
    }
}

impl BudgetManager {
    /// Draws for a request of `need` tokens, or ahead of time if `need` is 0.
    pub(super) async fn draw(
        &self,
        budget: &Name,
        cached: &mut CachedRows,
        need: u64,
        router_version: u64,
    ) -> Result<(), BudgetError> {
        let keys = RowKeys::new(budget, &self.incarnation, None);
        self.resolve_open(budget, cached, router_version).await?;
        if cached.view.is_none() {
            self.read_rows(budget, &keys, cached, router_version)
                .await?;
        }
        let want = self.draw_size(budget, need, Instant::now());
        if want == 0 {
            return Ok(());
        }
        let bound = Some(self.settings.max_exposure);
        let exposure = lock(&self.tables).ledger.declare_exposure(budget, bound);
        let purpose = Purpose::Draw { want, exposure };
        let drawn = self
            .make_change(budget, keys, cached, purpose, router_version)
            .await;
        if !matches!(drawn, Err(BudgetError::Exhausted { .. })) {
            return drawn;
        }
        // The cached rows may be older than a top-up of the budget.
        let keys = RowKeys::new(budget, &self.incarnation, None);
        self.read_rows(budget, &keys, cached, router_version)
            .await?;
        self.make_change(budget, keys, cached, purpose, router_version)
            .await
    }

    /// Records in the table the tokens transferred to other routers.
    pub(super) async fn record_transfers(
        &self,
        budget: &Name,
        router_version: u64,
    ) -> Result<(), BudgetError> {
        let cached = self.cached_rows(budget);
        let mut cached = cached.lock().await;
        loop {
            let next = lock(&self.tables)
                .donor
                .next_unrecorded(budget)
                .map(|(to, tokens)| (to.clone(), tokens));
            let Some((to, tokens)) = next else {
                return Ok(());
            };
            let keys = RowKeys::new(budget, &self.incarnation, Some(&to));
            self.read_rows(budget, &keys, &mut cached, router_version)
                .await?;
            let purpose = Purpose::Record { tokens };
            self.make_change(budget, keys, &mut cached, purpose, router_version)
                .await?;
        }
    }

    /// Returns the unused tokens of all budgets to the table, at a planned
    /// shutdown.
    ///
    /// # Errors
    /// Returns the first failure; the other budgets are closed all the same.
    pub async fn close(&self, router_version: u64) -> Result<(), BudgetError> {
        let mut failed = Ok(());
        for (budget, _) in self.holdings() {
            let closed = self.close_one(&budget, router_version).await;
            failed = failed.and(closed);
        }
        failed
    }

    async fn close_one(&self, budget: &Name, router_version: u64) -> Result<(), BudgetError> {
        // From now on no tokens are reserved or transferred. Earlier transfers
        // have to be recorded in the table before the rest is returned.
        let mut is_settled = lock(&self.tables).ledger.begin_close(budget);
        for attempt in 0..MAX_ATTEMPTS {
            if is_settled {
                break;
            }
            // A transfer that the own grant doesn't cover yet waits until
            // another router has recorded a transfer to this one.
            let _ = self.record_transfers(budget, router_version).await;
            backoff(attempt).await;
            is_settled = lock(&self.tables).ledger.begin_close(budget);
        }
        if !is_settled {
            return Err(BudgetError::ExposureLimit);
        }
        let cached = self.cached_rows(budget);
        let mut cached = cached.lock().await;
        let keys = RowKeys::new(budget, &self.incarnation, None);
        self.read_rows(budget, &keys, &mut cached, router_version)
            .await?;
        // The close needs the newest total of billed tokens; all bills are
        // durable by now.
        self.make_change(budget, keys, &mut cached, Purpose::Close, router_version)
            .await
    }

    /// Makes a change, after resolving the one that is still open.
    async fn make_change(
        &self,
        budget: &Name,
        keys: RowKeys,
        cached: &mut CachedRows,
        purpose: Purpose,
        router_version: u64,
    ) -> Result<(), BudgetError> {
        self.resolve_open(budget, cached, router_version).await?;
        let view = cached.view.ok_or(BudgetError::NotFound)?;
        let change = Change::begin(purpose, &view).map_err(budget_error)?;
        cached.open = Some(OpenChange { change, keys });
        self.resolve_open(budget, cached, router_version).await
    }

    /// Resolves the open change: it is committed again under the same number
    /// until it is known whether it took effect.
    async fn resolve_open(
        &self,
        budget: &Name,
        cached: &mut CachedRows,
        router_version: u64,
    ) -> Result<(), BudgetError> {
        let Some(OpenChange { mut change, keys }) = cached.open.take() else {
            return Ok(());
        };
        for attempt in 0..MAX_ATTEMPTS {
            match self
                .commit_once(budget, &keys, cached, &mut change, router_version)
                .await
            {
                Ok(Attempted::Done) => return Ok(()),
                Ok(Attempted::Retry) => backoff(attempt).await,
                Err(Failed::Rejected(why)) => return Err(why),
                Err(Failed::Unresolved(why)) => {
                    cached.open = Some(OpenChange { change, keys });
                    return Err(why);
                }
            }
        }
        cached.open = Some(OpenChange { change, keys });
        Err(BudgetError::Unreachable)
    }

    async fn commit_once(
        &self,
        budget: &Name,
        keys: &RowKeys,
        cached: &mut CachedRows,
        change: &mut Change,
        router_version: u64,
    ) -> Result<Attempted, Failed> {
        let commit = keys.commit(change.writes());
        match (self.platform.commit)(commit).await {
            Ok(version) => {
                let applied = self.update_cache(budget, cached, change, version);
                self.apply(budget, keys, &applied);
                return Ok(Attempted::Done);
            }
            // An earlier attempt may have taken effect, so the change stays open.
            Err(Error::Unavailable(_)) => return Err(Failed::Unresolved(BudgetError::Unreachable)),
            Err(Error::Conflict(_) | Error::OutcomeUnknown(_) | Error::Malformed(_)) => {}
        }
        let read = self.read_rows(budget, keys, cached, router_version).await;
        let view = read.map_err(Failed::Unresolved)?;
        match change.on_rows(&view) {
            Ok(Next::Commit) => Ok(Attempted::Retry),
            Ok(Next::Applied(applied)) => {
                self.apply(budget, keys, &applied);
                Ok(Attempted::Done)
            }
            Err(why) => Err(Failed::Rejected(budget_error(why))),
        }
    }

    /// Updates the cached rows after a successful commit.
    fn update_cache(
        &self,
        budget: &Name,
        cached: &mut CachedRows,
        change: &Change,
        version: u64,
    ) -> Applied {
        let applied = change.on_committed();
        let writes = change.writes();
        if let Some(view) = &mut cached.view {
            if let Some(budget) = writes.budget {
                view.budget = rows::Versioned {
                    version,
                    row: budget.row,
                };
            }
            view.grant = rows::Versioned {
                version,
                row: writes.grant.row,
            };
        }
        if let Some(row) = writes.budget.map(|b| b.row) {
            lock(&self.tables).account(budget).available = Some(row.available());
        }
        applied
    }

    /// Applies a change that took effect to the ledger and to the transfers that
    /// are still to be recorded.
    fn apply(&self, budget: &Name, keys: &RowKeys, applied: &Applied) {
        let mut tables = lock(&self.tables);
        applied.apply_to(&mut tables.ledger, budget);
        if let (Purpose::Record { .. }, Some((to, _))) = (applied.purpose, &keys.receiver) {
            // Only a part is recorded if the own grant doesn't cover the rest yet.
            tables.donor.mark_recorded(budget, to, applied.tokens);
        }
    }

    /// Reads the rows into the cache.
    async fn read_rows(
        &self,
        budget: &Name,
        keys: &RowKeys,
        cached: &mut CachedRows,
        router_version: u64,
    ) -> Result<View, BudgetError> {
        let found = (self.platform.read)(keys.all()).await;
        let found = found.map_err(|_| BudgetError::Unreachable)?;
        let mut view = View::default();
        for row in &found {
            self.read_row(budget, keys, &mut view, row, router_version)?;
        }
        cached.view = Some(view);
        Ok(view)
    }

    /// Decodes one row into `view`.
    fn read_row(
        &self,
        budget: &Name,
        keys: &RowKeys,
        view: &mut View,
        row: &Row,
        router_version: u64,
    ) -> Result<(), BudgetError> {
        if row.key == keys.budget {
            let value = decode::<BudgetRow>(row)?.ok_or(BudgetError::NotFound)?;
            view.budget = rows::Versioned {
                version: row.version,
                row: value,
            };
            lock(&self.tables).account(budget).available = Some(value.available());
        } else if row.key == keys.grant {
            view.grant = decode_grant(row)?;
        } else if keys
            .receiver
            .as_ref()
            .is_some_and(|(_, key)| *key == row.key)
        {
            view.receiver = decode_grant(row)?;
        } else if row.key == keys.router {
            view.holder.version = row.version;
            view.holder.row.sealed = row.version != router_version;
        } else if row.key == keys.billing {
            let billing = decode::<BillingRow>(row)?.unwrap_or_default();
            view.holder.row.accounted = billing.accounted(budget);
        }
        Ok(())
    }
}

/// Result of an attempt to commit a change.
enum Attempted {
    Done,
    Retry,
}

/// Why no further attempt to commit a change is made.
enum Failed {
    /// It is unknown whether the change took effect, or will.
    Unresolved(BudgetError),
    /// The change did not take effect and never will.
    Rejected(BudgetError),
}

fn decode_grant(row: &Row) -> Result<rows::Versioned<GrantRow>, BudgetError> {
    Ok(rows::Versioned {
        version: row.version,
        row: decode(row)?.unwrap_or_default(),
    })
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<Option<T>, BudgetError> {
    row.decode().map_err(|_| BudgetError::Unreachable)
}

fn budget_error(why: change::Refusal) -> BudgetError {
    match why {
        change::Refusal::Sealed => BudgetError::Sealed,
        change::Refusal::Exhausted | change::Refusal::GrantEmpty => {
            BudgetError::Exhausted { left: 0 }
        }
    }
}

/// Waits for a random time that grows with each attempt, so that routers that
/// write the same rows stop conflicting.
async fn backoff(attempt: u32) {
    let longest = Duration::from_millis(2 << attempt.min(6)).min(MAX_RETRY_DELAY);
    tokio::time::sleep(longest.mul_f64(rand::random_range(0.1..1.0))).await;
}
