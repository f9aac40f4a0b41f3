//! Claims by promise of every group member, used while the table can't be
//! reached.

use std::time::Instant;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use poplar_core::claim::promise::{Progress, PromiseRound};
use poplar_core::claim::registry::Promise;
use poplar_core::claim::{Attempt, Reason, Verdict};
use poplar_core::id::{Incarnation, RequestId};
use poplar_peer::generated::PromiseRequest;

use super::wire;
use crate::state::State;
use crate::sync::lock;

/// Claims a call by asking every other member for its promise.
///
/// # Errors
/// Returns the verdict for the caller if a member refuses or does not answer.
pub(super) async fn claim(state: &State, id: &RequestId, attempt: &Attempt) -> Result<(), Verdict> {
    let mut round = PromiseRound::begin(&lock(&state.claims.registry), id, attempt);
    match round.progress(&lock(&state.claims.registry)) {
        Progress::Waiting => {}
        Progress::Won => return Ok(()),
        Progress::Refused(verdict) => return Err(verdict),
    }
    let asked = round.request().clone();
    let request = PromiseRequest {
        attempt: Some(wire::encode_attempt(id, attempt)),
        epoch: asked.epoch,
    };
    let pending = round.pending().to_vec();
    let mut answers: FuturesUnordered<_> = pending
        .into_iter()
        .map(|member| ask_member(state, member, request.clone()))
        .collect();
    while let Some((from, promise)) = answers.next().await {
        let Some(promise) = promise else {
            return Err(Verdict::NotRun(Reason::Missing));
        };
        let registry = lock(&state.claims.registry);
        match round.on_reply(&registry, &from, &asked, promise) {
            Progress::Waiting => {}
            Progress::Won => return Ok(()),
            Progress::Refused(verdict) => return Err(verdict),
        }
    }
    Err(Verdict::NotRun(Reason::Missing))
}

async fn ask_member(
    state: &State,
    member: Incarnation,
    request: PromiseRequest,
) -> (Incarnation, Option<Promise>) {
    let Some(mut peer) = state.peers.get(&member) else {
        return (member, None);
    };
    let reply = peer.client.promise(request).await;
    let promise = reply
        .ok()
        .and_then(|r| wire::decode_promise(r.into_inner()));
    (member, promise)
}

/// Answers another member's request for a promise.
pub(crate) fn handle_promise(state: &State, request: PromiseRequest) -> Option<Promise> {
    let (id, attempt) = wire::decode_attempt(request.attempt?)?;
    let asked = poplar_core::claim::registry::PromiseRequest {
        id,
        attempt,
        epoch: request.epoch,
    };
    Some(lock(&state.claims.registry).promise(&asked, Instant::now()))
}
