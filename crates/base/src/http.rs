//! A small JSON client over a pool of HTTP/1.1 connections.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as Pool, Error as PoolError};
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest answer in bytes unless a call has another limit: twice the largest object of
/// the platform's store. A server in trouble may send bytes without end.
pub const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Request header with the name of the calling process.
pub const SENDER_HEADER: &str = "x-router";

/// How a call failed.
#[derive(Debug)]
pub enum Error {
    /// No connection was made, so the server received nothing.
    Connect {
        /// Whether the connection was refused because nothing listens there.
        refused: bool,
        /// The error of the connection attempt.
        reason: String,
    },
    /// The request was sent, but no complete answer arrived in time; the
    /// server may have carried it out.
    Lost(String),
    /// The answer has more bytes than this limit; the rest was not read.
    TooLarge(u64),
    /// The answer could not be decoded.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect { reason, .. } => write!(f, "no connection: {reason}"),
            Self::Lost(reason) => write!(f, "answer lost: {reason}"),
            Self::TooLarge(limit) => write!(f, "answer larger than {limit} bytes"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Converts the error of a request that could not be built.
    fn invalid_request(error: http::Error) -> Self {
        Self::Connect {
            refused: false,
            reason: error.to_string(),
        }
    }
}

impl From<PoolError> for Error {
    fn from(error: PoolError) -> Self {
        if error.is_connect() {
            Self::Connect {
                refused: is_connection_refused(&error),
                reason: error.to_string(),
            }
        } else {
            Self::Lost(error.to_string())
        }
    }
}

/// Whether the chain of causes contains a refused connection.
fn is_connection_refused(error: &PoolError) -> bool {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = cause {
        let io_error = error.downcast_ref::<std::io::Error>();
        if io_error.is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
    /// Whether the head says where the body ends. Otherwise the end of the connection
    /// does, and a part of an answer can't be told from all of it.
    pub is_framed: bool,
}

impl Answer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// [`Error::Malformed`] if it is not valid JSON of type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::Malformed(e.to_string()))
    }
}

/// Limits of a call whose answer may be large.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Longest wait for the head of the answer.
    pub head_timeout: Duration,
    /// Longest wait for each further part of its body.
    pub read_timeout: Duration,
    /// Longest body in bytes.
    pub max_bytes: u64,
}

impl ReadLimits {
    /// The same time-out for each part of the answer, which may have
    /// [`MAX_ANSWER_BYTES`].
    pub fn with_timeout(timeout: Duration) -> Self {
        Self {
            head_timeout: timeout,
            read_timeout: timeout,
            max_bytes: MAX_ANSWER_BYTES,
        }
    }
}

/// How much of an answer has arrived.
#[derive(Debug, Default)]
struct Progress {
    /// Bytes of the body; `None` before the head.
    received: Option<usize>,
    /// Length of the body, if the head says it.
    length: Option<u64>,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.received, self.length) {
            (None, _) => write!(f, "no answer"),
            (Some(received), Some(length)) => write!(f, "received {received} of {length} bytes"),
            (Some(received), None) => write!(f, "received {received} bytes"),
        }
    }
}

/// An HTTP client with a connection pool; clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    sender: Option<HeaderValue>,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool, sender: None }
    }

    /// Creates a client that sends `name` in the header [`SENDER_HEADER`].
    pub fn open_as(name: &str) -> Self {
        Self {
            // A name that is not a valid header value is left out.
            sender: HeaderValue::from_str(name).ok(),
            ..Self::open()
        }
    }

    /// Sends a request and returns the response without reading its body.
    ///
    /// # Errors
    /// [`Error::Connect`] if nothing was sent, else [`Error::Lost`].
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        if let Some(sender) = &self.sender {
            request.headers_mut().insert(SENDER_HEADER, sender.clone());
        }
        Ok(self.pool.request(request).await?)
    }

    /// Sends a request and reads the complete answer within `timeout`.
    ///
    /// # Errors
    /// [`Error::Connect`] if nothing was sent, [`Error::TooLarge`] if the answer has
    /// more than [`MAX_ANSWER_BYTES`], else [`Error::Lost`].
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let mut progress = Progress::default();
        let limits = ReadLimits::with_timeout(timeout);
        let complete = self.receive(request, limits, &mut progress);
        match tokio::time::timeout(timeout, complete).await {
            Ok(answer) => answer,
            Err(_) => Err(timed_out(timeout, &progress)),
        }
    }

    /// Sends a request and reads the answer for as long as it keeps arriving,
    /// so that its size doesn't decide whether it does.
    ///
    /// # Errors
    /// [`Error::Connect`] if nothing was sent, [`Error::TooLarge`] as soon as
    /// the answer is known to exceed the limit, else [`Error::Lost`].
    pub async fn read(
        &self,
        request: Request<Full<Bytes>>,
        limits: ReadLimits,
    ) -> Result<Answer, Error> {
        let mut progress = Progress::default();
        self.receive(request, limits, &mut progress).await
    }

    async fn receive(
        &self,
        request: Request<Full<Bytes>>,
        limits: ReadLimits,
        progress: &mut Progress,
    ) -> Result<Answer, Error> {
        let ReadLimits {
            head_timeout,
            read_timeout,
            max_bytes,
        } = limits;
        let response = tokio::time::timeout(head_timeout, self.send(request)).await;
        let response = response.map_err(|_| timed_out(head_timeout, progress))??;
        let (head, mut body) = response.into_parts();
        if !is_final(head.status) {
            return Err(Error::Malformed(format!("status {}", head.status.as_u16())));
        }
        progress.length = body.size_hint().exact();
        progress.received = Some(0);
        if body.size_hint().lower() > max_bytes {
            return Err(Error::TooLarge(max_bytes));
        }
        let mut bytes = BytesMut::new();
        loop {
            let frame = tokio::time::timeout(read_timeout, body.frame()).await;
            let Some(frame) = frame.map_err(|_| timed_out(read_timeout, progress))? else {
                break;
            };
            let frame = frame.map_err(|e| Error::Lost(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
                progress.received = Some(bytes.len());
                if bytes.len() as u64 > max_bytes {
                    return Err(Error::TooLarge(max_bytes));
                }
            }
        }
        Ok(Answer {
            status: head.status,
            body: bytes.freeze(),
            is_framed: is_framed(&head),
        })
    }

    /// Sends a GET request to `url`.
    ///
    /// # Errors
    /// Those of [`Client::call`].
    pub async fn get(&self, url: &str, timeout: Duration) -> Result<Answer, Error> {
        self.call(get_request(url)?, timeout).await
    }

    /// Sends a POST request with `body` as JSON to `url`.
    ///
    /// # Errors
    /// Those of [`Client::call`].
    pub async fn post(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        self.call(post_request(url, body)?, timeout).await
    }

    /// Sends a PUT request with `body` to `url`.
    ///
    /// # Errors
    /// Those of [`Client::call`].
    pub async fn put(&self, url: &str, body: Bytes, timeout: Duration) -> Result<Answer, Error> {
        let request = Request::put(url)
            .body(Full::new(body))
            .map_err(Error::invalid_request)?;
        self.call(request, timeout).await
    }
}

/// Whether an answer may have this status: an interim one is not final, and what is beyond
/// the classes of statuses means nothing to a client.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether these headers say that a body has a length or chunks.
pub fn has_length(headers: &HeaderMap) -> bool {
    let names = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    names.iter().any(|name| headers.contains_key(name))
}

/// Whether a body after this head, if there is one, has a length or chunks.
fn is_framed(head: &Parts) -> bool {
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    has_no_body || has_length(&head.headers)
}

/// A GET request to `url`.
///
/// # Errors
/// [`Error::Connect`] if `url` is not valid.
pub fn get_request(url: &str) -> Result<Request<Full<Bytes>>, Error> {
    Request::get(url)
        .body(Full::default())
        .map_err(Error::invalid_request)
}

/// A POST request with `body` as JSON to `url`.
///
/// # Errors
/// [`Error::Malformed`] if `body` can't be encoded, [`Error::Connect`] if `url`
/// is not valid.
pub fn post_request(url: &str, body: &impl Serialize) -> Result<Request<Full<Bytes>>, Error> {
    let bytes = serde_json::to_vec(body).map_err(|e| Error::Malformed(e.to_string()))?;
    Request::post(url)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(bytes))
        .map_err(Error::invalid_request)
}

fn timed_out(timeout: Duration, progress: &Progress) -> Error {
    Error::Lost(format!("timeout after {timeout:?}, {progress}"))
}
