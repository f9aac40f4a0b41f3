//! A call of a plain service, repeatable or not.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use poplar_base::http::Error as HttpError;
use poplar_core::bill::{Answer, BilledRow, billed_key};
use poplar_core::id::Name;
use serde::Deserialize;

use crate::backends::dispatch::{Ended, Placed, Work};
use crate::claims::{self, Claimed};
use crate::flow::chat::reserve;
use crate::flow::finish::{self, Finished, Sure};
use crate::flow::request::{Call, Job};
use crate::refusal::{Code, Execution, Refusal};
use crate::state::{Entry, State};

/// Attempts of one call at the most.
const ATTEMPTS: usize = 4;
/// Longest wait for a service's answer beyond the class's target.
const GRACE: Duration = Duration::from_secs(2);

/// How one attempt ended.
enum Attempt {
    Answered(Answer),
    NotRun(String),
    Lost(String),
}

/// Runs a call in a task of its own, so that it ends though its caller is gone.
///
/// # Errors
/// The refusal.
pub async fn call(
    state: Arc<State>,
    entry: Entry,
    job: Job,
    call: Call,
) -> Result<Answer, Refusal> {
    let task = tokio::spawn(async move {
        let _entry = entry;
        let outcome = run(&state, &job, &call).await;
        if let Err(refusal) = &outcome {
            note_refusal(&state, &job, refusal);
        }
        outcome
    });
    let gone = |_| Refusal::new(Code::BackendFailed).run(Execution::Unknown);
    task.await.map_err(gone)?
}

fn note_refusal(state: &State, job: &Job, refusal: &Refusal) {
    state.journal.note(&job.id, "refused", refusal);
    let (workspace, class) = (&job.workspace, &job.class.name);
    crate::metrics::refused(workspace, class, refusal.code);
    let now = crate::journal::unix_ms(std::time::SystemTime::now());
    let burn = &state.burn;
    burn.refused(workspace, class, refusal.code, false, now);
}

async fn run(state: &Arc<State>, job: &Job, call: &Call) -> Result<Answer, Refusal> {
    if let Some(answer) = replay(state, job).await? {
        return Ok(answer);
    }
    let reservation = reserve(state, job, job.class.price).await?;
    let ran = if job.class.repeat {
        repeat(state, job, call).await
    } else {
        once(state, job, call).await
    };
    let answer = match ran {
        Ok(answer) => answer,
        Err(refusal) => {
            // What may have run is written off with the reservation.
            if refusal.run == Execution::NotRun {
                reservation.settle(0);
            }
            return Err(refusal);
        }
    };
    reservation.settle(job.class.price);
    let finished = Finished {
        prompt: 0,
        output: job.class.price,
        first: None,
        whole: Instant::now(),
        answer: answer.clone(),
    };
    let sure = finish::bill(state, job, &finished).await;
    state
        .journal
        .note(&job.id, "finished", format_args!("{sure:?}"));
    if sure == Sure::Sealed {
        return Err(Refusal::new(Code::Unready).run(Execution::Ran));
    }
    crate::metrics::answered(job, &finished);
    Ok(answer)
}

async fn replay(state: &Arc<State>, job: &Job) -> Result<Option<Answer>, Refusal> {
    if !job.id.is_keyed() {
        return Ok(None);
    }
    let Ok(row) = state.platform.row(billed_key(&job.id)).await else {
        return Ok(None);
    };
    let Ok(Some(row)) = row.decode::<BilledRow>() else {
        return Ok(None);
    };
    if row.body != job.body {
        return Err(Refusal::new(Code::KeyReused));
    }
    let bill = finish::earlier(state, job, &row).await;
    let answer = bill.and_then(|b| b.answer).ok_or_else(|| {
        let refusal = Refusal::new(Code::InProgress).run(Execution::Ran);
        refusal.after(Duration::from_secs(1))
    })?;
    state.journal.note(&job.id, "replayed", &row.batch);
    Ok(Some(answer))
}

/// A call that may be sent again until it is answered.
async fn repeat(state: &Arc<State>, job: &Job, call: &Call) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut ran = false;
    for _ in 0..ATTEMPTS {
        let mut placed = place(state, job, &tried).await.map_err(|refusal| {
            let run = if ran {
                Execution::Unknown
            } else {
                Execution::NotRun
            };
            refusal.run(run)
        })?;
        match attempt(state, job, call, &mut placed).await {
            Attempt::Answered(answer) => return Ok(answer),
            Attempt::NotRun(why) => state.journal.note(&job.id, "not run", why),
            Attempt::Lost(why) => {
                ran = true;
                state.journal.note(&job.id, "lost", why);
            }
        }
        crate::metrics::retried(&job.class.name);
        tried.push(placed.server.clone());
    }
    let run = if ran {
        Execution::Unknown
    } else {
        Execution::NotRun
    };
    Err(Refusal::new(Code::BackendFailed)
        .run(run)
        .after(Duration::from_secs(1)))
}

/// A call that is sent at most once in all.
async fn once(state: &Arc<State>, job: &Job, call: &Call) -> Result<Answer, Refusal> {
    // A server is found before the claim, so that a refusal for want of one
    // leaves nothing claimed.
    let mut placed = place(state, job, &[]).await?;
    claimed(state, job).await?;
    let mut tried = Vec::new();
    for _ in 0..ATTEMPTS {
        match attempt(state, job, call, &mut placed).await {
            Attempt::Answered(answer) => return Ok(answer),
            Attempt::Lost(why) => {
                state.journal.note(&job.id, "lost", why);
                return Err(Refusal::new(Code::OutcomeUnknown).run(Execution::Unknown));
            }
            Attempt::NotRun(why) => state.journal.note(&job.id, "not run", why),
        }
        // Nothing ran there, and the claim is still ours alone.
        tried.push(placed.server.clone());
        placed = match place(state, job, &tried).await {
            Ok(placed) => placed,
            Err(refusal) => {
                claims::abandon(state, &job.id).await;
                return Err(refusal);
            }
        };
    }
    claims::abandon(state, &job.id).await;
    Err(Refusal::new(Code::BackendFailed).after(Duration::from_secs(1)))
}

async fn claimed(state: &Arc<State>, job: &Job) -> Result<(), Refusal> {
    match claims::claim(state, &job.id, job.body).await {
        Claimed::Ours => Ok(()),
        Claimed::Taken(row) if row.body != job.body => Err(Refusal::new(Code::KeyReused)),
        Claimed::Taken(row) => Err(taken(state, &row)),
        Claimed::Down => Err(Refusal::new(Code::NoClaim).after(Duration::from_secs(2))),
        // The row may be ours, but nothing was sent, and nothing will be.
        Claimed::Unknown => Err(Refusal::new(Code::NoClaim).after(Duration::from_secs(2))),
        Claimed::Sealed => {
            state.seal();
            Err(Refusal::new(Code::Unready).after(Duration::from_secs(1)))
        }
    }
}

fn taken(state: &State, row: &claims::ClaimRow) -> Refusal {
    if state.peers.is_live(&row.claimant, Instant::now()) {
        let refusal = Refusal::new(Code::InProgress).run(Execution::Unknown);
        return refusal.after(Duration::from_secs(1));
    }
    Refusal::new(Code::OutcomeUnknown).run(Execution::Unknown)
}

async fn place(state: &Arc<State>, job: &Job, tried: &[Name]) -> Result<Placed, Refusal> {
    let work = Work {
        class: job.class.name.clone(),
        serves: job.class.serves.clone(),
        engine: false,
        workspace: job.workspace.clone(),
        priority: job.priority(),
        prompt: String::new(),
        output: 1,
        first: None,
        finish: job.class.finish,
        arrived: job.arrived,
        repeat: job.class.repeat,
        tried: tried.to_vec(),
        print: 0,
    };
    let placed = state.dispatch.place(work).await?;
    let why = format!("{}: {}", placed.server, placed.reason);
    state.journal.note(&job.id, "placed", why);
    Ok(placed)
}

async fn attempt(state: &State, job: &Job, call: &Call, placed: &mut Placed) -> Attempt {
    let request = match request(state, job, call, placed) {
        Ok(request) => request,
        Err(why) => return Attempt::NotRun(why),
    };
    let patience = job.class.finish + GRACE;
    let answer = state.client.call(request, patience).await;
    let now = Instant::now();
    let answer = match answer {
        Ok(answer) => answer,
        Err(HttpError::Connect(why)) => {
            placed.end(Ended::Unreachable, now);
            return Attempt::NotRun(why);
        }
        Err(why) => {
            placed.end(Ended::Lost, now);
            return Attempt::Lost(why.to_string());
        }
    };
    let refused = matches!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS
    );
    let code = refused.then(|| answer.json::<RefusedWire>().ok()).flatten();
    if let Some(ended) = code.as_ref().and_then(|r| not_run(&r.error.code)) {
        placed.end(ended, now);
        return Attempt::NotRun(format!("{ended:?}"));
    }
    placed.end(Ended::Whole(1), now);
    Attempt::Answered(Answer {
        status: answer.status.as_u16(),
        text: String::from_utf8_lossy(&answer.body).into_owned(),
        reason: String::new(),
    })
}

/// How a refusal ended a flight, where it says that the call did not run.
fn not_run(code: &str) -> Option<Ended> {
    match code {
        "leaving" => Some(Ended::Leaving),
        "full" => Some(Ended::Full),
        "fenced" => Some(Ended::Fenced),
        _ => None,
    }
}

fn request(
    state: &State,
    job: &Job,
    call: &Call,
    placed: &Placed,
) -> Result<Request<Full<Bytes>>, String> {
    let content = call.content.as_deref().unwrap_or("application/json");
    Request::post(format!("http://{}{}", placed.address, call.path))
        .header("content-type", content)
        .header("x-request-id", job.id.0.as_ref())
        .header("x-workspace", job.workspace.as_ref())
        .header("x-fencing-number", state.router())
        .header("x-idempotent", job.class.repeat.to_string())
        .body(Full::new(call.body.clone()))
        .map_err(|e| e.to_string())
}

#[derive(Debug, Deserialize)]
struct RefusedWire {
    error: CodeWire,
}

#[derive(Debug, Deserialize)]
struct CodeWire {
    code: String,
}
