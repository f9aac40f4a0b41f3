//! The platform's services behind one plain struct of functions.
//!
//! The table is transactional: a commit names the versions it relies on and
//! writes rows, all or nothing. The object store keeps blobs by name. The host
//! list names live and leaving backend servers, and lags. Only [`client`] knows
//! the wire format; tests fill [`Platform`] with closures of their own.

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
    /// Version of its last write; 0 means that there is no row.
    pub version: u64,
    /// The value; null where there is no row.
    pub value: Value,
}

/// A version that a commit relies on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version it must have; 0 means that there must be no row.
    pub version: u64,
}

/// A row that a commit writes.
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
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written if it does.
    pub writes: Vec<Write>,
}

impl Commit {
    /// Relies on `key` having `version`.
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        self.checks.push(Check { key, version });
        self
    }

    /// Writes `value` at `key`.
    pub fn write(mut self, key: impl Into<String>, value: &impl serde::Serialize) -> Self {
        let key = key.into();
        let value = Some(serde_json::to_value(value).expect("rows are plain data"));
        self.writes.push(Write { key, value });
        self
    }

    /// Removes the row at `key`.
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        let key = key.into();
        self.writes.push(Write { key, value: None });
        self
    }
}

/// What a backend server offers.
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
    /// Where it listens: IP and port.
    pub address: std::net::SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// What it is.
    pub role: Role,
    /// The model or service it offers.
    pub serves: Arc<str>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it checks fencing numbers.
    pub fenced: bool,
}

/// How a call of the platform failed; `R` is a row as the client knows it.
#[derive(Debug)]
pub enum Error<R = Row> {
    /// The platform refused or was not reached: nothing took effect.
    Unavailable(String),
    /// It may or may not have taken effect.
    OutcomeUnknown(String),
    /// A check did not hold; the rows as they are now.
    Conflict(Vec<R>),
    /// The answer could not be read.
    Malformed(String),
}

impl<R> fmt::Display for Error<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "platform is down: {why}"),
            Self::OutcomeUnknown(why) => write!(f, "outcome unknown: {why}"),
            Self::Conflict(rows) => write!(f, "conflict on {} rows", rows.len()),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl<R: fmt::Debug> std::error::Error for Error<R> {}

/// A call's outcome, later.
pub type PlatformFuture<T> = BoxFuture<'static, Result<T, Error>>;

/// The platform as functions; clones share them.
#[derive(Clone)]
pub struct Platform {
    /// Reads rows; a missing one comes back with version 0.
    pub read: Arc<dyn Fn(Vec<String>) -> PlatformFuture<Vec<Row>> + Send + Sync>,
    /// Reads every row whose key starts with a prefix, in order of the keys.
    pub scan: Arc<dyn Fn(String) -> PlatformFuture<Vec<Row>> + Send + Sync>,
    /// Carries out a transaction and returns the version it wrote.
    pub commit: Arc<dyn Fn(Commit) -> PlatformFuture<u64> + Send + Sync>,
    /// Puts an object; a repeated put of the same name replaces it.
    pub put: Arc<dyn Fn(String, Bytes) -> PlatformFuture<()> + Send + Sync>,
    /// Gets an object, `None` where there is none.
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
    /// As the platform's.
    pub async fn row(&self, key: impl Into<String>) -> Result<Row, Error> {
        let rows = (self.read)(vec![key.into()]).await?;
        let row = rows.into_iter().next();
        row.ok_or_else(|| Error::Malformed("no row in the answer".to_owned()))
    }
}

impl Row {
    /// Reads the value, `None` where there is no row.
    ///
    /// # Errors
    /// [`Error::Malformed`] where it is of another shape.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<Option<T>, Error> {
        if self.version == 0 {
            return Ok(None);
        }
        let value = serde_json::from_value(self.value.clone());
        let value = value.map_err(|e| Error::Malformed(format!("{}: {e}", self.key)))?;
        Ok(Some(value))
    }
}
