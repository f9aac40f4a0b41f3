//! HTTP interface of the plain service.

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
use crate::admission::Caller;
use crate::reply::{self, Body, ConnectionCut, Malformed, Reply};
use crate::serve::ListenerControl;
use crate::shared::{Shared, pause};

/// What every request handler needs.
#[derive(Debug, Clone)]
pub(super) struct Context {
    pub(super) state: Shared<State>,
    pub(super) slots: Arc<Semaphore>,
    pub(super) name: Name,
    pub(super) service: Name,
    pub(super) listener: ListenerControl,
}

/// Handles one HTTP request.
pub(super) async fn handle(context: Context, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = reply::read_body(body).await?;
    match (head.method, head.uri.path()) {
        (Method::GET, "/v1/load") => Ok(reply::ok(
            &context.state.lock().reported_load(Instant::now()),
        )),
        (Method::GET, "/control") => Ok(show_switches(&context)),
        (Method::POST, "/control") => {
            Ok(update_switches(&context, &body).unwrap_or_else(|malformed| malformed.response()))
        }
        (Method::GET, "/control/counts") => Ok(reply::ok(
            &context.state.lock().counts.to_wire(&context.name),
        )),
        (Method::POST, path) => {
            let path = path.to_owned();
            let caller = Caller::from(&head.headers);
            // In a task of its own, so that a call that was started runs to its
            // end even if the caller disconnects.
            let result = tokio::spawn(run_call(context, caller, path));
            result.await.unwrap_or(Err(ConnectionCut))
        }
        _ => Ok(reply::not_found()),
    }
}

fn show_switches(context: &Context) -> Response<Body> {
    reply::ok(&SwitchesWire::from(&context.state.lock().switches))
}

async fn run_call(context: Context, caller: Caller, path: String) -> Reply {
    let accept_delay = context.state.lock().switches.accept_delay;
    pause(accept_delay).await;
    if let Err(refusal) = context.state.lock().check_arrival(&caller, Instant::now()) {
        return Ok(refusal.response());
    }
    let slot = context.slots.acquire().await.map_err(|_| ConnectionCut)?;
    let (runs, delay) = {
        let mut state = context.state.lock();
        let runs = state.begin_call(&caller, Instant::now());
        (runs, state.switches.delay)
    };
    pause(delay).await;
    drop(slot);
    let mut state = context.state.lock();
    if state.end_call(Instant::now()) {
        return Err(ConnectionCut);
    }
    let status = StatusCode::from_u16(state.switches.status).map_err(|_| ConnectionCut)?;
    let service = &*context.service;
    let answer = json!({"id": &*caller.id, "runs": runs, "path": path, "service": service});
    Ok(reply::json(status, &answer))
}

fn update_switches(context: &Context, body: &Bytes) -> Result<Response<Body>, Malformed> {
    let wire: SwitchesWire = reply::parse(body)?;
    let refuse_ms = wire.refuse_connect_ms;
    let mut state = context.state.lock();
    state.switches.update(wire)?;
    state.record_load(Instant::now());
    if let Some(time) = refuse_ms {
        context
            .listener
            .refuse_connections(Duration::from_millis(time));
    }
    Ok(reply::ok(&SwitchesWire::from(&state.switches)))
}
