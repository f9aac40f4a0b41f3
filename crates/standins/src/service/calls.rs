//! The service's calls over HTTP.

use std::sync::PoisonError;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Semaphore;

use super::control::{CountsWire, SwitchesWire};
use super::state::State;
use crate::door::Caller;
use crate::serve::{self, Body, Cut, Gate, Reply};

/// What every call needs.
#[derive(Debug, Clone)]
pub(super) struct Desk {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) slots: Arc<Semaphore>,
    pub(super) service: Arc<str>,
    pub(super) gate: Gate,
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
    let body = serve::whole(body).await?;
    match (head.method, head.uri.path()) {
        (Method::GET, "/v1/load") => Ok(ok(&desk.lock().load(Instant::now()))),
        (Method::GET, "/control") => Ok(ok(&SwitchesWire::from(&desk.lock().switches))),
        (Method::POST, "/control") => Ok(control(&desk, &body)),
        (Method::GET, "/control/counts") => Ok(ok(&CountsWire::from(&desk.lock().counts))),
        (Method::POST, path) => {
            let path = path.to_owned();
            let caller = Caller::from(&head.headers);
            // A task of its own: what was started runs even if its caller leaves.
            let ran = tokio::spawn(run(desk, caller, path));
            ran.await.unwrap_or(Err(Cut))
        }
        _ => Ok(serve::refusal(StatusCode::NOT_FOUND, "unknown")),
    }
}

fn ok(value: &impl Serialize) -> Response<Body> {
    serve::json(StatusCode::OK, value)
}

async fn run(desk: Desk, caller: Caller, path: String) -> Reply {
    let accept = desk.lock().switches.accept;
    pause(accept).await;
    if let Err(refusal) = desk.lock().arrive(&caller, Instant::now()) {
        return Ok(refusal.response());
    }
    let slot = desk.slots.acquire().await.map_err(|_| Cut)?;
    let (runs, delay) = {
        let mut state = desk.lock();
        let runs = state.start(&caller, Instant::now());
        (runs, state.switches.delay)
    };
    pause(delay).await;
    drop(slot);
    let mut state = desk.lock();
    if state.end(Instant::now()) {
        return Err(Cut);
    }
    let status = StatusCode::from_u16(state.switches.status).map_err(|_| Cut)?;
    let service = &*desk.service;
    let answer = json!({"id": &*caller.id, "runs": runs, "path": path, "service": service});
    Ok(serve::json(status, &answer))
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn control(desk: &Desk, body: &Bytes) -> Response<Body> {
    let wire: SwitchesWire = match serde_json::from_slice(body) {
        Ok(wire) => wire,
        Err(why) => return serve::malformed(&why),
    };
    if let Some(time) = wire.refuse_connect_ms {
        desk.gate.close(Duration::from_millis(time));
    }
    let mut state = desk.lock();
    if let Err(why) = state.switches.update(wire) {
        return serve::malformed(&why);
    }
    state.report(Instant::now());
    ok(&SwitchesWire::from(&state.switches))
}
