//! The audit of bills.

use crate::audit::{Audit, audit};
use crate::chain;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::output::{Output, Table};

/// Audits every bill in the object store.
///
/// # Errors
/// The platform's.
pub async fn bills(fleet: &Fleet) -> Result<Output> {
    let routers = fleet.routers().await?;
    let chains = chain::read_all(&fleet.platform, &routers, 0).await?;
    // Limits only grow, so they are read last.
    let found = audit(&chains, &fleet.budgets().await?);
    let failed = (!found.is_clean()).then(|| "the audit found faults".to_owned());
    Ok(Output::new(&found, text(&found)).with_failure(failed))
}

fn text(audit: &Audit) -> String {
    let mut table = Table::new(["BUDGET", "LIMIT", "BILLED", "LOST", "OVERSPEND"]);
    for spent in &audit.budgets {
        table.add_row([
            spent.budget.to_string(),
            spent.limit.to_string(),
            spent.billed.to_string(),
            spent.lost.to_string(),
            spent.overspend.to_string(),
        ]);
    }
    let mut text = table.text();
    let (bills, batches) = (audit.bills, audit.batches);
    let twice = audit.duplicates.len();
    text.push_str(&format!(
        "\n{bills} bills in {batches} batches, {twice} requests billed twice\n"
    ));
    for id in &audit.duplicates {
        text.push_str(&format!("  billed twice: {id}\n"));
    }
    for fault in &audit.faults {
        text.push_str(&format!("  {fault}\n"));
    }
    text
}
