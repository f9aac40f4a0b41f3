//! Finds the built programs and sees that they are not older than the sources.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use crate::fault::{Fault, Result};

/// How to build what is missing.
const BUILD: &str = "run `cargo build --workspace --bins` first";

/// Crates that each program is made of.
fn crates(program: &str) -> &'static [&'static str] {
    match program {
        "poplar-router" => &["core", "base", "peer", "router"],
        "poplar-ctl" => &["core", "base", "ctl"],
        _ => &["core", "base", "standins"],
    }
}

/// Finds the program `name`.
///
/// # Errors
/// Where it is missing or older than its sources.
pub fn find(name: &str) -> Result<PathBuf> {
    let test = std::env::current_exe().map_err(|e| Fault::of("own path", e))?;
    let folder = test.parent().and_then(Path::parent);
    let path = folder.ok_or("no target folder")?.join(name);
    let built = fs::metadata(&path).and_then(|m| m.modified());
    let built = built.map_err(|e| Fault(format!("{}: {e}; {BUILD}", path.display())))?;
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../crates");
    for part in crates(name) {
        if let Some(newer) = newer(&root.join(part).join("src"), built) {
            let newer = newer.display();
            return Err(Fault(format!("{name} is older than {newer}; {BUILD}")));
        }
    }
    Ok(path)
}

/// A source file under `folder` that was changed after `built`.
fn newer(folder: &Path, built: SystemTime) -> Option<PathBuf> {
    for entry in fs::read_dir(folder).ok()?.flatten() {
        let path = entry.path();
        let found = if path.is_dir() {
            newer(&path, built)
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
