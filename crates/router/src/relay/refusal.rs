//! Answers of the router's own.
//!
//! 429 and 503 promise that the request has not run and never will; 502 and
//! 504 promise nothing.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use poplar_platform::headers;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why a request is not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// The reason, a stable word.
    pub reason: &'static str,
    /// When to come back, where that makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal after which coming back does not help.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request that has not run, with when to come back.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The answer to the client.
    pub fn response(&self, id: Option<&str>) -> Response<Body> {
        let mut response = Response::new(full_body(Bytes::from(format!("{}\n", self.reason))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let text = HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, text);
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if let Some(id) = id {
            let (name, value) = headers::attempt_id_header(id);
            headers.insert(name, value);
        }
        response
    }
}

/// A body that is at hand.
pub fn full_body(bytes: Bytes) -> Body {
    let never = |never: std::convert::Infallible| match never {};
    Full::new(bytes).map_err(never).boxed_unsync()
}
