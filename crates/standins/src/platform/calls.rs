//! HTTP interface of the platform, with outages, delays and lost answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use poplar_base::platform::wire::RowsWire;
use poplar_core::id::Name;

use super::answers::{self, Call};
use super::control::{Outage, SwitchesWire};
use super::state::State;
use crate::admission::ROUTER_HEADER;
use crate::reply::{self, Body, ConnectionCut, Malformed, Reply};
use crate::serve::ListenerControl;
use crate::shared::{Shared, pause};

/// What every request handler needs.
#[derive(Debug, Clone)]
pub(super) struct Context {
    pub(super) state: Shared<State>,
    pub(super) listener: ListenerControl,
}

/// Handles one HTTP request.
pub(super) async fn handle(context: Context, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let router: Name = reply::header_text(&head.headers, ROUTER_HEADER).into();
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        router,
        body: reply::read_body(body).await?,
    };
    if call.path.starts_with("/control") {
        let answer = control(&context, &call);
        return Ok(answer.unwrap_or_else(|malformed| malformed.response()));
    }
    let outage = context.state.lock().outage_for(&call)?;
    match outage {
        Outage::Inactive => {}
        Outage::Refuse => return Ok(reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "down")),
        Outage::Hang => future::pending().await,
    }
    // In a task of its own, so that a call takes effect even if the caller
    // disconnects.
    let executed = tokio::spawn(execute(context, call));
    executed.await.unwrap_or(Err(ConnectionCut))
}

impl State {
    /// The outage that applies to a call. Counts the call if one does.
    ///
    /// # Errors
    /// Returns [`ConnectionCut`] if the connections of its router are cut.
    fn outage_for(&mut self, call: &Call) -> Result<Outage, ConnectionCut> {
        if self.switches.cuts_router(&call.router) {
            self.counts.cut += 1;
            return Err(ConnectionCut);
        }
        let outage = match call.path.as_str() {
            path if path.starts_with("/v1/table") => self.switches.table,
            path if path.starts_with("/v1/objects") => self.switches.objects,
            // Changes to the host list come from the tests and are not affected.
            "/v1/hosts" if call.method == Method::GET => self.switches.hosts,
            _ => Outage::Inactive,
        };
        self.counts.down += u64::from(outage != Outage::Inactive);
        Ok(outage)
    }
}

async fn execute(context: Context, call: Call) -> Reply {
    let hosts = call.path.starts_with("/v1/hosts");
    let delay = match hosts {
        true => Duration::ZERO,
        false => context.state.lock().draw_delay(),
    };
    pause(delay).await;
    let (outcome, answer_delay) = {
        let mut state = context.state.lock();
        let outcome = answers::answer(&mut state, &call, Instant::now());
        if outcome.has_effect && state.draw_lost_answer() {
            return Err(ConnectionCut);
        }
        (outcome, state.switches.answer_delay)
    };
    if !hosts {
        pause(answer_delay).await;
    }
    Ok(outcome.response)
}

fn control(context: &Context, call: &Call) -> Result<Response<Body>, Malformed> {
    let mut state = context.state.lock();
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/control") => Ok(reply::ok(&SwitchesWire::from(&state.switches))),
        ("POST", "/control") => update_switches(context, &mut state, &call.body),
        ("GET", "/control/counts") => Ok(reply::ok(&state.counts_wire())),
        ("GET", "/control/table") => {
            let rows = state.all_rows();
            Ok(reply::ok(&RowsWire { rows }))
        }
        _ => Ok(reply::not_found()),
    }
}

fn update_switches(
    context: &Context,
    state: &mut State,
    body: &Bytes,
) -> Result<Response<Body>, Malformed> {
    let wire: SwitchesWire = reply::parse(body)?;
    let refuse_ms = wire.refuse_connect_ms;
    state.switches.update(wire)?;
    if let Some(time) = refuse_ms {
        context
            .listener
            .refuse_connections(Duration::from_millis(time));
    }
    Ok(reply::ok(&SwitchesWire::from(&state.switches)))
}
