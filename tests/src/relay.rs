//! TCP relays that inject network faults between the processes.
//!
//! There is a relay in front of every address that routers connect to, and each
//! router has its own relay to the platform. At the other relays the connecting
//! process is looked up in the system's socket table, so that connections from
//! one process to another can be cut in one direction only.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::error::{Error, Result};

/// Size of the buffer that bytes are copied through.
const BUFFER_BYTES: usize = 16 * 1024;
/// Process name in rules that stands for every process.
const ANY: &str = "all";

/// Fault that a rule applies to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Bytes are held until the rule is removed.
    Hold,
    /// Existing and new connections are closed.
    Reset,
    /// Bytes are forwarded after this delay.
    Delay(Duration),
}

/// A rule for connections of one process to another.
#[derive(Debug, Clone)]
pub struct Rule {
    /// Name of the connecting process.
    pub from: String,
    /// Name of the process connected to.
    pub to: String,
    /// Fault to apply.
    pub mode: Mode,
}

impl Rule {
    fn matches(&self, from: &str, to: &str) -> bool {
        let matches = |name: &str, of: &str| name == ANY || name == of;
        matches(&self.from, from) && matches(&self.to, to)
    }
}

/// All relays of a scenario.
#[derive(Debug, Clone)]
pub struct Relays {
    rules: Arc<watch::Sender<Vec<Rule>>>,
    names: Arc<Mutex<Vec<(u32, String)>>>,
}

/// One relay, which forwards to a target that can change.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Listening address.
    pub address: SocketAddr,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
}

impl Relay {
    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            rules: Arc::new(watch::channel(Vec::new()).0),
            names: Arc::default(),
        }
    }
}

impl Relays {
    /// Registers the name of the process `id`, for the lookup of connections.
    pub fn register_process(&self, id: u32, name: &str) {
        let mut names = self.names.lock().unwrap_or_else(|e| e.into_inner());
        names.push((id, name.to_owned()));
    }

    /// Adds a rule, which takes precedence over earlier ones.
    pub fn add_rule(&self, rule: Rule) {
        self.rules.send_modify(|rules| rules.insert(0, rule));
    }

    /// Removes the rules from `from` to `to`, or all rules if both are `all`.
    pub fn remove_rules(&self, from: &str, to: &str) {
        let is_kept = |r: &Rule| !(r.from == from && r.to == to || from == ANY && to == ANY);
        self.rules.send_modify(|rules| rules.retain(is_kept));
    }

    /// Opens a relay in front of the process `to`.
    ///
    /// With `from`, all connections are attributed to that process; without it,
    /// the process of each connection is looked up.
    ///
    /// # Errors
    /// If it can't listen.
    pub async fn open(&self, from: Option<&str>, to: &str) -> Result<Relay> {
        let failed = |e| Error::new("relay", e);
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let target = Arc::new(watch::channel(None).0);
        let relay = Relay { address, target };
        let context = RelayContext {
            relays: self.clone(),
            relay: relay.clone(),
            from: from.map(str::to_owned),
            to: to.to_owned(),
        };
        tokio::spawn(accept(context, listener));
        Ok(relay)
    }

    fn process_of(&self, caller: SocketAddr) -> Option<String> {
        let socket = format!("socket:[{}]", socket_inode(caller)?);
        let names = self.names.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let owned = |id: &u32| {
            let open = fs::read_dir(format!("/proc/{id}/fd")).ok();
            let mut entries = open.into_iter().flatten().flatten();
            entries.any(|f| fs::read_link(f.path()).is_ok_and(|l| l.as_os_str() == &*socket))
        };
        let found = names.into_iter().find(|(id, _)| owned(id));
        found.map(|(_, name)| name)
    }
}

/// Finds the inode of the socket that is bound to `address`.
fn socket_inode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(v4.ip().octets());
    let wanted = format!("{ip:08X}:{:04X}", v4.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let line = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .find(|words| words.get(1) == Some(&wanted.as_str()))?;
    line.get(9).map(|inode| (*inode).to_owned())
}

/// State that all connections of a relay share.
#[derive(Debug, Clone)]
struct RelayContext {
    relays: Relays,
    relay: Relay,
    from: Option<String>,
    to: String,
}

async fn accept(context: RelayContext, listener: TcpListener) {
    while let Ok((stream, caller)) = listener.accept().await {
        tokio::spawn(handle_connection(context.clone(), stream, caller));
    }
}

async fn handle_connection(context: RelayContext, stream: TcpStream, caller: SocketAddr) {
    let from = match context.from {
        Some(from) => from,
        None => {
            let relays = context.relays.clone();
            let owner = tokio::task::spawn_blocking(move || relays.process_of(caller));
            owner.await.ok().flatten().unwrap_or_default()
        }
    };
    let connection = Connection {
        rules: context.relays.rules.subscribe(),
        from,
        to: context.to,
    };
    forward(connection, stream, context.relay.target.subscribe()).await;
}

/// The endpoints of a connection, and the rules that may apply to it.
#[derive(Debug, Clone)]
struct Connection {
    rules: watch::Receiver<Vec<Rule>>,
    from: String,
    to: String,
}

impl Connection {
    fn mode(&mut self) -> Option<Mode> {
        let rules = self.rules.borrow_and_update();
        let rule = rules.iter().find(|r| r.matches(&self.from, &self.to));
        rule.map(|r| r.mode)
    }

    /// Waits until bytes may be forwarded; returns false if the connection must close.
    async fn wait_to_pass(&mut self) -> bool {
        let mut delayed = false;
        loop {
            match self.mode() {
                None => return true,
                Some(Mode::Reset) => return false,
                Some(Mode::Delay(_)) if delayed => return true,
                Some(Mode::Delay(time)) => {
                    tokio::time::sleep(time).await;
                    delayed = true;
                }
                Some(Mode::Hold) => {
                    if self.rules.changed().await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    /// Waits until a rule resets the connection.
    async fn wait_for_reset(mut self) {
        while self.mode() != Some(Mode::Reset) {
            if self.rules.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn forward(
    mut connection: Connection,
    stream: TcpStream,
    target: watch::Receiver<Option<SocketAddr>>,
) {
    if !connection.wait_to_pass().await {
        return;
    }
    let Some(target) = *target.borrow() else {
        return;
    };
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    let (client_reader, client_writer) = stream.into_split();
    let (target_reader, target_writer) = onward.into_split();
    let requests = copy_bytes(connection.clone(), client_reader, target_writer);
    let answers = copy_bytes(connection.clone(), target_reader, client_writer);
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        () = connection.wait_for_reset() => {}
    }
}

async fn copy_bytes(mut connection: Connection, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        // The end of the stream is held or delayed like its bytes.
        if !connection.wait_to_pass().await {
            return;
        }
        let Ok(count @ 1..) = read else {
            break;
        };
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
