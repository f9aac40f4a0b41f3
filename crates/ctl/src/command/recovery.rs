//! Ends the life of a router that is gone: seals it and releases its grants.
//!
//! A sealed router's later writes all fail. What it held goes back to the
//! budgets only once it is proved that the process is gone, since one that
//! still runs may go on to spend it; what it may have used stays counted.

use std::time::{Duration, Instant};

use poplar_base::recovery::{self as base, Release};
use poplar_core::budget::recovery::{self, Proof};
use poplar_core::id::{Incarnation, Name};
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::{Fleet, Router};
use crate::output::Output;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(20);

/// A router that was sealed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct Sealed {
    sealed: Incarnation,
}

/// Seals the incarnation called `name`.
///
/// # Errors
/// There is none, or it can't be told by `deadline` whether it was sealed.
pub async fn seal(fleet: &Fleet, name: &str, deadline: Instant) -> Result<Output> {
    let of = Incarnation(name.into());
    loop {
        let why = match base::seal(&fleet.platform, &of).await {
            Ok(()) => break,
            Err(base::Error::Platform(error)) => error.to_string(),
            Err(error) => return Err(Error::Refused(format!("router/{of}: {error}"))),
        };
        if Instant::now() >= deadline {
            return Err(Error::OutcomeUnknown(why));
        }
        tokio::time::sleep(PAUSE).await;
    }
    let text = format!("{of} is sealed\n");
    Ok(Output::new(&Sealed { sealed: of }, text))
}

/// Releases what the sealed incarnation called `name` can't have used.
///
/// `gone` is the operator's word that its process has ended. Without it a later
/// incarnation at the same peer address is taken as the proof.
///
/// # Errors
/// It is not sealed, nothing proves that it is gone, or the platform's.
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
        releases.push(one(fleet, router, &budget, proof, deadline).await?);
    }
    Ok(Output::new(&releases, text(&releases)))
}

/// Proof that `router`'s process has ended, the operator's word or a successor.
fn proof(router: &Router, routers: &[Router], gone: bool) -> Option<Proof> {
    let dead = (&*router.incarnation.0, &*router.row.address);
    let successor = |r: &Router| recovery::address_reused(dead, (&r.incarnation.0, &r.row.address));
    let rebound = routers.iter().filter(|r| r.is_live()).find_map(successor);
    rebound.or(gone.then_some(Proof::Operator))
}

async fn one(
    fleet: &Fleet,
    router: &Router,
    budget: &Name,
    proof: Option<Proof>,
    deadline: Instant,
) -> Result<Release> {
    loop {
        let why = match base::release(&fleet.platform, &router.incarnation, budget, proof).await {
            Ok(Some(release)) => return Ok(release),
            // Looking again tells what is left, also after a lost answer.
            Ok(None) => continue,
            Err(base::Error::Platform(error)) => error.to_string(),
            Err(error) => return Err(Error::Refused(format!("{error}; end it and give --gone"))),
        };
        if Instant::now() >= deadline {
            return Err(Error::OutcomeUnknown(why));
        }
        tokio::time::sleep(PAUSE).await;
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
