//! Starts, signals and kills the processes of a test.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use crate::error::{Error, Result};
use crate::{bins, wait};

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    stdout_path: PathBuf,
}

/// Starts `program`; its output goes to `name.out` and `name.err` in `folder`.
///
/// # Errors
/// If it can't be started.
pub fn spawn(program: &str, args: &[String], folder: &Path, name: &str) -> Result<Process> {
    let stdout_path = folder.join(format!("{name}.out"));
    let failed = |e| Error::new(name, e);
    let stdout = File::create(&stdout_path).map_err(failed)?;
    let stderr = File::create(folder.join(format!("{name}.err"))).map_err(failed)?;
    let child = Command::new(bins::find(program)?)
        .args(args)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(stderr)
        .spawn()
        .map_err(failed)?;
    Ok(Process { child, stdout_path })
}

impl Process {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the `listening` line on standard output and returns the words after it.
    ///
    /// # Errors
    /// If the line does not appear within the time-out.
    pub async fn wait_listening(&mut self) -> Result<Vec<String>> {
        let words = wait::until("listening", async || {
            let text = fs::read_to_string(&self.stdout_path).unwrap_or_default();
            let line = text.lines().find_map(|l| l.strip_prefix("listening "));
            let complete_line = line.filter(|_| text.ends_with('\n'));
            complete_line.map(|l| l.split(' ').map(str::to_owned).collect::<Vec<_>>())
        });
        words.await
    }

    /// Sends the signal `name`, such as `STOP`.
    ///
    /// # Errors
    /// If it can't be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(Error::new("kill", status)),
            Err(why) => Err(Error::new("kill", why)),
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Parses the address at `index` among the words after `listening`.
///
/// # Errors
/// If there is no word at `index`, or it is not an address.
pub fn parse_address(words: &[String], index: usize) -> Result<SocketAddr> {
    let word = words.get(index).ok_or("too few words after listening")?;
    word.parse().map_err(|e| Error::new(word, e))
}
