//! Puts a configuration in force.
//!
//! The whole configuration is one row, written on the condition that nobody
//! wrote it since it was read. A lost answer is read back and the write never
//! repeated: it may yet arrive, and its condition then decides.

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

/// Pause between two looks at the table or the routers.
const POLL: Duration = Duration::from_millis(100);

/// How far a router has come.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RouterProgress {
    /// The router.
    pub incarnation: Incarnation,
    /// The generation it has in force; `None` where it can't be asked.
    pub generation: Option<u64>,
}

/// What `apply` did.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ApplyReport {
    /// The generation of the configuration.
    pub generation: u64,
    /// Whether it was in the table already.
    pub unchanged: bool,
    /// What differs from the generation before.
    pub changes: Vec<Change>,
    /// Live routers with the generation, or a later one, in force.
    pub in_force: usize,
    /// Live routers.
    pub live: usize,
    /// Each live router.
    pub routers: Vec<RouterProgress>,
}

/// What `apply` is asked for.
#[derive(Debug, Clone)]
pub struct ApplyRequest {
    /// The configuration; its generation doesn't matter.
    pub config: Config,
    /// The generation it must replace.
    pub expect: Option<u64>,
    /// When to stop waiting for routers.
    pub deadline: Instant,
}

/// Writes the configuration and waits until it is in force.
///
/// # Errors
/// [`Error::Conflict`] where another operator was first.
pub async fn apply(fleet: &Fleet, wanted: &ApplyRequest) -> Result<ApplyReport> {
    let base = fleet.config().await?;
    let changes = config_diff::diff(&base.config, &wanted.config);
    if wanted.expect.is_some_and(|g| g != base.config.generation) {
        return Err(Error::Conflict(stale(wanted, &base, changes)));
    }
    let unchanged = changes.is_empty() && base.version > 0;
    let generation = if unchanged {
        base.config.generation
    } else {
        write(fleet, wanted, &base).await?
    };
    let routers = wait(fleet, generation, wanted.deadline).await?;
    Ok(ApplyReport {
        generation,
        unchanged,
        changes,
        in_force: routers.iter().filter(|r| has(r, generation)).count(),
        live: routers.len(),
        routers,
    })
}

/// The conflict's changes where the expected generation is not there any more:
/// the generations, and what the file would have overwritten.
fn stale(wanted: &ApplyRequest, base: &StoredConfig, changes: Vec<Change>) -> Vec<Change> {
    let generation = Change {
        kind: "configuration",
        name: "generation".into(),
        field: "number",
        before: wanted.expect.unwrap_or(0).to_string(),
        after: base.config.generation.to_string(),
    };
    // The file is what the operator has in mind, the table what is there now.
    let turned = changes.into_iter().map(|c| Change {
        before: c.after,
        after: c.before,
        ..c
    });
    std::iter::once(generation).chain(turned).collect()
}

async fn write(fleet: &Fleet, wanted: &ApplyRequest, base: &StoredConfig) -> Result<u64> {
    let next = Config {
        generation: base.config.generation + 1,
        ..wanted.config.clone()
    };
    let commit = Commit::default()
        .check(ROW_KEY, base.version)
        .write(ROW_KEY, &ConfigWire::from(&next))
        .write(GENERATION_KEY, &next.generation);
    match (fleet.platform.commit)(commit).await {
        Ok(_) => Ok(next.generation),
        Err(platform::Error::Conflict(_)) => {
            let now = fleet.config().await?;
            Err(conflict(base, &now))
        }
        Err(platform::Error::OutcomeUnknown(why) | platform::Error::Malformed(why)) => {
            read_back(fleet, &next, base, wanted.deadline, &why).await
        }
        Err(error) => Err(error.into()),
    }
}

fn conflict(base: &StoredConfig, now: &StoredConfig) -> Error {
    Error::Conflict(config_diff::diff(&base.config, &now.config))
}

/// Finds out what became of a write whose answer was lost.
async fn read_back(
    fleet: &Fleet,
    next: &Config,
    base: &StoredConfig,
    deadline: Instant,
    why: &str,
) -> Result<u64> {
    loop {
        match fleet.config().await {
            Ok(now) if now.config == *next => return Ok(next.generation),
            Ok(now) if now.version != base.version => return Err(conflict(base, &now)),
            Ok(_) | Err(Error::Platform(_)) => {}
            Err(error) => return Err(error),
        }
        if Instant::now() >= deadline {
            let why = format!("the write's answer was lost ({why}) and it can't be seen yet");
            return Err(Error::OutcomeUnknown(why));
        }
        tokio::time::sleep(POLL).await;
    }
}

fn has(progress: &RouterProgress, generation: u64) -> bool {
    progress.generation.is_some_and(|g| g >= generation)
}

/// Asks the live routers until all have `generation`, or until `deadline`.
async fn wait(fleet: &Fleet, generation: u64, deadline: Instant) -> Result<Vec<RouterProgress>> {
    loop {
        let seen = look(fleet).await;
        let done = seen
            .as_ref()
            .is_ok_and(|all| all.iter().all(|p| has(p, generation)));
        if done || Instant::now() >= deadline {
            return match seen {
                Err(Error::Platform(why)) => Err(Error::RoutersUnlisted(generation, why)),
                seen => seen,
            };
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn look(fleet: &Fleet) -> Result<Vec<RouterProgress>> {
    let routers = fleet.live_routers().await?;
    Ok(join_all(routers.iter().map(|r| ask(fleet, r))).await)
}

async fn ask(fleet: &Fleet, router: &Router) -> RouterProgress {
    let page = (fleet.admin.get)(router.row.admin.clone(), "/v1/status".to_owned()).await;
    let page = page.unwrap_or(Value::Null);
    // A restarted router may stand at the address of an earlier incarnation.
    let same = page["incarnation"] == *router.incarnation.0;
    RouterProgress {
        incarnation: router.incarnation.clone(),
        generation: page["generation"].as_u64().filter(|_| same),
    }
}

/// The report of `apply`.
pub fn output(applied: &ApplyReport) -> Output {
    let mut text = String::new();
    for change in &applied.changes {
        text.push_str(&format!("{change}\n"));
    }
    let (generation, done, live) = (applied.generation, applied.in_force, applied.live);
    let word = if applied.unchanged {
        "unchanged"
    } else {
        "accepted"
    };
    text.push_str(&format!(
        "generation {generation} {word}, in force on {done} of {live} live routers\n"
    ));
    for late in applied.routers.iter().filter(|r| !has(r, generation)) {
        let at = late.generation.map(|g| format!("at generation {g}"));
        let at = at.unwrap_or_else(|| "no answer".to_owned());
        text.push_str(&format!("  {}: {at}\n", late.incarnation));
    }
    let failed = (done < live).then(|| {
        format!(
            "generation {generation} is not yet in force on {} routers",
            live - done
        )
    });
    Output::new(applied, text).with_failure(failed)
}
