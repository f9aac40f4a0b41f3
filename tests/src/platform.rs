//! Direct access to the platform stand-in, bypassing relays and simulated outages.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use poplar_base::platform::wire::{CheckWire, CommitWire, RowWire, RowsWire, WriteWire};
use poplar_core::budget::rows::BudgetRow;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::error::{Error, Result};
use crate::{wait, web};

/// The platform's stand-in.
#[derive(Debug, Clone, Copy)]
pub struct Platform {
    /// Address of the stand-in.
    pub address: SocketAddr,
}

/// Result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitResult {
    /// The transaction was committed.
    Yes,
    /// A row's version had changed, so nothing was written.
    Conflict,
}

/// A budget row of the table.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Name of the budget.
    pub name: String,
    /// Decoded row.
    pub row: BudgetRow,
}

impl Platform {
    /// Reads all rows.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn rows(&self) -> Result<Vec<RowWire>> {
        let rows: RowsWire = web::get(self.address, "/control/table").await?;
        Ok(rows.rows)
    }

    /// Reads a row; a missing row has version 0.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn row(&self, key: &str) -> Result<RowWire> {
        let rows = self.rows().await?;
        let row = rows.into_iter().find(|r| r.key == key);
        Ok(row.unwrap_or_else(|| RowWire {
            key: key.to_owned(),
            version: 0,
            value: Value::Null,
        }))
    }

    /// Reads all budgets.
    ///
    /// # Errors
    /// If the platform does not answer or a row can't be decoded.
    pub async fn budgets(&self) -> Result<Vec<Budget>> {
        let rows = self.rows().await?;
        let mut budgets = Vec::new();
        for row in &rows {
            let Some(name) = row.key.strip_prefix("budget/") else {
                continue;
            };
            budgets.push(Budget {
                name: name.to_owned(),
                row: decode(row)?,
            });
        }
        Ok(budgets)
    }

    /// Writes `value` to `key` if the row's version is still `version`.
    ///
    /// # Errors
    /// If the platform can't be reached.
    pub async fn commit(&self, key: &str, version: u64, value: &Value) -> Result<CommitResult> {
        let commit = CommitWire {
            checks: vec![CheckWire {
                key: key.to_owned(),
                version,
            }],
            writes: vec![WriteWire {
                key: key.to_owned(),
                value: Some(value.clone()),
            }],
        };
        let body = serde_json::to_value(&commit).map_err(|e| Error::new(key, e))?;
        let answer = web::post(self.address, "/v1/table/commit", &body).await?;
        match answer.status {
            StatusCode::OK => Ok(CommitResult::Yes),
            StatusCode::CONFLICT => Ok(CommitResult::Conflict),
            status => Err(Error::new(key, status)),
        }
    }

    /// Updates a row, retrying on conflicts with concurrent writers.
    ///
    /// # Errors
    /// If no commit succeeds within the time-out.
    pub async fn update_row(&self, key: &str, next: impl Fn(&Value) -> Value) -> Result<()> {
        let updated = wait::until(key, async || {
            let row = self.row(key).await.ok()?;
            let committed = self.commit(key, row.version, &next(&row.value)).await;
            (committed == Ok(CommitResult::Yes)).then_some(())
        });
        updated.await
    }

    /// Reads an object, waiting until it exists.
    ///
    /// # Errors
    /// If it is still missing after the time-out, or can't be parsed.
    pub async fn object<T: DeserializeOwned>(&self, name: &str) -> Result<T> {
        let path = format!("/v1/objects/{name}");
        let found = wait::until(&path, async || {
            let got = web::request(self.address, Method::GET, &path, Bytes::new()).await;
            got.ok().filter(|a| a.status == StatusCode::OK)
        });
        found.await?.json()
    }

    /// Replaces the host list.
    ///
    /// # Errors
    /// If the platform rejects it.
    pub async fn put_hosts(&self, hosts: &[Value]) -> Result<()> {
        let body = Bytes::from(json!({ "hosts": hosts }).to_string());
        let answer = web::request(self.address, Method::PUT, "/v1/hosts", body).await?;
        expect_ok("hosts", answer.status)
    }

    /// Sets the state of one host in the host list.
    ///
    /// # Errors
    /// If the platform rejects it.
    pub async fn set_host_state(&self, name: &str, state: &str) -> Result<()> {
        let path = format!("/v1/hosts/{name}");
        let answer = web::post(self.address, &path, &json!({ "state": state })).await?;
        expect_ok(&path, answer.status)
    }
}

fn expect_ok(what: &str, status: StatusCode) -> Result<()> {
    match status {
        StatusCode::OK => Ok(()),
        status => Err(Error::new(what, status)),
    }
}

/// Decodes a row's value.
///
/// # Errors
/// If the value has another type.
pub fn decode<T: DeserializeOwned>(row: &RowWire) -> Result<T> {
    serde_json::from_value(row.value.clone()).map_err(|e| Error::new(&row.key, e))
}
