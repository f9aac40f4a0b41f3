//! The platform's stand-in as the tests see it, past every relay and outage.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use poplar_base::platform::wire::{CheckWire, CommitWire, RowWire, RowsWire, WriteWire};
use poplar_core::budget::rows::BudgetRow;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::fault::{Fault, Result};
use crate::{wait, web};

/// The platform's stand-in.
#[derive(Debug, Clone, Copy)]
pub struct Platform {
    /// Where it is.
    pub address: SocketAddr,
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Committed {
    /// It took effect.
    Yes,
    /// A row had been changed.
    Conflict,
}

/// A budget as the table has it.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Its name.
    pub name: String,
    /// Its row.
    pub row: BudgetRow,
}

impl Platform {
    /// Every row.
    ///
    /// # Errors
    /// Where the platform does not answer.
    pub async fn rows(&self) -> Result<Vec<RowWire>> {
        let rows: RowsWire = web::get(self.address, "/control/table").await?;
        Ok(rows.rows)
    }

    /// A row, with version 0 where there is none.
    ///
    /// # Errors
    /// Where the platform does not answer.
    pub async fn row(&self, key: &str) -> Result<RowWire> {
        let rows = self.rows().await?;
        let row = rows.into_iter().find(|r| r.key == key);
        Ok(row.unwrap_or_else(|| RowWire {
            key: key.to_owned(),
            version: 0,
            value: Value::Null,
        }))
    }

    /// Every budget.
    ///
    /// # Errors
    /// Where a row can't be read.
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

    /// Writes `value` to `key` where its version is still `version`.
    ///
    /// # Errors
    /// Where the platform can't be reached.
    pub async fn commit(&self, key: &str, version: u64, value: &Value) -> Result<Committed> {
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
        let body = serde_json::to_value(&commit).map_err(|e| Fault::of(key, e))?;
        let answer = web::post(self.address, "/v1/table/commit", &body).await?;
        match answer.status {
            StatusCode::OK => Ok(Committed::Yes),
            StatusCode::CONFLICT => Ok(Committed::Conflict),
            status => Err(Fault::of(key, status)),
        }
    }

    /// Changes a row, again where others change it at the same time.
    ///
    /// # Errors
    /// Where the platform does not answer.
    pub async fn change(&self, key: &str, next: impl Fn(&Value) -> Value) -> Result<()> {
        let changed = wait::until(key, async || {
            let row = self.row(key).await.ok()?;
            let done = self.commit(key, row.version, &next(&row.value)).await;
            (done == Ok(Committed::Yes)).then_some(())
        });
        changed.await
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Where it is missing.
    pub async fn object<T: DeserializeOwned>(&self, name: &str) -> Result<T> {
        let path = format!("/v1/objects/{name}");
        let found = wait::until(&path, async || {
            let got = web::plain(self.address, Method::GET, &path, Bytes::new()).await;
            got.ok().filter(|a| a.status == StatusCode::OK)
        });
        found.await?.json()
    }

    /// Replaces the host list.
    ///
    /// # Errors
    /// Where the platform refuses it.
    pub async fn hosts(&self, hosts: &[Value]) -> Result<()> {
        let body = Bytes::from(json!({ "hosts": hosts }).to_string());
        let answer = web::plain(self.address, Method::PUT, "/v1/hosts", body).await?;
        accepted("hosts", answer.status)
    }

    /// Sets the state of one host.
    ///
    /// # Errors
    /// Where the platform refuses it.
    pub async fn host(&self, name: &str, state: &str) -> Result<()> {
        let path = format!("/v1/hosts/{name}");
        let answer = web::post(self.address, &path, &json!({ "state": state })).await?;
        accepted(&path, answer.status)
    }
}

fn accepted(what: &str, status: StatusCode) -> Result<()> {
    match status {
        StatusCode::OK => Ok(()),
        status => Err(Fault::of(what, status)),
    }
}

/// Reads a row's value.
///
/// # Errors
/// Where it is something else.
pub fn decode<T: DeserializeOwned>(row: &RowWire) -> Result<T> {
    serde_json::from_value(row.value.clone()).map_err(|e| Fault::of(&row.key, e))
}
