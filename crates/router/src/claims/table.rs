//! Claims as rows of the table.

use std::time::Duration;

use poplar_base::platform::{Commit, Error};
use poplar_core::bill::{RouterRow, Stage as Life};
use poplar_core::budget::rows::{Versioned, incarnation_key};
use poplar_core::claim::table::{self, ClaimRow, Next, Stage};
use poplar_core::claim::{Attempt, claim_key};
use poplar_core::id::{Incarnation, RequestId};

use super::Asked;
use crate::state::State;

/// Tries of one claim against others' writes and lost answers.
const TRIES: usize = 4;
/// Wait between them.
const PAUSE: Duration = Duration::from_millis(20);

/// Claims a call by inserting its row.
pub(super) async fn claim(state: &State, id: &RequestId, attempt: &Attempt) -> Asked {
    // Most keys are new, so the first try does not read.
    let mut row = Versioned {
        version: 0,
        row: None,
    };
    for _ in 0..TRIES {
        let next = match table::claim(attempt, &row, state.is_sealed()) {
            Next::Won => return Asked::Won,
            Next::Lost(lost) => {
                let live = |of: &Incarnation| {
                    *of != state.me && state.peers.is_live(of, std::time::Instant::now())
                };
                return Asked::Lost(lost.verdict(live));
            }
            Next::Write(next) => next,
        };
        match write(state, id, &next).await {
            Ok(_) => return Asked::Won,
            Err(Error::Down(_)) => return Asked::Down,
            Err(Error::Conflict(_) | Error::Unknown(_) | Error::Malformed(_)) => {}
        }
        match read(state, id).await {
            Ok(found) => row = found,
            Err(_) => return Asked::Down,
        }
        tokio::time::sleep(PAUSE).await;
    }
    Asked::Down
}

/// Writes a claim's row, relying on the version read and the own row.
async fn write(state: &State, id: &RequestId, next: &Versioned<ClaimRow>) -> Result<u64, Error> {
    let own = (incarnation_key(&state.me), state.router());
    write_for(state, id, next, own).await
}

/// Writes a claim's row, relying also on a claimant's row: key and version.
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

/// Reads a claim's row, and first whether this router was sealed.
pub(super) async fn read(
    state: &State,
    id: &RequestId,
) -> Result<Versioned<Option<ClaimRow>>, Error> {
    let keys = vec![incarnation_key(&state.me), claim_key(id)];
    let rows = (state.platform.read)(keys).await?;
    let [own, claim] = &rows[..] else {
        return Err(Error::Malformed("too few rows".to_owned()));
    };
    if own.version != state.router() {
        state.seal();
    }
    Ok(Versioned {
        version: claim.version,
        row: claim.decode()?,
    })
}

/// Brings an own attempt's row to `stage`; true once that is settled.
pub(super) async fn settle(
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

/// Writes the claim of another router that is gone, where it has none.
pub(super) async fn settle_for(
    state: &State,
    id: &RequestId,
    attempt: &Attempt,
) -> Result<bool, Error> {
    let (version, sealed) = life(state, &attempt.claimant).await?;
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

/// Version of an incarnation's own row, and whether it is sealed or missing.
pub(super) async fn life(state: &State, of: &Incarnation) -> Result<(u64, bool), Error> {
    let row = state.platform.row(incarnation_key(of)).await?;
    let life = row.decode::<RouterRow>()?;
    let sealed = life.is_none_or(|r| r.stage == Life::Sealed);
    Ok((row.version, sealed))
}
