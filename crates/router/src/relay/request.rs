//! A client's request, matched with its route and workspace.

use std::time::Instant;

use bytes::Bytes;
use http::{Method, Uri};
use poplar_base::log;
use poplar_core::deployment::{Route, Workspace};
use poplar_core::id::Name;
use poplar_core::poison::Fingerprint;
use poplar_platform::headers::RequestHead;

use crate::relay::state::Relay;

/// Why a request that crashed servers is refused.
pub const CRASHES_SERVERS: &str = "crashes servers";

/// A client's request with its route, service and workspace.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its decoded headers.
    pub head: RequestHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// All its headers as received.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The route that it matches.
    pub route: Route,
    /// The service that it is sent to.
    pub service: Name,
    /// Output tokens in one event.
    pub stride: u64,
    /// The workspace that its key belongs to; `None` if it is anonymous.
    pub workspace: Option<Workspace>,
    /// When it arrived.
    pub arrived: Instant,
    /// When the response is due at the latest.
    pub deadline: Instant,
    /// Hash of the path, workspace and body, which identifies a request that
    /// crashes servers.
    pub fingerprint: Fingerprint,
}

/// Identifies the content of a request: its path, workspace and body.
pub fn fingerprint(path: &str, workspace: Option<&Workspace>, body: &[u8]) -> Fingerprint {
    let name = workspace.map_or("", |w| &*w.name);
    // The length comes first, so that the name and the body can't be confused.
    let mut content = (name.len() as u64).to_le_bytes().to_vec();
    content.extend_from_slice(name.as_bytes());
    content.extend_from_slice(body);
    Fingerprint::new(path, &content)
}

impl ClientRequest {
    /// Whether the request is to be refused because of the servers that it
    /// crashed.
    pub fn crashes_servers(&self, relay: &Relay, now: Instant) -> bool {
        let Some(why) = relay.crashes.refusal_reason(self.fingerprint, now) else {
            return false;
        };
        log::info("crashing request refused")
            .request(&self.head.attempt_id)
            .with("content", self.fingerprint)
            .with("crashes", why.crashes)
            .with("last_ms", why.ago.as_millis())
            .write();
        true
    }
}
