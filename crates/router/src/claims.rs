//! Claims of calls that may run at most once.
//!
//! A claim is a row that is inserted before dispatch and never taken over by
//! anybody. So a claimant that was paused between claim and dispatch can do no
//! harm when it goes on: no other router has run the call, or ever will.

use std::time::Duration;

use poplar_base::platform::{Commit, Error, Row};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::id::{Incarnation, RequestId};
use serde::{Deserialize, Serialize};

use crate::state::State;

/// Tries to learn what became of an insertion whose answer was lost.
const READ_BACKS: u32 = 5;
/// Wait between them.
const READ_BACK_WAIT: Duration = Duration::from_millis(100);

/// State of claims in memory.
#[derive(Debug, Default)]
pub struct Claims {}

/// A claim as the table keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Who claimed it.
    pub claimant: Incarnation,
    /// Which of the claimant's attempts it is.
    pub token: u64,
    /// Hash of the request's body.
    pub body: u64,
    /// Whether it is known that it never was sent.
    pub abandoned: bool,
}

/// What became of an attempt to claim a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// It is ours: the call may be sent once.
    Ours,
    /// Somebody else's, or an earlier attempt's.
    Taken(ClaimRow),
    /// Nothing was recorded.
    Down,
    /// It may be ours, but that could not be learnt.
    Unknown,
    /// This router was sealed.
    Sealed,
}

fn key(id: &RequestId) -> String {
    format!("claim/{id}")
}

/// Claims a call for this router.
pub async fn claim(state: &State, id: &RequestId, body: u64) -> Claimed {
    let row = ClaimRow {
        claimant: state.me.clone(),
        token: rand::random(),
        body,
        abandoned: false,
    };
    let commit = Commit::default()
        .check(incarnation_key(&state.me), state.router())
        .check(key(id), 0)
        .write(key(id), &row);
    match (state.platform.commit)(commit).await {
        Ok(_) => Claimed::Ours,
        Err(Error::Conflict(rows)) => conflict(state, id, &rows, &row),
        Err(Error::Down(_)) => Claimed::Down,
        Err(Error::Unknown(_) | Error::Malformed(_)) => read_back(state, id, &row).await,
    }
}

fn conflict(state: &State, id: &RequestId, rows: &[Row], mine: &ClaimRow) -> Claimed {
    let sealed = |r: &Row| r.key == incarnation_key(&state.me) && r.version != state.router();
    if rows.iter().any(sealed) {
        return Claimed::Sealed;
    }
    let found = rows.iter().find(|r| r.key == key(id));
    match found.map(Row::decode::<ClaimRow>) {
        Some(Ok(Some(row))) if row == *mine => Claimed::Ours,
        Some(Ok(Some(row))) => Claimed::Taken(row),
        _ => Claimed::Unknown,
    }
}

/// A lost answer is read back, never blindly repeated. Where no row is found,
/// the insertion may still be on its way.
async fn read_back(state: &State, id: &RequestId, mine: &ClaimRow) -> Claimed {
    for _ in 0..READ_BACKS {
        if let Ok(row) = state.platform.row(key(id)).await {
            match row.decode::<ClaimRow>() {
                Ok(Some(found)) if found == *mine => return Claimed::Ours,
                Ok(Some(found)) => return Claimed::Taken(found),
                _ => {}
            }
        }
        tokio::time::sleep(READ_BACK_WAIT).await;
    }
    Claimed::Unknown
}

/// Says that a call that is ours was never sent, so that a retry may claim it.
///
/// Only the claimant may say so, after its last attempt ended.
pub async fn abandon(state: &State, id: &RequestId) {
    let Ok(row) = state.platform.row(key(id)).await else {
        return;
    };
    let Ok(Some(found)) = row.decode::<ClaimRow>() else {
        return;
    };
    if found.claimant != state.me {
        return;
    }
    let commit = Commit::default()
        .check(key(id), row.version)
        .remove(key(id));
    // Where this fails, retries are told that the outcome is unknown.
    let _ = (state.platform.commit)(commit).await;
}
