//! Copies of other routers' bills, kept while the store can't take them.
//!
//! The copies of a router are flushed by its peers only after it was sealed,
//! so that it can't make the same bill durable itself. Each flushed bill is
//! marked by its request, so that only one peer's copy counts.

use std::sync::Arc;
use std::time::Duration;

use poplar_base::log;
use poplar_base::platform::Error;
use poplar_core::bill::{Batch, Bill, BillingRow, RouterRow, Stage, billing_key};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::id::{Incarnation, RequestId};
use poplar_core::sorted::SortedVec;

use crate::state::State;
use crate::sync::lock;

/// How often sealed origins are looked for.
const FLUSH: Duration = Duration::from_secs(2);
/// Copies that are held at the most.
const HELD_MOST: usize = 100_000;
/// Batches of the origin that are searched for a bill, newest first.
const SEARCHED: usize = 4096;

/// Copies by origin and request.
#[derive(Debug, Default)]
pub(super) struct Held {
    copies: SortedVec<(Incarnation, RequestId), Bill>,
}

impl Held {
    /// Keeps a copy; false where no more can be held.
    pub(super) fn keep(&mut self, origin: &Incarnation, bill: Bill) -> bool {
        if self.copies.len() >= HELD_MOST {
            return false;
        }
        self.copies.insert((origin.clone(), bill.id.clone()), bill);
        true
    }

    /// Drops a copy that is not needed any more.
    pub(super) fn done(&mut self, origin: &Incarnation, id: &RequestId) {
        self.copies.remove(&(origin.clone(), id.clone()));
    }

    fn origins(&self) -> Vec<Incarnation> {
        let mut origins: Vec<_> = self.copies.iter().map(|((o, _), _)| o.clone()).collect();
        origins.dedup();
        origins
    }

    fn of(&self, origin: &Incarnation) -> Vec<Bill> {
        let of = |((o, _), bill): (&(Incarnation, RequestId), &Bill)| {
            (o == origin).then(|| bill.clone())
        };
        self.copies.iter().filter_map(of).collect()
    }
}

/// Bills what sealed routers had left with this one.
pub async fn flush_orphans(state: Arc<State>) {
    loop {
        tokio::time::sleep(FLUSH).await;
        let origins = lock(&state.peers.held).origins();
        for origin in origins {
            if let Err(why) = flush(&state, &origin).await {
                log::debug("orphaned bills").reason(why).write();
            }
        }
    }
}

async fn flush(state: &Arc<State>, origin: &Incarnation) -> Result<(), Error> {
    let row = state.platform.row(incarnation_key(origin)).await?;
    let sealed = row
        .decode::<RouterRow>()?
        .is_none_or(|r| r.stage == Stage::Sealed);
    if !sealed {
        return Ok(());
    }
    let billed = billed_by(state, origin).await?;
    let bills = lock(&state.peers.held).of(origin);
    for bill in bills {
        let id = bill.id.clone();
        if !billed.contains(&id) {
            // Whoever comes second finds the request marked as billed.
            let done = state.biller.submit(bill, 0, true);
            if done.await.is_err() {
                return Ok(());
            }
            log::info("orphaned bill").request(&id).write();
        }
        lock(&state.peers.held).done(origin, &id);
    }
    Ok(())
}

/// Requests that a sealed router had billed itself.
async fn billed_by(state: &State, origin: &Incarnation) -> Result<SortedVec<RequestId, ()>, Error> {
    let row = state.platform.row(billing_key(origin)).await?;
    let mut next = row.decode::<BillingRow>()?.and_then(|r| r.head);
    let mut ids = SortedVec::new();
    for _ in 0..SEARCHED {
        let Some(name) = next else {
            break;
        };
        let object = (state.platform.get)(name.to_string()).await?;
        let missing = || Error::Malformed(format!("no object {name}"));
        let batch: Batch = serde_json::from_slice(&object.ok_or_else(missing)?)
            .map_err(|e| Error::Malformed(e.to_string()))?;
        for bill in batch.bills {
            ids.insert(bill.id, ());
        }
        next = batch.previous;
    }
    Ok(ids)
}
