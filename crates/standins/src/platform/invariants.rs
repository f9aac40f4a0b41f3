//! Checks the invariants of budgets after every commit.
//!
//! For each budget, the granted tokens must not exceed the limit, and the grants
//! of all incarnations must add up to them. The check reads the rows as plain
//! JSON and shares no code with the product, so that it stays independent.

use poplar_base::platform::wire::RowWire;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::table::Table;

/// How many violations are recorded with their rows.
const MAX_RECORDED: usize = 8;

/// A commit that broke an invariant.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Violation {
    /// Name of the budget.
    pub budget: String,
    /// Which invariant was broken.
    pub reason: String,
    /// Version of the commit.
    pub version: u64,
    /// The row of the budget and its grants after the commit.
    pub rows: Vec<RowWire>,
}

/// Checks budgets and records the violations.
#[derive(Debug, Clone, Default)]
pub struct InvariantChecker {
    /// Number of violations so far.
    pub count: u64,
    /// The first violations, up to a fixed number.
    pub recorded: Vec<Violation>,
}

/// The budget that the row with this key belongs to, if any.
pub fn budget_of(key: &str) -> Option<&str> {
    if let Some(budget) = key.strip_prefix("budget/") {
        return Some(budget);
    }
    let grant = key.strip_prefix("grant/")?;
    grant.split_once('/').map(|(_, budget)| budget)
}

impl InvariantChecker {
    /// Checks each of `budgets` after the commit with this version.
    pub fn check(&mut self, table: &Table, budgets: &[String], version: u64) {
        for budget in budgets {
            let row = table.row(&format!("budget/{budget}"));
            let mut grants = table.scan("grant/");
            grants.retain(|row| budget_of(&row.key) == Some(budget.as_str()));
            if let Err(reason) = check_budget(&row, &grants) {
                self.count += 1;
                if self.recorded.len() < MAX_RECORDED {
                    let mut rows = vec![row];
                    rows.extend(grants);
                    self.recorded.push(Violation {
                        budget: budget.clone(),
                        reason,
                        version,
                        rows,
                    });
                }
            }
        }
    }
}

fn whole_number(row: &RowWire, name: &str) -> Result<u64, String> {
    let value = row.value.get(name).and_then(Value::as_u64);
    value.ok_or_else(|| format!("{} has no whole number {name:?}", row.key))
}

fn check_budget(row: &RowWire, grants: &[RowWire]) -> Result<(), String> {
    let (limit, granted) = match row.version {
        0 => (0, 0),
        _ => (whole_number(row, "limit")?, whole_number(row, "granted")?),
    };
    let mut sum = 0;
    for grant in grants {
        sum += whole_number(grant, "granted")?;
    }
    if granted > limit {
        return Err(format!("granted {granted} is above the limit {limit}"));
    }
    if sum != granted {
        return Err(format!("grants add up to {sum}, not to {granted}"));
    }
    Ok(())
}
