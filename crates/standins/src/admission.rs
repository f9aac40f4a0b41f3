//! Checks that engines and services make before a request runs.
//!
//! A stand-in that is leaving refuses every new request. One that checks fencing
//! numbers refuses a request whose number is lower than the highest one seen
//! from the same router.

use http::{HeaderMap, Response, StatusCode};
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

use crate::reply;

/// Header with the label of the router.
pub const ROUTER_HEADER: &str = "x-router";
/// Header with the request ID.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the name of the workspace.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// Header with the fencing number.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The stand-in is leaving.
    Leaving,
    /// A higher fencing number of the same router was seen before.
    Fenced,
    /// Too many requests are waiting.
    Full,
}

impl Refusal {
    /// The HTTP response for this refusal.
    pub fn response(self) -> Response<reply::Body> {
        match self {
            Self::Leaving => reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            Self::Fenced => reply::refusal(StatusCode::CONFLICT, "fenced"),
            Self::Full => reply::refusal(StatusCode::TOO_MANY_REQUESTS, "full"),
        }
    }
}

/// The sender of a request, as its headers name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The request ID.
    pub id: Name,
    /// Name of the workspace.
    pub workspace: Name,
    /// Label of the router, empty if it gives none.
    pub router: Name,
    /// The fencing number, if there is one.
    pub fencing: Option<u64>,
}

impl From<&HeaderMap> for Caller {
    fn from(headers: &HeaderMap) -> Self {
        let text = |name| reply::header_text(headers, name);
        Self {
            id: text(REQUEST_HEADER).into(),
            workspace: text(WORKSPACE_HEADER).into(),
            router: text(ROUTER_HEADER).into(),
            fencing: text(FENCING_HEADER).parse().ok(),
        }
    }
}

/// The highest fencing number seen, by router.
#[derive(Debug, Clone, Default)]
pub struct FencingNumbers {
    highest: SortedVec<Name, u64>,
}

impl FencingNumbers {
    /// Records the caller's fencing number. Returns whether it is stale, which is
    /// to say lower than one seen before.
    pub fn record(&mut self, caller: &Caller) -> bool {
        let Some(number) = caller.fencing else {
            return false;
        };
        let highest = self
            .highest
            .get_or_insert_with(caller.router.clone(), || number);
        let stale = number < *highest;
        *highest = number.max(*highest);
        stale
    }
}
