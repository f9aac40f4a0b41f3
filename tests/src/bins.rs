//! Finds the built programs and checks that they are not older than their sources.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use crate::error::{Error, Result};

/// Advice in the error message if a program is missing or out of date.
const BUILD_HINT: &str = "run `cargo build --workspace --bins` first";

/// Lists the crates whose sources a program is built from.
fn crates(program: &str) -> &'static [&'static str] {
    match program {
        "poplar-router" => &["core", "base", "peer", "router"],
        "poplar-ctl" => &["core", "base", "ctl"],
        _ => &["core", "base", "standins"],
    }
}

/// Returns the path of the program `name`.
///
/// # Errors
/// If it is missing or older than its sources.
pub fn find(name: &str) -> Result<PathBuf> {
    let test_path = std::env::current_exe().map_err(|e| Error::new("own path", e))?;
    let folder = test_path.parent().and_then(Path::parent);
    let path = folder.ok_or("no target folder")?.join(name);
    let built = fs::metadata(&path).and_then(|m| m.modified());
    let built = built.map_err(|e| Error(format!("{}: {e}; {BUILD_HINT}", path.display())))?;
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../crates");
    for member in crates(name) {
        if let Some(newer) = newer_source(&root.join(member).join("src"), built) {
            let newer = newer.display();
            return Err(Error(format!("{name} is older than {newer}; {BUILD_HINT}")));
        }
    }
    Ok(path)
}

/// Finds a source file below `folder` that was modified after `built`.
fn newer_source(folder: &Path, built: SystemTime) -> Option<PathBuf> {
    for entry in fs::read_dir(folder).ok()?.flatten() {
        let path = entry.path();
        let found = if path.is_dir() {
            newer_source(&path, built)
        } else {
            let changed = entry.metadata().and_then(|m| m.modified()).ok()?;
            (changed > built).then_some(path)
        };
        if found.is_some() {
            return found;
        }
    }
    None
}
