//! Queries of budgets.

use poplar_core::bill::Stage;
use poplar_core::budget::rows::GrantRow;
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::{Budget, Fleet, Router};
use crate::output::{Output, Table};

/// A budget with where its tokens are, all in tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetState {
    /// The budget.
    pub budget: Name,
    /// Prepaid in all.
    pub limit: u64,
    /// Billed, as the routers' rows say.
    pub billed: u64,
    /// Taken off without an answer to bill, as the routers' rows say.
    pub lost: u64,
    /// Granted to live routers and not taken off yet.
    pub held: u64,
    /// Granted to sealed routers and not taken off: counted as spent.
    pub stranded: u64,
    /// Not granted to any router.
    pub available: u64,
}

/// Adds up where each budget's tokens are.
pub fn budget_states(
    budgets: &[Budget],
    grants: &SortedVec<(Name, Incarnation), GrantRow>,
    routers: &[Router],
) -> Vec<BudgetState> {
    let state = |budget: &Budget| {
        let mut state = BudgetState {
            budget: budget.name.clone(),
            limit: budget.row.limit,
            billed: 0,
            lost: 0,
            held: 0,
            stranded: 0,
            available: budget.row.available(),
        };
        for router in routers {
            add(&mut state, grants, router);
        }
        state
    };
    budgets.iter().map(state).collect()
}

fn add(
    state: &mut BudgetState,
    grants: &SortedVec<(Name, Incarnation), GrantRow>,
    router: &Router,
) {
    let sum = |sums: &[(Name, u64)]| {
        let found = sums.iter().find(|(name, _)| *name == state.budget);
        found.map_or(0, |(_, tokens)| *tokens)
    };
    let (billed, lost) = (sum(&router.billing.billed), sum(&router.billing.lost));
    let grant = grants.get(&(state.budget.clone(), router.incarnation.clone()));
    let left = grant.map_or(0, |g| g.granted.saturating_sub(billed + lost));
    state.billed += billed;
    state.lost += lost;
    match router.row.stage {
        Stage::Sealed => state.stranded += left,
        Stage::Active => state.held += left,
    }
}

async fn read(fleet: &Fleet) -> Result<Vec<BudgetState>> {
    // Grants are read before the rows that bill them, so that a draw between
    // the two reads shows as held too little and never as billed too much.
    let grants = fleet.grants().await?;
    let routers = fleet.routers().await?;
    Ok(budget_states(&fleet.budgets().await?, &grants, &routers))
}

/// Lists every budget.
///
/// # Errors
/// The platform's.
pub async fn list(fleet: &Fleet) -> Result<Output> {
    let states = read(fleet).await?;
    Ok(Output::new(&states, text(&states)))
}

/// Shows one budget.
///
/// # Errors
/// No such budget, or the platform's.
pub async fn show(fleet: &Fleet, budget: &str) -> Result<Output> {
    let states = read(fleet).await?;
    let state = states.into_iter().find(|s| *s.budget == *budget);
    let state = state.ok_or_else(|| Error::Refused(format!("there is no budget {budget}")))?;
    Ok(Output::new(&state, text(std::slice::from_ref(&state))))
}

fn text(states: &[BudgetState]) -> String {
    let mut table = Table::new([
        "BUDGET",
        "LIMIT",
        "BILLED",
        "LOST",
        "HELD",
        "STRANDED",
        "AVAILABLE",
    ]);
    for s in states {
        let counts = [s.limit, s.billed, s.lost, s.held, s.stranded, s.available];
        let counts = counts.iter().map(u64::to_string);
        table.add_row(std::iter::once(s.budget.to_string()).chain(counts));
    }
    table.text()
}
