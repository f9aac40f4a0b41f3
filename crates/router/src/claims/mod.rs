//! Claims of calls that may run at most once.
//!
//! While the table is reachable a claim is a row, inserted before dispatch and
//! never taken over. While it is not, a claim is the promise of every member of
//! the group. The decisions are `poplar_core::claim`; here they are carried out.

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

/// Registry that are kept at the most.
const NOTES_MOST: usize = 400_000;
/// For how long a key is remembered outside the table.
const RETENTION: Duration = Duration::from_secs(60 * 60);

/// How long a refusal waits for the row that records an unknown outcome.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);

/// What this router knows of claims.
#[derive(Debug)]
pub struct Claims {
    notes: Mutex<Registry>,
    /// Own attempts whose row has yet to be written or ended.
    open: Mutex<Vec<Open>>,
}

/// An own attempt that the table has to learn of.
#[derive(Debug, Clone)]
struct Open {
    id: RequestId,
    attempt: Attempt,
    stage: Stage,
}

/// Whether the table could be asked for a claim.
enum Asked {
    /// It answered: the claim is had or not.
    Won,
    Lost(Verdict),
    /// It can't be reached.
    Down,
}

impl Claims {
    /// Claims of a router that has not joined its group.
    pub fn new(me: &Incarnation) -> Self {
        let limits = Limits {
            max_entries: NOTES_MOST,
            retention: RETENTION,
        };
        Self {
            notes: Mutex::new(Registry::new(me.clone(), limits)),
            open: Mutex::default(),
        }
    }

    /// Whether this router may claim.
    pub fn is_active(&self) -> bool {
        lock(&self.notes).is_active()
    }

    /// Whether an attempt of a request is noted here.
    pub fn has_entry(&self, id: &RequestId) -> bool {
        lock(&self.notes).attempts(id).next().is_some()
    }

    fn later(&self, id: &RequestId, attempt: &Attempt, stage: Stage) {
        lock(&self.open).push(Open {
            id: id.clone(),
            attempt: attempt.clone(),
            stage,
        });
    }
}

/// Claims a call for this router, in the table or by promises.
///
/// # Errors
/// What the caller is to be told.
pub async fn claim(state: &State, id: &RequestId) -> Result<Attempt, Verdict> {
    let attempt = start(state, id).await?;
    let lost = match table::claim(state, id, &attempt).await {
        Asked::Won => return Ok(attempt),
        Asked::Lost(verdict) => verdict,
        Asked::Down => match promise::ask(state, id, &attempt).await {
            Ok(()) => {
                state.claims.later(id, &attempt, Stage::Claimed);
                return Ok(attempt);
            }
            Err(verdict) => verdict,
        },
    };
    abandon(state, id, &attempt).await;
    Err(lost)
}

/// Registry an attempt; an old promise whose claimant gave it up goes first.
async fn start(state: &State, id: &RequestId) -> Result<Attempt, Verdict> {
    let started = lock(&state.claims.notes).start(id, Instant::now());
    let Err(Verdict::InProgress(held) | Verdict::Unknown(held)) = &started else {
        return started;
    };
    if held.claimant == state.me {
        // No request of this key is under way here, so it ended unanswered.
        return Err(Verdict::Unknown(held.clone()));
    }
    if !is_abandoned(state, id, held).await {
        return started;
    }
    let mut notes = lock(&state.claims.notes);
    notes.release(id, held);
    notes.start(id, Instant::now())
}

/// Asks a claimant whether it gave its attempt up.
async fn is_abandoned(state: &State, id: &RequestId, held: &Attempt) -> bool {
    let Some(mut known) = state.peers.known(&held.claimant) else {
        return false;
    };
    let reply = known.client.outcome(wire::attempt(id, held)).await;
    reply.is_ok_and(|r| r.into_inner().abandoned)
}

/// Gives up an attempt that was not dispatched and never will.
pub async fn abandon(state: &State, id: &RequestId, attempt: &Attempt) {
    lock(&state.claims.notes).abandon(id, attempt);
    // The table may have its row, or be about to.
    state.claims.later(id, attempt, Stage::NotRun);
    let set = lock(&state.claims.notes).group().clone();
    let request = wire::attempt(id, attempt);
    let others = set.others(&state.me).filter_map(|of| state.peers.known(of));
    let released = others.map(|known| release(known, request.clone()));
    futures::future::join_all(released).await;
}

async fn release(mut known: PeerEntry, request: AttemptWire) {
    // A member that misses this asks when the key comes again.
    let _ = known.client.release(request).await;
}

/// Registry that nobody can tell what became of a dispatched attempt.
///
/// The caller's next try should learn of it, so that this waits a little for
/// the table; where it takes longer the row is written later.
pub async fn record_unknown(state: &State, id: &RequestId, attempt: &Attempt) {
    let settled = table::settle(state, id, attempt, Stage::Unknown);
    let settled = tokio::time::timeout(UNKNOWN_WAIT, settled).await;
    if !matches!(settled, Ok(Ok(true))) {
        state.claims.later(id, attempt, Stage::Unknown);
    }
}

/// A claimant's word that it gave an attempt up.
pub(crate) fn handle_release(state: &State, request: AttemptWire) {
    if let Some((id, attempt)) = wire::read_attempt(request) {
        lock(&state.claims.notes).release(&id, &attempt);
    }
}

/// Whether an own attempt was given up.
pub(crate) fn handle_outcome(state: &State, request: AttemptWire) -> bool {
    wire::read_attempt(request)
        .is_some_and(|(id, attempt)| lock(&state.claims.notes).is_abandoned(&id, &attempt))
}

/// Takes over the notes of a member that leaves.
pub(crate) fn handle_inherit(state: &State, from: HandoverWire) -> bool {
    let mut notes = lock(&state.claims.notes);
    if !notes.is_active() {
        return false;
    }
    match wire::read_handover(from, Instant::now()) {
        Some(handover) => notes.take_over(&handover),
        None => false,
    }
}
