//! Checks the invariants of a fleet against the counts of the stand-ins.

use std::collections::BTreeMap;

use poplar_core::bill::Bill;
use poplar_standins::engine::counts::CountsWire as EngineCounts;
use poplar_standins::platform::counts::CountsWire as PlatformCounts;
use poplar_standins::service::counts::CountsWire as ServiceCounts;

use crate::error::Result;
use crate::fleet::{Backend, Fleet};
use crate::record::{Outcome, Record};
use crate::{bills, web};

/// Limit on the violations of one kind that are listed.
const MAX_NAMED: usize = 3;

/// Counts of one engine or service stand-in.
#[derive(Debug, Clone)]
pub struct Count {
    /// Whether the stand-in is an engine.
    pub is_engine: bool,
    /// Consumed tokens by workspace.
    pub consumed: Vec<(String, u64)>,
    /// Number of executions by request.
    pub runs: Vec<(String, u64)>,
}

impl Count {
    /// Counts of a stand-in that did no work.
    pub fn empty(is_engine: bool) -> Self {
        Self {
            is_engine,
            consumed: Vec::new(),
            runs: Vec::new(),
        }
    }
}

/// Reads the counts of one engine or service.
///
/// # Errors
/// If it does not answer.
pub async fn read_count(backend: &Backend) -> Result<Count> {
    if !backend.is_engine {
        let counts: ServiceCounts = web::get(backend.address, "/control/counts").await?;
        // A call costs one token.
        let consumed = counts.workspaces.iter();
        let runs = counts.requests.iter();
        return Ok(Count {
            is_engine: false,
            consumed: consumed
                .map(|w| (w.name.to_string(), w.calls.runs))
                .collect(),
            runs: runs.map(|r| (r.name.to_string(), r.calls.runs)).collect(),
        });
    }
    let counts: EngineCounts = web::get(backend.address, "/control/counts").await?;
    let used = counts.workspaces.iter().map(|w| {
        let used = w.usage.prompt + w.usage.generated + w.usage.reprefill;
        (w.workspace.to_string(), used)
    });
    let runs = counts.requests.iter();
    Ok(Count {
        is_engine: true,
        consumed: used.collect(),
        runs: runs
            .map(|r| (r.id.to_string(), r.usage.runs + r.usage.resumes))
            .collect(),
    })
}

/// Returns the limit of a workspace's budget and the tokens consumed of it.
///
/// # Errors
/// If a stand-in does not answer.
pub async fn consumed(fleet: &Fleet, workspace: &str) -> Result<(u64, u64)> {
    let used = fleet.counts().await?.into_iter().flat_map(|c| c.consumed);
    let used = used.filter(|(name, _)| name == workspace);
    let used = used.map(|(_, tokens)| tokens).sum();
    let budgets = fleet.platform.budgets().await?;
    let budget = budgets.iter().find(|b| b.name == workspace);
    Ok((budget.map_or(0, |b| b.row.limit), used))
}

/// Input of the audit's checks: bills, executions and callers' records.
///
/// `runs` has executions at engines and at services, by request.
#[derive(Debug)]
struct Facts {
    bills: BTreeMap<String, Vec<Bill>>,
    runs: BTreeMap<String, (u64, u64)>,
    answered: BTreeMap<String, Record>,
    records: Vec<Record>,
}

/// Checks all invariants. The text is `sound`, or lists the violations.
///
/// # Errors
/// If a stand-in does not answer, or a chain of bill batches is broken.
pub async fn audit(fleet: &Fleet, records: &[Record]) -> Result<String> {
    let mut faults = check_limits(fleet).await?;
    let facts = collect_facts(fleet, records).await?;
    let checks: [(&str, Vec<String>); 6] = [
        ("wrong answers", wrong_answers(&facts)),
        ("answered without a bill", unbilled_answers(&facts)),
        ("billed twice", billed_twice(&facts)),
        ("billed another amount", billed_other_amount(&facts)),
        ("not_run and ran", ran_despite_not_run(&facts)),
        ("ran more than once", ran_more_than_once(&facts)),
    ];
    for (what, found) in checks {
        if !found.is_empty() {
            let named = found[..found.len().min(MAX_NAMED)].join(", ");
            faults.push(format!("{what}: {} ({named})", found.len()));
        }
    }
    if facts.answered.is_empty() {
        faults.push("nothing was answered".to_owned());
    }
    match faults.is_empty() {
        true => Ok("sound\n".to_owned()),
        false => Ok(faults.join("\n") + "\n"),
    }
}

async fn collect_facts(fleet: &Fleet, records: &[Record]) -> Result<Facts> {
    let mut facts = Facts {
        bills: BTreeMap::new(),
        runs: BTreeMap::new(),
        answered: BTreeMap::new(),
        records: records.to_vec(),
    };
    for bill in bills::read(&fleet.platform).await? {
        let entry = facts.bills.entry(bill.id.to_string());
        entry.or_default().push(bill);
    }
    for count in fleet.counts().await? {
        for (id, runs) in count.runs {
            let entry = facts.runs.entry(id).or_default();
            match count.is_engine {
                true => entry.0 += runs,
                false => entry.1 += runs,
            }
        }
    }
    for record in records.iter().filter(|r| r.outcome == Outcome::Complete) {
        let id = record.id.clone().unwrap_or_default();
        facts.answered.insert(id, record.clone());
    }
    Ok(facts)
}

/// Checks granted, consumed and billed tokens against the limits of the budgets.
///
/// Between two top-ups the limit is constant and the other figures only grow, so
/// a check before each top-up and one at the end cover the whole scenario.
///
/// # Errors
/// If a stand-in does not answer.
pub async fn check_limits(fleet: &Fleet) -> Result<Vec<String>> {
    let mut faults = Vec::new();
    let counts: PlatformCounts = web::get(fleet.platform.address, "/control/counts").await?;
    if counts.violations > 0 {
        faults.push(format!("the table's sums: {:?}", counts.violated));
    }
    let bills = bills::read(&fleet.platform).await?;
    for budget in fleet.platform.budgets().await? {
        let (limit, used) = consumed(fleet, &budget.name).await?;
        let billed = bills.iter().filter(|b| *b.budget == budget.name);
        let billed: u64 = billed.map(Bill::tokens).sum();
        if used > limit || billed > limit {
            let name = budget.name;
            faults.push(format!(
                "{name}: {used} consumed and {billed} billed of {limit}"
            ));
        }
    }
    Ok(faults)
}

fn wrong_answers(facts: &Facts) -> Vec<String> {
    let wrong = facts.records.iter().filter_map(|r| match &r.outcome {
        Outcome::Wrong(why) => Some(why.clone()),
        _ => None,
    });
    wrong.collect()
}

fn unbilled_answers(facts: &Facts) -> Vec<String> {
    let ids = facts.answered.keys();
    let ids = ids.filter(|id| !facts.bills.contains_key(*id));
    ids.cloned().collect()
}

fn billed_twice(facts: &Facts) -> Vec<String> {
    let duplicates = facts.bills.iter().filter(|(_, bills)| bills.len() > 1);
    duplicates.map(|(id, _)| id.clone()).collect()
}

fn billed_other_amount(facts: &Facts) -> Vec<String> {
    let other = facts.answered.iter().filter_map(|(id, record)| {
        let bill = facts.bills.get(id)?.first()?;
        let expected = record.tokens.0 + record.tokens.1;
        (bill.tokens() != expected).then(|| format!("{id}: {} for {expected}", bill.tokens()))
    });
    other.collect()
}

/// Finds requests refused as `not_run` although they had been executed, and
/// requests that were executed although every attempt was refused as `not_run`.
fn ran_despite_not_run(facts: &Facts) -> Vec<String> {
    let not_run_code = |r: &Record| match &r.outcome {
        Outcome::Refused { code, execution } if execution == "not_run" => Some(code.clone()),
        _ => None,
    };
    let mut refused: BTreeMap<&String, bool> = BTreeMap::new();
    for record in &facts.records {
        if let Some(id) = &record.id {
            let code = not_run_code(record).filter(|code| code != "key_reused");
            *refused.entry(id).or_insert(true) &= code.is_some();
        }
    }
    let ran_later = refused.into_iter().filter(|(id, all)| {
        let (engines, services) = facts.runs.get(*id).copied().unwrap_or_default();
        *all && engines + services > 0
    });
    let mut found: Vec<String> = ran_later.map(|(id, _)| format!("{id}: later")).collect();
    let ran_before = facts.records.iter().filter(|r| r.ran_before);
    found.extend(
        ran_before.map(|r| format!("{}: {}", r.id.as_deref().unwrap_or_default(), r.outcome)),
    );
    found
}

fn ran_more_than_once(facts: &Facts) -> Vec<String> {
    let payments = facts.records.iter().filter(|r| r.class == "payment");
    let mut repeated: Vec<String> = payments
        .filter_map(|r| r.id.clone())
        .filter(|id| facts.runs.get(id).is_some_and(|runs| runs.1 > 1))
        .collect();
    repeated.sort();
    repeated.dedup();
    repeated
}
