//! The HTTP interface for callers: JSON and server-sent events.

mod chat;
mod service;
mod validate;

use std::sync::Arc;

use serde::Serialize;
use viz::{IntoResponse, Request, Response, Router};

use poplar_core::config::Kind;
use poplar_core::id::Name;

use crate::refusal::Refusal;
use crate::state::State;

/// The routes of the callers' interface.
pub fn routes(state: &Arc<State>) -> Router {
    let chat = handler(state, chat::handle);
    let service = handler(state, service::handle);
    let models = handler(state, models);
    Router::new()
        .post("/v1/chat/completions", chat)
        .post("/v1/services/:class/:path*", service)
        .get("/v1/models", models)
}

/// Turns an infallible async function into a viz handler that owns the state.
fn handler<F, O>(
    state: &Arc<State>,
    handle: F,
) -> impl Fn(Request) -> futures::future::BoxFuture<'static, viz::Result<Response>> + Clone + use<F, O>
where
    F: Fn(Arc<State>, Request) -> O + Clone + Send + Sync + 'static,
    O: Future<Output = Response> + Send + 'static,
{
    let state = state.clone();
    move |request| {
        let answer = handle(state.clone(), request);
        Box::pin(async move { Ok(answer.await) })
    }
}

async fn models(state: Arc<State>, request: Request) -> Response {
    let config = state.config();
    if let Err(refusal) = validate::authenticate(&config, &request) {
        return refusal.response(None);
    }
    let models = config.classes.iter().filter(|c| c.kind == Kind::Model);
    let data = models.map(|c| ModelWire {
        id: c.name.clone(),
        object: "model",
        owned_by: "poplarreel",
    });
    let list = ListWire {
        object: "list",
        data: data.collect(),
    };
    viz::types::Json(list).into_response()
}

/// The response to a refused request.
///
/// Counts refusals that came before the request had an ID; the others were
/// counted when they were made.
fn refuse(refusal: &Refusal, id: Option<&poplar_core::id::RequestId>) -> Response {
    if id.is_none() {
        crate::metrics::count_refusal(&"-".into(), &"-".into(), refusal.code);
    }
    refusal.response(id)
}

#[derive(Debug)]
#[derive(Serialize)]
struct ListWire {
    object: &'static str,
    data: Vec<ModelWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ModelWire {
    id: Name,
    object: &'static str,
    owned_by: &'static str,
}
