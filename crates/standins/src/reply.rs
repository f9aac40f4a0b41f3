//! Helpers to read HTTP requests and build responses.
//!
//! A handler that returns [`ConnectionCut`] closes its connection without a
//! response. A body that yields [`ConnectionCut`] closes it in the middle of one.

use std::convert::Infallible;
use std::fmt;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Closes the connection without a response or without the rest of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCut;

impl fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection cut on purpose")
    }
}

impl std::error::Error for ConnectionCut {}

/// A response body that may end with a cut connection.
pub type Body = UnsyncBoxBody<Bytes, ConnectionCut>;

/// The result of a handler: a response or a cut connection.
pub type Reply = Result<Response<Body>, ConnectionCut>;

fn response(status: StatusCode, kind: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// A successful response with a binary body.
pub fn bytes(body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|e: Infallible| match e {});
    response(
        StatusCode::OK,
        "application/octet-stream",
        body.boxed_unsync(),
    )
}

/// A JSON response with the given status.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("responses can always be written as JSON");
    let body = Full::new(Bytes::from(body)).map_err(|e: Infallible| match e {});
    response(status, "application/json", body.boxed_unsync())
}

/// An error response with an error code.
pub fn refusal(status: StatusCode, code: &str) -> Response<Body> {
    json(status, &json!({"error": {"code": code}}))
}

/// A stream of server-sent events, which may end with a cut connection.
pub fn event_stream(
    stream: impl Stream<Item = Result<Bytes, ConnectionCut>> + Send + 'static,
) -> Response<Body> {
    let body = StreamBody::new(stream.map(|chunk| chunk.map(Frame::data)));
    response(StatusCode::OK, "text/event-stream", body.boxed_unsync())
}

/// Reads the whole body of a request.
///
/// # Errors
/// Returns [`ConnectionCut`] if the caller disconnected.
pub async fn read_body(body: Incoming) -> Result<Bytes, ConnectionCut> {
    Ok(body.collect().await.map_err(|_| ConnectionCut)?.to_bytes())
}

/// A request body or switch value that is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Malformed {}

impl Malformed {
    /// Creates an error with its reason.
    pub fn new(reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { reason }
    }

    /// The HTTP response for this error.
    pub fn response(&self) -> Response<Body> {
        let error = json!({"code": "malformed", "message": self.reason});
        json(StatusCode::BAD_REQUEST, &json!({"error": error}))
    }
}

/// Parses a JSON body.
///
/// # Errors
/// Returns an error if the body is not valid JSON of the expected type.
pub fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Malformed> {
    serde_json::from_slice(body).map_err(|e| Malformed::new(e.to_string()))
}

/// A successful JSON response.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// The response to an unknown path, method or name.
pub fn not_found() -> Response<Body> {
    refusal(StatusCode::NOT_FOUND, "unknown")
}

/// The text of a header, empty if it is missing.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// A value of the query string, not decoded.
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query.unwrap_or_default().split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name).map(|(_, value)| value)
}
