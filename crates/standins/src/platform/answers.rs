//! Handlers of the calls to the table, the object store and the host list.

use std::time::Instant;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use poplar_base::platform::wire::{
    CommitWire, CommittedWire, HostsWire, ReadWire, RowsWire, ScanWire,
};
use poplar_core::id::Name;
use serde::Deserialize;
use serde_json::json;

use super::hosts::UnknownHost;
use super::state::{RateLimit, State};
use super::table::Conflict;
use crate::reply::{self, Body, Malformed};

/// States that a host can be set to.
const HOST_STATES: [&str; 3] = ["live", "leaving", "gone"];

/// One HTTP request, with its whole body.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: Option<String>,
    pub(super) router: Name,
    pub(super) body: Bytes,
}

/// Result of a call, before its response is sent or lost.
pub(super) struct Outcome {
    pub(super) response: Response<Body>,
    /// Whether the call is a commit or put that took effect, whose response may
    /// then be lost.
    pub(super) has_effect: bool,
}

/// Why a call was not executed.
#[derive(Debug)]
enum CallError {
    Malformed(Malformed),
    Limited,
    Conflict(Conflict),
    NotFound,
}

impl From<Malformed> for CallError {
    fn from(why: Malformed) -> Self {
        Self::Malformed(why)
    }
}

impl From<Conflict> for CallError {
    fn from(why: Conflict) -> Self {
        Self::Conflict(why)
    }
}

impl From<UnknownHost> for CallError {
    fn from(_: UnknownHost) -> Self {
        Self::NotFound
    }
}

impl CallError {
    fn response(self) -> Response<Body> {
        match self {
            Self::Malformed(why) => why.response(),
            Self::Limited => reply::refusal(StatusCode::TOO_MANY_REQUESTS, "limited"),
            Self::Conflict(Conflict { rows }) => {
                reply::json(StatusCode::CONFLICT, &RowsWire { rows })
            }
            Self::NotFound => reply::not_found(),
        }
    }
}

type Answer = Result<Response<Body>, CallError>;

/// Executes one call.
pub(super) fn answer(state: &mut State, call: &Call, now: Instant) -> Outcome {
    let writes = matches!(
        (&call.method, call.path.as_str()),
        (&Method::POST, "/v1/table/commit") | (&Method::PUT, _)
    );
    let hosts = call.path.starts_with("/v1/hosts");
    let answer = dispatch(state, call, now);
    Outcome {
        has_effect: writes && !hosts && answer.is_ok(),
        response: answer.unwrap_or_else(CallError::response),
    }
}

fn dispatch(state: &mut State, call: &Call, now: Instant) -> Answer {
    if let Some(name) = call.path.strip_prefix("/v1/objects/") {
        return match call.method {
            Method::PUT => put_object(state, call, name, now),
            Method::GET => get_object(state, call, name, now),
            _ => Err(CallError::NotFound),
        };
    }
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/v1/table/read") => read(state, call, now),
        ("POST", "/v1/table/scan") => scan(state, call, now),
        ("POST", "/v1/table/commit") => commit(state, call, now),
        ("GET", "/v1/objects") => list_objects(state, call, now),
        ("GET", "/v1/hosts") => list_hosts(state, now),
        ("PUT", "/v1/hosts") => replace_hosts(state, call, now),
        ("POST", path) => {
            let name = path.strip_prefix("/v1/hosts/");
            set_host_state(state, call, name.ok_or(CallError::NotFound)?, now)
        }
        _ => Err(CallError::NotFound),
    }
}

fn charge(
    state: &mut State,
    call: &Call,
    limit: RateLimit,
    cost: usize,
    now: Instant,
) -> Result<(), CallError> {
    let allowed = state.charge(&call.router, limit, cost, now);
    allowed.then_some(()).ok_or(CallError::Limited)
}

fn read(state: &mut State, call: &Call, now: Instant) -> Answer {
    let wire: ReadWire = reply::parse(&call.body)?;
    charge(state, call, RateLimit::Read, wire.keys.len(), now)?;
    state.counts.reads += wire.keys.len() as u64;
    let rows = wire.keys.iter().map(|key| state.table.row(key));
    let rows = rows.collect();
    Ok(reply::ok(&RowsWire { rows }))
}

fn scan(state: &mut State, call: &Call, now: Instant) -> Answer {
    let wire: ScanWire = reply::parse(&call.body)?;
    let rows = state.table.scan(&wire.prefix);
    charge(state, call, RateLimit::Read, rows.len(), now)?;
    state.counts.reads += rows.len() as u64;
    Ok(reply::ok(&RowsWire { rows }))
}

fn commit(state: &mut State, call: &Call, now: Instant) -> Answer {
    let wire: CommitWire = reply::parse(&call.body)?;
    let cost = state.write_cost(wire.writes.len());
    charge(state, call, RateLimit::Write, cost, now)?;
    let version = state.commit(wire)?;
    Ok(reply::ok(&CommittedWire { version }))
}

fn list_objects(state: &mut State, call: &Call, now: Instant) -> Answer {
    charge(state, call, RateLimit::Read, 1, now)?;
    state.counts.gets += 1;
    let prefix = reply::query_value(call.query.as_deref(), "prefix").unwrap_or_default();
    let names = state.objects.iter().map(|(name, _)| name);
    let names: Vec<_> = names.filter(|name| name.starts_with(prefix)).collect();
    Ok(reply::ok(&json!({"names": names})))
}

fn put_object(state: &mut State, call: &Call, name: &str, now: Instant) -> Answer {
    charge(state, call, RateLimit::Write, 1, now)?;
    state.put(name, call.body.clone());
    Ok(reply::ok(&json!({})))
}

fn get_object(state: &mut State, call: &Call, name: &str, now: Instant) -> Answer {
    charge(state, call, RateLimit::Read, 1, now)?;
    state.counts.gets += 1;
    let body = state.objects.get(name).ok_or(CallError::NotFound)?;
    Ok(reply::bytes(body.clone()))
}

fn list_hosts(state: &mut State, now: Instant) -> Answer {
    state.counts.hosts += 1;
    state.hosts.advance(now);
    let hosts = state.hosts.visible().to_vec();
    Ok(reply::ok(&HostsWire { hosts }))
}

fn replace_hosts(state: &mut State, call: &Call, now: Instant) -> Answer {
    let wire: HostsWire = reply::parse(&call.body)?;
    state
        .hosts
        .replace(wire.hosts, now, state.switches.host_lag);
    Ok(reply::ok(&json!({})))
}

/// Body of a change to one host.
#[derive(Debug)]
#[derive(Deserialize)]
struct ChangeWire {
    state: String,
}

fn set_host_state(state: &mut State, call: &Call, name: &str, now: Instant) -> Answer {
    let wire: ChangeWire = reply::parse(&call.body)?;
    if !HOST_STATES.contains(&wire.state.as_str()) {
        return Err(Malformed::new("state is not live, leaving or gone").into());
    }
    let lag = state.switches.host_lag;
    state.hosts.set_state(name, &wire.state, now, lag)?;
    Ok(reply::ok(&json!({})))
}
