//! The platform's services as a struct of functions.
//!
//! The table is transactional: a commit checks the versions of rows and writes
//! rows, all or nothing. The object store keeps blobs by name. The host list
//! contains the live and leaving backend servers and may be out of date. Only
//! [`client`] and [`wire`] know the wire format, so tests can fill [`Platform`]
//! with their own closures.

pub mod client;
pub mod wire;

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde_json::Value;

/// A row of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Version of its last write; 0 if the row does not exist.
    pub version: u64,
    /// The value; null if the row does not exist.
    pub value: Value,
}

/// Precondition of a commit: the version that a row must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The required version; 0 if the row must not exist.
    pub version: u64,
}

/// One write of a commit.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value; `None` removes the row.
    pub value: Option<Value>,
}

/// A transaction on the table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commit {
    /// Preconditions; if one does not hold, nothing is written.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

impl Commit {
    /// Adds the precondition that the row at `key` has `version`.
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        self.checks.push(Check { key, version });
        self
    }

    /// Adds a write of `value` at `key`.
    pub fn write(mut self, key: impl Into<String>, value: &impl serde::Serialize) -> Self {
        let key = key.into();
        let value = Some(serde_json::to_value(value).expect("rows serialise to JSON"));
        self.writes.push(Write { key, value });
        self
    }

    /// Adds the removal of the row at `key`.
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        let key = key.into();
        self.writes.push(Write { key, value: None });
        self
    }
}

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A backend server in the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: Arc<str>,
    /// IP and port at which it listens.
    pub address: std::net::SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Its kind.
    pub role: Role,
    /// The model or service it offers.
    pub serves: Arc<str>,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Whether it checks fencing numbers.
    pub fenced: bool,
}

/// Error of a call to the platform; `R` is the client's type of a row.
#[derive(Debug)]
pub enum Error<R = Row> {
    /// The platform rejected the call or was not reached; it had no effect.
    Unavailable(String),
    /// The call may or may not have taken effect.
    OutcomeUnknown(String),
    /// A precondition did not hold; contains the current rows.
    Conflict(Vec<R>),
    /// The answer could not be decoded.
    Malformed(String),
}

impl<R> fmt::Display for Error<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "platform is down: {reason}"),
            Self::OutcomeUnknown(reason) => write!(f, "outcome unknown: {reason}"),
            Self::Conflict(rows) => write!(f, "conflict on {} rows", rows.len()),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl<R: fmt::Debug> std::error::Error for Error<R> {}

/// Future result of a call to the platform.
pub type PlatformFuture<T> = BoxFuture<'static, Result<T, Error>>;

/// The platform's calls as functions; clones share them.
#[derive(Clone)]
pub struct Platform {
    /// Reads rows by key; a missing row is returned with version 0.
    pub read: Arc<dyn Fn(Vec<String>) -> PlatformFuture<Vec<Row>> + Send + Sync>,
    /// Reads all rows whose keys start with a prefix, sorted by key.
    pub scan: Arc<dyn Fn(String) -> PlatformFuture<Vec<Row>> + Send + Sync>,
    /// Executes a transaction and returns the version of the written rows.
    pub commit: Arc<dyn Fn(Commit) -> PlatformFuture<u64> + Send + Sync>,
    /// Stores an object; replaces an object of the same name.
    pub put: Arc<dyn Fn(String, Bytes) -> PlatformFuture<()> + Send + Sync>,
    /// Reads an object; `None` if it does not exist.
    pub get: Arc<dyn Fn(String) -> PlatformFuture<Option<Bytes>> + Send + Sync>,
    /// Reads the host list.
    pub hosts: Arc<dyn Fn() -> PlatformFuture<Vec<Host>> + Send + Sync>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}

impl Platform {
    /// Reads one row.
    ///
    /// # Errors
    /// Any error of the platform.
    pub async fn row(&self, key: impl Into<String>) -> Result<Row, Error> {
        let rows = (self.read)(vec![key.into()]).await?;
        let row = rows.into_iter().next();
        row.ok_or_else(|| Error::Malformed("no row in the answer".to_owned()))
    }
}

impl Row {
    /// Decodes the value; `None` if the row does not exist.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the value is not of type `T`.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<Option<T>, Error> {
        if self.version == 0 {
            return Ok(None);
        }
        let value = serde_json::from_value(self.value.clone());
        let value = value.map_err(|e| Error::Malformed(format!("{}: {e}", self.key)))?;
        Ok(Some(value))
    }
}
