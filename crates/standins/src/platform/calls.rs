//! The platform's calls over HTTP, with outages, waits and lost answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use poplar_base::platform::wire::RowsWire;
use poplar_core::id::Name;

use super::answers::{self, Call};
use super::control::{Down, SwitchesWire};
use super::state::State;
use crate::door::ROUTER;
use crate::reply::{self, Body, Cut, Malformed, Reply};
use crate::serve::Gate;
use crate::shared::{Shared, pause};

/// What every call needs.
#[derive(Debug, Clone)]
pub(super) struct Desk {
    pub(super) state: Shared<State>,
    pub(super) gate: Gate,
}

/// Answers one call.
pub(super) async fn handle(desk: Desk, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let router: Name = reply::text(&head.headers, ROUTER).into();
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        router,
        body: reply::whole(body).await?,
    };
    if call.path.starts_with("/control") {
        let answered = control(&desk, &call);
        return Ok(answered.unwrap_or_else(|malformed| malformed.response()));
    }
    let down = desk.state.lock().meet(&call)?;
    match down {
        Down::No => {}
        Down::Refuse => return Ok(reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "down")),
        Down::Hang => future::pending().await,
    }
    // A task of its own, so that a call takes effect even if its caller leaves.
    let carried = tokio::spawn(carry(desk, call));
    carried.await.unwrap_or(Err(Cut))
}

impl State {
    /// Meets a call with the outage that is switched on for it.
    fn meet(&mut self, call: &Call) -> Result<Down, Cut> {
        if self.switches.cuts(&call.router) {
            self.counts.cut += 1;
            return Err(Cut);
        }
        let down = match call.path.as_str() {
            path if path.starts_with("/v1/table") => self.switches.table,
            path if path.starts_with("/v1/objects") => self.switches.objects,
            // Changes come from the proofs, which no outage stops.
            "/v1/hosts" if call.method == Method::GET => self.switches.hosts,
            _ => Down::No,
        };
        self.counts.down += u64::from(down != Down::No);
        Ok(down)
    }
}

async fn carry(desk: Desk, call: Call) -> Reply {
    let hosts = call.path.starts_with("/v1/hosts");
    let wait = match hosts {
        true => Duration::ZERO,
        false => desk.state.lock().wait(),
    };
    pause(wait).await;
    let (outcome, after) = {
        let mut state = desk.state.lock();
        let outcome = answers::answer(&mut state, &call, Instant::now());
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

fn control(desk: &Desk, call: &Call) -> Result<Response<Body>, Malformed> {
    let mut state = desk.state.lock();
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/control") => Ok(reply::ok(&SwitchesWire::from(&state.switches))),
        ("POST", "/control") => switch(desk, &mut state, &call.body),
        ("GET", "/control/counts") => Ok(reply::ok(&state.counted())),
        ("GET", "/control/table") => {
            let rows = state.dump();
            Ok(reply::ok(&RowsWire { rows }))
        }
        _ => Ok(reply::unknown()),
    }
}

fn switch(desk: &Desk, state: &mut State, body: &Bytes) -> Result<Response<Body>, Malformed> {
    let wire: SwitchesWire = reply::parse(body)?;
    let closed = wire.refuse_connect_ms;
    state.switches.update(wire)?;
    if let Some(time) = closed {
        desk.gate.close(Duration::from_millis(time));
    }
    Ok(reply::ok(&SwitchesWire::from(&state.switches)))
}
