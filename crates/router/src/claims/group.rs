//! Membership of the group of routers that promise claims to one another.
//!
//! The members are a row of the table. A router joins at its start and becomes
//! active once an active member has acknowledged it and handed over its claims.
//! Active members seal and remove routers that stay silent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_base::platform::{Commit, Error, Row};
use poplar_core::bill::{RouterRow, Stage as RouterStage};
use poplar_core::budget::recovery::{Proof, address_reused};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::claim::group::{self, GroupRow};
use poplar_core::claim::table::ClaimRow;
use poplar_core::id::{Incarnation, RequestId};
use poplar_peer::generated::JoinRequest;

use super::wire;
use crate::state::State;
use crate::sync::lock;

/// How often the group's row is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Prefix of the keys of claim rows.
const CLAIM_PREFIX: &str = "claim/";

/// Joins the group and maintains the membership until the router stops. Only
/// the first of consecutive failures is logged.
pub async fn maintain_membership(state: Arc<State>) {
    let mut failed = false;
    loop {
        match step(&state).await {
            Ok(()) => failed = false,
            Err(why) if !failed => {
                log::warn("group membership check failed")
                    .reason(why)
                    .write();
                failed = true;
            }
            Err(_) => {}
        }
        let is_active = lock(&state.claims.registry).is_active();
        let wait = if is_active {
            CHECK_INTERVAL
        } else {
            CHECK_INTERVAL / 5
        };
        tokio::time::sleep(wait).await;
    }
}

async fn read(state: &State) -> Result<(u64, GroupRow), Error> {
    let row = state.platform.row(group::ROW_KEY).await?;
    Ok((row.version, row.decode()?.unwrap_or_default()))
}

async fn step(state: &State) -> Result<(), Error> {
    let (version, row) = read(state).await?;
    lock(&state.claims.registry).update_group(&row);
    if !row.contains(&state.incarnation) {
        return join(state, version, &row).await;
    }
    if lock(&state.claims.registry).is_scanning() {
        scan(state, &row).await?;
    }
    // A sealing that did not take effect is tried again.
    let sealed = seal_ended(state, version, &row).await?;
    if !sealed && !row.is_active(&state.incarnation) {
        return activate(state, version, &row).await;
    }
    Ok(())
}

/// Writes the group's row if neither it nor this router's own row has changed.
async fn write(state: &State, version: u64, next: &GroupRow) -> Result<(), Error> {
    let commit = Commit::default()
        .check(incarnation_key(&state.incarnation), state.row_version())
        .check(group::ROW_KEY, version)
        .write(group::ROW_KEY, next);
    (state.platform.commit)(commit).await?;
    Ok(())
}

async fn join(state: &State, version: u64, row: &GroupRow) -> Result<(), Error> {
    if state.is_draining() || state.is_sealed() {
        return Ok(());
    }
    match row.join(&state.incarnation) {
        Ok(next) => write(state, version, &next).await,
        Err(_) => Ok(()),
    }
}

/// Becomes active once an active member has acknowledged the group.
async fn activate(state: &State, version: u64, row: &GroupRow) -> Result<(), Error> {
    let acknowledger = request_acknowledgement(state, row).await;
    let Ok(next) = row.activate(&state.incarnation, acknowledger.as_ref()) else {
        return Ok(());
    };
    write(state, version, &next).await?;
    lock(&state.claims.registry).update_group(&next);
    log::info("group joined").with("epoch", next.epoch).write();
    Ok(())
}

/// Asks active members in turn to acknowledge the group and to hand over their
/// claims; returns the one that did.
async fn request_acknowledgement(state: &State, row: &GroupRow) -> Option<Incarnation> {
    let request = JoinRequest {
        group: serde_json::to_vec(row).expect("the group is plain data"),
    };
    for member in row.others(&state.incarnation).filter(|m| row.is_active(m)) {
        let Some(mut peer) = state.peers.get(member) else {
            continue;
        };
        let Ok(reply) = peer.client.join(request.clone()).await else {
            continue;
        };
        let reply = reply.into_inner();
        if !reply.acknowledged {
            continue;
        }
        let handover = wire::decode_handover(reply, Instant::now());
        if handover.is_some_and(|h| lock(&state.claims.registry).take_over(&h)) {
            return Some(member.clone());
        }
    }
    None
}

/// A member that has ended or is to be sealed.
struct Ended<'a> {
    member: &'a Incarnation,
    /// Its router row as read.
    found: &'a Row,
    /// The decoded row, if it is still to be sealed.
    to_seal: Option<RouterRow>,
    proof: Option<Proof>,
}

/// Removes from the group one router that is sealed, or that has been silent for
/// so long that it is sealed now. Returns true if there was one.
///
/// A router that is not active yet does this only for an earlier incarnation at
/// its own address. In this way the successors of a group whose members all
/// died take the group over.
async fn seal_ended(state: &State, version: u64, row: &GroupRow) -> Result<bool, Error> {
    // Rows of live members are not read; a live member that was sealed stops
    // soon.
    let now = Instant::now();
    let silent = row
        .others(&state.incarnation)
        .filter(|member| !state.peers.is_live(member, now));
    let others: Vec<_> = silent.cloned().collect();
    if others.is_empty() {
        return Ok(false);
    }
    let keys = others.iter().map(incarnation_key).collect();
    let rows = (state.platform.read)(keys).await?;
    let pairs = others.iter().zip(&rows);
    let ended = pairs.filter_map(|(m, r)| ended(state, m, r));
    let allowed = ended.map(|e| (row.seal(&state.incarnation, e.member, e.proof), e));
    let first = allowed.filter_map(|(next, e)| Some((next.ok()?, e))).next();
    let Some((next, ended)) = first else {
        return Ok(false);
    };
    let member = ended.member;
    lock(&state.claims.registry).begin_sealing(member);
    let mut commit = Commit::default()
        .check(incarnation_key(&state.incarnation), state.row_version())
        .check(&ended.found.key, ended.found.version)
        .check(group::ROW_KEY, version)
        .write(group::ROW_KEY, &next);
    if let Some(row) = ended.to_seal {
        let sealed = RouterRow {
            stage: RouterStage::Sealed,
            ..row
        };
        commit = commit.write(&ended.found.key, &sealed);
    }
    match (state.platform.commit)(commit).await {
        Ok(_) => {}
        Err(Error::Conflict(_)) => {
            lock(&state.claims.registry).cancel_sealing(member);
            return Ok(true);
        }
        // The next step reads from the row whether the commit took effect.
        Err(why) => return Err(why),
    }
    log::info("group member sealed")
        .with("router", member)
        .write();
    Ok(true)
}

/// Returns a member that is sealed, has been silent for too long, or has lost
/// its address to this router; `None` for any other.
///
/// Sealing a member that still works harms only that member: it can write
/// nothing more, stops, and is restarted.
fn ended<'a>(state: &State, member: &'a Incarnation, found: &'a Row) -> Option<Ended<'a>> {
    let row = found.decode::<RouterRow>().ok()?;
    let is_sealed = row.as_ref().is_none_or(|r| r.stage == RouterStage::Sealed);
    let silent = state.peers.silent_for(member, Instant::now());
    let is_silent = silent.is_some_and(|silent| silent > state.settings.peers.seal_after);
    let own_address = state.settings.advertised().to_string();
    let address = row.as_ref().map_or("", |r| &*r.address);
    let proof = address_reused((&member.0, address), (&state.incarnation.0, &own_address));
    (is_sealed || is_silent || proof.is_some()).then(|| Ended {
        member,
        found,
        to_seal: row.clone().filter(|_| !is_sealed),
        proof,
    })
}

/// Reads all claims from the table, so that this router knows those of ended
/// members before it promises anything again.
async fn scan(state: &State, row: &GroupRow) -> Result<(), Error> {
    let rows = (state.platform.scan)(CLAIM_PREFIX.to_owned()).await?;
    let mut claims = Vec::new();
    for found in rows {
        if let Some(claim) = found.decode::<ClaimRow>()? {
            let id = RequestId(found.key[CLAIM_PREFIX.len()..].into());
            claims.push((id, claim));
        }
    }
    let now = Instant::now();
    lock(&state.claims.registry).complete_scan(row, claims, now);
    Ok(())
}

/// Acknowledges a group that includes a joining router, and returns the claims
/// to hand over to it; `None` if this router can't.
pub(crate) fn acknowledge(state: &State, group: &[u8]) -> Option<poplar_peer::generated::Handover> {
    let row: GroupRow = serde_json::from_slice(group).ok()?;
    let handover = lock(&state.claims.registry).acknowledge(&row)?;
    Some(wire::encode_handover(&handover, Instant::now()))
}

/// Waits until all pending claims are written to the table.
pub async fn wait_until_written(state: &State) {
    while !lock(&state.claims.pending).is_empty() {
        tokio::time::sleep(CHECK_INTERVAL / 10).await;
    }
}

/// Prepares to leave the group: hands the claims over to an active member.
///
/// Returns the group's row without this router, and the version that it
/// replaces, for the transaction that seals this router; `None` if this router
/// is not a member or no member could take over.
pub async fn leave(state: &State) -> Option<(u64, GroupRow)> {
    let (version, row) = read(state).await.ok()?;
    let handover = {
        let mut registry = lock(&state.claims.registry);
        registry.mark_ended();
        registry.hand_over()
    };
    let request = wire::encode_handover(&handover, Instant::now());
    for member in row.others(&state.incarnation).filter(|m| row.is_active(m)) {
        let Some(mut peer) = state.peers.get(member) else {
            continue;
        };
        if peer.client.inherit(request.clone()).await.is_ok() {
            let next = row.leave(&state.incarnation, Some(member)).ok()?;
            return Some((version, next));
        }
    }
    let next = row.leave(&state.incarnation, None).ok()?;
    Some((version, next))
}
