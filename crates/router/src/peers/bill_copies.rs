//! Copies of other routers' bills, held while the platform can't store them.
//!
//! Peers flush the copies of a router only after it is sealed, so that it can't
//! make the same bill durable itself. Each flushed bill marks its request as
//! billed, so that only one peer's copy counts.

use std::sync::Arc;
use std::time::Duration;

use poplar_base::log;
use poplar_base::platform::{Commit, Error, Row};
use poplar_core::bill::{
    Batch, Bill, BilledRow, BillingRow, RouterRow, Stage, batch_name, billed_key, billing_key,
};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::id::{Incarnation, Name, RequestId};
use poplar_core::sorted::SortedVec;

use crate::state::State;
use crate::sync::lock;

/// How often the origins of copies are checked for being sealed.
const FLUSH_INTERVAL: Duration = Duration::from_secs(2);
/// Wait before the next check after a failure.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Bills in one batch at most.
const MAX_BATCH: usize = 256;
/// Most copies held for all origins together.
const MAX_COPIES: usize = 100_000;
/// Batches of an origin that are searched for a bill, newest first.
const MAX_BATCHES_SEARCHED: usize = 4096;

/// Copies of bills, by origin and request.
#[derive(Debug, Default)]
pub(super) struct BillCopies {
    copies: SortedVec<(Incarnation, RequestId), Bill>,
}

impl BillCopies {
    /// Stores a copy; returns false if no more can be held.
    pub(super) fn insert(&mut self, origin: &Incarnation, bill: Bill) -> bool {
        if self.copies.len() >= MAX_COPIES {
            return false;
        }
        self.copies.insert((origin.clone(), bill.id.clone()), bill);
        true
    }

    /// Removes a copy that is no longer needed.
    pub(super) fn remove(&mut self, origin: &Incarnation, id: &RequestId) {
        self.copies.remove(&(origin.clone(), id.clone()));
    }

    /// Returns the copy of a request's bill.
    pub(super) fn bill(&self, id: &RequestId) -> Option<Bill> {
        let found = self.copies.iter().find(|((_, request), _)| request == id);
        found.map(|(_, bill)| bill.clone())
    }

    /// Returns all copies, grouped by origin.
    pub(super) fn all(&self) -> Vec<(Incarnation, Vec<Bill>)> {
        let origins = self.origins().into_iter();
        origins.map(|o| (o.clone(), self.bills_of(&o))).collect()
    }

    fn origins(&self) -> Vec<Incarnation> {
        let mut origins: Vec<_> = self.copies.iter().map(|((o, _), _)| o.clone()).collect();
        origins.dedup();
        origins
    }

    fn bills_of(&self, origin: &Incarnation) -> Vec<Bill> {
        let matching = |((o, _), bill): (&(Incarnation, RequestId), &Bill)| {
            (o == origin).then(|| bill.clone())
        };
        self.copies.iter().filter_map(matching).collect()
    }
}

/// Periodically flushes the copies whose origins are sealed.
pub async fn flush_orphaned_bills(state: Arc<State>) {
    loop {
        let mut wait = FLUSH_INTERVAL;
        let origins = lock(&state.peers.copies).origins();
        for origin in origins {
            if let Err(why) = flush(&state, &origin).await {
                log::debug("orphaned bills not flushed").reason(why).write();
                // This router may stop too, so the copies should not wait for
                // the full interval.
                wait = FLUSH_RETRY_DELAY;
            }
        }
        tokio::time::sleep(wait).await;
    }
}

/// The rows of a sealed origin, to which its bills are added.
struct OriginRows {
    router: Row,
    billing: Row,
    /// The decoded billing row.
    decoded: BillingRow,
}

async fn flush(state: &Arc<State>, origin: &Incarnation) -> Result<(), Error> {
    let Some(rows) = read_origin(state, origin).await? else {
        return Ok(());
    };
    let billed = billed_requests(state, rows.decoded.head.clone()).await?;
    let bills = lock(&state.peers.copies).bills_of(origin);
    let (known, new): (Vec<_>, Vec<_>) = bills.into_iter().partition(|b| billed.contains(&b.id));
    drop_copies(state, origin, &known);
    for chunk in new.chunks(MAX_BATCH) {
        add_batch(state, origin, chunk).await?;
    }
    Ok(())
}

fn drop_copies(state: &State, origin: &Incarnation, bills: &[Bill]) {
    let mut copies = lock(&state.peers.copies);
    for bill in bills {
        copies.remove(origin, &bill.id);
    }
}

/// Reads the origin's rows; `None` while it is not sealed.
async fn read_origin(state: &State, origin: &Incarnation) -> Result<Option<OriginRows>, Error> {
    let keys = vec![incarnation_key(origin), billing_key(origin)];
    let mut rows = (state.platform.read)(keys).await?.into_iter();
    let (Some(router), Some(billing)) = (rows.next(), rows.next()) else {
        return Err(Error::Malformed(
            "the table returned too few rows".to_owned(),
        ));
    };
    let found = router.decode::<RouterRow>()?;
    if found.is_some_and(|r| r.stage != Stage::Sealed) {
        return Ok(None);
    }
    let decoded = billing.decode::<BillingRow>()?.unwrap_or_default();
    Ok(Some(OriginRows {
        router,
        billing,
        decoded,
    }))
}

/// Adds bills as one batch to the origin's chain of batches.
///
/// The same transaction marks the requests as billed, so that only one of
/// several peers with copies adds each bill.
async fn add_batch(state: &State, origin: &Incarnation, bills: &[Bill]) -> Result<(), Error> {
    let Some(rows) = read_origin(state, origin).await? else {
        return Ok(());
    };
    let name: Name = batch_name(origin, rows.decoded.batches, rand::random()).into();
    let batch = Batch {
        previous: rows.decoded.head.clone(),
        bills: bills.to_vec(),
        losses: Vec::new(),
    };
    let bytes = serde_json::to_vec(&batch).expect("bills are plain data");
    (state.platform.put)(name.to_string(), bytes.into()).await?;
    let mut commit = Commit::default()
        .check(&rows.router.key, rows.router.version)
        .check(&rows.billing.key, rows.billing.version)
        .write(
            &rows.billing.key,
            &rows.decoded.with_batch(name.clone(), &batch),
        );
    for bill in bills {
        let mark = BilledRow {
            batch: name.clone(),
            body: bill.body_hash,
        };
        let key = billed_key(&bill.id);
        commit = commit.check(&*key, 0).write(&*key, &mark);
    }
    match (state.platform.commit)(commit).await {
        Ok(_) => {
            log::info("orphaned bills flushed")
                .with("count", bills.len())
                .write();
            drop_copies(state, origin, bills);
            Ok(())
        }
        Err(Error::Conflict(found)) => {
            drop_marked_copies(state, origin, bills, &found);
            Err(Error::Conflict(found))
        }
        Err(why) => Err(why),
    }
}

/// Drops the copies of requests that another run or another peer has billed.
fn drop_marked_copies(state: &State, origin: &Incarnation, bills: &[Bill], found: &[Row]) {
    let is_marked = |bill: &&Bill| {
        let key = billed_key(&bill.id);
        found.iter().any(|r| r.key == key && r.version != 0)
    };
    let marked: Vec<_> = bills.iter().filter(is_marked).cloned().collect();
    drop_copies(state, origin, &marked);
}

/// Returns the requests in the chain of batches that ends with `head`.
async fn billed_requests(
    state: &State,
    head: Option<Name>,
) -> Result<SortedVec<RequestId, ()>, Error> {
    let mut next = head;
    let mut ids = SortedVec::new();
    for _ in 0..MAX_BATCHES_SEARCHED {
        let Some(name) = next else {
            break;
        };
        let object = (state.platform.get)(name.to_string()).await?;
        let missing =
            || Error::Malformed(format!("the batch {name} is missing from the object store"));
        let batch: Batch = serde_json::from_slice(&object.ok_or_else(missing)?)
            .map_err(|e| Error::Malformed(e.to_string()))?;
        for bill in batch.bills {
            ids.insert(bill.id, ());
        }
        next = batch.previous;
    }
    Ok(ids)
}
