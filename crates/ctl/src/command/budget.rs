//! Creates budgets and tops them up.
//!
//! Routers draw on a budget's row all the time, so a top-up often loses a race
//! and is tried again. Its identity has a row of its own, so that trying again
//! after a lost answer can't count it twice.

use std::time::{Duration, Instant};

use poplar_base::platform::{self, Commit, Row};
use poplar_core::budget::rows::{BudgetRow, Versioned, budget_key, topup_key};
use poplar_core::budget::topup::{self, TopUp, TopUpRow};
use poplar_core::id::Name;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::output::Output;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(20);
/// Identity of the top-up that creates a budget.
const CREATED: &str = "create";

/// What a command on a budget did.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetChange {
    /// The budget.
    pub budget: Name,
    /// Its limit now, in tokens.
    pub limit: u64,
    /// Tokens that are not granted to any router.
    pub available: u64,
    /// Whether the command had been carried out before.
    pub repeated: bool,
}

/// A top-up that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Wanted {
    budget: Name,
    id: Name,
    tokens: u64,
    /// Whether the budget has to be there before.
    exists: bool,
}

/// Creates `budget` with `limit` tokens.
///
/// # Errors
/// [`Error::Refused`] where it exists and was not created with this limit,
/// [`Error::Unknown`] where it can't be told by `deadline` whether it was made.
pub async fn create(
    fleet: &Fleet,
    budget: &str,
    limit: u64,
    deadline: Instant,
) -> Result<BudgetChange> {
    let wanted = Wanted {
        budget: budget.into(),
        id: CREATED.into(),
        tokens: limit,
        exists: false,
    };
    carry_out(fleet, &wanted, deadline).await
}

/// Adds `tokens` to `budget` once, however often `id` is given.
///
/// # Errors
/// [`Error::Refused`] where there is no such budget, or `id` was used for
/// another amount; [`Error::Unknown`] where it can't be told by `deadline`
/// whether it counted.
pub async fn top_up(
    fleet: &Fleet,
    budget: &str,
    id: &str,
    tokens: u64,
    deadline: Instant,
) -> Result<BudgetChange> {
    let wanted = Wanted {
        budget: budget.into(),
        id: id.into(),
        tokens,
        exists: true,
    };
    carry_out(fleet, &wanted, deadline).await
}

async fn carry_out(fleet: &Fleet, wanted: &Wanted, deadline: Instant) -> Result<BudgetChange> {
    let mut lost = false;
    let changed = |row: &BudgetRow, repeated| BudgetChange {
        budget: wanted.budget.clone(),
        limit: row.limit,
        available: row.available(),
        repeated,
    };
    loop {
        let failure = match step(fleet, wanted).await {
            Ok(Step::Done(row)) => return Ok(changed(&row, false)),
            Ok(Step::Made(row)) => return Ok(changed(&row, !lost)),
            Ok(Step::Raced) => "other writers were always first".to_owned(),
            Err(Error::Platform(error)) => {
                lost |= !matches!(error, platform::Error::Unavailable(_));
                error.to_string()
            }
            Err(error) => return Err(error),
        };
        if Instant::now() >= deadline {
            return Err(Error::OutcomeUnknown(failure));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// What one try came to.
enum Step {
    Done(BudgetRow),
    Made(BudgetRow),
    Raced,
}

async fn step(fleet: &Fleet, wanted: &Wanted) -> Result<Step> {
    let (budget, mark) = (
        budget_key(&wanted.budget),
        topup_key(&wanted.budget, &wanted.id),
    );
    let rows = (fleet.platform.read)(vec![budget.clone(), mark.clone()]).await?;
    let (now, known) = (seen::<BudgetRow>(&rows, 0)?, seen::<TopUpRow>(&rows, 1)?);
    let (next, made) = match topup::top_up(&now, &known, checked(wanted, &now, &known)?) {
        TopUp::AlreadyMade => return Ok(Step::Made(now.row)),
        TopUp::AmountDiffers { made } => return Err(differs(wanted, made)),
        TopUp::Write { budget, mark } => (budget, mark),
    };
    let commit = Commit::default()
        .check(&budget, now.version)
        .check(&mark, known.version)
        .write(&budget, &next)
        .write(&mark, &made);
    match (fleet.platform.commit)(commit).await {
        Ok(_) => Ok(Step::Done(next)),
        Err(platform::Error::Conflict(_)) => Ok(Step::Raced),
        Err(error) => Err(error.into()),
    }
}

fn seen<T: serde::de::DeserializeOwned + Default>(rows: &[Row], at: usize) -> Result<Versioned<T>> {
    let missing = || platform::Error::Malformed("no row in the answer".to_owned());
    let row = rows.get(at).ok_or_else(missing)?;
    Ok(Versioned {
        version: row.version,
        row: row.decode()?.unwrap_or_default(),
    })
}

/// The tokens to add, once it is sure that they may be added.
fn checked(
    wanted: &Wanted,
    now: &Versioned<BudgetRow>,
    known: &Versioned<TopUpRow>,
) -> Result<u64> {
    let name = &wanted.budget;
    let refuse = |why: String| Err(Error::Refused(why));
    let exists = now.version != 0;
    if known.version == 0 && wanted.exists && !exists {
        return refuse(format!("there is no budget {name}; use budget create"));
    }
    if known.version == 0 && !wanted.exists && exists {
        return refuse(format!("there is a budget {name}; use budget topup"));
    }
    if now.row.limit.checked_add(wanted.tokens).is_none() {
        return refuse("the limit would not fit".to_owned());
    }
    Ok(wanted.tokens)
}

fn differs(wanted: &Wanted, made: u64) -> Error {
    let (name, id) = (&wanted.budget, &wanted.id);
    Error::Refused(if wanted.exists {
        format!("top-up {id} of {name} was made with {made} tokens")
    } else {
        format!("budget {name} was created with {made} tokens; use budget topup")
    })
}

/// The report of a command on a budget.
pub fn output(changed: &BudgetChange) -> Output {
    let BudgetChange {
        budget,
        limit,
        available,
        repeated,
    } = changed;
    let note = if *repeated { " (was done before)" } else { "" };
    let text = format!("budget {budget}: limit {limit}, available {available}{note}\n");
    Output::new(changed, text)
}
