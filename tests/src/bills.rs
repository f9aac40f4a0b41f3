//! Reads the bills that are stored at the platform.

use poplar_core::bill::{Batch, Bill, BillingRow};

use crate::error::{Error, Result};
use crate::platform::{Platform, decode};

/// Reads all bills by following the chain of batches from each billing row.
///
/// # Errors
/// If a chain is broken, or the tokens in its row differ from those of its bills.
pub async fn read(platform: &Platform) -> Result<Vec<Bill>> {
    let mut all_bills = Vec::new();
    for row in platform.rows().await? {
        if !row.key.starts_with("billing/") {
            continue;
        }
        let billing: BillingRow = decode(&row)?;
        let recorded: u64 = billing.billed.iter().map(|(_, tokens)| tokens).sum();
        let bills = read_chain(platform, &billing).await?;
        let found: u64 = bills.iter().map(Bill::tokens).sum();
        if recorded != found {
            return Err(Error(format!(
                "{}: {recorded} tokens in the row, {found} in its bills",
                row.key
            )));
        }
        all_bills.extend(bills);
    }
    Ok(all_bills)
}

async fn read_chain(platform: &Platform, billing: &BillingRow) -> Result<Vec<Bill>> {
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
        false => Err(Error(format!(
            "{batches} batches found, {} recorded",
            billing.batches
        ))),
    }
}
