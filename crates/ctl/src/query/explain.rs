//! Explains one request from what every router remembers of it.

use poplar_core::id::Incarnation;
use serde::Serialize;
use serde_json::Value;

use crate::error::Result;
use crate::fleet::Fleet;
use crate::output::Output;

/// One step of a request.
#[derive(Debug)]
#[derive(Serialize)]
struct Step {
    at_ms: u64,
    router: Incarnation,
    step: String,
    reason: String,
}

/// What is known of a request.
#[derive(Debug)]
#[derive(Serialize)]
struct Explained {
    id: String,
    steps: Vec<Step>,
    /// Routers that did not answer.
    silent: Vec<Incarnation>,
}

/// Asks every live router about the request `id`.
///
/// # Errors
/// The platform's.
pub async fn explain(fleet: &Fleet, id: &str) -> Result<Output> {
    let routers = fleet.live_routers().await?;
    let pages = fleet
        .query_admin(&routers, &format!("/v1/explain/{id}"))
        .await;
    let mut explained = Explained {
        id: id.to_owned(),
        steps: Vec::new(),
        silent: Vec::new(),
    };
    for (router, page) in routers.iter().zip(pages) {
        match page {
            Ok(page) => explained.steps.extend(steps(&router.incarnation, &page)),
            Err(_) => explained.silent.push(router.incarnation.clone()),
        }
    }
    explained.steps.sort_by_key(|s| s.at_ms);
    let empty = explained.steps.is_empty();
    let failed = empty.then(|| format!("no router remembers {id}"));
    Ok(Output::new(&explained, text(&explained)).with_failure(failed))
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

fn text(explained: &Explained) -> String {
    let start = explained.steps.first().map_or(0, |s| s.at_ms);
    let mut text = format!("request {}\n", explained.id);
    for step in &explained.steps {
        let after = step.at_ms - start;
        let (router, name, reason) = (&step.router, &step.step, &step.reason);
        text.push_str(&format!("  +{after} ms  {router}  {name}: {reason}\n"));
    }
    for router in &explained.silent {
        text.push_str(&format!("  no answer from {router}\n"));
    }
    text
}
