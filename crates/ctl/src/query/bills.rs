//! Query that audits the bills.

use crate::audit::{Audit, audit};
use crate::chain;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::output::{Output, Table};

/// Audits all bills in the object store.
///
/// # Errors
/// Any error of the platform.
pub async fn bills(fleet: &Fleet) -> Result<Output> {
    let routers = fleet.routers().await?;
    let chains = chain::read_all(&fleet.platform, &routers, 0).await?;
    // Limits only grow, so reading them last can't show a false overspend.
    let audit = audit(&chains, &fleet.budgets().await?);
    let failure = (!audit.is_clean()).then(|| "the audit found faults".to_owned());
    Ok(Output::new(&audit, text(&audit)).with_failure(failure))
}

fn text(audit: &Audit) -> String {
    let mut table = Table::new(["BUDGET", "LIMIT", "BILLED", "LOST", "OVERSPEND"]);
    for sums in &audit.budgets {
        table.add_row([
            sums.budget.to_string(),
            sums.limit.to_string(),
            sums.billed.to_string(),
            sums.lost.to_string(),
            sums.overspend.to_string(),
        ]);
    }
    let mut text = table.text();
    let (bills, batches) = (audit.bills, audit.batches);
    let duplicates = audit.duplicates.len();
    text.push_str(&format!(
        "\n{bills} bills in {batches} batches, {duplicates} requests billed twice\n"
    ));
    for id in &audit.duplicates {
        text.push_str(&format!("  billed twice: {id}\n"));
    }
    for fault in &audit.faults {
        text.push_str(&format!("  {fault}\n"));
    }
    text
}
