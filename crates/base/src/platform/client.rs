//! The platform over HTTP.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::StatusCode;
use serde::Serialize;

use super::wire::{CommitWire, CommittedWire, HostsWire, ReadWire, RowsWire, ScanWire};
use super::{Commit, Error, Host, Platform, PlatformFuture, Row};
use crate::http as web;

impl<R> From<web::Error> for Error<R> {
    fn from(error: web::Error) -> Self {
        match error {
            web::Error::Connect { reason, .. } => Self::Unavailable(reason),
            web::Error::Lost(reason) => Self::OutcomeUnknown(reason),
            web::Error::Malformed(why) => Self::Malformed(why),
        }
    }
}

/// Where the platform is and how long a call may take.
#[derive(Debug, Clone)]
struct Wire {
    client: web::Client,
    base: String,
    timeout: Duration,
}

impl Wire {
    async fn post(&self, path: &str, body: &impl Serialize) -> Result<web::Answer, Error> {
        let url = format!("{}{path}", self.base);
        let answer = self.client.post(&url, body, self.timeout).await?;
        accepted(answer)
    }
}

fn accepted(answer: web::Answer) -> Result<web::Answer, Error> {
    match answer.status {
        s if s.is_success() || s == StatusCode::NOT_FOUND => Ok(answer),
        StatusCode::CONFLICT => {
            let rows: RowsWire = answer.json()?;
            Err(Error::Conflict(
                rows.rows.into_iter().map(Row::from).collect(),
            ))
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(Error::Unavailable(format!("status {}", answer.status)))
        }
        s => Err(Error::OutcomeUnknown(format!("status {s}"))),
    }
}

/// Opens the platform at `address`; each call takes `timeout` at most.
pub fn open(address: SocketAddr, timeout: Duration) -> Platform {
    with_client(web::Client::open(), address, timeout)
}

/// Opens the platform for the process `name`.
pub fn open_as(name: &str, address: SocketAddr, timeout: Duration) -> Platform {
    with_client(web::Client::open_as(name), address, timeout)
}

fn with_client(client: web::Client, address: SocketAddr, timeout: Duration) -> Platform {
    let wire = Wire {
        client,
        base: format!("http://{address}"),
        timeout,
    };
    Platform {
        read: with(&wire, |wire, keys| async move {
            let answer = wire.post("/v1/table/read", &ReadWire { keys }).await?;
            rows(&answer)
        }),
        scan: with(&wire, |wire, prefix| async move {
            let answer = wire.post("/v1/table/scan", &ScanWire { prefix }).await?;
            rows(&answer)
        }),
        commit: with(&wire, |wire, commit: Commit| async move {
            let body = CommitWire::from(commit);
            let answer = wire.post("/v1/table/commit", &body).await?;
            Ok(answer.json::<CommittedWire>()?.version)
        }),
        put: {
            let wire = wire.clone();
            Arc::new(move |name, body| Box::pin(put(wire.clone(), name, body)))
        },
        get: with(&wire, get),
        hosts: {
            let wire = wire.clone();
            Arc::new(move || Box::pin(hosts(wire.clone())))
        },
    }
}

fn with<I, T, F>(
    wire: &Wire,
    call: impl Fn(Wire, I) -> F + Send + Sync + 'static,
) -> Arc<dyn Fn(I) -> PlatformFuture<T> + Send + Sync>
where
    F: Future<Output = Result<T, Error>> + Send + 'static,
{
    let wire = wire.clone();
    Arc::new(move |input| -> BoxFuture<'static, _> { Box::pin(call(wire.clone(), input)) })
}

fn rows(answer: &web::Answer) -> Result<Vec<Row>, Error> {
    let rows: RowsWire = answer.json()?;
    Ok(rows.rows.into_iter().map(Row::from).collect())
}

async fn put(wire: Wire, name: String, body: Bytes) -> Result<(), Error> {
    let url = format!("{}/v1/objects/{name}", wire.base);
    let answer = wire.client.put(&url, body, wire.timeout).await?;
    accepted(answer).map(|_| ())
}

async fn get(wire: Wire, name: String) -> Result<Option<Bytes>, Error> {
    let url = format!("{}/v1/objects/{name}", wire.base);
    let answer = accepted(wire.client.get(&url, wire.timeout).await?)?;
    Ok((answer.status != StatusCode::NOT_FOUND).then_some(answer.body))
}

async fn hosts(wire: Wire) -> Result<Vec<Host>, Error> {
    let url = format!("{}/v1/hosts", wire.base);
    let answer = accepted(wire.client.get(&url, wire.timeout).await?)?;
    let listed: HostsWire = answer.json()?;
    let read: Result<Vec<_>, _> = listed.hosts.into_iter().map(Host::try_from).collect();
    read.map_err(|e| Error::Malformed(e.to_string()))
}
