//! Refusals as callers receive them.
//!
//! Each states whether the request ran and, where a retry can succeed, after
//! which time. A refusal is sent as soon as it is known.

use std::fmt;
use std::time::Duration;

use serde::Serialize;
use viz::{Response, StatusCode, header};

use poplar_core::id::RequestId;

/// Whether a refused request ran on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It was sent to no backend server, or each stated that it did not start it.
    NotRun,
    /// It ran, but its answer can't be returned.
    Ran,
    /// It may have run.
    Unknown,
}

impl Execution {
    /// The value of `run` in the JSON body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// The body or a header is invalid.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No API key, or one of no workspace.
    Unauthorized,
    /// There is no such class.
    UnknownClass,
    /// The class needs an idempotency key.
    KeyRequired,
    /// The idempotency key was used with another body.
    KeyReused,
    /// A request with this idempotency key is in progress.
    InProgress,
    /// The budget has too few tokens left.
    BudgetExhausted,
    /// The platform is down and this router's grant does not suffice.
    NoGrant,
    /// It can't finish within its class's target under the present load.
    Overloaded,
    /// It can't finish within its class's target even on an idle backend server.
    TooLong,
    /// No usable backend server offers what the class needs.
    NoBackend,
    /// Earlier requests with the same prompt crashed backend servers.
    CrashesBackends,
    /// The router is shutting down or not ready.
    Unready,
    /// Backend servers failed while they ran it.
    BackendFailed,
    /// A non-idempotent call was sent and its outcome is unknown.
    OutcomeUnknown,
    /// The claim of a non-idempotent call can't be recorded.
    NoClaim,
}

impl Code {
    /// Stable name, HTTP status and message.
    fn parts(self) -> (&'static str, StatusCode, &'static str) {
        use StatusCode as S;
        match self {
            Self::Malformed => ("malformed", S::BAD_REQUEST, "The request can't be read"),
            Self::TooLarge => ("too_large", S::PAYLOAD_TOO_LARGE, "The body is too large"),
            Self::TooSlow => ("too_slow", S::REQUEST_TIMEOUT, "The body came too slowly"),
            Self::Unauthorized => (
                "unauthorized",
                S::UNAUTHORIZED,
                "The key opens no workspace",
            ),
            Self::UnknownClass => ("unknown_class", S::NOT_FOUND, "There is no such class"),
            Self::KeyRequired => (
                "key_required",
                S::BAD_REQUEST,
                "An Idempotency-Key is needed",
            ),
            Self::KeyReused => (
                "key_reused",
                S::UNPROCESSABLE_ENTITY,
                "The Idempotency-Key was used with another request",
            ),
            Self::InProgress => ("in_progress", S::CONFLICT, "The request is under way"),
            Self::BudgetExhausted => (
                "budget_exhausted",
                S::PAYMENT_REQUIRED,
                "The budget is spent",
            ),
            Self::NoGrant => (
                "no_grant",
                S::SERVICE_UNAVAILABLE,
                "The budget can't be drawn on now",
            ),
            Self::Overloaded => (
                "overloaded",
                S::TOO_MANY_REQUESTS,
                "It can't finish within its target",
            ),
            Self::TooLong => (
                "too_long",
                S::UNPROCESSABLE_ENTITY,
                "It can't finish within its target even without load",
            ),
            Self::NoBackend => (
                "no_backend",
                S::SERVICE_UNAVAILABLE,
                "No backend server offers it now",
            ),
            Self::CrashesBackends => (
                "crashes_backends",
                S::UNPROCESSABLE_ENTITY,
                "The request crashed backend servers",
            ),
            Self::Unready => (
                "unready",
                S::SERVICE_UNAVAILABLE,
                "The router takes no requests now",
            ),
            Self::BackendFailed => ("backend_failed", S::BAD_GATEWAY, "Backend servers failed"),
            Self::OutcomeUnknown => (
                "outcome_unknown",
                S::BAD_GATEWAY,
                "The call was sent and its outcome is unknown",
            ),
            Self::NoClaim => (
                "no_claim",
                S::SERVICE_UNAVAILABLE,
                "The call can't be recorded now",
            ),
        }
    }

    /// The stable name.
    pub fn name(self) -> &'static str {
        self.parts().0
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A refusal of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// Whether it ran.
    pub execution: Execution,
    /// Wait before a retry, if one can succeed.
    pub retry_after: Option<Duration>,
    /// Details of the reason for the message; may be empty.
    pub detail: String,
    /// Whether the budget still had enough tokens elsewhere in the fleet, so that
    /// the refusal was false.
    pub false_refusal: bool,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            retry_after: None,
            detail: String::new(),
            false_refusal: false,
        }
    }

    /// Sets the wait before a retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets whether it ran.
    pub fn execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets the details.
    pub fn detail(mut self, detail: impl fmt::Display) -> Self {
        self.detail = detail.to_string();
        self
    }

    fn body(&self) -> BodyWire {
        let (code, _, sentence) = self.code.parts();
        let message = match self.detail.as_str() {
            "" => format!("{sentence}."),
            detail => format!("{sentence}: {detail}."),
        };
        BodyWire {
            error: ErrorWire {
                code,
                message,
                r#type: "poplarreel",
                run: self.execution.as_str(),
                retry_after_ms: self.retry_after.map(|d| d.as_millis() as u64),
            },
        }
    }

    /// The refusal as an event of a stream that has already started.
    pub fn event(&self) -> impl Serialize + use<> {
        self.body()
    }

    /// The HTTP response to the caller.
    pub fn response(&self, id: Option<&RequestId>) -> Response {
        let (_, status, _) = self.code.parts();
        let mut builder = Response::builder()
            .status(status)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            builder = builder.header(header::RETRY_AFTER, seconds.to_string());
        }
        if let Some(id) = id {
            builder = builder.header("x-request-id", id.0.as_ref());
        }
        let bytes = serde_json::to_vec(&self.body()).expect("a refusal is plain data");
        builder
            .body(viz::Body::Full(bytes.into()))
            .expect("the header values are printable")
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code, self.execution.as_str())
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct BodyWire {
    error: ErrorWire,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ErrorWire {
    code: &'static str,
    message: String,
    r#type: &'static str,
    run: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}
