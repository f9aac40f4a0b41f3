//! Checks that every caller's request passes before it is processed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use poplar_core::config::{Class, Config, Kind, Workspace};
use poplar_core::id::RequestId;
use viz::{Request, header};

use crate::flow::request::Job;
use crate::refusal::{Code, Execution, Refusal};
use crate::state::{OpenRequest, State};

/// Header that makes a request safe to retry.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Retry-After of a router that is not ready.
const UNREADY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After while a request with the same idempotency key is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After of a router with too many open requests.
const TOO_MANY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses if the router takes no new requests or has too many open ones.
///
/// A router in a graceful shutdown still serves the requests that reach it.
pub(super) fn check_accepting(state: &State) -> Result<(), Refusal> {
    if !state.is_serving() {
        return Err(Refusal::new(Code::Unready).retry_after(UNREADY_RETRY_AFTER));
    }
    if state.open_requests.count() as u64 >= state.settings.api.max_open {
        return Err(Refusal::new(Code::Overloaded).retry_after(TOO_MANY_RETRY_AFTER));
    }
    Ok(())
}

/// Finds the workspace that the request's API key belongs to.
pub(super) fn authenticate<'a>(
    config: &'a Config,
    request: &Request,
) -> Result<&'a Workspace, Refusal> {
    let value = request.headers().get(header::AUTHORIZATION);
    let text = value.and_then(|v| v.to_str().ok());
    let key = text.and_then(|t| t.strip_prefix("Bearer "));
    let found = key.and_then(|key| config.workspace_by_key(key.trim()));
    found.ok_or_else(|| Refusal::new(Code::Unauthorized))
}

/// Finds the class named `name` if it is of this `kind`.
pub(super) fn find_class(config: &Config, name: &str, kind: Kind) -> Result<Class, Refusal> {
    let found = config.class(name).filter(|c| c.kind == kind);
    found
        .cloned()
        .ok_or_else(|| Refusal::new(Code::UnknownClass).detail(format_args!("{name:?}")))
}

/// The request's idempotency key, if any, after validation.
pub(super) fn idempotency_key(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let is_valid = |text: &&str| {
        let printable = text.bytes().all(|b| b.is_ascii_graphic());
        !text.is_empty() && text.len() <= MAX_KEY_BYTES && printable
    };
    let text = value.to_str().ok().filter(is_valid);
    let why = "Idempotency-Key is not 1 to 200 printable ASCII characters";
    let text = text.ok_or_else(|| Refusal::new(Code::Malformed).detail(why))?;
    Ok(Some(text.to_owned()))
}

/// Reads the body within the limits of size and time.
pub(super) async fn read_body(state: &State, request: &mut Request) -> Result<Bytes, Refusal> {
    let max_bytes = state.settings.api.max_body as usize;
    let declared = request.headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|declared| declared > max_bytes) {
        return Err(
            Refusal::new(Code::TooLarge).detail(format_args!("more than {max_bytes} bytes"))
        );
    }
    let limit = state.settings.api.body_timeout;
    let read = tokio::time::timeout(limit, collect(request, max_bytes)).await;
    read.unwrap_or_else(|_| Err(Refusal::new(Code::TooSlow)))
}

async fn collect(request: &mut Request, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut all = BytesMut::new();
    while let Some(frame) = request.body_mut().frame().await {
        let frame =
            frame.map_err(|_| Refusal::new(Code::Malformed).detail("the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if all.len() + data.len() > max_bytes {
            let why = format_args!("more than {max_bytes} bytes");
            return Err(Refusal::new(Code::TooLarge).detail(why));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

/// Registers a request as open, unless one with its key is open on this router.
pub(super) fn register(state: &Arc<State>, id: &RequestId) -> Result<OpenRequest, Refusal> {
    OpenRequest::register(state, id).ok_or_else(|| {
        Refusal::new(Code::InProgress)
            .execution(Execution::Unknown)
            .retry_after(IN_PROGRESS_RETRY_AFTER)
    })
}

/// Builds the job of a validated request.
pub(super) fn build_job(
    state: &Arc<State>,
    workspace: &Workspace,
    class: Class,
    key: Option<&str>,
    content: &[u8],
    now: Instant,
) -> Job {
    let id = match key {
        Some(key) => RequestId::from_key(&workspace.name, key),
        None => state.new_request_id(),
    };
    Job {
        id,
        workspace: workspace.name.clone(),
        budget: workspace.name.clone(),
        class,
        body_hash: xxhash_rust::xxh3::xxh3_64(content),
        arrived: now,
    }
}
