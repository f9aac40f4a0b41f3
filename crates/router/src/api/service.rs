//! Calls of plain services.

use std::sync::Arc;
use std::time::Instant;

use poplar_core::bill::Answer;
use poplar_core::config::Kind;
use poplar_core::id::RequestId;
use viz::{Body, Request, RequestExt, Response, StatusCode, header};

use super::{refuse, validate};
use crate::flow::request::Call;
use crate::flow::service;
use crate::refusal::{Code, Execution, Refusal};
use crate::state::State;

/// Handles `POST /v1/services/<class>/<path>`.
pub(super) async fn handle(state: Arc<State>, request: Request) -> Response {
    match answer(&state, request).await {
        Ok((answer, id)) => respond(answer, &id),
        Err((refusal, id)) => refuse(&refusal, id.as_ref()),
    }
}

type Failed = (Refusal, Option<RequestId>);

async fn answer(state: &Arc<State>, mut request: Request) -> Result<(Answer, RequestId), Failed> {
    let now = Instant::now();
    let early = |refusal| (refusal, None);
    // A retry can't be told from a first try here.
    let is_keyed = request.headers().contains_key(validate::KEY);
    let untold = |refusal: Refusal| match is_keyed {
        true => refusal.execution(Execution::Unknown),
        false => refusal,
    };
    validate::open(state).map_err(|r| early(untold(r)))?;
    let config = state.config();
    let workspace = validate::workspace(&config, &request)
        .map_err(early)?
        .clone();
    let key = validate::key(&request).map_err(early)?;
    let (name, path) = parts(&request).map_err(early)?;
    let class = validate::class(&config, &name, Kind::Service).map_err(early)?;
    if key.is_none() && !class.repeatable {
        return Err(early(Refusal::new(Code::KeyRequired)));
    }
    let content = request.headers().get(header::CONTENT_TYPE);
    let content = content.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let body = validate::body(state, &mut request).await.map_err(early)?;
    let mut hashed = path.clone().into_bytes();
    hashed.extend_from_slice(&body);
    let job = validate::job(state, &workspace, class, key.as_deref(), &hashed, now);
    let id = job.id.clone();
    let entry = validate::register(state, &id).map_err(|r| (r, Some(id.clone())))?;
    let call = Call {
        path,
        body,
        content,
    };
    let answer = service::call(state.clone(), entry, job, call).await;
    match answer {
        Ok(answer) => Ok((answer, id)),
        Err(refusal) => Err((refusal, Some(id))),
    }
}

fn parts(request: &Request) -> Result<(String, String), Refusal> {
    let malformed = |_| Refusal::new(Code::Malformed).detail("the path can't be read");
    let (class, path): (String, String) = request.params().map_err(malformed)?;
    Ok((class, format!("/{path}")))
}

fn respond(answer: Answer, id: &RequestId) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", id.0.as_ref())
        .body(Body::Full(answer.text.into()))
        .expect("the header values are printable")
}
