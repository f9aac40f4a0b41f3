//! Bills as the platform holds them.

use poplar_core::bill::{Batch, Bill, BillingRow};

use crate::fault::{Fault, Result};
use crate::platform::{Platform, decode};

/// Reads every bill: from each billing row along the chain of its batches.
///
/// # Errors
/// Where a chain is broken, or its row counts other tokens than its bills.
pub async fn read(platform: &Platform) -> Result<Vec<Bill>> {
    let mut all = Vec::new();
    for row in platform.rows().await? {
        if !row.key.starts_with("billing/") {
            continue;
        }
        let billing: BillingRow = decode(&row)?;
        let told: u64 = billing.billed.iter().map(|(_, tokens)| tokens).sum();
        let bills = chain(platform, &billing).await?;
        let found: u64 = bills.iter().map(Bill::tokens).sum();
        if told != found {
            return Err(Fault(format!("{}: {told} told, {found} found", row.key)));
        }
        all.extend(bills);
    }
    Ok(all)
}

async fn chain(platform: &Platform, billing: &BillingRow) -> Result<Vec<Bill>> {
    let mut bills = Vec::new();
    let mut next = billing.head.clone();
    let mut batches = 0;
    while let Some(name) = next {
        let batch: Batch = platform.object(&name).await?;
        bills.extend(batch.bills);
        next = batch.previous;
        batches += 1;
    }
    match batches == billing.batches {
        true => Ok(bills),
        false => Err(Fault(format!("{batches} batches, not {}", billing.batches))),
    }
}
