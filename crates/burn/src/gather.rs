//! Gathers what the report needs from the platform and the routers.

use poplar_core::bill::Bill;
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use poplar_ctl::chain::{self, Chain};
use poplar_ctl::error::Result;
use poplar_ctl::fleet::{Fleet, Router};
use serde::Deserialize;
use serde_json::Value;

use crate::report::{AnswerRecord, BudgetUsage, Input, RefusalCount, WINDOWS};

/// A router's burn page.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct PageWire {
    minutes: Vec<MinuteWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct MinuteWire {
    minute: u64,
    rows: Vec<RowWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RowWire {
    workspace: Name,
    class: Name,
    refused: Vec<RefusedWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RefusedWire {
    code: Name,
    count: u64,
    #[serde(rename = "false")]
    wrong: u64,
}

/// Gathers the last day before `now`, in milliseconds of Unix time.
///
/// # Errors
/// The platform's; a router that does not answer is part of the input.
pub async fn gather(fleet: &Fleet, now: u64) -> Result<Input> {
    let (_, day) = WINDOWS[WINDOWS.len() - 1];
    let routers = fleet.routers().await?;
    let since = now.saturating_sub(day);
    let chains = chain::read_all(&fleet.platform, &routers, since).await?;
    let mut input = Input {
        config: fleet.config().await?.config,
        answers: chains.iter().flat_map(|c| &c.bills).map(answered).collect(),
        broken: chains.iter().filter_map(|c| c.broken_at.clone()).collect(),
        // Limits only grow, so they are read after what was billed.
        budgets: budgets(fleet, &chains).await?,
        ..Input::default()
    };
    ask(fleet, routers, &mut input).await;
    Ok(input)
}

fn answered(bill: &Bill) -> AnswerRecord {
    AnswerRecord {
        workspace: bill.workspace.clone(),
        class: bill.class.clone(),
        at_ms: bill.at_ms,
        met: bill.targets_met,
    }
}

async fn budgets(fleet: &Fleet, chains: &[Chain]) -> Result<Vec<BudgetUsage>> {
    let mut sums: SortedVec<Name, BudgetUsage> = SortedVec::new();
    let empty = |budget: &Name| BudgetUsage {
        budget: budget.clone(),
        ..BudgetUsage::default()
    };
    for row in chains.iter().map(|c| &c.billing) {
        for (budget, tokens) in &row.billed {
            sums.get_or_insert_with(budget.clone(), || empty(budget))
                .billed += tokens;
        }
        for (budget, tokens) in &row.lost {
            sums.get_or_insert_with(budget.clone(), || empty(budget))
                .lost += tokens;
        }
    }
    for budget in fleet.budgets().await? {
        let name = budget.name;
        sums.get_or_insert_with(name.clone(), || empty(&name)).limit = budget.row.limit;
    }
    Ok(sums.iter().map(|(_, spending)| spending.clone()).collect())
}

async fn ask(fleet: &Fleet, mut routers: Vec<Router>, input: &mut Input) {
    routers.retain(Router::is_live);
    let pages = fleet.query_admin(&routers, "/v1/burn").await;
    for (router, page) in routers.into_iter().zip(pages) {
        match page.ok().and_then(read) {
            Some(page) => input.refusals.extend(refused(page)),
            None => input.silent.push(router.incarnation),
        }
    }
}

fn read(page: Value) -> Option<PageWire> {
    serde_json::from_value(page).ok()
}

fn refused(page: PageWire) -> Vec<RefusalCount> {
    let mut all = Vec::new();
    for minute in page.minutes {
        for row in minute.rows {
            let (workspace, class) = (row.workspace, row.class);
            all.extend(row.refused.into_iter().map(|r| RefusalCount {
                workspace: workspace.clone(),
                class: class.clone(),
                minute: minute.minute,
                code: r.code,
                count: r.count,
                false_refusals: r.wrong,
            }));
        }
    }
    all
}
