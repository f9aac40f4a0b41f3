//! Queries of the configuration: `check`, `show` and `diff`.

use poplar_core::config::{Config, ConfigWire};
use serde::Serialize;

use crate::config_diff::{self, Change};
use crate::error::Result;
use crate::fleet::Fleet;
use crate::output::{Output, Table};

/// Summarises a classes file that has no faults.
pub fn check(config: &Config) -> Output {
    let (classes, workspaces) = (config.classes.len(), config.workspaces.len());
    let text = format!("no faults: {classes} classes, {workspaces} workspaces\n");
    Output::new(&ConfigWire::from(config), text)
}

/// Shows the configuration in the table.
///
/// # Errors
/// Any error of the platform.
pub async fn show(fleet: &Fleet) -> Result<Output> {
    let config = fleet.config().await?.config;
    Ok(Output::new(&ConfigWire::from(&config), text(&config)))
}

fn text(config: &Config) -> String {
    let mut classes = Table::new([
        "CLASS",
        "KIND",
        "SERVES",
        "FIRST",
        "FINISH",
        "OBJECTIVE",
        "REPEAT",
        "PRICE",
        "CAP",
    ]);
    for class in &config.classes {
        let fields = config_diff::class_fields(class)
            .into_iter()
            .map(|(_, value)| value);
        classes.add_row(std::iter::once(class.name.to_string()).chain(fields));
    }
    let mut workspaces = Table::new(["WORKSPACE", "SECRET"]);
    for workspace in &config.workspaces {
        let fields = config_diff::workspace_fields(workspace);
        let fields = fields.into_iter().map(|(_, value)| value);
        workspaces.add_row(std::iter::once(workspace.name.to_string()).chain(fields));
    }
    let generation = config.generation;
    let (classes, workspaces) = (classes.text(), workspaces.text());
    format!("generation {generation}\n\n{classes}\n{workspaces}")
}

/// Output of `diff` as JSON.
#[derive(Debug)]
#[derive(Serialize)]
struct Difference {
    generation: u64,
    changes: Vec<Change>,
}

/// Shows what applying `file` would change.
///
/// # Errors
/// Any error of the platform.
pub async fn diff(fleet: &Fleet, file: &Config) -> Result<Output> {
    let current = fleet.config().await?.config;
    let difference = Difference {
        generation: current.generation,
        changes: config_diff::diff(&current, file),
    };
    let mut text = String::new();
    for change in &difference.changes {
        text.push_str(&format!("{change}\n"));
    }
    if difference.changes.is_empty() {
        text = format!("no difference from generation {}\n", current.generation);
    }
    Ok(Output::new(&difference, text))
}
