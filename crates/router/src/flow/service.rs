//! A call of a plain service, repeatable or not.

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
use crate::flow::billing::{self, BillState, Completion};
use crate::flow::chat::reserve;
use crate::flow::refusals::{failure_of, record_refusal};
use crate::flow::replay;
use crate::flow::request::{Call, Job};
use crate::refusal::{Code, Execution, Refusal};
use crate::state::{OpenRequest, State};

/// Longest wait for a service's answer beyond the class's target.
const GRACE: Duration = Duration::from_secs(2);
/// When to come back after a call was not claimed or not sent.
const CLAIM_AFTER: Duration = Duration::from_secs(1);

/// How one attempt ended.
enum Attempted {
    Answered(Answer),
    Failed(Failure),
}

/// Runs a call in a task of its own, so that it ends though its caller is gone.
///
/// # Errors
/// The refusal.
pub async fn call(
    state: Arc<State>,
    entry: OpenRequest,
    job: Job,
    call: Call,
) -> Result<Answer, Refusal> {
    let task = tokio::spawn(async move {
        let _entry = entry;
        let is_new = job.class.repeatable || replay::is_first_attempt(&state, &job).await;
        let outcome = run(&state, &job, &call).await.map_err(|refusal| {
            // An earlier try elsewhere may have run, and nobody here can know.
            let untold = !is_new && refusal.execution == Execution::NotRun;
            if untold {
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
    let gone = |_| Refusal::new(Code::BackendFailed).execution(Execution::Unknown);
    task.await.map_err(gone)?
}

async fn run(state: &Arc<State>, job: &Job, call: &Call) -> Result<Answer, Refusal> {
    if let Some(bill) = replay::find_earlier_bill(state, job).await? {
        return Ok(bill.answer.unwrap_or_default());
    }
    let reservation = reserve(state, job, job.class.price).await?;
    let ran = send(state, job, call).await;
    let answer = match ran {
        Ok(answer) => answer,
        Err(refusal) => {
            // What may have run is written off with the reservation.
            if refusal.execution == Execution::NotRun {
                reservation.release();
            }
            return Err(refusal);
        }
    };
    reservation.settle(job.class.price);
    let finished = Completion {
        prompt: 0,
        output: job.class.price,
        first_token_at: None,
        completed_at: Instant::now(),
        answer: answer.clone(),
    };
    let sure = billing::bill(state, job, &finished).await;
    state
        .trace
        .record(&job.id, "finished", format_args!("{sure:?}"));
    if sure == BillState::Sealed {
        return Err(Refusal::new(Code::Unready).execution(Execution::Ran));
    }
    crate::metrics::count_answer(job, &finished);
    Ok(answer)
}

/// Sends a call until it is answered, or may not be sent again.
async fn send(state: &Arc<State>, job: &Job, call: &Call) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let (mut sends, mut runs) = (0, 0);
    let mut claim = None;
    loop {
        // A server is found before the claim, so that a refusal for want of
        // one leaves nothing claimed.
        let placed = place(state, job, &tried).await;
        let mut placed = match placed {
            Ok(placed) => placed,
            Err(refusal) => return Err(unsent(state, job, claim, runs, refusal).await),
        };
        if !job.class.repeatable && claim.is_none() {
            let claimed = claims::claim(state, &job.id).await;
            claim = Some(claimed.map_err(|verdict| unclaimed(&verdict))?);
        }
        sends += 1;
        let failure = match attempt(state, job, call, &placed).await {
            Attempted::Answered(answer) => {
                placed.finish(AttemptResult::Completed(1), Instant::now());
                return Ok(answer);
            }
            Attempted::Failed(failure) => failure,
        };
        let why = format!("{}: {failure}", placed.server);
        state.trace.record(&job.id, "failed", why);
        placed.finish(AttemptResult::Failed(failure), Instant::now());
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
            .next_step(&placed, failure, &attempt, Instant::now());
        match next {
            RetryDecision::Send { delay: after, .. } => {
                crate::metrics::count_retry(&job.class.name);
                let again = tried.contains(&placed.server);
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
                return Err(unsent(state, job, claim, runs, refusal).await);
            }
        }
        tried.push(placed.server.clone());
    }
}

/// The refusal of a call that is not sent any more.
///
/// Where nothing ran, its claim is given up, so that a retry may claim it.
async fn unsent(
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
        // Coming back would not help.
        return refusal;
    }
    let after = refusal.retry_after.unwrap_or(CLAIM_AFTER);
    refusal.retry_after(after)
}

/// The refusal of a call whose claim was not had.
fn unclaimed(verdict: &Verdict) -> Refusal {
    let (code, run) = match verdict {
        Verdict::InProgress(_) => (Code::InProgress, Execution::Unknown),
        // Its answer is on its way to the store.
        Verdict::Ran(_) => (Code::InProgress, Execution::Ran),
        Verdict::Unknown(_) => (Code::OutcomeUnknown, Execution::Unknown),
        Verdict::NotRun(Reason::Sealed) => (Code::Unready, Execution::NotRun),
        Verdict::NotRun(_) => (Code::NoClaim, Execution::NotRun),
    };
    let refusal = Refusal::new(code).execution(run);
    match verdict {
        Verdict::Unknown(_) => refusal,
        Verdict::NotRun(why) => refusal
            .retry_after(CLAIM_AFTER)
            .detail(format_args!("{why:?}")),
        _ => refusal.retry_after(CLAIM_AFTER),
    }
}

async fn place(state: &Arc<State>, job: &Job, tried: &[Name]) -> Result<Placement, Refusal> {
    let work = DispatchRequest {
        class: job.class.name.clone(),
        serves: job.class.serves.clone(),
        engine: false,
        workspace: job.workspace.clone(),
        priority: job.priority(),
        chain: Arc::default(),
        prompt: 0,
        output: 1,
        first: None,
        finish: job.class.finish_target,
        arrived: job.arrived,
        repeat: job.class.repeatable,
        tried: tried.to_vec(),
        again: !tried.is_empty(),
    };
    let placed = state.dispatcher.place(work).await?;
    let why = format!("{}: {}", placed.server, placed.reason);
    state.trace.record(&job.id, "placed", why);
    Ok(placed)
}

async fn attempt(state: &State, job: &Job, call: &Call, placed: &Placement) -> Attempted {
    let Ok(request) = request(state, job, call, placed) else {
        return Attempted::Failed(Failure::Connect);
    };
    let patience = job.class.finish_target + GRACE;
    let answer = match state.client.call(request, patience).await {
        Ok(answer) => answer,
        Err(HttpError::Connect { .. }) => return Attempted::Failed(Failure::Connect),
        Err(_) => return Attempted::Failed(Failure::Lost),
    };
    if let Failure::Refused(why) = failure_of(&answer.body) {
        return Attempted::Failed(Failure::Refused(why));
    }
    Attempted::Answered(Answer {
        status: answer.status.as_u16(),
        text: String::from_utf8_lossy(&answer.body).into_owned(),
        reason: String::new(),
    })
}

fn request(
    state: &State,
    job: &Job,
    call: &Call,
    placed: &Placement,
) -> Result<Request<Full<Bytes>>, String> {
    let content_type = call.content_type.as_deref().unwrap_or("application/json");
    Request::post(format!("http://{}{}", placed.address, call.path))
        .header("content-type", content_type)
        .header("x-request-id", job.id.0.as_ref())
        .header("x-workspace", job.workspace.as_ref())
        .header("x-fencing-number", state.row_version())
        .header("x-idempotent", job.class.repeatable.to_string())
        .body(Full::new(call.body.clone()))
        .map_err(|e| e.to_string())
}
