//! Creates budgets and tops them up.
//!
//! Routers draw on a budget's row all the time, so a top-up often loses a race
//! and is tried again. It carries an identity that the row keeps, so that
//! trying again after a lost answer can't count it twice.

use std::time::{Duration, Instant};

use poplar_base::platform::{self, Commit};
use poplar_core::budget::rows::{BudgetRow, budget_key};
use poplar_core::id::Name;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::shown::Shown;

/// Identities of top-ups that a row keeps; an older one would count again.
const KEPT: usize = 256;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(20);
/// Identity of the limit that a budget was created with.
const CREATED: &str = "create";

/// What a command on a budget did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Changed {
    /// The budget.
    pub budget: Name,
    /// Its limit now, in tokens.
    pub limit: u64,
    /// Tokens that are not granted to any router.
    pub available: u64,
    /// Whether the command had been carried out before.
    pub repeated: bool,
}

fn changed(budget: &str, row: &BudgetRow, repeated: bool) -> Changed {
    Changed {
        budget: budget.into(),
        limit: row.limit,
        available: row.available(),
        repeated,
    }
}

/// Creates `budget` with `limit` tokens.
///
/// # Errors
/// [`Error::Refused`] where there is one with another limit or with top-ups.
pub async fn create(fleet: &Fleet, budget: &str, limit: u64) -> Result<Changed> {
    let key = budget_key(budget);
    let row = BudgetRow {
        limit,
        granted: 0,
        topups: vec![CREATED.into()],
    };
    let commit = Commit::default().check(&*key, 0).write(&*key, &row);
    let lost = match (fleet.platform.commit)(commit).await {
        Ok(_) => return Ok(changed(budget, &row, false)),
        Err(platform::Error::Conflict(_)) => false,
        Err(platform::Error::Unknown(_) | platform::Error::Malformed(_)) => true,
        Err(error) => return Err(error.into()),
    };
    let there = fleet.platform.row(&*key).await;
    let there = there.map_err(|e| Error::Unknown(e.to_string()))?;
    match there.decode::<BudgetRow>()? {
        Some(now) if now.limit == limit && now.topups == row.topups => {
            Ok(changed(budget, &now, !lost))
        }
        Some(now) => Err(Error::Refused(format!(
            "budget {budget} exists with a limit of {} tokens; use topup",
            now.limit
        ))),
        None => Err(Error::Unknown("the answer was lost".to_owned())),
    }
}

/// The row after the top-up `id`; `None` where it has counted already.
///
/// # Errors
/// [`Error::Refused`] where the limit would not fit.
pub fn topped_up(row: &BudgetRow, id: &str, tokens: u64) -> Result<Option<BudgetRow>> {
    if row.topups.iter().any(|known| **known == *id) {
        return Ok(None);
    }
    let limit = row.limit.checked_add(tokens);
    let limit = limit.ok_or_else(|| Error::Refused("the limit would not fit".to_owned()))?;
    let mut topups = row.topups.clone();
    topups.push(id.into());
    topups.drain(..topups.len().saturating_sub(KEPT));
    Ok(Some(BudgetRow {
        limit,
        granted: row.granted,
        topups,
    }))
}

/// Adds `tokens` to `budget` once, however often `id` is given.
///
/// # Errors
/// [`Error::Unknown`] where it can't be told by `deadline` whether it counted.
pub async fn top_up(
    fleet: &Fleet,
    budget: &str,
    id: &str,
    tokens: u64,
    deadline: Instant,
) -> Result<Changed> {
    let key = budget_key(budget);
    let mut tried = false;
    loop {
        let failure = match step(fleet, &key, id, tokens).await {
            Ok(Step::Done(row)) => return Ok(changed(budget, &row, false)),
            Ok(Step::Counted(row)) => return Ok(changed(budget, &row, !tried)),
            Ok(Step::Raced) => "other writers were always first".to_owned(),
            Err(Error::Platform(error)) => {
                tried |= matches!(error, platform::Error::Unknown(_));
                error.to_string()
            }
            Err(error) => return Err(error),
        };
        if Instant::now() >= deadline {
            return Err(Error::Unknown(format!("{failure}; use the same --id")));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// What one try of a top-up came to.
enum Step {
    Done(BudgetRow),
    Counted(BudgetRow),
    Raced,
}

async fn step(fleet: &Fleet, key: &str, id: &str, tokens: u64) -> Result<Step> {
    let row = fleet.platform.row(key).await?;
    let Some(now) = row.decode::<BudgetRow>()? else {
        let why = format!("there is no {key}; use budget create");
        return Err(Error::Refused(why));
    };
    let Some(next) = topped_up(&now, id, tokens)? else {
        return Ok(Step::Counted(now));
    };
    let commit = Commit::default().check(key, row.version).write(key, &next);
    match (fleet.platform.commit)(commit).await {
        Ok(_) => Ok(Step::Done(next)),
        Err(platform::Error::Conflict(_)) => Ok(Step::Raced),
        Err(error) => Err(error.into()),
    }
}

/// The report of a command on a budget.
pub fn shown(changed: &Changed) -> Shown {
    let Changed {
        budget,
        limit,
        available,
        repeated,
    } = changed;
    let note = if *repeated { " (was done before)" } else { "" };
    let text = format!("budget {budget}: limit {limit}, available {available}{note}\n");
    Shown::new(changed, text)
}
