//! Query that shows how one request was handled, from the traces that the routers
//! keep.

use poplar_core::id::Incarnation;
use serde::Serialize;
use serde_json::Value;

use crate::error::Result;
use crate::fleet::Fleet;
use crate::output::Output;

/// One step in the handling of a request.
#[derive(Debug)]
#[derive(Serialize)]
struct Step {
    /// Unix time in milliseconds.
    at_ms: u64,
    router: Incarnation,
    step: String,
    reason: String,
}

/// All known steps of a request, sorted by time.
#[derive(Debug)]
#[derive(Serialize)]
struct Explanation {
    id: String,
    steps: Vec<Step>,
    /// Routers that did not answer.
    silent: Vec<Incarnation>,
}

/// Collects the steps of the request `id` from all live routers.
///
/// # Errors
/// Any error of the platform.
pub async fn explain(fleet: &Fleet, id: &str) -> Result<Output> {
    let routers = fleet.live_routers().await?;
    let pages = fleet
        .query_admin(&routers, &format!("/v1/explain/{id}"))
        .await;
    let mut explanation = Explanation {
        id: id.to_owned(),
        steps: Vec::new(),
        silent: Vec::new(),
    };
    for (router, page) in routers.iter().zip(pages) {
        match page {
            Ok(page) => explanation.steps.extend(steps(&router.incarnation, &page)),
            Err(_) => explanation.silent.push(router.incarnation.clone()),
        }
    }
    explanation.steps.sort_by_key(|s| s.at_ms);
    let empty = explanation.steps.is_empty();
    let failure = empty.then(|| format!("no router has a trace of request {id}"));
    Ok(Output::new(&explanation, text(&explanation)).with_failure(failure))
}

fn steps(router: &Incarnation, page: &Value) -> Vec<Step> {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let events = page["events"].as_array().into_iter().flatten();
    let step = |event: &Value| Step {
        at_ms: event["at_ms"].as_u64().unwrap_or(0),
        router: router.clone(),
        step: text(&event["step"]),
        reason: text(&event["reason"]),
    };
    events.map(step).collect()
}

fn text(explanation: &Explanation) -> String {
    let start = explanation.steps.first().map_or(0, |s| s.at_ms);
    let mut text = format!("request {}\n", explanation.id);
    for step in &explanation.steps {
        let elapsed = step.at_ms - start;
        let (router, name, reason) = (&step.router, &step.step, &step.reason);
        text.push_str(&format!("  +{elapsed} ms  {router}  {name}: {reason}\n"));
    }
    for router in &explanation.silent {
        text.push_str(&format!("  no answer from {router}\n"));
    }
    text
}
