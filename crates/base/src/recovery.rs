//! Ends the life of an incarnation in the table: seals it, releases its grants.
//!
//! A sealed incarnation's later writes all fail. What it held goes back to the
//! budgets only once it is proved that the process is gone, since one that
//! still runs may go on to spend it; what it may have used stays counted.

use std::fmt;

use poplar_core::bill::{BillingRow, RouterRow, Stage, billing_key};
use poplar_core::budget::change::HolderState;
use poplar_core::budget::recovery::{self, NotReleased, Proof};
use poplar_core::budget::rows::{BudgetRow, GrantRow, budget_key, grant_key, incarnation_key};
use poplar_core::id::{Incarnation, Name};
use serde::Serialize;

use crate::platform::{Commit, Error as PlatformError, Platform, Row};

/// Why an incarnation could not be ended.
#[derive(Debug)]
pub enum Error {
    /// The platform failed.
    Platform(PlatformError),
    /// There is no such incarnation.
    NotFound,
    /// It is not sealed, or nothing proves that its process is gone.
    NoProof,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => write!(f, "{error}"),
            Self::NotFound => f.write_str("there is no such router"),
            Self::NoProof => f.write_str("nothing proves that the process is gone"),
        }
    }
}

impl std::error::Error for Error {}

impl From<PlatformError> for Error {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Seals an incarnation; one that is sealed stays so.
///
/// # Errors
/// There is none, or the platform's; after a lost answer call it again.
pub async fn seal(platform: &Platform, of: &Incarnation) -> Result<(), Error> {
    let key = incarnation_key(of);
    let row = platform.row(&*key).await?;
    let now = row.decode::<RouterRow>()?.ok_or(Error::NotFound)?;
    if now.stage == Stage::Sealed {
        return Ok(());
    }
    let next = RouterRow {
        stage: Stage::Sealed,
        ..now
    };
    let commit = Commit::default()
        .check(&*key, row.version)
        .write(&*key, &next);
    (platform.commit)(commit).await?;
    Ok(())
}

/// What became of one grant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Release {
    /// The budget.
    pub budget: Name,
    /// Tokens that went back to it, now or before.
    pub released: u64,
    /// Tokens that stay counted, since they may have been used.
    pub stranded: u64,
}

/// Releases what a sealed incarnation can't have used of one budget.
///
/// Returns `None` where there was something to release; calling it again, also
/// after a lost answer, tells what is left.
///
/// # Errors
/// It is not proved to be gone, or the platform's.
pub async fn release(
    platform: &Platform,
    of: &Incarnation,
    budget: &Name,
    proof: Option<Proof>,
) -> Result<Option<Release>, Error> {
    let keys = [
        budget_key(budget),
        grant_key(budget, of),
        incarnation_key(of),
        billing_key(of),
    ];
    let rows = (platform.read)(keys.to_vec()).await?;
    let [budget_row, grant_row, own_row, billing_row] = &rows[..] else {
        return Err(PlatformError::Malformed("too few rows".to_owned()).into());
    };
    let now: BudgetRow = budget_row.decode()?.unwrap_or_default();
    let grant: GrantRow = grant_row.decode()?.unwrap_or_default();
    let own = own(own_row, billing_row, budget)?;
    let next = match recovery::release(&now, &grant, &own, proof) {
        Ok(next) => next,
        Err(NotReleased::Stranded) => {
            return Ok(Some(Release {
                budget: budget.clone(),
                released: grant.released,
                stranded: recovery::stranded(&grant, &own),
            }));
        }
        Err(NotReleased::NoProof) => return Err(Error::NoProof),
    };
    let mut commit = Commit::default()
        .write(&keys[0], &next.budget)
        .write(&keys[1], &next.grant);
    for (key, row) in keys.iter().zip(&rows) {
        commit = commit.check(key, row.version);
    }
    (platform.commit)(commit).await?;
    Ok(None)
}

fn own(router: &Row, billing: &Row, budget: &Name) -> Result<HolderState, PlatformError> {
    let row = router.decode::<RouterRow>()?;
    let billing: BillingRow = billing.decode()?.unwrap_or_default();
    Ok(HolderState {
        sealed: row.is_some_and(|r| r.stage == Stage::Sealed),
        accounted: billing.accounted(budget),
    })
}

/// Budgets of which an incarnation has a grant.
///
/// # Errors
/// The platform's.
pub async fn granted_budgets(
    platform: &Platform,
    of: &Incarnation,
) -> Result<Vec<Name>, PlatformError> {
    let prefix = grant_key("", of);
    let rows = (platform.scan)(prefix.clone()).await?;
    let budget = |row: Row| row.key[prefix.len()..].into();
    Ok(rows.into_iter().map(budget).collect())
}
