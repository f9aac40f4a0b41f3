//! What must always hold, counted at the stand-ins.

use std::collections::BTreeMap;

use poplar_core::bill::Bill;
use poplar_standins::engine::counts::CountsWire as EngineCounts;
use poplar_standins::platform::counts::CountsWire as PlatformCounts;
use poplar_standins::service::counts::CountsWire as ServiceCounts;

use crate::fault::Result;
use crate::fleet::{Backend, Fleet};
use crate::record::{Outcome, Record};
use crate::{bills, web};

/// Faults of one kind that are named.
const NAMED: usize = 3;

/// What one stand-in counted.
#[derive(Debug, Clone)]
pub struct Count {
    /// Whether it is an engine.
    pub engine: bool,
    /// Tokens consumed by workspace.
    pub consumed: Vec<(String, u64)>,
    /// Runs by request.
    pub runs: Vec<(String, u64)>,
}

impl Count {
    /// Nothing was counted.
    pub fn none(engine: bool) -> Self {
        Self {
            engine,
            consumed: Vec::new(),
            runs: Vec::new(),
        }
    }
}

/// Reads the counts of one engine or service.
///
/// # Errors
/// Where it does not answer.
pub async fn count(backend: &Backend) -> Result<Count> {
    if !backend.engine {
        let counts: ServiceCounts = web::get(backend.address, "/control/counts").await?;
        // A call costs one token.
        let consumed = counts.workspaces.iter();
        let runs = counts.requests.iter();
        return Ok(Count {
            engine: false,
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
        engine: true,
        consumed: used.collect(),
        runs: runs
            .map(|r| (r.id.to_string(), r.usage.runs + r.usage.resumes))
            .collect(),
    })
}

/// The limit of a workspace's budget and what was consumed of it, in tokens.
///
/// # Errors
/// Where a stand-in does not answer.
pub async fn consumed(fleet: &Fleet, workspace: &str) -> Result<(u64, u64)> {
    let used = fleet.counts().await?.into_iter().flat_map(|c| c.consumed);
    let used = used.filter(|(name, _)| name == workspace);
    let used = used.map(|(_, tokens)| tokens).sum();
    let budgets = fleet.platform.budgets().await?;
    let budget = budgets.iter().find(|b| b.name == workspace);
    Ok((budget.map_or(0, |b| b.row.limit), used))
}

/// Everything that an audit looks at.
#[derive(Debug)]
struct Facts {
    bills: BTreeMap<String, Vec<Bill>>,
    runs: BTreeMap<String, (u64, u64)>,
    answered: BTreeMap<String, Record>,
    records: Vec<Record>,
}

/// Checks everything; the text is `sound` or names what does not hold.
///
/// # Errors
/// Where a stand-in does not answer, or the chain of bills is broken.
pub async fn audit(fleet: &Fleet, records: &[Record]) -> Result<String> {
    let mut faults = limits(fleet).await?;
    let facts = facts(fleet, records).await?;
    let checks: [(&str, Vec<String>); 6] = [
        ("wrong answers", wrong(&facts)),
        ("answered without a bill", unbilled(&facts)),
        ("billed twice", twice(&facts)),
        ("billed another amount", other(&facts)),
        ("not_run and ran", ran(&facts)),
        ("ran more than once", repeated(&facts)),
    ];
    for (what, found) in checks {
        if !found.is_empty() {
            let named = found[..found.len().min(NAMED)].join(", ");
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

async fn facts(fleet: &Fleet, records: &[Record]) -> Result<Facts> {
    let mut facts = Facts {
        bills: BTreeMap::new(),
        runs: BTreeMap::new(),
        answered: BTreeMap::new(),
        records: records.to_vec(),
    };
    for bill in bills::read(&fleet.platform).await? {
        let of = facts.bills.entry(bill.id.to_string());
        of.or_default().push(bill);
    }
    for count in fleet.counts().await? {
        for (id, runs) in count.runs {
            let of = facts.runs.entry(id).or_default();
            match count.engine {
                true => of.0 += runs,
                false => of.1 += runs,
            }
        }
    }
    for record in records.iter().filter(|r| r.outcome == Outcome::Whole) {
        let id = record.id.clone().unwrap_or_default();
        facts.answered.insert(id, record.clone());
    }
    Ok(facts)
}

/// Checks budgets: granted, consumed and billed tokens against the limits.
///
/// Between two top-ups the limit stands and the rest only grows, so that a
/// check before each top-up and at the end covers every moment.
///
/// # Errors
/// Where a stand-in does not answer.
pub async fn limits(fleet: &Fleet) -> Result<Vec<String>> {
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

fn wrong(facts: &Facts) -> Vec<String> {
    let wrong = facts.records.iter().filter_map(|r| match &r.outcome {
        Outcome::Wrong(why) => Some(why.clone()),
        _ => None,
    });
    wrong.collect()
}

fn unbilled(facts: &Facts) -> Vec<String> {
    let ids = facts.answered.keys();
    let ids = ids.filter(|id| !facts.bills.contains_key(*id));
    ids.cloned().collect()
}

fn twice(facts: &Facts) -> Vec<String> {
    let many = facts.bills.iter().filter(|(_, bills)| bills.len() > 1);
    many.map(|(id, _)| id.clone()).collect()
}

fn other(facts: &Facts) -> Vec<String> {
    let other = facts.answered.iter().filter_map(|(id, record)| {
        let bill = facts.bills.get(id)?.first()?;
        let right = record.tokens.0 + record.tokens.1;
        (bill.tokens() != right).then(|| format!("{id}: {} for {right}", bill.tokens()))
    });
    other.collect()
}

/// Refusals as not run of requests that had run, or that ran though each
/// attempt was refused so.
fn ran(facts: &Facts) -> Vec<String> {
    let said = |r: &Record| match &r.outcome {
        Outcome::Refused { code, run } if run == "not_run" => Some(code.clone()),
        _ => None,
    };
    let mut refused: BTreeMap<&String, bool> = BTreeMap::new();
    for record in &facts.records {
        if let Some(id) = &record.id {
            let code = said(record).filter(|code| code != "key_reused");
            *refused.entry(id).or_insert(true) &= code.is_some();
        }
    }
    let late = refused.into_iter().filter(|(id, all)| {
        let (engines, services) = facts.runs.get(*id).copied().unwrap_or_default();
        *all && engines + services > 0
    });
    let mut found: Vec<String> = late.map(|(id, _)| format!("{id}: later")).collect();
    let before = facts.records.iter().filter(|r| r.ran);
    found.extend(before.map(|r| format!("{}: {}", r.id.as_deref().unwrap_or_default(), r.outcome)));
    found
}

fn repeated(facts: &Facts) -> Vec<String> {
    let once = facts.records.iter().filter(|r| r.class == "payment");
    let mut many: Vec<String> = once
        .filter_map(|r| r.id.clone())
        .filter(|id| facts.runs.get(id).is_some_and(|runs| runs.1 > 1))
        .collect();
    many.sort();
    many.dedup();
    many
}
