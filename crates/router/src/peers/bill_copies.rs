//! Copies of other routers' bills, kept while the store can't take them.
//!
//! The copies of a router are flushed by its peers only after it was sealed,
//! so that it can't make the same bill durable itself. Each flushed bill is
//! marked by its request, so that only one peer's copy counts.

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

/// How often sealed origins are looked for.
const FLUSH: Duration = Duration::from_secs(2);
/// How soon it is tried again after a failure.
const AGAIN: Duration = Duration::from_millis(200);
/// Bills in one batch at the most.
const MANY: usize = 256;
/// Copies that are held at the most.
const HELD_MOST: usize = 100_000;
/// Batches of the origin that are searched for a bill, newest first.
const SEARCHED: usize = 4096;

/// Copies by origin and request.
#[derive(Debug, Default)]
pub(super) struct BillCopies {
    copies: SortedVec<(Incarnation, RequestId), Bill>,
}

impl BillCopies {
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

    /// The copy of a request's bill.
    pub(super) fn bill(&self, id: &RequestId) -> Option<Bill> {
        let found = self.copies.iter().find(|((_, of), _)| of == id);
        found.map(|(_, bill)| bill.clone())
    }

    /// Every copy, by its origin.
    pub(super) fn all(&self) -> Vec<(Incarnation, Vec<Bill>)> {
        let origins = self.origins().into_iter();
        origins.map(|o| (o.clone(), self.of(&o))).collect()
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
pub async fn flush_orphaned_bills(state: Arc<State>) {
    loop {
        let mut wait = FLUSH;
        let origins = lock(&state.peers.held).origins();
        for origin in origins {
            if let Err(why) = flush(&state, &origin).await {
                log::debug("orphaned bills").reason(why).write();
                // This router may end too; the copies should not wait for that.
                wait = AGAIN;
            }
        }
        tokio::time::sleep(wait).await;
    }
}

/// The rows of a sealed origin, as its bills are added to them.
struct Origin {
    router: Row,
    billing: Row,
    row: BillingRow,
}

async fn flush(state: &Arc<State>, origin: &Incarnation) -> Result<(), Error> {
    let Some(rows) = read_origin(state, origin).await? else {
        return Ok(());
    };
    let billed = billed_by(state, rows.row.head.clone()).await?;
    let bills = lock(&state.peers.held).of(origin);
    let (known, new): (Vec<_>, Vec<_>) = bills.into_iter().partition(|b| billed.contains(&b.id));
    forget(state, origin, &known);
    for many in new.chunks(MANY) {
        add(state, origin, many).await?;
    }
    Ok(())
}

fn forget(state: &State, origin: &Incarnation, bills: &[Bill]) {
    let mut held = lock(&state.peers.held);
    for bill in bills {
        held.done(origin, &bill.id);
    }
}

/// Reads the origin's rows; `None` while it is not sealed.
async fn read_origin(state: &State, origin: &Incarnation) -> Result<Option<Origin>, Error> {
    let keys = vec![incarnation_key(origin), billing_key(origin)];
    let mut rows = (state.platform.read)(keys).await?.into_iter();
    let (Some(router), Some(billing)) = (rows.next(), rows.next()) else {
        return Err(Error::Malformed("too few rows".to_owned()));
    };
    let known = router.decode::<RouterRow>()?;
    if known.is_some_and(|r| r.stage != Stage::Sealed) {
        return Ok(None);
    }
    let row = billing.decode::<BillingRow>()?.unwrap_or_default();
    Ok(Some(Origin {
        router,
        billing,
        row,
    }))
}

/// Adds bills to the origin's own chain, as one batch.
///
/// The requests are marked as billed in the same transaction, so that of
/// several peers with copies only one adds each.
async fn add(state: &State, origin: &Incarnation, bills: &[Bill]) -> Result<(), Error> {
    let Some(rows) = read_origin(state, origin).await? else {
        return Ok(());
    };
    let name: Name = batch_name(origin, rows.row.batches, rand::random()).into();
    let batch = Batch {
        previous: rows.row.head.clone(),
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
            &rows.row.with_batch(name.clone(), &batch),
        );
    for bill in bills {
        let mark = BilledRow {
            batch: name.clone(),
            body_hash: bill.body_hash,
        };
        let key = billed_key(&bill.id);
        commit = commit.check(&*key, 0).write(&*key, &mark);
    }
    match (state.platform.commit)(commit).await {
        Ok(_) => {
            log::info("orphaned bills")
                .with("many", bills.len())
                .write();
            forget(state, origin, bills);
            Ok(())
        }
        Err(Error::Conflict(found)) => {
            forget_marked(state, origin, bills, &found);
            Err(Error::Conflict(found))
        }
        Err(why) => Err(why),
    }
}

/// Drops copies of requests that were billed by another run or another peer.
fn forget_marked(state: &State, origin: &Incarnation, bills: &[Bill], found: &[Row]) {
    let is_marked = |bill: &&Bill| {
        let key = billed_key(&bill.id);
        found.iter().any(|r| r.key == key && r.version != 0)
    };
    let marked: Vec<_> = bills.iter().filter(is_marked).cloned().collect();
    forget(state, origin, &marked);
}

/// Requests in the chain of batches that ends with `head`.
async fn billed_by(state: &State, head: Option<Name>) -> Result<SortedVec<RequestId, ()>, Error> {
    let mut next = head;
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
