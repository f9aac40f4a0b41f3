//! Claims as rows of the platform's table.

use std::time::Duration;

use poplar_base::platform::{Commit, Error};
use poplar_core::bill::{RouterRow, Stage as RouterStage};
use poplar_core::budget::rows::{Versioned, incarnation_key};
use poplar_core::claim::table::{self, ClaimRow, Next, Stage};
use poplar_core::claim::{Attempt, claim_key};
use poplar_core::id::{Incarnation, RequestId};

use super::TableClaim;
use crate::state::State;

/// Attempts to write one claim, with conflicts and lost answers in between.
const MAX_ATTEMPTS: usize = 4;
/// Wait between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Claims a call by inserting its row.
pub(super) async fn claim(state: &State, id: &RequestId, attempt: &Attempt) -> TableClaim {
    // Most keys are new, so the first attempt writes without reading.
    let mut row = Versioned {
        version: 0,
        row: None,
    };
    for _ in 0..MAX_ATTEMPTS {
        let next = match table::claim(attempt, &row, state.is_sealed()) {
            Next::Won => return TableClaim::Won,
            Next::Lost(lost) => {
                let is_live = |claimant: &Incarnation| {
                    *claimant != state.incarnation
                        && state.peers.is_live(claimant, std::time::Instant::now())
                };
                return TableClaim::Lost(lost.verdict(is_live));
            }
            Next::Write(next) => next,
        };
        match write(state, id, &next).await {
            Ok(_) => return TableClaim::Won,
            Err(Error::Unavailable(_)) => return TableClaim::Unreachable,
            Err(Error::Conflict(_) | Error::OutcomeUnknown(_) | Error::Malformed(_)) => {}
        }
        match read(state, id).await {
            Ok(found) => row = found,
            Err(_) => return TableClaim::Unreachable,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    TableClaim::Unreachable
}

/// Writes a claim's row if neither it nor this router's own row has changed.
async fn write(state: &State, id: &RequestId, next: &Versioned<ClaimRow>) -> Result<u64, Error> {
    let router = (incarnation_key(&state.incarnation), state.row_version());
    write_for(state, id, next, router).await
}

/// Writes a claim's row if neither it nor the claimant's router row has changed.
///
/// `claimant` is the key and the version of the claimant's router row.
async fn write_for(
    state: &State,
    id: &RequestId,
    next: &Versioned<ClaimRow>,
    claimant: (String, u64),
) -> Result<u64, Error> {
    let key = claim_key(id);
    let commit = Commit::default()
        .check(claimant.0, claimant.1)
        .check(&key, next.version)
        .write(&key, &next.row);
    (state.platform.commit)(commit).await
}

/// Reads a claim's row, and marks this router as sealed if its own row shows it.
pub(super) async fn read(
    state: &State,
    id: &RequestId,
) -> Result<Versioned<Option<ClaimRow>>, Error> {
    let keys = vec![incarnation_key(&state.incarnation), claim_key(id)];
    let rows = (state.platform.read)(keys).await?;
    let [own, claim] = &rows[..] else {
        return Err(Error::Malformed(
            "the table returned too few rows".to_owned(),
        ));
    };
    if own.version != state.row_version() {
        state.mark_sealed();
    }
    Ok(Versioned {
        version: claim.version,
        row: claim.decode()?,
    })
}

/// Updates the row of an attempt of this router to `stage`.
///
/// Returns true if nothing is left to write, and false after a conflict.
pub(super) async fn write_stage(
    state: &State,
    id: &RequestId,
    attempt: &Attempt,
    stage: Stage,
) -> Result<bool, Error> {
    let found = read(state, id).await?;
    let next = match stage {
        Stage::Claimed => table::on_behalf(attempt, &found, state.is_sealed()),
        _ => table::finish(attempt, &found, stage),
    };
    let Some(next) = next else {
        return Ok(true);
    };
    settled(write(state, id, &next).await)
}

/// Writes the claim of another router that has stopped, if the call has no claim.
pub(super) async fn write_on_behalf(
    state: &State,
    id: &RequestId,
    attempt: &Attempt,
) -> Result<bool, Error> {
    let (version, sealed) = router_status(state, &attempt.claimant).await?;
    let found = read(state, id).await?;
    let Some(next) = table::on_behalf(attempt, &found, sealed) else {
        return Ok(true);
    };
    let claimant = (incarnation_key(&attempt.claimant), version);
    settled(write_for(state, id, &next, claimant).await)
}

fn settled(written: Result<u64, Error>) -> Result<bool, Error> {
    match written {
        Ok(_) => Ok(true),
        Err(Error::Conflict(_)) => Ok(false),
        Err(why) => Err(why),
    }
}

/// Reads the version of a router's own row, and whether it is sealed or missing.
pub(super) async fn router_status(
    state: &State,
    router: &Incarnation,
) -> Result<(u64, bool), Error> {
    let row = state.platform.row(incarnation_key(router)).await?;
    let found = row.decode::<RouterRow>()?;
    let sealed = found.is_none_or(|r| r.stage == RouterStage::Sealed);
    Ok((row.version, sealed))
}
