//! Collects the input of the report from the platform and the routers.

use poplar_core::bill::Bill;
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use poplar_ctl::chain::{self, Chain};
use poplar_ctl::error::Result;
use poplar_ctl::fleet::{Fleet, Router};
use serde::Deserialize;
use serde_json::Value;

use crate::report::{AnswerRecord, BudgetUsage, Input, RefusalCount, WINDOWS};

/// Answer of a router's `/v1/burn`.
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
    false_refusals: u64,
}

/// Collects the input for the day before `now`, in milliseconds of Unix time.
///
/// # Errors
/// Any error of the platform. A router that does not answer is no error; it is
/// listed in [`Input::silent`].
pub async fn gather(fleet: &Fleet, now: u64) -> Result<Input> {
    let (_, day) = WINDOWS[WINDOWS.len() - 1];
    let routers = fleet.routers().await?;
    let since = now.saturating_sub(day);
    let chains = chain::read_all(&fleet.platform, &routers, since).await?;
    let mut input = Input {
        config: fleet.config().await?.config,
        answers: chains
            .iter()
            .flat_map(|c| &c.bills)
            .map(answer_record)
            .collect(),
        broken: chains.iter().filter_map(|c| c.broken_at.clone()).collect(),
        // Limits only grow, so reading them after the bills can't show a false
        // overspend.
        budgets: budget_usage(fleet, &chains).await?,
        ..Input::default()
    };
    read_refusals(fleet, routers, &mut input).await;
    Ok(input)
}

fn answer_record(bill: &Bill) -> AnswerRecord {
    AnswerRecord {
        workspace: bill.workspace.clone(),
        class: bill.class.clone(),
        at_ms: bill.at_ms,
        met: bill.targets_met,
    }
}

async fn budget_usage(fleet: &Fleet, chains: &[Chain]) -> Result<Vec<BudgetUsage>> {
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
    Ok(sums.iter().map(|(_, usage)| usage.clone()).collect())
}

/// Reads the refusals of all live routers into `input`.
async fn read_refusals(fleet: &Fleet, mut routers: Vec<Router>, input: &mut Input) {
    routers.retain(Router::is_live);
    let pages = fleet.query_admin(&routers, "/v1/burn").await;
    for (router, page) in routers.into_iter().zip(pages) {
        match page.ok().and_then(decode_page) {
            Some(page) => input.refusals.extend(refusal_counts(page)),
            None => input.silent.push(router.incarnation),
        }
    }
}

fn decode_page(page: Value) -> Option<PageWire> {
    serde_json::from_value(page).ok()
}

fn refusal_counts(page: PageWire) -> Vec<RefusalCount> {
    let mut counts = Vec::new();
    for minute in page.minutes {
        for row in minute.rows {
            let (workspace, class) = (row.workspace, row.class);
            counts.extend(row.refused.into_iter().map(|r| RefusalCount {
                workspace: workspace.clone(),
                class: class.clone(),
                minute: minute.minute,
                code: r.code,
                count: r.count,
                false_refusals: r.false_refusals,
            }));
        }
    }
    counts
}
