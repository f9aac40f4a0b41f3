//! Replays the answer of an earlier run to a retry with the same idempotency key.

use std::time::Duration;

use poplar_base::platform::{Error, Row};
use poplar_core::bill::{Batch, Bill, BilledRow, billed_key};
use poplar_core::claim::claim_key;
use poplar_core::claim::table::ClaimRow;

use crate::flow::request::Job;
use crate::refusal::{Code, Execution, Refusal};
use crate::state::State;

/// How long the store may take to look up an earlier run. After that the
/// request proceeds: its billed row still prevents a second bill, and a
/// non-idempotent call still needs its claim.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Retry-After for an earlier answer that can't be read now.
const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Finds the bill of an earlier run of a request, with its answer.
///
/// # Errors
/// If the key was used with another body, or the answer can't be read now.
pub(super) async fn find_earlier_bill(state: &State, job: &Job) -> Result<Option<Bill>, Refusal> {
    if !job.id.is_keyed() {
        return Ok(None);
    }
    let local = state.bill_queue.pending_bill(&job.id);
    let local = local.or_else(|| state.peers.bill_copy(&job.id));
    let bill = match local {
        Some(bill) => Some(bill),
        None => find_stored_bill(state, job).await?,
    };
    if bill.as_ref().is_some_and(|b| b.body_hash != job.body_hash) {
        return Err(Refusal::new(Code::KeyReused));
    }
    if bill.is_some() {
        state
            .trace
            .record(&job.id, "replayed", "an earlier run was billed");
    }
    Ok(bill)
}

/// Whether no attempt of a request is known to have been claimed or billed.
///
/// Checks the table and the local registry of claims. Returns false while the
/// table can't be read, since a retry can't be told from a first attempt then.
pub(super) async fn is_first_attempt(state: &State, job: &Job) -> bool {
    let keys = vec![billed_key(&job.id), claim_key(&job.id)];
    let read = tokio::time::timeout(LOOKUP_TIMEOUT, (state.platform.read)(keys)).await;
    let Some([billed, claim]) = read.ok().and_then(Result::ok).as_deref().map(|r| match r {
        [billed, claim] => [billed.version, claim_version(claim)],
        _ => [1, 1],
    }) else {
        return false;
    };
    billed == 0 && claim == 0 && !state.claims.has_entry(&job.id)
}

/// Version of a claim's row; 0 if there is none or its attempt was abandoned.
fn claim_version(row: &Row) -> u64 {
    let claim = row.decode::<ClaimRow>().ok().flatten();
    match claim {
        Some(claim) if !claim.is_binding() => 0,
        _ => row.version,
    }
}

async fn find_stored_bill(state: &State, job: &Job) -> Result<Option<Bill>, Refusal> {
    let read = tokio::time::timeout(LOOKUP_TIMEOUT, state.platform.row(billed_key(&job.id))).await;
    let row = read.ok().and_then(Result::ok);
    let Some(Ok(Some(row))) = row.map(|r| r.decode::<BilledRow>()) else {
        return Ok(None);
    };
    if row.body != job.body_hash {
        return Err(Refusal::new(Code::KeyReused));
    }
    match read_bill(state, job, &row).await {
        Ok(Some(bill)) => Ok(Some(bill)),
        Ok(None) | Err(_) => Err(Refusal::new(Code::InProgress)
            .execution(Execution::Ran)
            .retry_after(UNREADABLE_RETRY_AFTER)),
    }
}

async fn read_bill(state: &State, job: &Job, row: &BilledRow) -> Result<Option<Bill>, Error> {
    let object = (state.platform.get)(row.batch.to_string()).await?;
    let Some(object) = object else {
        return Ok(None);
    };
    let batch: Batch =
        serde_json::from_slice(&object).map_err(|e| Error::Malformed(e.to_string()))?;
    Ok(batch.bills.into_iter().find(|b| b.id == job.id))
}
