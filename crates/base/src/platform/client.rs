//! Client of the platform over HTTP.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use super::wire::{CommitWire, CommittedWire, HostsWire, ReadWire, RowsWire, ScanWire};
use super::{Commit, Error, Host, Platform, PlatformFuture, Row};
use crate::http::{self as web, ReadLimits};

impl<R> From<web::Error> for Error<R> {
    fn from(error: web::Error) -> Self {
        match error {
            web::Error::Connect { reason, .. } => Self::Unavailable(reason),
            web::Error::Lost(reason) => Self::OutcomeUnknown(reason),
            web::Error::TooLarge(_) => Self::Malformed(error.to_string()),
            web::Error::Malformed(reason) => Self::Malformed(reason),
        }
    }
}

/// Address of the platform and timeout of each call. For reads, whose answers
/// may be large, it limits the wait for each part of the answer.
#[derive(Debug, Clone)]
struct Endpoint {
    client: web::Client,
    base_url: String,
    timeout: Duration,
}

impl Endpoint {
    async fn post(&self, path: &str, body: &impl Serialize) -> Result<web::Answer, Error> {
        let url = format!("{}{path}", self.base_url);
        let answer = self.client.post(&url, body, self.timeout).await?;
        check_status(answer)
    }

    async fn read(&self, request: Request<Full<Bytes>>) -> Result<web::Answer, Error> {
        let limits = ReadLimits::with_timeout(self.timeout);
        check_status(self.client.read(request, limits).await?)
    }

    async fn read_rows(&self, path: &str, body: &impl Serialize) -> Result<Vec<Row>, Error> {
        let url = format!("{}{path}", self.base_url);
        let answer = self.read(web::post_request(&url, body)?).await?;
        let rows: RowsWire = answer.json()?;
        Ok(rows.rows.into_iter().map(Row::from).collect())
    }
}

fn check_status(answer: web::Answer) -> Result<web::Answer, Error> {
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

/// Creates a client of the platform at `address`; `timeout` bounds each call.
pub fn open(address: SocketAddr, timeout: Duration) -> Platform {
    with_client(web::Client::open(), address, timeout)
}

/// Like [`open`], but names the calling process in each request.
pub fn open_as(name: &str, address: SocketAddr, timeout: Duration) -> Platform {
    with_client(web::Client::open_as(name), address, timeout)
}

fn with_client(client: web::Client, address: SocketAddr, timeout: Duration) -> Platform {
    let endpoint = Endpoint {
        client,
        base_url: format!("http://{address}"),
        timeout,
    };
    Platform {
        read: boxed_call(&endpoint, |endpoint, keys| async move {
            endpoint
                .read_rows("/v1/table/read", &ReadWire { keys })
                .await
        }),
        scan: boxed_call(&endpoint, |endpoint, prefix| async move {
            endpoint
                .read_rows("/v1/table/scan", &ScanWire { prefix })
                .await
        }),
        commit: boxed_call(&endpoint, |endpoint, commit: Commit| async move {
            let body = CommitWire::from(commit);
            let answer = endpoint.post("/v1/table/commit", &body).await?;
            Ok(answer.json::<CommittedWire>()?.version)
        }),
        put: {
            let endpoint = endpoint.clone();
            Arc::new(move |name, body| Box::pin(put(endpoint.clone(), name, body)))
        },
        get: boxed_call(&endpoint, get),
        hosts: {
            let endpoint = endpoint.clone();
            Arc::new(move || Box::pin(hosts(endpoint.clone())))
        },
    }
}

fn boxed_call<I, T, F>(
    endpoint: &Endpoint,
    call: impl Fn(Endpoint, I) -> F + Send + Sync + 'static,
) -> Arc<dyn Fn(I) -> PlatformFuture<T> + Send + Sync>
where
    F: Future<Output = Result<T, Error>> + Send + 'static,
{
    let endpoint = endpoint.clone();
    Arc::new(move |input| -> BoxFuture<'static, _> { Box::pin(call(endpoint.clone(), input)) })
}

async fn put(endpoint: Endpoint, name: String, body: Bytes) -> Result<(), Error> {
    let url = format!("{}/v1/objects/{name}", endpoint.base_url);
    let answer = endpoint.client.put(&url, body, endpoint.timeout).await?;
    check_status(answer).map(|_| ())
}

async fn get(endpoint: Endpoint, name: String) -> Result<Option<Bytes>, Error> {
    let url = format!("{}/v1/objects/{name}", endpoint.base_url);
    let answer = endpoint.read(web::get_request(&url)?).await?;
    Ok((answer.status != StatusCode::NOT_FOUND).then_some(answer.body))
}

async fn hosts(endpoint: Endpoint) -> Result<Vec<Host>, Error> {
    let url = format!("{}/v1/hosts", endpoint.base_url);
    let answer = endpoint.read(web::get_request(&url)?).await?;
    let list: HostsWire = answer.json()?;
    let hosts: Result<Vec<_>, _> = list.hosts.into_iter().map(Host::try_from).collect();
    hosts.map_err(|e| Error::Malformed(e.to_string()))
}
