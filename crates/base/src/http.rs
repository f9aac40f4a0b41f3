//! A small JSON client over a pool of HTTP/1.1 connections.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as Pool, Error as PoolError};
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// How long connecting may take.
const CONNECT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(10);

/// Header that names the process a call comes from.
pub const SENDER_HEADER: &str = "x-router";

/// How a call failed.
#[derive(Debug)]
pub enum Error {
    /// No connection was made, so the other side saw nothing of the call.
    Connect {
        /// Whether the other side refused it: nobody listens there.
        refused: bool,
        /// What the system said.
        reason: String,
    },
    /// The call was sent, but no whole answer came back in time.
    Lost(String),
    /// The answer was not what the caller can read.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect { reason, .. } => write!(f, "no connection: {reason}"),
            Self::Lost(why) => write!(f, "answer lost: {why}"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// A call that could not be put together.
    fn unsent(why: http::Error) -> Self {
        Self::Connect {
            refused: false,
            reason: why.to_string(),
        }
    }
}

impl From<PoolError> for Error {
    fn from(error: PoolError) -> Self {
        if error.is_connect() {
            Self::Connect {
                refused: is_refusal(&error),
                reason: error.to_string(),
            }
        } else {
            Self::Lost(error.to_string())
        }
    }
}

/// Whether the system's error at the bottom is a refused connection.
fn is_refusal(error: &PoolError) -> bool {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = cause {
        let system = error.downcast_ref::<std::io::Error>();
        if system.is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// [`Error::Malformed`] where it is not of the expected shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::Malformed(e.to_string()))
    }
}

/// A client with its pool of connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    sender: Option<HeaderValue>,
}

impl Client {
    /// Opens a client with an empty pool.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool, sender: None }
    }

    /// Opens a client that names its process in the header [`SENDER_HEADER`].
    pub fn open_as(name: &str) -> Self {
        Self {
            // A name that no header can carry is left out.
            sender: HeaderValue::from_str(name).ok(),
            ..Self::open()
        }
    }

    /// Sends a request and returns the answer's head with its body unread.
    ///
    /// # Errors
    /// [`Error::Connect`] where nothing was sent, else [`Error::Lost`].
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        if let Some(sender) = &self.sender {
            request.headers_mut().insert(SENDER_HEADER, sender.clone());
        }
        Ok(self.pool.request(request).await?)
    }

    /// Sends a request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// [`Error::Connect`] where nothing was sent, else [`Error::Lost`].
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = body.collect().await;
            let body = body.map_err(|e| Error::Lost(e.to_string()))?.to_bytes();
            Ok(Answer {
                status: head.status,
                body,
            })
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Lost(format!("timeout after {timeout:?}"))),
        }
    }

    /// Gets `url`.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn get(&self, url: &str, timeout: Duration) -> Result<Answer, Error> {
        self.call(bare(Method::GET, url)?, timeout).await
    }

    /// Posts `body` as JSON to `url`.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn post(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let bytes = serde_json::to_vec(body).map_err(|e| Error::Malformed(e.to_string()))?;
        let request = Request::post(url)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::from(bytes))
            .map_err(Error::unsent)?;
        self.call(request, timeout).await
    }

    /// Puts `body` at `url`.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn put(&self, url: &str, body: Bytes, timeout: Duration) -> Result<Answer, Error> {
        let request = Request::put(url)
            .body(Full::new(body))
            .map_err(Error::unsent)?;
        self.call(request, timeout).await
    }
}

fn bare(method: Method, url: &str) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(url)
        .body(Full::default())
        .map_err(Error::unsent)
}
