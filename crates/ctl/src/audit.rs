//! Audit of the bills: each request is billed once and no budget is overspent.

use poplar_core::id::{Name, RequestId};
use poplar_core::sorted::SortedVec;
use serde::Serialize;

use crate::chain::Chain;
use crate::fleet::Budget;

/// Sums of one budget, in tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct BudgetAudit {
    /// Name of the budget.
    pub budget: Name,
    /// Prepaid tokens; 0 if the budget has no row.
    pub limit: u64,
    /// Sum of the bills.
    pub billed: u64,
    /// Recorded as a loss: spent without an answer that could be billed.
    pub lost: u64,
    /// Billed and lost according to the routers' billing rows.
    pub rows: u64,
    /// Spent beyond the limit, by the larger of the two sums: bills and losses,
    /// or billing rows.
    pub overspend: u64,
}

/// Result of the audit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Audit {
    /// Number of bills.
    pub bills: u64,
    /// Number of batches.
    pub batches: u64,
    /// Sums by budget.
    pub budgets: Vec<BudgetAudit>,
    /// Requests with more than one bill.
    pub duplicates: Vec<RequestId>,
    /// All other faults, one sentence each.
    pub faults: Vec<String>,
}

impl Audit {
    /// Whether the audit found no fault.
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
        budgets: audit_budgets(chains, budgets),
        duplicates: duplicates(chains),
        faults,
    }
}

/// Adds up pairs of budget and tokens by budget.
fn sum_by_budget<'a>(parts: impl Iterator<Item = (&'a Name, u64)>) -> SortedVec<Name, u64> {
    let mut sums = SortedVec::new();
    for (budget, tokens) in parts {
        *sums.get_or_insert_with(budget.clone(), || 0) += tokens;
    }
    sums
}

fn billed_tokens(chain: &Chain) -> impl Iterator<Item = (&Name, u64)> {
    chain.bills.iter().map(|b| (&b.budget, b.tokens()))
}

fn lost_tokens(chain: &Chain) -> impl Iterator<Item = (&Name, u64)> {
    chain.losses.iter().map(|l| (&l.budget, l.tokens))
}

fn check_chain(chain: &Chain, faults: &mut Vec<String>) {
    let router = chain
        .incarnation
        .as_ref()
        .map_or("?", |incarnation| &incarnation.0);
    if let Some(name) = &chain.broken_at {
        faults.push(format!("{router}: the chain breaks at {name}"));
    }
    let (read, counted) = (chain.batch_count, chain.billing.batches);
    if read != counted {
        faults.push(format!("{router}: {read} batches found, {counted} counted"));
    }
    let billing = &chain.billing;
    for (kind, sums, row) in [
        (
            "bills",
            sum_by_budget(billed_tokens(chain)),
            &billing.billed,
        ),
        ("losses", sum_by_budget(lost_tokens(chain)), &billing.lost),
    ] {
        let row: SortedVec<Name, u64> = row.iter().cloned().collect();
        for budget in all_names(&sums, &row) {
            let sum = sums.get(&budget).copied().unwrap_or(0);
            let recorded = row.get(&budget).copied().unwrap_or(0);
            if sum != recorded {
                faults.push(format!(
                    "{router}: {kind} of {budget} sum to {sum}, its row says {recorded}"
                ));
            }
        }
    }
}

/// Returns the names that occur in either map, sorted.
fn all_names(one: &SortedVec<Name, u64>, other: &SortedVec<Name, u64>) -> Vec<Name> {
    let all = one.iter().chain(other.iter());
    let mut names: Vec<Name> = all.map(|(name, _)| name.clone()).collect();
    names.sort();
    names.dedup();
    names
}

fn audit_budgets(chains: &[Chain], budgets: &[Budget]) -> Vec<BudgetAudit> {
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
    for (budget, tokens) in chains.iter().flat_map(billed_tokens) {
        all.get_or_insert_with(budget.clone(), || empty(budget))
            .billed += tokens;
    }
    for (budget, tokens) in chains.iter().flat_map(lost_tokens) {
        all.get_or_insert_with(budget.clone(), || empty(budget))
            .lost += tokens;
    }
    for row in chains.iter().map(|c| &c.billing) {
        for (budget, tokens) in row.billed.iter().chain(&row.lost) {
            all.get_or_insert_with(budget.clone(), || empty(budget))
                .rows += tokens;
        }
    }
    let with_overspend = |sums: &BudgetAudit| BudgetAudit {
        overspend: (sums.billed + sums.lost)
            .max(sums.rows)
            .saturating_sub(sums.limit),
        ..sums.clone()
    };
    all.iter().map(|(_, sums)| with_overspend(sums)).collect()
}

fn duplicates(chains: &[Chain]) -> Vec<RequestId> {
    let mut ids: Vec<&RequestId> = chains
        .iter()
        .flat_map(|c| &c.bills)
        .map(|b| &b.id)
        .collect();
    ids.sort();
    let mut duplicates: Vec<RequestId> = ids
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| pair[0].clone())
        .collect();
    duplicates.dedup();
    duplicates
}
