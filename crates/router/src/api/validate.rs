//! What every caller's request goes through first.

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

/// Header that makes a request safe to repeat.
pub(super) const KEY: &str = "idempotency-key";
/// Longest idempotency key in bytes.
const KEY_MOST: usize = 200;
/// When to come back to a router that is not ready.
const UNREADY_AFTER: Duration = Duration::from_secs(1);
/// When to come back for an answer that is under way.
const UNDER_WAY_AFTER: Duration = Duration::from_secs(1);
/// When to come back to a router with too many requests under way.
const CROWDED_AFTER: Duration = Duration::from_secs(1);

/// Refuses where the router takes no requests.
///
/// A router in a graceful shutdown still serves what reaches it.
pub(super) fn open(state: &State) -> Result<(), Refusal> {
    if !state.is_serving() {
        return Err(Refusal::new(Code::Unready).retry_after(UNREADY_AFTER));
    }
    if state.open_requests.count() as u64 >= state.settings.api.max_open {
        return Err(Refusal::new(Code::Overloaded).retry_after(CROWDED_AFTER));
    }
    Ok(())
}

/// Finds the workspace that the request's key opens.
pub(super) fn workspace<'a>(
    config: &'a Config,
    request: &Request,
) -> Result<&'a Workspace, Refusal> {
    let value = request.headers().get(header::AUTHORIZATION);
    let text = value.and_then(|v| v.to_str().ok());
    let key = text.and_then(|t| t.strip_prefix("Bearer "));
    let found = key.and_then(|key| config.workspace_by_key(key.trim()));
    found.ok_or_else(|| Refusal::new(Code::Unauthorized))
}

/// Finds the class named `name` where it runs on `kind`.
pub(super) fn class(config: &Config, name: &str, kind: Kind) -> Result<Class, Refusal> {
    let found = config.class(name).filter(|c| c.kind == kind);
    found
        .cloned()
        .ok_or_else(|| Refusal::new(Code::UnknownClass).detail(format_args!("{name:?}")))
}

/// The request's idempotency key, checked.
pub(super) fn key(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(value) = request.headers().get(KEY) else {
        return Ok(None);
    };
    let fits = |text: &&str| {
        let graphic = text.bytes().all(|b| b.is_ascii_graphic());
        !text.is_empty() && text.len() <= KEY_MOST && graphic
    };
    let text = value.to_str().ok().filter(fits);
    let why = "Idempotency-Key is not 1 to 200 printable ASCII characters";
    let text = text.ok_or_else(|| Refusal::new(Code::Malformed).detail(why))?;
    Ok(Some(text.to_owned()))
}

/// Reads the body within the limits of size and time.
pub(super) async fn body(state: &State, request: &mut Request) -> Result<Bytes, Refusal> {
    let most = state.settings.api.max_body as usize;
    let told = request.headers().get(header::CONTENT_LENGTH);
    let told = told.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if told.is_some_and(|told| told > most) {
        return Err(Refusal::new(Code::TooLarge).detail(format_args!("more than {most} bytes")));
    }
    let patience = state.settings.api.body_timeout;
    let read = tokio::time::timeout(patience, collect(request, most)).await;
    read.unwrap_or_else(|_| Err(Refusal::new(Code::TooSlow)))
}

async fn collect(request: &mut Request, most: usize) -> Result<Bytes, Refusal> {
    let mut all = BytesMut::new();
    while let Some(frame) = request.body_mut().frame().await {
        let frame =
            frame.map_err(|_| Refusal::new(Code::Malformed).detail("the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if all.len() + data.len() > most {
            let why = format_args!("more than {most} bytes");
            return Err(Refusal::new(Code::TooLarge).detail(why));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

/// Enters a request, unless one with its key is under way here.
pub(super) fn register(state: &Arc<State>, id: &RequestId) -> Result<OpenRequest, Refusal> {
    OpenRequest::register(state, id).ok_or_else(|| {
        Refusal::new(Code::InProgress)
            .execution(Execution::Unknown)
            .retry_after(UNDER_WAY_AFTER)
    })
}

/// Puts a request's job together.
pub(super) fn job(
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
        body: xxhash_rust::xxh3::xxh3_64(content),
        arrived: now,
    }
}
