//! Watches the budgets' invariants at every commit.
//!
//! For each budget: what is granted is within the limit, and the grants of all
//! incarnations add up to it. The check reads the rows as plain JSON and shares
//! no code with the product.

use poplar_base::platform::wire::RowWire;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::table::Table;

/// How many violations are kept with their rows.
const MAX_RECORDED: usize = 8;

/// A commit that broke an invariant.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Violation {
    /// The budget.
    pub budget: String,
    /// What does not hold.
    pub reason: String,
    /// The commit's version.
    pub version: u64,
    /// The budget's row and its grants after the commit.
    pub rows: Vec<RowWire>,
}

/// Violations seen so far.
#[derive(Debug, Clone, Default)]
pub struct InvariantChecker {
    /// How many there were.
    pub count: u64,
    /// The first of them.
    pub recorded: Vec<Violation>,
}

/// The budget that a row belongs to.
pub fn budget_of(key: &str) -> Option<&str> {
    if let Some(budget) = key.strip_prefix("budget/") {
        return Some(budget);
    }
    let grant = key.strip_prefix("grant/")?;
    grant.split_once('/').map(|(_, budget)| budget)
}

impl InvariantChecker {
    /// Checks each of `budgets` after the commit `version`.
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
