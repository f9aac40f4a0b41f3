//! Endpoint for calls of plain services.

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

type FailedRequest = (Refusal, Option<RequestId>);

async fn answer(
    state: &Arc<State>,
    mut request: Request,
) -> Result<(Answer, RequestId), FailedRequest> {
    let now = Instant::now();
    let without_id = |refusal| (refusal, None);
    // At this point a retry with an idempotency key can't be told from a first
    // attempt, so an earlier attempt may have run.
    let is_keyed = request.headers().contains_key(validate::IDEMPOTENCY_KEY);
    let maybe_ran = |refusal: Refusal| match is_keyed {
        true => refusal.execution(Execution::Unknown),
        false => refusal,
    };
    validate::check_accepting(state).map_err(|r| without_id(maybe_ran(r)))?;
    let config = state.config();
    let workspace = validate::authenticate(&config, &request)
        .map_err(without_id)?
        .clone();
    let key = validate::idempotency_key(&request).map_err(without_id)?;
    let (name, path) = path_params(&request).map_err(without_id)?;
    let class = validate::find_class(&config, &name, Kind::Service).map_err(without_id)?;
    if key.is_none() && !class.repeatable {
        return Err(without_id(Refusal::new(Code::KeyRequired)));
    }
    let content_type = request.headers().get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let body = validate::read_body(state, &mut request)
        .await
        .map_err(without_id)?;
    let mut hash_input = path.clone().into_bytes();
    hash_input.extend_from_slice(&body);
    let job = validate::build_job(state, &workspace, class, key.as_deref(), &hash_input, now);
    let id = job.id.clone();
    let open_request = validate::register(state, &id).map_err(|r| (r, Some(id.clone())))?;
    let call = Call {
        path,
        body,
        content_type,
    };
    let answer = service::call(state.clone(), open_request, job, call).await;
    match answer {
        Ok(answer) => Ok((answer, id)),
        Err(refusal) => Err((refusal, Some(id))),
    }
}

fn path_params(request: &Request) -> Result<(String, String), Refusal> {
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
