//! The service's calls over HTTP.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use poplar_core::id::Name;
use serde_json::json;
use tokio::sync::Semaphore;

use super::control::SwitchesWire;
use super::state::State;
use crate::door::Caller;
use crate::reply::{self, Body, Cut, Malformed, Reply};
use crate::serve::Gate;
use crate::shared::{Shared, pause};

/// What every call needs.
#[derive(Debug, Clone)]
pub(super) struct Desk {
    pub(super) state: Shared<State>,
    pub(super) slots: Arc<Semaphore>,
    pub(super) name: Name,
    pub(super) service: Name,
    pub(super) gate: Gate,
}

/// Answers one call.
pub(super) async fn handle(desk: Desk, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = reply::whole(body).await?;
    match (head.method, head.uri.path()) {
        (Method::GET, "/v1/load") => Ok(reply::ok(&desk.state.lock().load(Instant::now()))),
        (Method::GET, "/control") => Ok(switches(&desk)),
        (Method::POST, "/control") => {
            Ok(control(&desk, &body).unwrap_or_else(|malformed| malformed.response()))
        }
        (Method::GET, "/control/counts") => {
            Ok(reply::ok(&desk.state.lock().counts.wire(&desk.name)))
        }
        (Method::POST, path) => {
            let path = path.to_owned();
            let caller = Caller::from(&head.headers);
            // A task of its own: what was started runs even if its caller leaves.
            let ran = tokio::spawn(run(desk, caller, path));
            ran.await.unwrap_or(Err(Cut))
        }
        _ => Ok(reply::unknown()),
    }
}

fn switches(desk: &Desk) -> Response<Body> {
    reply::ok(&SwitchesWire::from(&desk.state.lock().switches))
}

async fn run(desk: Desk, caller: Caller, path: String) -> Reply {
    let accept = desk.state.lock().switches.accept;
    pause(accept).await;
    if let Err(refusal) = desk.state.lock().arrive(&caller, Instant::now()) {
        return Ok(refusal.response());
    }
    let slot = desk.slots.acquire().await.map_err(|_| Cut)?;
    let (runs, delay) = {
        let mut state = desk.state.lock();
        let runs = state.start(&caller, Instant::now());
        (runs, state.switches.delay)
    };
    pause(delay).await;
    drop(slot);
    let mut state = desk.state.lock();
    if state.end(Instant::now()) {
        return Err(Cut);
    }
    let status = StatusCode::from_u16(state.switches.status).map_err(|_| Cut)?;
    let service = &*desk.service;
    let answer = json!({"id": &*caller.id, "runs": runs, "path": path, "service": service});
    Ok(reply::json(status, &answer))
}

fn control(desk: &Desk, body: &Bytes) -> Result<Response<Body>, Malformed> {
    let wire: SwitchesWire = reply::parse(body)?;
    let closed = wire.refuse_connect_ms;
    let mut state = desk.state.lock();
    state.switches.update(wire)?;
    state.report(Instant::now());
    if let Some(time) = closed {
        desk.gate.close(Duration::from_millis(time));
    }
    Ok(reply::ok(&SwitchesWire::from(&state.switches)))
}
