//! Changes of the own grant in the table: draws, records of gifts, the close.
//!
//! The decisions are `poplar_core::budget::change`; here they are carried out
//! and read back where an answer was lost.

use std::time::{Duration, Instant};

use poplar_base::platform::{Commit, Error, Row};
use poplar_core::bill::{BillingRow, billing_key};
use poplar_core::budget::change::{self, Applied, Change, Next, Purpose, View, Writes};
use poplar_core::budget::rows::{self, BudgetRow, GrantRow};
use poplar_core::id::{Incarnation, Name};

use super::manager::{BudgetError, BudgetManager};
use crate::sync::lock;

/// Tries of one change against others' writes.
const TRIES: u32 = 24;
/// Longest wait between two tries.
const PAUSE_MOST: Duration = Duration::from_millis(100);

/// A budget's rows as last seen, changed by one change at a time.
#[derive(Debug, Default)]
pub(super) struct Versioned {
    view: Option<View>,
    /// A change whose outcome is not known yet.
    open: Option<Open>,
}

/// A change that may or may not have taken effect.
#[derive(Debug)]
struct Open {
    change: Change,
    keys: Keys,
}

/// Whose rows a change touches.
#[derive(Debug)]
struct Keys {
    budget: String,
    grant: String,
    own: String,
    billing: String,
    receiver: Option<(Incarnation, String)>,
}

impl Keys {
    fn new(budget: &Name, me: &Incarnation, receiver: Option<&Incarnation>) -> Self {
        Self {
            budget: rows::budget_key(budget),
            grant: rows::grant_key(budget, me),
            own: rows::incarnation_key(me),
            billing: billing_key(me),
            receiver: receiver.map(|r| (r.clone(), rows::grant_key(budget, r))),
        }
    }

    fn all(&self) -> Vec<String> {
        let Self {
            budget,
            grant,
            own,
            billing,
            receiver,
        } = self;
        let mut all = vec![budget.clone(), grant.clone(), own.clone(), billing.clone()];
        all.extend(receiver.iter().map(|(_, key)| key.clone()));
        all
    }

    fn commit(&self, writes: &Writes) -> Commit {
        let mut commit = Commit::default()
            .check(&self.own, writes.holder)
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
    /// Draws for a request that needs `need` tokens, or ahead of time.
    pub(super) async fn draw(
        &self,
        budget: &Name,
        seen: &mut Seen,
        need: u64,
        router: u64,
    ) -> Result<(), BudgetError> {
        let keys = Keys::new(budget, &self.me, None);
        self.end_open(budget, seen, router).await?;
        if seen.view.is_none() {
            self.read(budget, &keys, seen, router).await?;
        }
        let want = self.wanted(budget, need, Instant::now());
        if want == 0 {
            return Ok(());
        }
        let bound = Some(self.settings.exposure);
        let exposure = lock(&self.tables).ledger.declare_exposure(budget, bound);
        let purpose = Purpose::Draw { want, exposure };
        let drawn = self.change(budget, keys, seen, purpose, router).await;
        if !matches!(drawn, Err(BudgetError::Exhausted { .. })) {
            return drawn;
        }
        // The rows may be older than a top-up.
        let keys = Keys::new(budget, &self.me, None);
        self.read(budget, &keys, seen, router).await?;
        self.change(budget, keys, seen, purpose, router).await
    }

    /// Records in the table what was given to other routers.
    pub(super) async fn record_transfers(
        &self,
        budget: &Name,
        router: u64,
    ) -> Result<(), BudgetError> {
        let seen = self.seen(budget);
        let mut seen = seen.lock().await;
        loop {
            let next = lock(&self.tables)
                .donor
                .next_unrecorded(budget)
                .map(|(to, tokens)| (to.clone(), tokens));
            let Some((to, tokens)) = next else {
                return Ok(());
            };
            let keys = Keys::new(budget, &self.me, Some(&to));
            self.read(budget, &keys, &mut seen, router).await?;
            let purpose = Purpose::Record { tokens };
            self.change(budget, keys, &mut seen, purpose, router)
                .await?;
        }
    }

    /// Returns what is left of every budget; the planned end of this router.
    ///
    /// # Errors
    /// Where a budget could not be closed; the others are.
    pub async fn close(&self, router: u64) -> Result<(), BudgetError> {
        let mut failed = Ok(());
        for (budget, _) in self.holdings() {
            let closed = self.close_one(&budget, router).await;
            failed = failed.and(closed);
        }
        failed
    }

    async fn close_one(&self, budget: &Name, router: u64) -> Result<(), BudgetError> {
        // From now on nothing is reserved or given; what was given before has
        // to be in the table before the rest goes back.
        let mut is_idle = lock(&self.tables).ledger.begin_close(budget);
        for attempt in 0..TRIES {
            if is_idle {
                break;
            }
            // A gift that is not covered yet waits for a record of another's.
            let _ = self.record_transfers(budget, router).await;
            pause(attempt).await;
            is_idle = lock(&self.tables).ledger.begin_close(budget);
        }
        if !is_idle {
            return Err(BudgetError::ExposureLimit);
        }
        let seen = self.seen(budget);
        let mut seen = seen.lock().await;
        let keys = Keys::new(budget, &self.me, None);
        self.read(budget, &keys, &mut seen, router).await?;
        // The own total must be the newest one, and the bills are all durable.
        self.change(budget, keys, &mut seen, Purpose::Close, router)
            .await
    }

    /// Makes a change, after the one that is still open.
    async fn change(
        &self,
        budget: &Name,
        keys: Keys,
        seen: &mut Seen,
        purpose: Purpose,
        router: u64,
    ) -> Result<(), BudgetError> {
        self.end_open(budget, seen, router).await?;
        let view = seen.view.ok_or(BudgetError::NotFound)?;
        let change = Change::begin(purpose, &view).map_err(refused)?;
        seen.open = Some(Open { change, keys });
        self.end_open(budget, seen, router).await
    }

    /// Brings the open change to its end: a change whose answer was lost is
    /// tried under its own number until it is known what became of it.
    async fn end_open(
        &self,
        budget: &Name,
        seen: &mut Seen,
        router: u64,
    ) -> Result<(), BudgetError> {
        let Some(Open { mut change, keys }) = seen.open.take() else {
            return Ok(());
        };
        for attempt in 0..TRIES {
            match self
                .try_once(budget, &keys, seen, &mut change, router)
                .await
            {
                Ok(Tried::Done) => return Ok(()),
                Ok(Tried::Again) => pause(attempt).await,
                Err(Failed::For(why)) => return Err(why),
                Err(Failed::Now(why)) => {
                    seen.open = Some(Open { change, keys });
                    return Err(why);
                }
            }
        }
        seen.open = Some(Open { change, keys });
        Err(BudgetError::Unreachable)
    }

    async fn try_once(
        &self,
        budget: &Name,
        keys: &Keys,
        seen: &mut Seen,
        change: &mut Change,
        router: u64,
    ) -> Result<Tried, Failed> {
        let commit = keys.commit(change.writes());
        match (self.platform.commit)(commit).await {
            Ok(version) => {
                let applied = self.enter(budget, seen, change, version);
                self.done(budget, keys, &applied);
                return Ok(Tried::Done);
            }
            // An earlier try may have taken effect, so it stays open.
            Err(Error::Down(_)) => return Err(Failed::Now(BudgetError::Unreachable)),
            Err(Error::Conflict(_) | Error::Unknown(_) | Error::Malformed(_)) => {}
        }
        let read = self.read(budget, keys, seen, router).await;
        let view = read.map_err(Failed::Now)?;
        match change.on_rows(&view) {
            Ok(Next::Commit) => Ok(Tried::Again),
            Ok(Next::Applied(applied)) => {
                self.done(budget, keys, &applied);
                Ok(Tried::Done)
            }
            Err(why) => Err(Failed::For(refused(why))),
        }
    }

    /// Takes over a change that was answered as done.
    fn enter(&self, budget: &Name, seen: &mut Seen, change: &Change, version: u64) -> Applied {
        let applied = change.on_committed();
        let writes = change.writes();
        if let Some(view) = &mut seen.view {
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

    /// Enters a change that took effect into the ledger, and into the record
    /// of gifts.
    fn done(&self, budget: &Name, keys: &Keys, applied: &Applied) {
        let mut tables = lock(&self.tables);
        applied.apply_to(&mut tables.ledger, budget);
        if let (Purpose::Record { .. }, Some((to, _))) = (applied.purpose, &keys.receiver) {
            // Only a part is moved where the own grant covers no more yet.
            tables.donor.mark_recorded(budget, to, applied.tokens);
        }
    }

    /// Reads the rows anew.
    async fn read(
        &self,
        budget: &Name,
        keys: &Keys,
        seen: &mut Seen,
        router: u64,
    ) -> Result<View, BudgetError> {
        let found = (self.platform.read)(keys.all()).await;
        let found = found.map_err(|_| BudgetError::Unreachable)?;
        let mut view = View::default();
        for row in &found {
            self.look(budget, keys, &mut view, row, router)?;
        }
        seen.view = Some(view);
        Ok(view)
    }

    fn look(
        &self,
        budget: &Name,
        keys: &Keys,
        view: &mut View,
        row: &Row,
        router: u64,
    ) -> Result<(), BudgetError> {
        if row.key == keys.budget {
            let value = decode::<BudgetRow>(row)?.ok_or(BudgetError::NotFound)?;
            view.budget = rows::Versioned {
                version: row.version,
                row: value,
            };
            lock(&self.tables).account(budget).available = Some(value.available());
        } else if row.key == keys.grant {
            view.grant = grant(row)?;
        } else if keys
            .receiver
            .as_ref()
            .is_some_and(|(_, key)| *key == row.key)
        {
            view.receiver = grant(row)?;
        } else if row.key == keys.own {
            view.holder.version = row.version;
            view.holder.row.sealed = row.version != router;
        } else if row.key == keys.billing {
            let billing = decode::<BillingRow>(row)?.unwrap_or_default();
            view.holder.row.accounted = billing.accounted(budget);
        }
        Ok(())
    }
}

/// What a try of a change came to.
enum Tried {
    Done,
    Again,
}

/// Why a try of a change ended it.
enum Failed {
    /// It can't be told now whether it took effect.
    Now(BudgetError),
    /// It did not take effect and never will.
    For(BudgetError),
}

fn grant(row: &Row) -> Result<rows::Versioned<GrantRow>, BudgetError> {
    Ok(rows::Versioned {
        version: row.version,
        row: decode(row)?.unwrap_or_default(),
    })
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<Option<T>, BudgetError> {
    row.decode().map_err(|_| BudgetError::Unreachable)
}

fn refused(why: change::Refusal) -> BudgetError {
    match why {
        change::Refusal::Sealed => BudgetError::Sealed,
        change::Refusal::Exhausted | change::Refusal::GrantEmpty => {
            BudgetError::Exhausted { left: 0 }
        }
    }
}

/// Waits a random time, longer with each try, so that rivals get by.
async fn pause(attempt: u32) {
    let most = Duration::from_millis(2 << attempt.min(6)).min(PAUSE_MOST);
    tokio::time::sleep(most.mul_f64(rand::random_range(0.1..1.0))).await;
}
