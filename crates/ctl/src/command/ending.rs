//! Ends the life of a router that is gone: seals it and releases its grants.
//!
//! A sealed router's later writes all fail. What it held goes back to the
//! budgets only once it is proved that the process is gone, since one that
//! still runs may go on to spend it; what it may have used stays counted.

use std::time::{Duration, Instant};

use poplar_base::platform::{self, Commit, Row};
use poplar_core::bill::{BillingRow, RouterRow, Stage, billing_key};
use poplar_core::budget::change::Own;
use poplar_core::budget::ending::{self, Kept, Proof};
use poplar_core::budget::rows::{BudgetRow, GrantRow, budget_key, grant_key, incarnation_key};
use poplar_core::id::{Incarnation, Name};
use serde::Serialize;

use crate::error::{Error, Result};
use crate::fleet::{Fleet, Router};
use crate::shown::Shown;

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
pub async fn seal(fleet: &Fleet, name: &str, deadline: Instant) -> Result<Shown> {
    let of = Incarnation(name.into());
    let key = incarnation_key(&of);
    loop {
        let why = match try_seal(fleet, &key).await {
            Ok(()) => break,
            Err(Error::Platform(error)) => error.to_string(),
            Err(error) => return Err(error),
        };
        if Instant::now() >= deadline {
            return Err(Error::Unknown(why));
        }
        tokio::time::sleep(PAUSE).await;
    }
    let text = format!("{of} is sealed\n");
    Ok(Shown::new(&Sealed { sealed: of }, text))
}

async fn try_seal(fleet: &Fleet, key: &str) -> Result<()> {
    let row = fleet.platform.row(key).await?;
    let Some(now) = row.decode::<RouterRow>()? else {
        return Err(Error::Refused(format!("there is no {key}")));
    };
    if now.stage == Stage::Sealed {
        return Ok(());
    }
    let next = RouterRow {
        stage: Stage::Sealed,
        ..now
    };
    let commit = Commit::default().check(key, row.version).write(key, &next);
    (fleet.platform.commit)(commit).await?;
    Ok(())
}

/// What became of one grant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Release {
    /// The budget.
    pub budget: Name,
    /// Tokens that went back to it, now or before.
    pub released: u64,
    /// Tokens that stay counted, since they may have been used.
    pub stranded: u64,
}

/// Releases what the sealed incarnation called `name` can't have used.
///
/// `gone` is the operator's word that its process has ended. Without it a later
/// incarnation at the same peer address is taken as the proof.
///
/// # Errors
/// It is not sealed, nothing proves that it is gone, or the platform's.
pub async fn release(fleet: &Fleet, name: &str, gone: bool, deadline: Instant) -> Result<Shown> {
    let routers = fleet.routers().await?;
    let router = routers.iter().find(|r| *r.name.0 == *name);
    let router = router.ok_or_else(|| Error::Refused(format!("there is no router/{name}")))?;
    if router.live() {
        return Err(Error::Refused(format!("{name} is not sealed; use seal")));
    }
    let proof = proof(router, &routers, gone);
    let mut releases = Vec::new();
    for ((budget, of), _) in fleet.grants().await?.iter() {
        if *of == router.name {
            releases.push(one(fleet, router, budget, proof, deadline).await?);
        }
    }
    Ok(Shown::new(&releases, text(&releases)))
}

/// Proof that `router`'s process has ended, the operator's word or a successor.
fn proof(router: &Router, routers: &[Router], gone: bool) -> Option<Proof> {
    let dead = (&*router.name.0, &*router.row.address);
    let successor = |r: &Router| ending::rebound(dead, (&r.name.0, &r.row.address));
    let rebound = routers.iter().filter(|r| r.live()).find_map(successor);
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
        let why = match try_release(fleet, router, budget, proof).await {
            Ok(Some(release)) => return Ok(release),
            // Looking again tells what is left, also after a lost answer.
            Ok(None) => continue,
            Err(Error::Platform(error)) => error.to_string(),
            Err(error) => return Err(error),
        };
        if Instant::now() >= deadline {
            return Err(Error::Unknown(why));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Releases what can be released; `None` where there was something.
async fn try_release(
    fleet: &Fleet,
    router: &Router,
    budget: &Name,
    proof: Option<Proof>,
) -> Result<Option<Release>> {
    let keys = [
        budget_key(budget),
        grant_key(budget, &router.name),
        incarnation_key(&router.name),
        billing_key(&router.name),
    ];
    let rows = (fleet.platform.read)(keys.to_vec()).await?;
    let [budget_row, grant_row, own_row, billing_row] = &rows[..] else {
        let why = "not every row in the answer".to_owned();
        return Err(platform::Error::Malformed(why).into());
    };
    let now: BudgetRow = budget_row.decode()?.unwrap_or_default();
    let grant: GrantRow = grant_row.decode()?.unwrap_or_default();
    let own = own(own_row, billing_row, budget)?;
    let next = match ending::release(&now, &grant, &own, proof) {
        Ok(next) => next,
        Err(Kept::Stranded) => {
            return Ok(Some(Release {
                budget: budget.clone(),
                released: grant.released,
                stranded: ending::stranded(&grant, &own),
            }));
        }
        Err(Kept::Unproved) => {
            let why = "nothing proves that the process is gone; end it and give --gone";
            return Err(Error::Refused(why.to_owned()));
        }
    };
    let mut commit = Commit::default()
        .write(&keys[0], &next.budget)
        .write(&keys[1], &next.grant);
    for (key, row) in keys.iter().zip(&rows) {
        commit = commit.check(key, row.version);
    }
    match (fleet.platform.commit)(commit).await {
        Ok(_) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn own(router: &Row, billing: &Row, budget: &Name) -> Result<Own> {
    let row = router.decode::<RouterRow>()?;
    let billing: BillingRow = billing.decode()?.unwrap_or_default();
    Ok(Own {
        sealed: row.is_some_and(|r| r.stage == Stage::Sealed),
        accounted: billing.accounted(budget),
    })
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
