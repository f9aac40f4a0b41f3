//! A router ends what earlier lives at its address left behind.
//!
//! Only one process can have an address bound, so that whoever registered it
//! before is gone. It is sealed, and what it held and can't have used goes back
//! to the budgets.

use std::sync::Arc;
use std::time::Duration;

use poplar_base::ending::{self, Error};
use poplar_base::log;
use poplar_core::bill::RouterRow;
use poplar_core::budget::recovery::{Proof, address_reused};
use poplar_core::id::{Incarnation, Name};

use crate::state::State;

/// Wait after a failure of the platform.
const WAIT: Duration = Duration::from_millis(500);
/// Prefix of the routers' keys.
const ROUTERS: &str = "router/";

/// Seals predecessors and releases their grants, until that is done.
pub async fn seal_and_release(state: Arc<State>) {
    loop {
        match try_seal_and_release(&state).await {
            Ok(()) => return,
            Err(why) => log::warn("heir").reason(why).write(),
        }
        tokio::time::sleep(WAIT).await;
    }
}

async fn try_seal_and_release(state: &State) -> Result<(), Error> {
    let mine = state.settings.advertised().to_string();
    let rows = (state.platform.scan)(ROUTERS.to_owned()).await?;
    for row in rows {
        let of = Incarnation(row.key[ROUTERS.len()..].into());
        let Some(router) = row.decode::<RouterRow>()? else {
            continue;
        };
        let Some(proof) = address_reused((&of.0, &router.address), (&state.me.0, &mine)) else {
            continue;
        };
        ending::seal(&state.platform, &of).await?;
        for budget in ending::grants(&state.platform, &of).await? {
            release(state, &of, &budget, proof).await?;
        }
    }
    Ok(())
}

async fn release(
    state: &State,
    of: &Incarnation,
    budget: &Name,
    proof: Proof,
) -> Result<(), Error> {
    loop {
        let released = ending::release(&state.platform, of, budget, Some(proof)).await?;
        if let Some(done) = released {
            if done.released + done.stranded > 0 {
                log::info("released")
                    .with("router", of)
                    .with("budget", budget)
                    .with("released", done.released)
                    .with("stranded", done.stranded)
                    .write();
            }
            return Ok(());
        }
    }
}
