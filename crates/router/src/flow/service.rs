//! Runs a call of a plain service, idempotent or not.
//!
//! A non-idempotent call is sent only under a claim, so that it runs at most once
//! however many routers receive it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use poplar_base::http::Error as HttpError;
use poplar_core::bill::Answer;
use poplar_core::claim::{Attempt as ClaimAttempt, Reason, Verdict};
use poplar_core::id::Name;
use poplar_core::retry::{Attempt, Failure, RetryDecision};

use crate::backends::dispatch::{
    AttemptResult, DEADLINE_FACTOR, DispatchRequest, Placement, SAME_SERVER_BACKOFF,
};
use crate::claims;
use crate::flow::billing::{self, BillState, CompletedRequest};
use crate::flow::chat::reserve;
use crate::flow::refusals::{failure_of, record_refusal};
use crate::flow::replay;
use crate::flow::request::{Call, Job};
use crate::refusal::{Code, Execution, Refusal};
use crate::state::{OpenRequest, State};

/// How long past the class's target a service's answer is awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Retry-After for a call that was not claimed or not sent.
const UNSENT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How one attempt ended.
enum Outcome {
    Answered(Answer),
    Failed(Failure),
}

/// Runs a call in a task of its own, so that it completes even if its caller
/// disconnects.
///
/// # Errors
/// The refusal for the caller.
pub async fn call(
    state: Arc<State>,
    open_request: OpenRequest,
    job: Job,
    call: Call,
) -> Result<Answer, Refusal> {
    let task = tokio::spawn(async move {
        let _guard = open_request;
        let is_first = job.class.repeatable || replay::is_first_attempt(&state, &job).await;
        let outcome = run(&state, &job, &call).await.map_err(|refusal| {
            // An earlier attempt on another router may have run, unknown to this one.
            let maybe_ran = !is_first && refusal.execution == Execution::NotRun;
            if maybe_ran {
                refusal.execution(Execution::Unknown)
            } else {
                refusal
            }
        });
        if let Err(refusal) = &outcome {
            record_refusal(&state, &job, refusal);
        }
        outcome
    });
    let task_failed = |_| Refusal::new(Code::BackendFailed).execution(Execution::Unknown);
    task.await.map_err(task_failed)?
}

async fn run(state: &Arc<State>, job: &Job, call: &Call) -> Result<Answer, Refusal> {
    if let Some(bill) = replay::find_earlier_bill(state, job).await? {
        return Ok(bill.answer.unwrap_or_default());
    }
    let reservation = reserve(state, job, job.class.price).await?;
    let sent = send(state, job, call).await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(refusal) => {
            // If it may have run, dropping the reservation writes it off.
            if refusal.execution == Execution::NotRun {
                reservation.release();
            }
            return Err(refusal);
        }
    };
    reservation.settle(job.class.price);
    let completed = CompletedRequest {
        prompt: 0,
        output: job.class.price,
        first_token: None,
        completed_at: Instant::now(),
        answer: answer.clone(),
    };
    let bill_state = billing::bill(state, job, &completed).await;
    state
        .trace
        .record(&job.id, "finished", format_args!("{bill_state:?}"));
    if bill_state == BillState::Sealed {
        return Err(Refusal::new(Code::Unready).execution(Execution::Ran));
    }
    crate::metrics::count_answer(job, &completed);
    Ok(answer)
}

/// Sends a call until it is answered or may not be sent again.
async fn send(state: &Arc<State>, job: &Job, call: &Call) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let (mut sends, mut runs) = (0, 0);
    let mut claim = None;
    loop {
        // The server is chosen before the claim, so that a refusal for lack of a
        // server leaves no claim behind.
        let placement = place(state, job, &tried).await;
        let mut placement = match placement {
            Ok(placement) => placement,
            Err(refusal) => return Err(close_claim(state, job, claim, runs, refusal).await),
        };
        if !job.class.repeatable && claim.is_none() {
            let claimed = claims::claim(state, &job.id).await;
            claim = Some(claimed.map_err(|verdict| claim_refusal(&verdict))?);
        }
        sends += 1;
        let failure = match attempt(state, job, call, &placement).await {
            Outcome::Answered(answer) => {
                placement.finish(AttemptResult::Completed(1), Instant::now());
                return Ok(answer);
            }
            Outcome::Failed(failure) => failure,
        };
        let reason = format!("{}: {failure}", placement.server);
        state.trace.record(&job.id, "failed", reason);
        placement.finish(AttemptResult::Failed(failure), Instant::now());
        runs += u32::from(!failure.not_run());
        let attempt = Attempt {
            repeatable: job.class.repeatable,
            resumable: false,
            received: 0,
            sends,
            runs,
            send_by: job.arrived + job.class.finish_target * DEADLINE_FACTOR,
        };
        let next = state
            .dispatcher
            .decide_retry(&placement, failure, &attempt, Instant::now());
        match next {
            RetryDecision::Send { delay: after, .. } => {
                crate::metrics::count_retry(&job.class.name);
                let again = tried.contains(&placement.server);
                tokio::time::sleep(if again {
                    after.max(SAME_SERVER_BACKOFF)
                } else {
                    after
                })
                .await;
            }
            RetryDecision::GiveUp { reason, .. } => {
                let code = if job.class.repeatable || runs == 0 {
                    Code::BackendFailed
                } else {
                    Code::OutcomeUnknown
                };
                let refusal = Refusal::new(code).detail(reason);
                return Err(close_claim(state, job, claim, runs, refusal).await);
            }
        }
        tried.push(placement.server.clone());
    }
}

/// Closes the claim of a call that is not sent again, and completes its refusal.
///
/// If the call did not run, the claim is abandoned, so that a retry can claim it.
async fn close_claim(
    state: &State,
    job: &Job,
    claim: Option<ClaimAttempt>,
    runs: u32,
    refusal: Refusal,
) -> Refusal {
    if runs > 0 {
        if let Some(attempt) = claim {
            claims::record_unknown(state, &job.id, &attempt).await;
        }
        return refusal.execution(Execution::Unknown);
    }
    if let Some(attempt) = claim {
        claims::abandon(state, &job.id, &attempt).await;
    }
    if refusal.code == Code::TooLong {
        // A retry would be refused as well.
        return refusal;
    }
    let after = refusal.retry_after.unwrap_or(UNSENT_RETRY_AFTER);
    refusal.retry_after(after)
}

/// The refusal of a call that could not be claimed.
fn claim_refusal(verdict: &Verdict) -> Refusal {
    let (code, run) = match verdict {
        Verdict::InProgress(_) => (Code::InProgress, Execution::Unknown),
        // Its bill, with the answer, is not in the store yet.
        Verdict::Ran(_) => (Code::InProgress, Execution::Ran),
        Verdict::Unknown(_) => (Code::OutcomeUnknown, Execution::Unknown),
        Verdict::NotRun(Reason::Sealed) => (Code::Unready, Execution::NotRun),
        Verdict::NotRun(_) => (Code::NoClaim, Execution::NotRun),
    };
    let refusal = Refusal::new(code).execution(run);
    match verdict {
        Verdict::Unknown(_) => refusal,
        Verdict::NotRun(why) => refusal
            .retry_after(UNSENT_RETRY_AFTER)
            .detail(format_args!("{why:?}")),
        _ => refusal.retry_after(UNSENT_RETRY_AFTER),
    }
}

async fn place(state: &Arc<State>, job: &Job, tried: &[Name]) -> Result<Placement, Refusal> {
    let request = DispatchRequest {
        class: job.class.name.clone(),
        serves: job.class.serves.clone(),
        engine: false,
        workspace: job.workspace.clone(),
        priority: job.priority(),
        block_hashes: Arc::default(),
        prompt: 0,
        output_cap: 1,
        first_target: None,
        finish_target: job.class.finish_target,
        arrived: job.arrived,
        repeatable: job.class.repeatable,
        tried: tried.to_vec(),
        is_resend: !tried.is_empty(),
    };
    let placement = state.dispatcher.place(request).await?;
    let reason = format!("{}: {}", placement.server, placement.reason);
    state.trace.record(&job.id, "placed", reason);
    Ok(placement)
}

async fn attempt(state: &State, job: &Job, call: &Call, placement: &Placement) -> Outcome {
    let Ok(request) = request(state, job, call, placement) else {
        return Outcome::Failed(Failure::Connect);
    };
    let timeout = job.class.finish_target + ANSWER_GRACE;
    let answer = match state.client.call(request, timeout).await {
        Ok(answer) => answer,
        Err(HttpError::Connect { .. }) => return Outcome::Failed(Failure::Connect),
        Err(_) => return Outcome::Failed(Failure::Lost),
    };
    if !answer.is_framed {
        return Outcome::Failed(Failure::Lost);
    }
    if let Failure::Refused(why) = failure_of(&answer.body) {
        return Outcome::Failed(Failure::Refused(why));
    }
    Outcome::Answered(Answer {
        status: answer.status.as_u16(),
        text: String::from_utf8_lossy(&answer.body).into_owned(),
        reason: String::new(),
    })
}

fn request(
    state: &State,
    job: &Job,
    call: &Call,
    placement: &Placement,
) -> Result<Request<Full<Bytes>>, String> {
    let content_type = call.content_type.as_deref().unwrap_or("application/json");
    Request::post(format!("http://{}{}", placement.address, call.path))
        .header("content-type", content_type)
        .header("x-request-id", job.id.0.as_ref())
        .header("x-workspace", job.workspace.as_ref())
        .header("x-fencing-number", state.row_version())
        .header("x-idempotent", job.class.repeatable.to_string())
        .body(Full::new(call.body.clone()))
        .map_err(|e| e.to_string())
}
