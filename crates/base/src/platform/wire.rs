//! The platform's published wire format: JSON over HTTP.
//!
//! `POST /v1/table/read`, `/v1/table/scan`, `/v1/table/commit`;
//! `PUT` and `GET /v1/objects/<name>`; `GET /v1/hosts`. A refused transaction
//! answers 409 with the rows as they are; 429 and 503 mean that nothing took
//! effect.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Check, Commit, Host, Role, Row, Write};

/// Keys to read.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct ReadWire {
    /// Keys in the order of the answer.
    pub keys: Vec<String>,
}

/// A prefix to read.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct ScanWire {
    /// What the keys start with.
    pub prefix: String,
}

/// A row.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RowWire {
    /// The row's key.
    pub key: String,
    /// 0 where there is no row.
    pub version: u64,
    /// Null where there is no row.
    pub value: Value,
}

/// Rows of an answer, or of a conflict.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RowsWire {
    /// The rows.
    pub rows: Vec<RowWire>,
}

/// A version relied on.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CheckWire {
    /// The row's key.
    pub key: String,
    /// 0 where there must be no row.
    pub version: u64,
}

/// A row to write.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WriteWire {
    /// The row's key.
    pub key: String,
    /// Null removes the row.
    pub value: Option<Value>,
}

/// A transaction.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CommitWire {
    /// What must hold.
    pub checks: Vec<CheckWire>,
    /// What is written.
    pub writes: Vec<WriteWire>,
}

/// A transaction's outcome.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct CommittedWire {
    /// The version of every row it wrote.
    pub version: u64,
}

/// A backend server in the host list.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct HostWire {
    /// Its name.
    pub name: Arc<str>,
    /// IP and port.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// `engine` or `service`.
    pub role: String,
    /// The model or service it offers.
    pub serves: Arc<str>,
    /// `live` or `leaving`.
    pub state: String,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fenced: bool,
}

/// The host list.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct HostsWire {
    /// The hosts.
    pub hosts: Vec<HostWire>,
}

impl From<Row> for RowWire {
    fn from(row: Row) -> Self {
        let Row {
            key,
            version,
            value,
        } = row;
        Self {
            key,
            version,
            value,
        }
    }
}

impl From<RowWire> for Row {
    fn from(wire: RowWire) -> Self {
        Self {
            key: wire.key,
            version: wire.version,
            value: wire.value,
        }
    }
}

impl From<Commit> for CommitWire {
    fn from(commit: Commit) -> Self {
        let check = |c: Check| CheckWire {
            key: c.key,
            version: c.version,
        };
        let write = |w: Write| WriteWire {
            key: w.key,
            value: w.value,
        };
        Self {
            checks: commit.checks.into_iter().map(check).collect(),
            writes: commit.writes.into_iter().map(write).collect(),
        }
    }
}

/// A host's entry that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidHost {
    /// What was found.
    pub reason: String,
}

impl std::fmt::Display for InvalidHost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for InvalidHost {}

impl TryFrom<HostWire> for Host {
    type Error = InvalidHost;

    fn try_from(wire: HostWire) -> Result<Self, InvalidHost> {
        let role = match wire.role.as_str() {
            "engine" => Role::Engine,
            "service" => Role::Service,
            other => {
                return Err(InvalidHost {
                    reason: format!("{}: role {other:?}", wire.name),
                });
            }
        };
        Ok(Self {
            name: wire.name,
            address: wire.address,
            centre: wire.centre,
            role,
            serves: wire.serves,
            leaving: wire.state != "live",
            fenced: wire.fenced,
        })
    }
}
