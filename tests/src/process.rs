//! Processes under test.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use crate::fault::{Fault, Result};
use crate::{bins, wait};

/// A running process; killed where it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    out: PathBuf,
}

/// Starts `program` with its output in `folder` under `name`.
///
/// # Errors
/// Where it can't be started.
pub fn spawn(program: &str, words: &[String], folder: &Path, name: &str) -> Result<Process> {
    let out = folder.join(format!("{name}.out"));
    let failed = |e| Fault::of(name, e);
    let stdout = File::create(&out).map_err(failed)?;
    let stderr = File::create(folder.join(format!("{name}.err"))).map_err(failed)?;
    let child = Command::new(bins::find(program)?)
        .args(words)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(stderr)
        .spawn()
        .map_err(failed)?;
    Ok(Process { child, out })
}

impl Process {
    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the words that follow `listening` on its standard output.
    ///
    /// # Errors
    /// Where it ends or says nothing.
    pub async fn listening(&mut self) -> Result<Vec<String>> {
        let said = wait::until("listening", async || {
            let text = fs::read_to_string(&self.out).unwrap_or_default();
            let line = text.lines().find_map(|l| l.strip_prefix("listening "));
            let whole = line.filter(|_| text.ends_with('\n'));
            whole.map(|l| l.split(' ').map(str::to_owned).collect::<Vec<_>>())
        });
        said.await
    }

    /// Sends the signal `name`, such as `STOP`.
    ///
    /// # Errors
    /// Where it can't be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(Fault::of("kill", status)),
            Err(why) => Err(Fault::of("kill", why)),
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        // One that has ended needs no killing.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended, once it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the address at `at` of the words after `listening`.
///
/// # Errors
/// Where there is none.
pub fn address(words: &[String], at: usize) -> Result<SocketAddr> {
    let word = words.get(at).ok_or("too few words after listening")?;
    word.parse().map_err(|e| Fault::of(word, e))
}
