//! The commands that create budgets and top them up.
//!
//! Routers update a budget's row all the time, so a top-up often meets a conflict
//! and is tried again. Each top-up id has its own row, so that a retry after a lost
//! answer can't count the top-up twice.

use std::time::{Duration, Instant};

use poplar_base::platform::{self, Commit, Row};
use poplar_core::budget::rows::{BudgetRow, Versioned, budget_key, topup_key};
use poplar_core::budget::topup::{self, TopUp, TopUpRow};
use poplar_core::id::Name;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::output::Output;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Id of the top-up that creates a budget.
const CREATION_ID: &str = "create";

/// Result of a command on a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetChange {
    /// Name of the budget.
    pub budget: Name,
    /// New limit, in tokens.
    pub limit: u64,
    /// Tokens not granted to any router.
    pub available: u64,
    /// Whether an earlier run of the command had made the change already.
    pub repeated: bool,
}

/// A requested top-up or creation.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TopUpRequest {
    budget: Name,
    id: Name,
    tokens: u64,
    /// Whether the budget must exist; if not, it must be new.
    must_exist: bool,
}

/// Creates `budget` with `limit` tokens.
///
/// # Errors
/// [`Error::Refused`] if the budget exists and was not created with this limit,
/// [`Error::OutcomeUnknown`] if the outcome is still unknown at `deadline`.
pub async fn create(
    fleet: &Fleet,
    budget: &str,
    limit: u64,
    deadline: Instant,
) -> Result<BudgetChange> {
    let request = TopUpRequest {
        budget: budget.into(),
        id: CREATION_ID.into(),
        tokens: limit,
        must_exist: false,
    };
    execute(fleet, &request, deadline).await
}

/// Adds `tokens` to `budget`, only once for each `id`.
///
/// # Errors
/// [`Error::Refused`] if there is no such budget or `id` was used for another
/// amount, [`Error::OutcomeUnknown`] if the outcome is still unknown at `deadline`.
pub async fn top_up(
    fleet: &Fleet,
    budget: &str,
    id: &str,
    tokens: u64,
    deadline: Instant,
) -> Result<BudgetChange> {
    let request = TopUpRequest {
        budget: budget.into(),
        id: id.into(),
        tokens,
        must_exist: true,
    };
    execute(fleet, &request, deadline).await
}

async fn execute(fleet: &Fleet, request: &TopUpRequest, deadline: Instant) -> Result<BudgetChange> {
    let mut outcome_unknown = false;
    let change = |row: &BudgetRow, repeated| BudgetChange {
        budget: request.budget.clone(),
        limit: row.limit,
        available: row.available(),
        repeated,
    };
    loop {
        let failure = match attempt(fleet, request).await {
            Ok(Attempt::Written(row)) => return Ok(change(&row, false)),
            Ok(Attempt::AlreadyMade(row)) => return Ok(change(&row, !outcome_unknown)),
            Ok(Attempt::Conflict) => "another writer changed the rows first".to_owned(),
            Err(Error::Platform(error)) => {
                outcome_unknown |= !matches!(error, platform::Error::Unavailable(_));
                error.to_string()
            }
            Err(error) => return Err(error),
        };
        if Instant::now() >= deadline {
            return Err(Error::OutcomeUnknown(failure));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Result of one attempt.
enum Attempt {
    Written(BudgetRow),
    /// The top-up had been made before; contains the current row.
    AlreadyMade(BudgetRow),
    /// Another writer changed the rows first.
    Conflict,
}

async fn attempt(fleet: &Fleet, request: &TopUpRequest) -> Result<Attempt> {
    let (budget, topup_row) = (
        budget_key(&request.budget),
        topup_key(&request.budget, &request.id),
    );
    let rows = (fleet.platform.read)(vec![budget.clone(), topup_row.clone()]).await?;
    let (current, recorded) = (
        decode_row::<BudgetRow>(&rows, 0)?,
        decode_row::<TopUpRow>(&rows, 1)?,
    );
    let (next, made) = match topup::top_up(
        &current,
        &recorded,
        check_request(request, &current, &recorded)?,
    ) {
        TopUp::AlreadyMade => return Ok(Attempt::AlreadyMade(current.row)),
        TopUp::AmountDiffers { made } => return Err(amount_mismatch(request, made)),
        TopUp::Write { budget, mark } => (budget, mark),
    };
    let commit = Commit::default()
        .check(&budget, current.version)
        .check(&topup_row, recorded.version)
        .write(&budget, &next)
        .write(&topup_row, &made);
    match (fleet.platform.commit)(commit).await {
        Ok(_) => Ok(Attempt::Written(next)),
        Err(platform::Error::Conflict(_)) => Ok(Attempt::Conflict),
        Err(error) => Err(error.into()),
    }
}

fn decode_row<T: serde::de::DeserializeOwned + Default>(
    rows: &[Row],
    index: usize,
) -> Result<Versioned<T>> {
    let missing = || platform::Error::Malformed("no row in the answer".to_owned());
    let row = rows.get(index).ok_or_else(missing)?;
    Ok(Versioned {
        version: row.version,
        row: row.decode()?.unwrap_or_default(),
    })
}

/// Checks that the request is allowed and returns the tokens to add.
fn check_request(
    request: &TopUpRequest,
    current: &Versioned<BudgetRow>,
    recorded: &Versioned<TopUpRow>,
) -> Result<u64> {
    let name = &request.budget;
    let refuse = |reason: String| Err(Error::Refused(reason));
    let exists = current.version != 0;
    if recorded.version == 0 && request.must_exist && !exists {
        return refuse(format!("there is no budget {name}; use budget create"));
    }
    if recorded.version == 0 && !request.must_exist && exists {
        return refuse(format!("there is a budget {name}; use budget topup"));
    }
    if current.row.limit.checked_add(request.tokens).is_none() {
        return refuse("the new limit would exceed the largest number of tokens".to_owned());
    }
    Ok(request.tokens)
}

fn amount_mismatch(request: &TopUpRequest, made: u64) -> Error {
    let (name, id) = (&request.budget, &request.id);
    Error::Refused(if request.must_exist {
        format!("top-up {id} of {name} was made with {made} tokens")
    } else {
        format!("budget {name} was created with {made} tokens; use budget topup")
    })
}

/// Formats the result of a command on a budget.
pub fn output(change: &BudgetChange) -> Output {
    let BudgetChange {
        budget,
        limit,
        available,
        repeated,
    } = change;
    let note = if *repeated { " (was done before)" } else { "" };
    let text = format!("budget {budget}: limit {limit}, available {available}{note}\n");
    Output::new(change, text)
}
