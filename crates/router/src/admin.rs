//! Admin interface: health checks, metrics and queries, on its own listener.

use std::sync::Arc;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use viz::{IntoResponse, Request, RequestExt, Response, Router, StatusCode};

use poplar_core::id::Name;

use crate::state::State;

/// The routes of the admin interface.
pub fn routes(state: &Arc<State>, metrics: PrometheusHandle) -> Router {
    let ready = handler(state, |state, _| {
        if state.is_ready() {
            "ready".into_response()
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready").into_response()
        }
    });
    let metrics = handler(state, move |state, _| {
        crate::metrics::update_gauges(state);
        metrics.render().into_response()
    });
    let drain = handler(state, |state, _| {
        state.start_drain();
        "draining".into_response()
    });
    Router::new()
        .get("/healthz", handler(state, |_, _| "ok".into_response()))
        .get("/readyz", ready)
        .get("/metrics", metrics)
        .post("/v1/drain", drain)
        .get("/v1/status", handler(state, |s, _| json(status(s))))
        .get("/v1/budgets", handler(state, |s, _| json(budgets(s))))
        .get("/v1/backends", handler(state, |s, _| json(backends(s))))
        .get("/v1/burn", handler(state, |s, _| json(s.burn.snapshot())))
        .get("/v1/explain/:id", handler(state, explain))
}

fn handler<F>(
    state: &Arc<State>,
    answer: F,
) -> impl Fn(Request) -> std::future::Ready<viz::Result<Response>> + Clone + use<F>
where
    F: Fn(&Arc<State>, &Request) -> Response + Clone + Send + Sync + 'static,
{
    let state = state.clone();
    move |request| std::future::ready(Ok(answer(&state, &request)))
}

fn json(page: impl Serialize + Send) -> Response {
    viz::types::Json(page).into_response()
}

fn status(state: &Arc<State>) -> StatusPage {
    let now = Instant::now();
    StatusPage {
        incarnation: state.incarnation.0.clone(),
        centre: state.settings.centre.clone(),
        generation: state.config().generation,
        ready: state.is_ready(),
        draining: state.is_draining(),
        sealed: state.is_sealed(),
        streams: state.open_requests.count(),
        queued: state.dispatcher.queued(),
        bills: state.bill_queue.pending_count(),
        peers: state.peers.snapshot(now),
    }
}

fn budgets(state: &Arc<State>) -> BudgetsPage {
    let holdings = state.budgets.holdings().into_iter();
    let budgets = holdings.map(|(budget, holding)| BudgetWire {
        budget,
        held: holding.held,
        spent: holding.spent,
        reserved: holding.reserved,
        lost: holding.lost,
        free: holding.free(),
    });
    BudgetsPage {
        budgets: budgets.collect(),
    }
}

fn backends(state: &Arc<State>) -> BackendsPage {
    let backends = state
        .dispatcher
        .server_statuses()
        .into_iter()
        .map(|server| BackendWire {
            name: server.name,
            address: server.address.to_string(),
            centre: server.centre,
            role: if server.engine { "engine" } else { "service" },
            serves: server.serves,
            leaving: server.leaving,
            ejected: server.ejected,
            in_flight: server.in_flight,
            reason: match (server.leaving, server.ejected) {
                (true, _) => "leaving",
                (_, true) => "ejected",
                _ => "open",
            },
        });
    BackendsPage {
        backends: backends.collect(),
    }
}

fn explain(state: &Arc<State>, request: &Request) -> Response {
    let Ok(id) = request.param::<String>("id") else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let events = state.trace.events_of(&id).into_iter();
    json(ExplainPage {
        events: events
            .map(|event| EventWire {
                at_ms: event.at_ms,
                step: event.step,
                reason: event.reason,
            })
            .collect(),
        id,
    })
}

#[derive(Debug)]
#[derive(Serialize)]
struct StatusPage {
    incarnation: Name,
    centre: Name,
    generation: u64,
    ready: bool,
    draining: bool,
    sealed: bool,
    streams: usize,
    queued: usize,
    bills: usize,
    peers: Vec<crate::peers::PeerStatus>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct BudgetsPage {
    budgets: Vec<BudgetWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct BudgetWire {
    budget: Name,
    held: u64,
    spent: u64,
    reserved: u64,
    lost: u64,
    free: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct BackendsPage {
    backends: Vec<BackendWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct BackendWire {
    name: Name,
    address: String,
    centre: Name,
    role: &'static str,
    serves: Name,
    leaving: bool,
    ejected: bool,
    in_flight: u32,
    reason: &'static str,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ExplainPage {
    id: String,
    events: Vec<EventWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EventWire {
    at_ms: u64,
    step: &'static str,
    reason: String,
}
