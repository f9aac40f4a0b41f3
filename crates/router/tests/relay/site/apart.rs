//! Stand-ins as processes of their own: the program of these tests, started again.
//!
//! A stand-in that is killed leaves its connections to the system, which no task of
//! the test's own process can do.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// The test that a process runs instead of the tests.
const ENTRY: &str = "stream_order::process_of_its_own";
/// Tells a process what it is.
const ROLE: &str = "POPLAR_PROCESS";

/// Starts a process of this role with these settings; its output goes to `log`.
pub(crate) fn spawn(role: &str, settings: &[(&str, String)], log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("the log file opens");
    Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", ENTRY, "--ignored", "--nocapture"])
        .env(ROLE, role)
        .envs(settings.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log file"))
        .stderr(log)
        .spawn()
        .expect("the process starts")
}

/// The role of this process; `None` if it is the test's own.
pub(crate) fn role() -> Option<String> {
    std::env::var(ROLE).ok()
}

/// A setting of this process.
pub(crate) fn setting<T: std::str::FromStr>(name: &str) -> T {
    let value = std::env::var(name).ok().and_then(|v| v.parse().ok());
    value.unwrap_or_else(|| panic!("{name} is not set"))
}

/// Sends a signal by its name.
pub(crate) fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill")
        .args([&format!("-{name}"), &id])
        .status();
    assert!(sent.is_ok(), "{sent:?}");
}
