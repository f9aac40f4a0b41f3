//! Error responses that the router itself produces.
//!
//! Statuses 429 and 503 promise that the request has not run and never will;
//! 502 and 504 leave that open.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use poplar_core::availability::Reason;
use poplar_platform::headers;

use crate::relay::servers::Unavailable;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A request that is refused, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Status of the response.
    pub status: StatusCode,
    /// The reason in fixed words, which are also a label of metrics.
    pub reason: &'static str,
    /// When the client should retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
    /// Whether another version of the configuration might allow the request.
    pub by_configuration: bool,
}

impl Refusal {
    /// A refusal for which a retry does not help.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            by_configuration: false,
        }
    }

    /// A refusal of a request that the configuration does not allow.
    pub fn by_configuration(status: StatusCode, reason: &'static str) -> Self {
        Self {
            by_configuration: true,
            ..Self::new(status, reason)
        }
    }

    /// A refusal of a request that has not run and may be retried after a time.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// The response to the client.
    pub fn response(&self, id: Option<&str>) -> Response<Body> {
        let mut response = Response::new(full_body(Bytes::from(format!("{}\n", self.reason))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, content_type);
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

/// A body that consists of these bytes.
pub fn full_body(bytes: Bytes) -> Body {
    let never = |never: std::convert::Infallible| match never {};
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// Why a request is refused if no server was chosen, and when one may be open.
pub fn unavailable(why: Unavailable) -> (&'static str, Option<Duration>) {
    match why {
        Unavailable::NoServer => ("no server", None),
        Unavailable::NoVersion => ("no server of the version", None),
        Unavailable::NoRegion => ("no server in a home region", None),
        Unavailable::Full => ("engines full", None),
        Unavailable::TooLarge => ("larger than engine memory", None),
        Unavailable::Closed { reason, wait } => (closed_text(reason), wait),
    }
}

/// Why a request is refused if all servers of its service are closed.
fn closed_text(reason: Reason) -> &'static str {
    match reason {
        Reason::Limited => "servers limited",
        Reason::Paused => "servers paused",
        Reason::Leaving => "servers leaving",
        Reason::Cold => "servers cold",
        Reason::Evacuated => "data centre evacuated",
        Reason::Draining | Reason::Returning | Reason::Ejected => "no server",
    }
}
