//! The platform's published wire format: JSON over HTTP.
//!
//! The calls are `POST /v1/table/read`, `/v1/table/scan` and
//! `/v1/table/commit`, `PUT` and `GET /v1/objects/<name>`, and `GET /v1/hosts`.
//! A transaction whose checks fail is answered by 409 with the current rows. The
//! statuses 429 and 503 mean that the call had no effect.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Check, Commit, Host, Role, Row, Write};

/// Request to read rows by key.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct ReadWire {
    /// Keys of the rows; the answer has the same order.
    pub keys: Vec<String>,
}

/// Request to read all rows with a prefix.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct ScanWire {
    /// Prefix of the keys.
    pub prefix: String,
}

/// A row.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RowWire {
    /// The row's key.
    pub key: String,
    /// Version of its last write; 0 if the row does not exist.
    pub version: u64,
    /// The value; null if the row does not exist.
    pub value: Value,
}

/// Rows of an answer or of a conflict.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RowsWire {
    /// The rows.
    pub rows: Vec<RowWire>,
}

/// A precondition of a transaction.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CheckWire {
    /// The row's key.
    pub key: String,
    /// The required version; 0 if the row must not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WriteWire {
    /// The row's key.
    pub key: String,
    /// The new value; null removes the row.
    pub value: Option<Value>,
}

/// A transaction.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CommitWire {
    /// Preconditions.
    pub checks: Vec<CheckWire>,
    /// Rows to write.
    pub writes: Vec<WriteWire>,
}

/// Answer to a transaction that took effect.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct CommittedWire {
    /// Version of all rows that the transaction wrote.
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

/// An entry of the host list has an unknown role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidHost {
    /// Name of the host and the unknown role.
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
