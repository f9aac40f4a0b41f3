//! Claims of calls that may run at most once.
//!
//! While the table can be reached, a claim is a row that is inserted before
//! dispatch and never taken over by another router. While it can't, a claim is
//! the promise of every group member to refuse other claims of the same call.
//! `poplar_core::claim` decides; this module talks to the table and the peers.

pub mod group;
mod promise;
pub mod reconcile;
mod table;
pub(crate) mod wire;

pub(crate) use promise::handle_promise;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use poplar_core::claim::registry::{Limits, Registry};
use poplar_core::claim::table::Stage;
use poplar_core::claim::{Attempt, Verdict};
use poplar_core::id::{Incarnation, RequestId};
use poplar_peer::generated::{Attempt as AttemptWire, Handover as HandoverWire};

use crate::peers::PeerEntry;
use crate::state::State;
use crate::sync::lock;

/// Most claims kept in memory.
const MAX_ENTRIES: usize = 400_000;
/// How long a key is remembered outside the table.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// How long a refusal waits for the row that records an unknown outcome.
const UNKNOWN_TIMEOUT: Duration = Duration::from_millis(100);

/// The claims that this router has made or promised.
#[derive(Debug)]
pub struct Claims {
    registry: Mutex<Registry>,
    /// Own attempts whose row has yet to be written or updated.
    pending: Mutex<Vec<PendingRow>>,
}

/// An attempt of this router that has yet to be written to the table.
#[derive(Debug, Clone)]
struct PendingRow {
    id: RequestId,
    attempt: Attempt,
    stage: Stage,
}

/// Result of a claim in the table.
enum TableClaim {
    /// This attempt has the claim.
    Won,
    /// Another attempt has the claim, or this router may not claim.
    Lost(Verdict),
    /// The table can't be reached.
    Unreachable,
}

impl Claims {
    /// Creates the claims of a router that has not joined the group.
    pub fn new(incarnation: &Incarnation) -> Self {
        let limits = Limits {
            max_entries: MAX_ENTRIES,
            retention: RETENTION,
        };
        Self {
            registry: Mutex::new(Registry::new(incarnation.clone(), limits)),
            pending: Mutex::default(),
        }
    }

    /// Whether this router may claim.
    pub fn is_active(&self) -> bool {
        lock(&self.registry).is_active()
    }

    /// Whether an attempt of a request is known here.
    pub fn has_entry(&self, id: &RequestId) -> bool {
        lock(&self.registry).attempts(id).next().is_some()
    }

    /// Leaves the writing of an attempt's row to [`reconcile`].
    fn write_later(&self, id: &RequestId, attempt: &Attempt, stage: Stage) {
        lock(&self.pending).push(PendingRow {
            id: id.clone(),
            attempt: attempt.clone(),
            stage,
        });
    }
}

/// Claims a call for this router, in the table or by promises.
///
/// # Errors
/// Returns the verdict for the caller if the call can't be claimed.
pub async fn claim(state: &State, id: &RequestId) -> Result<Attempt, Verdict> {
    let attempt = begin_attempt(state, id).await?;
    let verdict = match table::claim(state, id, &attempt).await {
        TableClaim::Won => return Ok(attempt),
        TableClaim::Lost(verdict) => verdict,
        TableClaim::Unreachable => match promise::claim(state, id, &attempt).await {
            Ok(()) => {
                state.claims.write_later(id, &attempt, Stage::Claimed);
                return Ok(attempt);
            }
            Err(verdict) => verdict,
        },
    };
    abandon(state, id, &attempt).await;
    Err(verdict)
}

/// Registers an attempt. A promise to another claimant that abandoned its attempt
/// is released first.
async fn begin_attempt(state: &State, id: &RequestId) -> Result<Attempt, Verdict> {
    let started = lock(&state.claims.registry).start(id, Instant::now());
    let Err(Verdict::InProgress(held) | Verdict::Unknown(held)) = &started else {
        return started;
    };
    if held.claimant == state.incarnation {
        // No request with this key is open here, so the earlier attempt ended
        // without an answer.
        return Err(Verdict::Unknown(held.clone()));
    }
    if !is_abandoned(state, id, held).await {
        return started;
    }
    let mut registry = lock(&state.claims.registry);
    registry.release(id, held);
    registry.start(id, Instant::now())
}

/// Asks a claimant whether it abandoned its attempt.
async fn is_abandoned(state: &State, id: &RequestId, held: &Attempt) -> bool {
    let Some(mut peer) = state.peers.get(&held.claimant) else {
        return false;
    };
    let reply = peer.client.outcome(wire::encode_attempt(id, held)).await;
    reply.is_ok_and(|r| r.into_inner().abandoned)
}

/// Abandons an attempt that was not dispatched and never will be.
pub async fn abandon(state: &State, id: &RequestId, attempt: &Attempt) {
    lock(&state.claims.registry).abandon(id, attempt);
    // The table may have the attempt's row already, or receive it late.
    state.claims.write_later(id, attempt, Stage::NotRun);
    let group = lock(&state.claims.registry).group().clone();
    let request = wire::encode_attempt(id, attempt);
    let others = group
        .others(&state.incarnation)
        .filter_map(|member| state.peers.get(member));
    let released = others.map(|peer| send_release(peer, request.clone()));
    futures::future::join_all(released).await;
}

async fn send_release(mut peer: PeerEntry, request: AttemptWire) {
    // A member that misses the release asks for the attempt's outcome when it
    // next receives the key.
    let _ = peer.client.release(request).await;
}

/// Records that the outcome of a dispatched attempt is unknown.
///
/// The caller's next request with the key should see it, so this waits briefly
/// for the table; if that takes longer, the row is written later.
pub async fn record_unknown(state: &State, id: &RequestId, attempt: &Attempt) {
    let settled = table::write_stage(state, id, attempt, Stage::Unknown);
    let settled = tokio::time::timeout(UNKNOWN_TIMEOUT, settled).await;
    if !matches!(settled, Ok(Ok(true))) {
        state.claims.write_later(id, attempt, Stage::Unknown);
    }
}

/// Handles a claimant's message that it abandoned an attempt.
pub(crate) fn handle_release(state: &State, request: AttemptWire) {
    if let Some((id, attempt)) = wire::decode_attempt(request) {
        lock(&state.claims.registry).release(&id, &attempt);
    }
}

/// Answers whether this router abandoned an attempt of its own.
pub(crate) fn handle_outcome(state: &State, request: AttemptWire) -> bool {
    wire::decode_attempt(request)
        .is_some_and(|(id, attempt)| lock(&state.claims.registry).is_abandoned(&id, &attempt))
}

/// Takes over the claims of a member that leaves the group.
pub(crate) fn handle_inherit(state: &State, from: HandoverWire) -> bool {
    let mut registry = lock(&state.claims.registry);
    if !registry.is_active() {
        return false;
    }
    match wire::decode_handover(from, Instant::now()) {
        Some(handover) => registry.take_over(&handover),
        None => false,
    }
}
