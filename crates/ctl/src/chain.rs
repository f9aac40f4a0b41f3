//! Bills as the object store keeps them: each router's chain of batches.

use poplar_base::platform::{self, Platform};
use poplar_core::bill::{Batch, Bill, BillingRow, Loss};
use poplar_core::id::{Incarnation, Name};

use crate::error::Result;
use crate::fleet::Router;

/// How much later than its answer a bill may become durable, in milliseconds.
const LATE: u64 = 3_600_000;

/// One router's bills, with what is wrong with their chain.
#[derive(Debug, Clone, Default)]
pub struct Chain {
    /// Whose it is.
    pub incarnation: Option<Incarnation>,
    /// What the router's row says.
    pub billing: BillingRow,
    /// Batches that were found.
    pub batch_count: u64,
    /// The bills, newest batch first.
    pub bills: Vec<Bill>,
    /// Tokens that were lost.
    pub losses: Vec<Loss>,
    /// Name of a batch that should be there and isn't, or can't be read.
    pub broken_at: Option<Name>,
}

/// Reads a router's chain, newest batch first, until a batch that holds nothing
/// since `since`, in milliseconds of Unix time; 0 reads the whole chain.
///
/// A chain with more batches than the row counts is cut off there, so that a
/// chain in a ring ends too.
///
/// # Errors
/// The platform's; a missing or unreadable batch is part of the chain's report.
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
        let Some(batch) = batch(platform, &name).await? else {
            chain.broken_at = Some(name);
            break;
        };
        chain.batch_count += 1;
        let newest = batch.bills.iter().map(|b| b.at_ms).max();
        chain.bills.extend(batch.bills);
        chain.losses.extend(batch.losses);
        if newest.is_some_and(|at| at + LATE < since) {
            break;
        }
        next = batch.previous;
    }
    Ok(chain)
}

async fn batch(
    platform: &Platform,
    name: &Name,
) -> std::result::Result<Option<Batch>, platform::Error> {
    let body = (platform.get)(name.to_string()).await?;
    Ok(body.and_then(|body| serde_json::from_slice(&body).ok()))
}

/// Reads the chains of all `routers`, as [`read`] does.
///
/// # Errors
/// The platform's.
pub async fn read_all(platform: &Platform, routers: &[Router], since: u64) -> Result<Vec<Chain>> {
    let mut chains = Vec::with_capacity(routers.len());
    for router in routers {
        chains.push(read(platform, router, since).await?);
    }
    Ok(chains)
}
