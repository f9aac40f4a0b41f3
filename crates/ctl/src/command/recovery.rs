//! The commands `seal` and `release`, for a router that has died.
//!
//! All later writes of a sealed router fail. Its tokens return to the budgets only
//! once it is proved that the process is gone, because a process that still runs
//! may go on spending them. Tokens that it may have used stay counted as spent.

use std::time::{Duration, Instant};

use poplar_base::recovery::{self as base, Release};
use poplar_core::budget::recovery::{self, Proof};
use poplar_core::id::{Incarnation, Name};
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::{Fleet, Router};
use crate::output::Output;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Output of `seal` as JSON: the sealed incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct Sealed {
    sealed: Incarnation,
}

/// Seals the incarnation `name`.
///
/// # Errors
/// There is no such incarnation, or the outcome is still unknown at `deadline`.
pub async fn seal(fleet: &Fleet, name: &str, deadline: Instant) -> Result<Output> {
    let incarnation = Incarnation(name.into());
    loop {
        let failure = match base::seal(&fleet.platform, &incarnation).await {
            Ok(()) => break,
            Err(base::Error::Platform(error)) => error.to_string(),
            Err(error) => return Err(Error::Refused(format!("router/{incarnation}: {error}"))),
        };
        if Instant::now() >= deadline {
            return Err(Error::OutcomeUnknown(failure));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let text = format!("{incarnation} is sealed\n");
    Ok(Output::new(
        &Sealed {
            sealed: incarnation,
        },
        text,
    ))
}

/// Releases the tokens that the sealed incarnation `name` can't have used.
///
/// With `gone` the operator confirms that its process has ended. Without it, a
/// later incarnation at the same peer address is required as proof.
///
/// # Errors
/// The incarnation is not sealed, there is no proof that its process is gone, or
/// any error of the platform.
pub async fn release(fleet: &Fleet, name: &str, gone: bool, deadline: Instant) -> Result<Output> {
    let routers = fleet.routers().await?;
    let router = routers.iter().find(|r| *r.incarnation.0 == *name);
    let router = router.ok_or_else(|| Error::Refused(format!("there is no router/{name}")))?;
    if router.is_live() {
        return Err(Error::Refused(format!("{name} is not sealed; use seal")));
    }
    let proof = proof(router, &routers, gone);
    let mut releases = Vec::new();
    for budget in base::granted_budgets(&fleet.platform, &router.incarnation).await? {
        releases.push(release_grant(fleet, router, &budget, proof, deadline).await?);
    }
    Ok(Output::new(&releases, text(&releases)))
}

/// Returns the proof that the process of `router` has ended: a later incarnation
/// at its address, or the operator's confirmation.
fn proof(router: &Router, routers: &[Router], gone: bool) -> Option<Proof> {
    let dead = (&*router.incarnation.0, &*router.row.address);
    let successor = |r: &Router| recovery::address_reused(dead, (&r.incarnation.0, &r.row.address));
    let address_reused = routers.iter().filter(|r| r.is_live()).find_map(successor);
    address_reused.or(gone.then_some(Proof::Operator))
}

async fn release_grant(
    fleet: &Fleet,
    router: &Router,
    budget: &Name,
    proof: Option<Proof>,
    deadline: Instant,
) -> Result<Release> {
    loop {
        let failure = match base::release(&fleet.platform, &router.incarnation, budget, proof).await
        {
            Ok(Some(release)) => return Ok(release),
            // The next call returns what is left, also after a lost answer.
            Ok(None) => continue,
            Err(base::Error::Platform(error)) => error.to_string(),
            Err(error) => {
                return Err(Error::Refused(format!(
                    "{error}; end the process and repeat with --gone"
                )));
            }
        };
        if Instant::now() >= deadline {
            return Err(Error::OutcomeUnknown(failure));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn text(releases: &[Release]) -> String {
    if releases.is_empty() {
        return "it held nothing\n".to_owned();
    }
    let line = |r: &Release| {
        let (budget, released, stranded) = (&r.budget, r.released, r.stranded);
        format!("budget {budget}: released {released}, stranded {stranded}\n")
    };
    releases.iter().map(line).collect()
}
