//! Recovery of what earlier processes at this router's address left behind.
//!
//! Only one process can have an address bound, so any other incarnation that
//! is registered with it has exited. This router seals its row and returns
//! the tokens that it held and can't have used to the budgets.

use std::sync::Arc;
use std::time::Duration;

use poplar_base::log;
use poplar_base::recovery::{self, Error};
use poplar_core::bill::RouterRow;
use poplar_core::budget::recovery::{Proof, address_reused};
use poplar_core::id::{Incarnation, Name};

use crate::state::State;

/// Wait between attempts when the platform fails.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Prefix of the keys of router rows.
const ROUTER_PREFIX: &str = "router/";

/// Seals the predecessors and releases their grants; retries until it succeeds.
pub async fn seal_and_release(state: Arc<State>) {
    loop {
        match try_seal_and_release(&state).await {
            Ok(()) => return,
            Err(why) => log::warn("predecessor recovery failed").reason(why).write(),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn try_seal_and_release(state: &State) -> Result<(), Error> {
    let own_address = state.settings.advertised().to_string();
    let rows = (state.platform.scan)(ROUTER_PREFIX.to_owned()).await?;
    for row in rows {
        let of = Incarnation(row.key[ROUTER_PREFIX.len()..].into());
        let Some(router) = row.decode::<RouterRow>()? else {
            continue;
        };
        let Some(proof) = address_reused(
            (&of.0, &router.address),
            (&state.incarnation.0, &own_address),
        ) else {
            continue;
        };
        recovery::seal(&state.platform, &of).await?;
        for budget in recovery::granted_budgets(&state.platform, &of).await? {
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
        let released = recovery::release(&state.platform, of, budget, Some(proof)).await?;
        if let Some(grant) = released {
            if grant.released + grant.stranded > 0 {
                log::info("predecessor grant released")
                    .with("router", of)
                    .with("budget", budget)
                    .with("released", grant.released)
                    .with("stranded", grant.stranded)
                    .write();
            }
            return Ok(());
        }
    }
}
