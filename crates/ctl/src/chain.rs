//! Bills in the object store.
//!
//! Each router writes its bills in batches that form a linked list: the router's
//! billing row names the newest batch, and each batch names the one before it.

use poplar_base::platform::{self, Platform};
use poplar_core::bill::{Batch, Bill, BillingRow, Loss};
use poplar_core::id::{Incarnation, Name};

use crate::error::Result;
use crate::fleet::Router;

/// Longest time between an answer and its durable bill.
const MAX_BILL_DELAY_MS: u64 = 3_600_000;

/// One router's chain of batches.
#[derive(Debug, Clone, Default)]
pub struct Chain {
    /// The router's incarnation.
    pub incarnation: Option<Incarnation>,
    /// The router's billing row.
    pub billing: BillingRow,
    /// Number of batches read.
    pub batch_count: u64,
    /// The bills, newest batch first.
    pub bills: Vec<Bill>,
    /// Tokens recorded as a loss.
    pub losses: Vec<Loss>,
    /// Name of the batch at which the chain breaks: it is missing, unreadable or
    /// not counted by the billing row.
    pub broken_at: Option<Name>,
}

/// Reads a router's chain from the newest batch back to the first one whose bills
/// are all more than an hour older than `since`, in milliseconds of Unix time: bills
/// become durable up to that much later than their answers. 0 reads the whole
/// chain.
///
/// Reading stops after as many batches as the billing row counts, so that it also
/// ends for a chain with a cycle.
///
/// # Errors
/// Any error of the platform. A missing or unreadable batch is no error; it is
/// reported in [`Chain::broken_at`].
pub async fn read(platform: &Platform, router: &Router, since: u64) -> Result<Chain> {
    let mut chain = Chain {
        incarnation: Some(router.incarnation.clone()),
        billing: router.billing.clone(),
        ..Chain::default()
    };
    let mut next = router.billing.head.clone();
    while let Some(name) = next {
        if chain.batch_count == chain.billing.batches {
            chain.broken_at = Some(name);
            break;
        }
        let Some(batch) = read_batch(platform, &name).await? else {
            chain.broken_at = Some(name);
            break;
        };
        chain.batch_count += 1;
        let newest_ms = batch.bills.iter().map(|b| b.at_ms).max();
        chain.bills.extend(batch.bills);
        chain.losses.extend(batch.losses);
        if newest_ms.is_some_and(|at| at + MAX_BILL_DELAY_MS < since) {
            break;
        }
        next = batch.previous;
    }
    Ok(chain)
}

async fn read_batch(
    platform: &Platform,
    name: &Name,
) -> std::result::Result<Option<Batch>, platform::Error> {
    let body = (platform.get)(name.to_string()).await?;
    Ok(body.and_then(|body| serde_json::from_slice(&body).ok()))
}

/// Reads the chains of all `routers` with [`read`].
///
/// # Errors
/// Any error of the platform.
pub async fn read_all(platform: &Platform, routers: &[Router], since: u64) -> Result<Vec<Chain>> {
    let mut chains = Vec::with_capacity(routers.len());
    for router in routers {
        chains.push(read(platform, router, since).await?);
    }
    Ok(chains)
}
