//! The audit of bills: each request billed once, no budget overspent.

use poplar_core::id::{Name, RequestId};
use poplar_core::sorted::SortedVec;
use serde::Serialize;

use crate::chain::Chain;
use crate::fleet::Budget;

/// What the audit counted for a budget, in tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Spent {
    /// The budget.
    pub budget: Name,
    /// Prepaid in all; 0 where the budget has no row.
    pub limit: u64,
    /// Sum of its bills.
    pub billed: u64,
    /// Sum of what the routers' rows say.
    pub rows: u64,
    /// Billed over the limit, by the larger of the two sums.
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
    pub budgets: Vec<Spent>,
    /// Requests with more than one bill.
    pub duplicates: Vec<RequestId>,
    /// Everything else that is wrong, a sentence each.
    pub faults: Vec<String>,
}

impl Audit {
    /// Whether nothing is wrong.
    pub fn clean(&self) -> bool {
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
        batches: chains.iter().map(|c| c.found).sum(),
        budgets: spent(chains, budgets),
        duplicates: duplicates(chains),
        faults,
    }
}

/// Sums of a chain's bills by budget.
fn sums(chain: &Chain) -> SortedVec<Name, u64> {
    let mut sums = SortedVec::new();
    for bill in &chain.bills {
        *sums.entry(bill.budget.clone(), || 0) += bill.tokens();
    }
    sums
}

fn check_chain(chain: &Chain, faults: &mut Vec<String>) {
    let of = chain.of.as_ref().map_or("?", |of| &of.0);
    if let Some(name) = &chain.broken {
        faults.push(format!("{of}: the chain breaks at {name}"));
    }
    if chain.found != chain.counted {
        let (found, counted) = (chain.found, chain.counted);
        faults.push(format!("{of}: {found} batches found, {counted} counted"));
    }
    let sums = sums(chain);
    let rows: SortedVec<Name, u64> = chain.billed.iter().cloned().collect();
    let names: SortedVec<Name, ()> = sums
        .iter()
        .chain(rows.iter())
        .map(|(name, _)| (name.clone(), ()))
        .collect();
    for (budget, ()) in names.iter() {
        let sum = sums.get(budget).copied().unwrap_or(0);
        let row = rows.get(budget).copied().unwrap_or(0);
        if sum != row {
            faults.push(format!(
                "{of}: bills of {budget} sum to {sum}, its row says {row}"
            ));
        }
    }
}

fn spent(chains: &[Chain], budgets: &[Budget]) -> Vec<Spent> {
    let mut all: SortedVec<Name, Spent> = SortedVec::new();
    let empty = |budget: &Name| Spent {
        budget: budget.clone(),
        limit: 0,
        billed: 0,
        rows: 0,
        overspend: 0,
    };
    for budget in budgets {
        all.entry(budget.name.clone(), || empty(&budget.name)).limit = budget.row.limit;
    }
    for bill in chains.iter().flat_map(|c| &c.bills) {
        all.entry(bill.budget.clone(), || empty(&bill.budget))
            .billed += bill.tokens();
    }
    for (budget, tokens) in chains.iter().flat_map(|c| &c.billed) {
        all.entry(budget.clone(), || empty(budget)).rows += tokens;
    }
    let close = |spent: &Spent| Spent {
        overspend: spent.billed.max(spent.rows).saturating_sub(spent.limit),
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
