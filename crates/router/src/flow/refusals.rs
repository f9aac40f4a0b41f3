//! Decodes refusals of backend servers and records the router's own.

use std::time::Duration;

use http::Response;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use poplar_core::retry::{Failure, Refusal as Refused};
use serde::Deserialize;

use crate::flow::request::Job;
use crate::refusal::Refusal;
use crate::request_trace::unix_ms;
use crate::state::State;

/// Largest body of an engine's error response, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

#[derive(Debug)]
#[derive(Deserialize)]
struct RefusalWire {
    error: CodeWire,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CodeWire {
    code: String,
}

/// Decodes the body of a backend server's error response.
pub(super) fn failure_of(body: &[u8]) -> Failure {
    let wire = serde_json::from_slice::<RefusalWire>(body);
    let code = wire.map_or_else(|_| String::new(), |w| w.error.code);
    match code.as_str() {
        "leaving" => Failure::Refused(Refused::Leaving),
        "full" => Failure::Refused(Refused::Full),
        "fenced" => Failure::Refused(Refused::Fenced),
        _ => Failure::Fault,
    }
}

/// Reads an engine's error response within `timeout`.
pub(super) async fn read_failure(response: Response<Incoming>, timeout: Duration) -> Failure {
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES).collect();
    let body = tokio::time::timeout(timeout, body).await;
    let bytes = body.ok().and_then(Result::ok).map(|b| b.to_bytes());
    bytes.map_or(Failure::Lost, |bytes| failure_of(&bytes))
}

/// Records a refusal in the trace, the metrics, the burn report and the log.
pub(super) fn record_refusal(state: &State, job: &Job, refusal: &Refusal) {
    state.trace.record(&job.id, "refused", refusal);
    let (workspace, class) = (&job.workspace, &job.class.name);
    crate::metrics::count_refusal(workspace, class, refusal.code);
    let now = unix_ms(std::time::SystemTime::now());
    let burn = &state.burn;
    burn.record_refusal(workspace, class, refusal.code, refusal.false_refusal, now);
    poplar_base::log::debug("request refused")
        .request(&job.id)
        .workspace(workspace)
        .class(class)
        .reason(refusal)
        .write();
}
