//! Claims by promise of every member, for the time when the table is out of
//! reach.

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

/// Asks every member for its promise.
///
/// # Errors
/// What the caller is told where one is missing or refuses.
pub(super) async fn ask(state: &State, id: &RequestId, attempt: &Attempt) -> Result<(), Verdict> {
    let mut asking = PromiseRound::begin(&lock(&state.claims.notes), id, attempt);
    match asking.progress(&lock(&state.claims.notes)) {
        Progress::Waiting => {}
        Progress::Won => return Ok(()),
        Progress::Refused(verdict) => return Err(verdict),
    }
    let ask = asking.request().clone();
    let request = PromiseRequest {
        attempt: Some(wire::attempt(id, attempt)),
        epoch: ask.epoch,
    };
    let waiting = asking.pending().to_vec();
    let mut answers: FuturesUnordered<_> = waiting
        .into_iter()
        .map(|of| ask_one(state, of, request.clone()))
        .collect();
    while let Some((from, promise)) = answers.next().await {
        let Some(promise) = promise else {
            return Err(Verdict::NotRun(Reason::Missing));
        };
        let notes = lock(&state.claims.notes);
        match asking.on_reply(&notes, &from, &ask, promise) {
            Progress::Waiting => {}
            Progress::Won => return Ok(()),
            Progress::Refused(verdict) => return Err(verdict),
        }
    }
    Err(Verdict::NotRun(Reason::Missing))
}

async fn ask_one(
    state: &State,
    of: Incarnation,
    request: PromiseRequest,
) -> (Incarnation, Option<Promise>) {
    let Some(mut known) = state.peers.known(&of) else {
        return (of, None);
    };
    let reply = known.client.promise(request).await;
    let promise = reply.ok().and_then(|r| wire::read_promise(r.into_inner()));
    (of, promise)
}

/// Answers another member's ask.
pub(crate) fn handle_promise(state: &State, request: PromiseRequest) -> Option<Promise> {
    let (id, attempt) = wire::read_attempt(request.attempt?)?;
    let ask = poplar_core::claim::registry::PromiseRequest {
        id,
        attempt,
        epoch: request.epoch,
    };
    Some(lock(&state.claims.notes).promise(&ask, Instant::now()))
}
