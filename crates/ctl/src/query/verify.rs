//! Query `verify`: checks a configuration of the users' platform before it is sent.

use std::time::Duration;

use poplar_base::args::{Failure, Outcome};
use poplar_core::deployment::Deployment;
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use poplar_platform::configuration::{self, check};
use poplar_platform::servers;
use poplar_platform::store::{Error, OPERATOR_TABLE, SERVERS_TABLE, Store};
use serde::Serialize;

use crate::config_diff::Change;
use crate::deployment_diff;
use crate::output::Output;

/// What the store has.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration; `None` if there is none.
    pub deployment: Option<Deployment>,
    /// Number of registered backend servers by service.
    pub servers: SortedVec<Name, u32>,
}

/// Output of `verify` as JSON.
#[derive(Debug)]
#[derive(Serialize)]
struct Verification {
    version: u64,
    findings: Vec<String>,
    changes: Vec<Change>,
}

/// Reads what is in force from the store.
///
/// # Errors
/// [`Failure::Unreadable`] if the store can't be read, or its configuration can't be
/// decoded.
pub async fn read_in_force(store: &Store, timeout: Duration) -> Outcome<InForce> {
    let unreadable = |why: Error| Failure::unreadable(why.to_string());
    let operator = store.read(OPERATOR_TABLE, "", "", timeout).await;
    let operator = operator.map_err(unreadable)?;
    let mut rows = operator.rows.iter();
    let row = rows.find(|row| *row.key == *configuration::KEY);
    let parsed = row.map(|row| configuration::parse(&row.value)).transpose();
    let deployment = parsed.map_err(|why| Failure::unreadable(format!("in force: {why}")))?;
    let registered = store.read(SERVERS_TABLE, "", "", timeout).await;
    let mut counts: SortedVec<Name, u32> = SortedVec::new();
    // The routers don't use entries that can't be decoded either.
    let registered = registered.map_err(unreadable)?.rows;
    for server in registered.iter().filter_map(|row| servers::parse(row).ok()) {
        *counts.get_or_insert_with(server.service, || 0) += 1;
    }
    Ok(InForce {
        deployment,
        servers: counts,
    })
}

/// Lists the findings in the file's `content`, and what it changes of what is in force,
/// if that is known.
///
/// # Errors
/// [`Failure::Unreadable`] if the content can't be decoded.
pub fn verify(content: &[u8], in_force: Option<&InForce>) -> Outcome<Output> {
    let unreadable = |why: configuration::Error| Failure::unreadable(why.to_string());
    let after = configuration::parse(content).map_err(unreadable)?;
    let servers = in_force.map(|in_force| &in_force.servers);
    let mut findings = check::findings(content, servers).map_err(unreadable)?;
    let before = in_force.and_then(|in_force| in_force.deployment.as_ref());
    if let Some(before) = before.filter(|before| before.version >= after.version) {
        findings.push(format!(
            "Version {} is not above version {}, which is in force, so the routers ignore it.",
            after.version, before.version
        ));
    }
    let changes = before.map_or(Vec::new(), |before| deployment_diff::diff(before, &after));
    let mut lines = findings.clone();
    if findings.is_empty() {
        lines.push(format!(
            "There are no findings in version {}.",
            after.version
        ));
    }
    lines.extend(changes.iter().map(deployment_diff::sentence));
    match (in_force, before) {
        (Some(_), None) => lines.push("No configuration is in force.".to_owned()),
        (_, Some(before)) if changes.is_empty() => lines.push(format!(
            "The file does not differ from version {}, which is in force.",
            before.version
        )),
        _ => {}
    }
    let failure = (!findings.is_empty()).then(|| format!("findings: {}", findings.len()));
    let verification = Verification {
        version: after.version,
        findings,
        changes,
    };
    let text = lines.join("\n") + "\n";
    Ok(Output::new(&verification, text).with_failure(failure))
}
