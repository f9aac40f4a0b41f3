//! What engines and services check before a call runs.
//!
//! A stand-in that is leaving refuses everything new. One that is fenced
//! refuses an order whose number is lower than the highest it saw from the same
//! router.

use http::{HeaderMap, Response, StatusCode};
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

use crate::reply;

/// Header with the router's label.
pub const ROUTER_HEADER: &str = "x-router";
/// Header with the request's identity.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the workspace's label.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// Header with the order's fencing number.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Why a call does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The stand-in is leaving.
    Leaving,
    /// A newer order was seen.
    Fenced,
    /// Too many wait.
    Full,
}

impl Refusal {
    /// The answer that says so.
    pub fn response(self) -> Response<reply::Body> {
        match self {
            Self::Leaving => reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            Self::Fenced => reply::refusal(StatusCode::CONFLICT, "fenced"),
            Self::Full => reply::refusal(StatusCode::TOO_MANY_REQUESTS, "full"),
        }
    }
}

/// Who calls, from the headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The request's identity.
    pub id: Name,
    /// The workspace's label.
    pub workspace: Name,
    /// The router's label, empty where it gives none.
    pub router: Name,
    /// The order's fencing number.
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

/// Highest fencing numbers by router.
#[derive(Debug, Clone, Default)]
pub struct FencingNumbers {
    highest: SortedVec<Name, u64>,
}

impl FencingNumbers {
    /// Notes the order and says whether a newer one was seen before.
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
