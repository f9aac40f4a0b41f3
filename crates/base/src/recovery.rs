//! Recovery after a router's death: seals its incarnation in the table and
//! releases its grants.
//!
//! All later writes of a sealed incarnation fail. Its tokens return to the
//! budgets only once it is proved that the process is gone, because a process
//! that still runs may go on spending them. Tokens that it may have used stay
//! counted as spent.

use std::fmt;

use poplar_core::bill::{BillingRow, RouterRow, Stage, billing_key};
use poplar_core::budget::change::HolderState;
use poplar_core::budget::recovery::{self, NotReleased, Proof};
use poplar_core::budget::rows::{BudgetRow, GrantRow, budget_key, grant_key, incarnation_key};
use poplar_core::id::{Incarnation, Name};
use serde::Serialize;

use crate::platform::{Commit, Error as PlatformError, Platform, Row};

/// Why an incarnation could not be sealed or its grants released.
#[derive(Debug)]
pub enum Error {
    /// A call to the platform failed.
    Platform(PlatformError),
    /// There is no such incarnation.
    NotFound,
    /// The incarnation is not sealed, or there is no proof that its process is
    /// gone.
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

/// Seals an incarnation; does nothing if it is sealed already.
///
/// # Errors
/// [`Error::NotFound`] or [`Error::Platform`]. If the outcome is unknown, call
/// it again: the call is idempotent.
pub async fn seal(platform: &Platform, incarnation: &Incarnation) -> Result<(), Error> {
    let key = incarnation_key(incarnation);
    let row = platform.row(&*key).await?;
    let current = row.decode::<RouterRow>()?.ok_or(Error::NotFound)?;
    if current.stage == Stage::Sealed {
        return Ok(());
    }
    let next = RouterRow {
        stage: Stage::Sealed,
        ..current
    };
    let commit = Commit::default()
        .check(&*key, row.version)
        .write(&*key, &next);
    (platform.commit)(commit).await?;
    Ok(())
}

/// Result of releasing one grant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Release {
    /// Name of the budget.
    pub budget: Name,
    /// Tokens returned to the budget so far.
    pub released: u64,
    /// Tokens that stay counted as spent, because they may have been used.
    pub stranded: u64,
}

/// Releases the tokens of one budget that a sealed incarnation can't have used.
///
/// Returns `None` if this call released tokens, and the final state if nothing
/// was left to release. Call it until it returns the state, also after a lost
/// answer.
///
/// # Errors
/// [`Error::NoProof`] or [`Error::Platform`].
pub async fn release(
    platform: &Platform,
    incarnation: &Incarnation,
    budget: &Name,
    proof: Option<Proof>,
) -> Result<Option<Release>, Error> {
    let keys = [
        budget_key(budget),
        grant_key(budget, incarnation),
        incarnation_key(incarnation),
        billing_key(incarnation),
    ];
    let rows = (platform.read)(keys.to_vec()).await?;
    let [budget_row, grant_row, router_row, billing_row] = &rows[..] else {
        return Err(PlatformError::Malformed("too few rows".to_owned()).into());
    };
    let current: BudgetRow = budget_row.decode()?.unwrap_or_default();
    let grant: GrantRow = grant_row.decode()?.unwrap_or_default();
    let holder = holder_state(router_row, billing_row, budget)?;
    let next = match recovery::release(&current, &grant, &holder, proof) {
        Ok(next) => next,
        Err(NotReleased::Stranded) => {
            return Ok(Some(Release {
                budget: budget.clone(),
                released: grant.released,
                stranded: recovery::stranded(&grant, &holder),
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

fn holder_state(router: &Row, billing: &Row, budget: &Name) -> Result<HolderState, PlatformError> {
    let row = router.decode::<RouterRow>()?;
    let billing: BillingRow = billing.decode()?.unwrap_or_default();
    Ok(HolderState {
        sealed: row.is_some_and(|r| r.stage == Stage::Sealed),
        accounted: billing.accounted(budget),
    })
}

/// Lists the budgets from which an incarnation has a grant.
///
/// # Errors
/// Any error of the platform.
pub async fn granted_budgets(
    platform: &Platform,
    incarnation: &Incarnation,
) -> Result<Vec<Name>, PlatformError> {
    let prefix = grant_key("", incarnation);
    let rows = (platform.scan)(prefix.clone()).await?;
    let budget = |row: Row| row.key[prefix.len()..].into();
    Ok(rows.into_iter().map(budget).collect())
}
