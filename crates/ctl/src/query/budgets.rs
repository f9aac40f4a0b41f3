//! Queries of budgets.

use poplar_core::bill::Stage;
use poplar_core::budget::rows::GrantRow;
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::{Budget, Fleet, Router};
use crate::output::{Output, Table};

/// State of one budget; all amounts are in tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetState {
    /// Name of the budget.
    pub budget: Name,
    /// Prepaid tokens.
    pub limit: u64,
    /// Billed, according to the routers' billing rows.
    pub billed: u64,
    /// Recorded as a loss, according to the routers' billing rows: spent without
    /// an answer that could be billed.
    pub lost: u64,
    /// Granted to live routers and neither billed nor lost yet.
    pub held: u64,
    /// Granted to sealed routers and neither billed nor lost; counted as spent.
    pub stranded: u64,
    /// Not granted to any router.
    pub available: u64,
}

/// Computes the state of each budget.
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
            add_router(&mut state, grants, router);
        }
        state
    };
    budgets.iter().map(state).collect()
}

/// Adds one router's billed, lost and remaining tokens to a budget's state.
fn add_router(
    state: &mut BudgetState,
    grants: &SortedVec<(Name, Incarnation), GrantRow>,
    router: &Router,
) {
    let tokens_in = |sums: &[(Name, u64)]| {
        let found = sums.iter().find(|(name, _)| *name == state.budget);
        found.map_or(0, |(_, tokens)| *tokens)
    };
    let (billed, lost) = (
        tokens_in(&router.billing.billed),
        tokens_in(&router.billing.lost),
    );
    let grant = grants.get(&(state.budget.clone(), router.incarnation.clone()));
    let remaining = grant.map_or(0, |g| g.granted.saturating_sub(billed + lost));
    state.billed += billed;
    state.lost += lost;
    match router.row.stage {
        Stage::Sealed => state.stranded += remaining,
        Stage::Active => state.held += remaining,
    }
}

async fn read_states(fleet: &Fleet) -> Result<Vec<BudgetState>> {
    // Grants are read before the billing rows. A grant drawn between the two
    // reads then shows as too few held tokens, never as too many billed ones.
    let grants = fleet.grants().await?;
    let routers = fleet.routers().await?;
    Ok(budget_states(&fleet.budgets().await?, &grants, &routers))
}

/// Lists all budgets.
///
/// # Errors
/// Any error of the platform.
pub async fn list(fleet: &Fleet) -> Result<Output> {
    let states = read_states(fleet).await?;
    Ok(Output::new(&states, text(&states)))
}

/// Shows one budget.
///
/// # Errors
/// There is no such budget, or any error of the platform.
pub async fn show(fleet: &Fleet, budget: &str) -> Result<Output> {
    let states = read_states(fleet).await?;
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
