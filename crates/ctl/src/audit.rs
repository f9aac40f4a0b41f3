//! The audit of bills: each request billed once, no budget overspent.

use poplar_core::id::{Name, RequestId};
use poplar_core::sorted::SortedVec;
use serde::Serialize;

use crate::chain::Chain;
use crate::fleet::Budget;

/// What the audit counted for a budget, in tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetAudit {
    /// The budget.
    pub budget: Name,
    /// Prepaid in all; 0 where the budget has no row.
    pub limit: u64,
    /// Sum of its bills.
    pub billed: u64,
    /// Taken off without an answer to bill.
    pub lost: u64,
    /// Billed and lost, as the routers' rows say.
    pub rows: u64,
    /// Taken off over the limit, by the larger of the two sums.
    pub overspend: u64,
}

/// What the audit found.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Audit {
    /// Bills in all.
    pub bills: u64,
    /// Batches in all.
    pub batches: u64,
    /// By budget.
    pub budgets: Vec<BudgetAudit>,
    /// Requests with more than one bill.
    pub duplicates: Vec<RequestId>,
    /// Everything else that is wrong, a sentence each.
    pub faults: Vec<String>,
}

impl Audit {
    /// Whether nothing is wrong.
    pub fn is_clean(&self) -> bool {
        let overspent = self.budgets.iter().any(|b| b.overspend > 0);
        self.duplicates.is_empty() && self.faults.is_empty() && !overspent
    }
}

/// Audits `chains` against the budgets.
pub fn audit(chains: &[Chain], budgets: &[Budget]) -> Audit {
    let mut faults: Vec<String> = Vec::new();
    for chain in chains {
        check_chain(chain, &mut faults);
    }
    Audit {
        bills: chains.iter().map(|c| c.bills.len() as u64).sum(),
        batches: chains.iter().map(|c| c.batch_count).sum(),
        budgets: spent(chains, budgets),
        duplicates: duplicates(chains),
        faults,
    }
}

/// Sums of `parts`, tokens by budget.
fn sums<'a>(parts: impl Iterator<Item = (&'a Name, u64)>) -> SortedVec<Name, u64> {
    let mut sums = SortedVec::new();
    for (budget, tokens) in parts {
        *sums.get_or_insert_with(budget.clone(), || 0) += tokens;
    }
    sums
}

fn bills(chain: &Chain) -> impl Iterator<Item = (&Name, u64)> {
    chain.bills.iter().map(|b| (&b.budget, b.tokens()))
}

fn losses(chain: &Chain) -> impl Iterator<Item = (&Name, u64)> {
    chain.losses.iter().map(|l| (&l.budget, l.tokens))
}

fn check_chain(chain: &Chain, faults: &mut Vec<String>) {
    let of = chain.incarnation.as_ref().map_or("?", |of| &of.0);
    if let Some(name) = &chain.broken_at {
        faults.push(format!("{of}: the chain breaks at {name}"));
    }
    let (found, counted) = (chain.batch_count, chain.billing.batches);
    if found != counted {
        faults.push(format!("{of}: {found} batches found, {counted} counted"));
    }
    let rows = &chain.billing;
    for (what, parts, row) in [
        ("bills", sums(bills(chain)), &rows.billed),
        ("losses", sums(losses(chain)), &rows.lost),
    ] {
        let row: SortedVec<Name, u64> = row.iter().cloned().collect();
        for budget in names(&parts, &row) {
            let sum = parts.get(&budget).copied().unwrap_or(0);
            let said = row.get(&budget).copied().unwrap_or(0);
            if sum != said {
                faults.push(format!(
                    "{of}: {what} of {budget} sum to {sum}, its row says {said}"
                ));
            }
        }
    }
}

/// Names in either, in order.
fn names(one: &SortedVec<Name, u64>, other: &SortedVec<Name, u64>) -> Vec<Name> {
    let all = one.iter().chain(other.iter());
    let mut names: Vec<Name> = all.map(|(name, _)| name.clone()).collect();
    names.sort();
    names.dedup();
    names
}

fn spent(chains: &[Chain], budgets: &[Budget]) -> Vec<BudgetAudit> {
    let mut all: SortedVec<Name, BudgetAudit> = SortedVec::new();
    let empty = |budget: &Name| BudgetAudit {
        budget: budget.clone(),
        limit: 0,
        billed: 0,
        lost: 0,
        rows: 0,
        overspend: 0,
    };
    for budget in budgets {
        all.get_or_insert_with(budget.name.clone(), || empty(&budget.name))
            .limit = budget.row.limit;
    }
    for (budget, tokens) in chains.iter().flat_map(bills) {
        all.get_or_insert_with(budget.clone(), || empty(budget))
            .billed += tokens;
    }
    for (budget, tokens) in chains.iter().flat_map(losses) {
        all.get_or_insert_with(budget.clone(), || empty(budget))
            .lost += tokens;
    }
    for row in chains.iter().map(|c| &c.billing) {
        for (budget, tokens) in row.billed.iter().chain(&row.lost) {
            all.get_or_insert_with(budget.clone(), || empty(budget))
                .rows += tokens;
        }
    }
    let close = |spent: &BudgetAudit| BudgetAudit {
        overspend: (spent.billed + spent.lost)
            .max(spent.rows)
            .saturating_sub(spent.limit),
        ..spent.clone()
    };
    all.iter().map(|(_, spent)| close(spent)).collect()
}

fn duplicates(chains: &[Chain]) -> Vec<RequestId> {
    let mut ids: Vec<&RequestId> = chains
        .iter()
        .flat_map(|c| &c.bills)
        .map(|b| &b.id)
        .collect();
    ids.sort();
    let mut twice: Vec<RequestId> = ids
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| pair[0].clone())
        .collect();
    twice.dedup();
    twice
}
