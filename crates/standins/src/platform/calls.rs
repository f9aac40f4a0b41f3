//! The platform's calls over HTTP.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use poplar_base::platform::wire::{
    CommitWire, CommittedWire, HostsWire, ReadWire, RowsWire, ScanWire,
};
use poplar_core::id::Name;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::control::{Down, SwitchesWire};
use super::state::{Charge, State};
use crate::door::ROUTER;
use crate::serve::{self, Body, Cut, Gate, Reply};

/// What every call needs.
#[derive(Debug, Clone)]
pub(super) struct Desk {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) gate: Gate,
}

/// A change of one host.
#[derive(Debug, Serialize, Deserialize)]
struct StateWire {
    state: String,
}

/// What a call came to, before its answer is sent or lost.
struct Outcome {
    response: Response<Body>,
    effect: bool,
}

impl Desk {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves plain data that is still whole.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers one call.
pub(super) async fn handle(desk: Desk, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let router: Name = serve::text(&head.headers, ROUTER).into();
    let body = serve::whole(body).await?;
    if path.starts_with("/control") {
        return Ok(control(&desk, &head.method, &path, &body));
    }
    if desk.lock().switches.cuts(&router) {
        desk.lock().counts.cut += 1;
        return Err(Cut);
    }
    let down = outage(&desk, &head.method, &path);
    match down {
        Down::No => {}
        Down::Refuse => return Ok(serve::refusal(StatusCode::SERVICE_UNAVAILABLE, "down")),
        Down::Hang => future::pending().await,
    }
    // A task of its own, so that a call takes effect even if its caller leaves.
    let query = head.uri.query().map(str::to_owned);
    let call = Call {
        method: head.method,
        path,
        query,
        router,
        body,
    };
    let carried = tokio::spawn(carry(desk, call));
    carried.await.unwrap_or(Err(Cut))
}

/// One call, read whole.
struct Call {
    method: Method,
    path: String,
    query: Option<String>,
    router: Name,
    body: Bytes,
}

fn outage(desk: &Desk, method: &Method, path: &str) -> Down {
    let mut state = desk.lock();
    let down = match path {
        p if p.starts_with("/v1/table") => state.switches.table,
        p if p.starts_with("/v1/objects") => state.switches.objects,
        // Changes come from the proofs, which are not subject to the outage.
        "/v1/hosts" if method == Method::GET => state.switches.hosts,
        _ => Down::No,
    };
    state.counts.down += u64::from(down != Down::No);
    down
}

async fn carry(desk: Desk, call: Call) -> Reply {
    let hosts = call.path.starts_with("/v1/hosts");
    let wait = match hosts {
        true => Duration::ZERO,
        false => desk.lock().wait(),
    };
    pause(wait).await;
    let (outcome, after) = {
        let mut state = desk.lock();
        let outcome = answer(&mut state, &call, Instant::now());
        if outcome.effect && state.loses() {
            return Err(Cut);
        }
        (outcome, state.switches.after)
    };
    if !hosts {
        pause(after).await;
    }
    Ok(outcome.response)
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn answer(state: &mut State, call: &Call, now: Instant) -> Outcome {
    let name = call.path.strip_prefix("/v1/objects/");
    let host = call.path.strip_prefix("/v1/hosts/");
    let plain = |response| Outcome {
        response,
        effect: false,
    };
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/v1/table/read") => plain(read(state, call, now)),
        ("POST", "/v1/table/scan") => plain(scan(state, call, now)),
        ("POST", "/v1/table/commit") => commit(state, call, now),
        ("GET", "/v1/objects") => plain(list(state, call, now)),
        ("GET", "/v1/hosts") => plain(hosts(state, now)),
        ("PUT", "/v1/hosts") => plain(replace(state, call, now)),
        ("PUT", _) if name.is_some() => put(state, call, name.unwrap_or_default(), now),
        ("GET", _) if name.is_some() => plain(get(state, call, name.unwrap_or_default(), now)),
        ("POST", _) if host.is_some() => plain(set(state, call, host.unwrap_or_default(), now)),
        _ => plain(serve::refusal(StatusCode::NOT_FOUND, "unknown")),
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|e| serve::malformed(&e))
}

fn limited() -> Response<Body> {
    serve::refusal(StatusCode::TOO_MANY_REQUESTS, "limited")
}

fn ok(value: &impl Serialize) -> Response<Body> {
    serve::json(StatusCode::OK, value)
}

fn read(state: &mut State, call: &Call, now: Instant) -> Response<Body> {
    let wire: ReadWire = match parse(&call.body) {
        Ok(wire) => wire,
        Err(refusal) => return refusal,
    };
    if !state.charge(&call.router, Charge::Read, wire.keys.len(), now) {
        return limited();
    }
    state.counts.reads += wire.keys.len() as u64;
    let rows = wire.keys.iter().map(|key| state.table.row(key));
    ok(&RowsWire {
        rows: rows.collect(),
    })
}

fn scan(state: &mut State, call: &Call, now: Instant) -> Response<Body> {
    let wire: ScanWire = match parse(&call.body) {
        Ok(wire) => wire,
        Err(refusal) => return refusal,
    };
    let rows = state.table.scan(&wire.prefix);
    if !state.charge(&call.router, Charge::Read, rows.len(), now) {
        return limited();
    }
    state.counts.reads += rows.len() as u64;
    ok(&RowsWire { rows })
}

fn commit(state: &mut State, call: &Call, now: Instant) -> Outcome {
    let refused = |response| Outcome {
        response,
        effect: false,
    };
    let wire: CommitWire = match parse(&call.body) {
        Ok(wire) => wire,
        Err(refusal) => return refused(refusal),
    };
    if !state.charge(&call.router, Charge::Write, wire.writes.len(), now) {
        return refused(limited());
    }
    match state.commit(wire) {
        Ok(version) => Outcome {
            response: ok(&CommittedWire { version }),
            effect: true,
        },
        Err(conflict) => {
            let rows = RowsWire {
                rows: conflict.rows,
            };
            refused(serve::json(StatusCode::CONFLICT, &rows))
        }
    }
}

fn list(state: &mut State, call: &Call, now: Instant) -> Response<Body> {
    if !state.charge(&call.router, Charge::Read, 1, now) {
        return limited();
    }
    state.counts.gets += 1;
    let prefix = serve::query(call.query.as_deref(), "prefix").unwrap_or_default();
    let names = state.objects.iter().map(|(name, _)| name);
    let names: Vec<_> = names.filter(|name| name.starts_with(prefix)).collect();
    ok(&json!({"names": names}))
}

fn put(state: &mut State, call: &Call, name: &str, now: Instant) -> Outcome {
    let passes = state.charge(&call.router, Charge::Write, 1, now);
    if passes {
        state.put(name, call.body.clone());
    }
    Outcome {
        response: if passes { ok(&json!({})) } else { limited() },
        effect: passes,
    }
}

fn get(state: &mut State, call: &Call, name: &str, now: Instant) -> Response<Body> {
    if !state.charge(&call.router, Charge::Read, 1, now) {
        return limited();
    }
    state.counts.gets += 1;
    match state.objects.get(name) {
        Some(body) => serve::bytes(body.clone()),
        None => serve::refusal(StatusCode::NOT_FOUND, "unknown"),
    }
}

fn hosts(state: &mut State, now: Instant) -> Response<Body> {
    state.counts.hosts += 1;
    state.hosts.advance(now);
    ok(&HostsWire {
        hosts: state.hosts.shown().to_vec(),
    })
}

fn replace(state: &mut State, call: &Call, now: Instant) -> Response<Body> {
    let wire: HostsWire = match parse(&call.body) {
        Ok(wire) => wire,
        Err(refusal) => return refusal,
    };
    state.hosts.replace(wire.hosts, now, state.switches.lag);
    ok(&json!({}))
}

fn set(state: &mut State, call: &Call, name: &str, now: Instant) -> Response<Body> {
    let wire: StateWire = match parse(&call.body) {
        Ok(wire) => wire,
        Err(refusal) => return refusal,
    };
    if !["live", "leaving", "gone"].contains(&wire.state.as_str()) {
        return serve::malformed(&"state is not live, leaving or gone");
    }
    match state.hosts.set(name, &wire.state, now, state.switches.lag) {
        Ok(()) => ok(&json!({})),
        Err(_) => serve::refusal(StatusCode::NOT_FOUND, "unknown"),
    }
}

fn control(desk: &Desk, method: &Method, path: &str, body: &Bytes) -> Response<Body> {
    let mut state = desk.lock();
    match (method.as_str(), path) {
        ("GET", "/control") => ok(&SwitchesWire::from(&state.switches)),
        ("POST", "/control") => {
            let wire: SwitchesWire = match parse(body) {
                Ok(wire) => wire,
                Err(refusal) => return refusal,
            };
            if let Some(time) = wire.refuse_connect_ms {
                desk.gate.close(Duration::from_millis(time));
            }
            match state.switches.update(wire) {
                Ok(()) => ok(&SwitchesWire::from(&state.switches)),
                Err(why) => serve::malformed(&why),
            }
        }
        ("GET", "/control/counts") => ok(&state.counted()),
        ("GET", "/control/table") => ok(&RowsWire { rows: state.dump() }),
        _ => serve::refusal(StatusCode::NOT_FOUND, "unknown"),
    }
}
