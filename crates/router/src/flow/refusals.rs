//! Decodes refusals of backend servers and records the router's own.

use poplar_core::retry::{Failure, Refusal as Refused};
use serde::Deserialize;

use crate::flow::request::Job;
use crate::refusal::Refusal;
use crate::request_trace::unix_ms;
use crate::state::State;

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
