//! Brings the table up to date with claims, after an outage and otherwise.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::platform::Error;
use poplar_core::claim::Attempt;
use poplar_core::claim::table::Stage;
use poplar_core::id::RequestId;

use super::{is_abandoned, table};
use crate::state::State;
use crate::sync::lock;

/// How often it is tried.
const EVERY: Duration = Duration::from_millis(500);
/// Registry of others that are looked at in one round.
const ROUND: usize = 64;

/// Writes what the table has yet to learn of, again and again.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(EVERY).await;
        lock(&state.claims.notes).expire(Instant::now());
        // What fails is tried again in the next round.
        let _ = own(&state).await;
        let _ = others(&state).await;
    }
}

/// Writes own claims, in order, until one fails.
async fn own(state: &State) -> Result<(), Error> {
    loop {
        let Some(open) = lock(&state.claims.open).first().cloned() else {
            return Ok(());
        };
        let settled = table::settle(state, &open.id, &open.attempt, open.stage).await?;
        if !settled {
            return Ok(());
        }
        if open.stage != Stage::NotRun {
            let mut notes = lock(&state.claims.notes);
            notes.mark_persisted(&open.id, &open.attempt, true);
        }
        lock(&state.claims.open).remove(0);
    }
}

/// Sees to the claims of others that are noted here.
///
/// A living claimant writes its own rows; for one that is gone its note's
/// holders do.
async fn others(state: &State) -> Result<(), Error> {
    for (id, attempt) in untabled(state) {
        let found = table::read(state, &id).await?;
        let has = found.row.as_ref().is_some_and(|r| r.attempt == attempt);
        if has {
            let (_, sealed) = table::life(state, &attempt.claimant).await?;
            lock(&state.claims.notes).mark_persisted(&id, &attempt, !sealed);
        } else if is_abandoned(state, &id, &attempt).await {
            lock(&state.claims.notes).release(&id, &attempt);
        } else if !state.peers.is_live(&attempt.claimant, Instant::now()) {
            table::settle_for(state, &id, &attempt).await?;
        }
    }
    Ok(())
}

fn untabled(state: &State) -> Vec<(RequestId, Attempt)> {
    let notes = lock(&state.claims.notes);
    let others = notes.unpersisted().filter(|(_, a)| a.claimant != state.me);
    others
        .take(ROUND)
        .map(|(id, attempt)| (id.clone(), attempt.clone()))
        .collect()
}
