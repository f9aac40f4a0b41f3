//! The group of routers that promise claims to one another.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_base::platform::{Commit, Error, Row};
use poplar_core::bill::{RouterRow, Stage as Life};
use poplar_core::budget::recovery::{Proof, address_reused};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::claim::group::{self, GroupRow};
use poplar_core::claim::table::ClaimRow;
use poplar_core::id::{Incarnation, RequestId};
use poplar_peer::generated::JoinRequest;

use super::wire;
use crate::state::State;
use crate::sync::lock;

/// How often membership is looked after.
const EVERY: Duration = Duration::from_secs(1);
/// Prefix of the claims' keys.
const CLAIMS: &str = "claim/";

/// Joins the group, and keeps to it until the router ends.
pub async fn maintain_membership(state: Arc<State>) {
    let mut failed = false;
    loop {
        match step(&state).await {
            Ok(()) => failed = false,
            Err(why) if !failed => {
                log::warn("group").reason(why).write();
                failed = true;
            }
            Err(_) => {}
        }
        let mine = lock(&state.claims.notes).is_active();
        let wait = if mine { EVERY } else { EVERY / 5 };
        tokio::time::sleep(wait).await;
    }
}

async fn read(state: &State) -> Result<(u64, GroupRow), Error> {
    let row = state.platform.row(group::ROW_KEY).await?;
    Ok((row.version, row.decode()?.unwrap_or_default()))
}

async fn step(state: &State) -> Result<(), Error> {
    let (version, row) = read(state).await?;
    lock(&state.claims.notes).update_group(&row);
    if !row.contains(&state.me) {
        return join(state, version, &row).await;
    }
    if lock(&state.claims.notes).is_scanning() {
        scan(state, &row).await?;
    }
    // Where a sealing did not take effect it is tried again.
    let sealed = seal_out(state, version, &row).await?;
    if !sealed && !row.is_active(&state.me) {
        return activate(state, version, &row).await;
    }
    Ok(())
}

/// Writes the group's row, relying on the own row too.
async fn write(state: &State, version: u64, next: &GroupRow) -> Result<(), Error> {
    let commit = Commit::default()
        .check(incarnation_key(&state.me), state.router())
        .check(group::ROW_KEY, version)
        .write(group::ROW_KEY, next);
    (state.platform.commit)(commit).await?;
    Ok(())
}

async fn join(state: &State, version: u64, row: &GroupRow) -> Result<(), Error> {
    if state.is_draining() || state.is_sealed() {
        return Ok(());
    }
    match row.join(&state.me) {
        Ok(next) => write(state, version, &next).await,
        Err(_) => Ok(()),
    }
}

/// Becomes active once an active member acknowledged the set.
async fn activate(state: &State, version: u64, row: &GroupRow) -> Result<(), Error> {
    let acker = acknowledged(state, row).await;
    let Ok(next) = row.activate(&state.me, acker.as_ref()) else {
        return Ok(());
    };
    write(state, version, &next).await?;
    lock(&state.claims.notes).update_group(&next);
    log::info("group").with("epoch", next.epoch).write();
    Ok(())
}

/// Asks active members in turn to acknowledge the set and hand over.
async fn acknowledged(state: &State, row: &GroupRow) -> Option<Incarnation> {
    let request = JoinRequest {
        group: serde_json::to_vec(row).expect("the group is plain data"),
    };
    for of in row.others(&state.me).filter(|of| row.is_active(of)) {
        let Some(mut known) = state.peers.known(of) else {
            continue;
        };
        let Ok(reply) = known.client.join(request.clone()).await else {
            continue;
        };
        let reply = reply.into_inner();
        if !reply.acknowledged {
            continue;
        }
        let handover = wire::read_handover(reply, Instant::now());
        if handover.is_some_and(|h| lock(&state.claims.notes).take_over(&h)) {
            return Some(of.clone());
        }
    }
    None
}

/// A member's row, and whether it has to be sealed first.
struct Ended<'a> {
    member: &'a Incarnation,
    own: &'a Row,
    row: Option<RouterRow>,
    proof: Option<Proof>,
}

/// Takes routers out of the group that are sealed, or that were silent for so
/// long that they are sealed now; one a step. True where there was one.
///
/// A router that is not active yet does so only for an earlier life at its own
/// address. Thus a group whose members all died is taken over by their heirs.
async fn seal_out(state: &State, version: u64, row: &GroupRow) -> Result<bool, Error> {
    // A member that is heard of needs no look; one that was sealed ends soon.
    let now = Instant::now();
    let silent = row
        .others(&state.me)
        .filter(|of| !state.peers.is_live(of, now));
    let others: Vec<_> = silent.cloned().collect();
    if others.is_empty() {
        return Ok(false);
    }
    let keys = others.iter().map(incarnation_key).collect();
    let rows = (state.platform.read)(keys).await?;
    let pairs = others.iter().zip(&rows);
    let ended = pairs.filter_map(|(m, r)| ended(state, m, r));
    let allowed = ended.map(|e| (row.seal(&state.me, e.member, e.proof), e));
    let first = allowed.filter_map(|(next, e)| Some((next.ok()?, e))).next();
    let Some((next, ended)) = first else {
        return Ok(false);
    };
    let dead = ended.member;
    lock(&state.claims.notes).begin_sealing(dead);
    let mut commit = Commit::default()
        .check(incarnation_key(&state.me), state.router())
        .check(&ended.own.key, ended.own.version)
        .check(group::ROW_KEY, version)
        .write(group::ROW_KEY, &next);
    if let Some(row) = ended.row {
        let sealed = RouterRow {
            stage: Life::Sealed,
            ..row
        };
        commit = commit.write(&ended.own.key, &sealed);
    }
    match (state.platform.commit)(commit).await {
        Ok(_) => {}
        Err(Error::Conflict(_)) => {
            lock(&state.claims.notes).cancel_sealing(dead);
            return Ok(true);
        }
        // Whether it took effect is seen from the row in the next step.
        Err(why) => return Err(why),
    }
    log::info("group").with("sealed", dead).write();
    Ok(true)
}

/// Whether a member is at its end.
///
/// Sealing one that still works does no harm but to itself: it can write
/// nothing any more, ends, and is started anew.
fn ended<'a>(state: &State, member: &'a Incarnation, own: &'a Row) -> Option<Ended<'a>> {
    let row = own.decode::<RouterRow>().ok()?;
    let is_sealed = row.as_ref().is_none_or(|r| r.stage == Life::Sealed);
    let silent = state.peers.silent_for(member, Instant::now());
    let is_lost = silent.is_some_and(|silent| silent > state.settings.peers.seal);
    let mine = state.settings.advertised().to_string();
    let address = row.as_ref().map_or("", |r| &*r.address);
    let proof = address_reused((&member.0, address), (&state.me.0, &mine));
    (is_sealed || is_lost || proof.is_some()).then(|| Ended {
        member,
        own,
        row: row.clone().filter(|_| !is_sealed),
        proof,
    })
}

/// Reads the claims of members that ended, before promising anything again.
async fn scan(state: &State, row: &GroupRow) -> Result<(), Error> {
    let rows = (state.platform.scan)(CLAIMS.to_owned()).await?;
    let mut claims = Vec::new();
    for found in rows {
        if let Some(claim) = found.decode::<ClaimRow>()? {
            let id = RequestId(found.key[CLAIMS.len()..].into());
            claims.push((id, claim));
        }
    }
    let now = Instant::now();
    lock(&state.claims.notes).complete_scan(row, claims, now);
    Ok(())
}

/// Acknowledges a set with a joiner in it; `None` where it can't.
pub(crate) fn acknowledge(state: &State, group: &[u8]) -> Option<poplar_peer::generated::Handover> {
    let row: GroupRow = serde_json::from_slice(group).ok()?;
    let handover = lock(&state.claims.notes).acknowledge(&row)?;
    Some(wire::handover(&handover, Instant::now()))
}

/// Waits until the table has the claims that were made without it.
pub async fn wait_until_written(state: &State) {
    while !lock(&state.claims.open).is_empty() {
        tokio::time::sleep(EVERY / 10).await;
    }
}

/// Leaves the group: an active member takes the notes over first.
///
/// Returns the row without this router and its version, for the transaction
/// that seals it; `None` where it was no member or nobody could take over.
pub async fn leave(state: &State) -> Option<(u64, GroupRow)> {
    let (version, row) = read(state).await.ok()?;
    let handover = {
        let mut notes = lock(&state.claims.notes);
        notes.mark_ended();
        notes.hand_over()
    };
    let request = wire::handover(&handover, Instant::now());
    for of in row.others(&state.me).filter(|of| row.is_active(of)) {
        let Some(mut known) = state.peers.known(of) else {
            continue;
        };
        if known.client.inherit(request.clone()).await.is_ok() {
            let next = row.leave(&state.me, Some(of)).ok()?;
            return Some((version, next));
        }
    }
    let next = row.leave(&state.me, None).ok()?;
    Some((version, next))
}
