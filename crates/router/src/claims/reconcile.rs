//! Writes to the table the claims that were made or ended while it could not be
//! written, such as during an outage of the platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::platform::Error;
use poplar_core::claim::Attempt;
use poplar_core::claim::table::Stage;
use poplar_core::id::RequestId;

use super::{is_abandoned, table};
use crate::state::State;
use crate::sync::lock;

/// How often pending claims are written.
const INTERVAL: Duration = Duration::from_millis(500);
/// Claims of other routers that are checked in one round.
const ROUND_SIZE: usize = 64;

/// Periodically writes pending claims and expires old entries.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        lock(&state.claims.registry).expire(Instant::now());
        // Failures are retried in the next round.
        let _ = write_own(&state).await;
        let _ = write_others(&state).await;
    }
}

/// Writes this router's pending claims in order, until one fails.
async fn write_own(state: &State) -> Result<(), Error> {
    loop {
        let Some(pending) = lock(&state.claims.pending).first().cloned() else {
            return Ok(());
        };
        let settled =
            table::write_stage(state, &pending.id, &pending.attempt, pending.stage).await?;
        if !settled {
            return Ok(());
        }
        if pending.stage != Stage::NotRun {
            let mut registry = lock(&state.claims.registry);
            registry.mark_persisted(&pending.id, &pending.attempt, true);
        }
        lock(&state.claims.pending).remove(0);
    }
}

/// Writes claims of other routers that this router has promised.
///
/// A live claimant writes its own rows; the routers that promised a claim write
/// it for a claimant that has stopped.
async fn write_others(state: &State) -> Result<(), Error> {
    for (id, attempt) in unpersisted(state) {
        let found = table::read(state, &id).await?;
        let has_row = found.row.as_ref().is_some_and(|r| r.attempt == attempt);
        if has_row {
            let (_, sealed) = table::router_status(state, &attempt.claimant).await?;
            lock(&state.claims.registry).mark_persisted(&id, &attempt, !sealed);
        } else if is_abandoned(state, &id, &attempt).await {
            lock(&state.claims.registry).release(&id, &attempt);
        } else if !state.peers.is_live(&attempt.claimant, Instant::now()) {
            table::write_on_behalf(state, &id, &attempt).await?;
        }
    }
    Ok(())
}

fn unpersisted(state: &State) -> Vec<(RequestId, Attempt)> {
    let registry = lock(&state.claims.registry);
    let others = registry
        .unpersisted()
        .filter(|(_, a)| a.claimant != state.incarnation);
    others
        .take(ROUND_SIZE)
        .map(|(id, attempt)| (id.clone(), attempt.clone()))
        .collect()
}
