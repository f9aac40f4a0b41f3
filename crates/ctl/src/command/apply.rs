//! The command `apply`, which puts a configuration in force.
//!
//! The whole configuration is one row, which is written only if it has not changed
//! since it was read. If the answer is lost, the row is read back and the write is
//! not repeated: it may still arrive, and its check then decides.

use std::time::{Duration, Instant};

use futures::future::join_all;
use poplar_base::platform::{self, Commit};
use poplar_core::config::{Config, ConfigWire, GENERATION_KEY, ROW_KEY};
use poplar_core::id::Incarnation;
use serde::Serialize;
use serde_json::Value;

use crate::config_diff::{self, Change};
use crate::error::{Error, Result};
use crate::fleet::{Fleet, Router, StoredConfig};
use crate::output::Output;

/// Interval at which the table or the routers are read while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Generation in force on one router.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RouterProgress {
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// The generation in force; `None` if the router does not answer.
    pub generation: Option<u64>,
}

/// Result of `apply`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ApplyReport {
    /// Generation of the applied configuration.
    pub generation: u64,
    /// Whether the table contained the configuration already.
    pub unchanged: bool,
    /// Changes from the previous generation.
    pub changes: Vec<Change>,
    /// Number of live routers on which this or a later generation is in force.
    pub in_force: usize,
    /// Number of live routers.
    pub live: usize,
    /// Generation in force on each live router.
    pub routers: Vec<RouterProgress>,
}

/// Arguments of `apply`.
#[derive(Debug, Clone)]
pub struct ApplyRequest {
    /// The configuration to apply; its generation is ignored.
    pub config: Config,
    /// The generation that the table must contain, if given.
    pub expect: Option<u64>,
    /// Time at which to stop waiting.
    pub deadline: Instant,
}

/// Writes the configuration and waits until it is in force on all live routers or
/// the deadline has passed.
///
/// # Errors
/// [`Error::Conflict`] if another operator changed the configuration first, or
/// any other error of the table.
pub async fn apply(fleet: &Fleet, request: &ApplyRequest) -> Result<ApplyReport> {
    let base = fleet.config().await?;
    let changes = config_diff::diff(&base.config, &request.config);
    if request.expect.is_some_and(|g| g != base.config.generation) {
        return Err(Error::Conflict(generation_conflict(
            request, &base, changes,
        )));
    }
    let unchanged = changes.is_empty() && base.version > 0;
    let generation = if unchanged {
        base.config.generation
    } else {
        write(fleet, request, &base).await?
    };
    let routers = wait_in_force(fleet, generation, request.deadline).await?;
    Ok(ApplyReport {
        generation,
        unchanged,
        changes,
        in_force: routers
            .iter()
            .filter(|r| has_generation(r, generation))
            .count(),
        live: routers.len(),
        routers,
    })
}

/// Returns the changes to report if the table does not contain the expected
/// generation: the two generations, and what the file would have overwritten.
fn generation_conflict(
    request: &ApplyRequest,
    base: &StoredConfig,
    changes: Vec<Change>,
) -> Vec<Change> {
    let generation = Change {
        kind: "configuration",
        name: "generation".into(),
        field: "number",
        before: request.expect.unwrap_or(0).to_string(),
        after: base.config.generation.to_string(),
    };
    // The changes are reversed to lead from the operator's file to the table.
    let reversed = changes.into_iter().map(|c| Change {
        before: c.after,
        after: c.before,
        ..c
    });
    std::iter::once(generation).chain(reversed).collect()
}

async fn write(fleet: &Fleet, request: &ApplyRequest, base: &StoredConfig) -> Result<u64> {
    let next = Config {
        generation: base.config.generation + 1,
        ..request.config.clone()
    };
    let commit = Commit::default()
        .check(ROW_KEY, base.version)
        .write(ROW_KEY, &ConfigWire::from(&next))
        .write(GENERATION_KEY, &next.generation);
    match (fleet.platform.commit)(commit).await {
        Ok(_) => Ok(next.generation),
        Err(platform::Error::Conflict(_)) => {
            let current = fleet.config().await?;
            Err(conflict(base, &current))
        }
        Err(platform::Error::OutcomeUnknown(reason) | platform::Error::Malformed(reason)) => {
            read_back(fleet, &next, base, request.deadline, &reason).await
        }
        Err(error) => Err(error.into()),
    }
}

fn conflict(base: &StoredConfig, current: &StoredConfig) -> Error {
    Error::Conflict(config_diff::diff(&base.config, &current.config))
}

/// Reads the table until the outcome of a write whose answer was lost is known.
async fn read_back(
    fleet: &Fleet,
    next: &Config,
    base: &StoredConfig,
    deadline: Instant,
    reason: &str,
) -> Result<u64> {
    loop {
        match fleet.config().await {
            Ok(current) if current.config == *next => return Ok(next.generation),
            Ok(current) if current.version != base.version => {
                return Err(conflict(base, &current));
            }
            Ok(_) | Err(Error::Platform(_)) => {}
            Err(error) => return Err(error),
        }
        if Instant::now() >= deadline {
            let reason = format!(
                "the answer to the write was lost ({reason}) and the table does not show it yet"
            );
            return Err(Error::OutcomeUnknown(reason));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn has_generation(progress: &RouterProgress, generation: u64) -> bool {
    progress.generation.is_some_and(|g| g >= generation)
}

/// Polls the live routers until all have `generation` in force or until
/// `deadline`.
async fn wait_in_force(
    fleet: &Fleet,
    generation: u64,
    deadline: Instant,
) -> Result<Vec<RouterProgress>> {
    loop {
        let progress = read_progress(fleet).await;
        let in_force = progress
            .as_ref()
            .is_ok_and(|all| all.iter().all(|p| has_generation(p, generation)));
        if in_force || Instant::now() >= deadline {
            return match progress {
                Err(Error::Platform(error)) => Err(Error::RoutersUnlisted(generation, error)),
                progress => progress,
            };
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_progress(fleet: &Fleet) -> Result<Vec<RouterProgress>> {
    let routers = fleet.live_routers().await?;
    Ok(join_all(routers.iter().map(|r| router_progress(fleet, r))).await)
}

async fn router_progress(fleet: &Fleet, router: &Router) -> RouterProgress {
    let page = (fleet.admin.get)(router.row.admin.clone(), "/v1/status".to_owned()).await;
    let page = page.unwrap_or(Value::Null);
    // A restarted router may answer at the address of an earlier incarnation.
    let same_incarnation = page["incarnation"] == *router.incarnation.0;
    RouterProgress {
        incarnation: router.incarnation.clone(),
        generation: page["generation"].as_u64().filter(|_| same_incarnation),
    }
}

/// Formats the result of `apply`.
pub fn output(report: &ApplyReport) -> Output {
    let mut text = String::new();
    for change in &report.changes {
        text.push_str(&format!("{change}\n"));
    }
    let (generation, in_force, live) = (report.generation, report.in_force, report.live);
    let status = if report.unchanged {
        "unchanged"
    } else {
        "accepted"
    };
    text.push_str(&format!(
        "generation {generation} {status}, in force on {in_force} of {live} live routers\n"
    ));
    for behind in report
        .routers
        .iter()
        .filter(|r| !has_generation(r, generation))
    {
        let state = behind.generation.map(|g| format!("at generation {g}"));
        let state = state.unwrap_or_else(|| "no answer".to_owned());
        text.push_str(&format!("  {}: {state}\n", behind.incarnation));
    }
    let failure = (in_force < live).then(|| {
        format!(
            "generation {generation} is not yet in force on {} routers",
            live - in_force
        )
    });
    Output::new(report, text).with_failure(failure)
}
