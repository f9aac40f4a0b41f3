//! A client's request, matched with its route and workspace.

use std::time::Instant;

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use poplar_base::log;
use poplar_core::deployment::{Route, Workspace};
use poplar_core::id::Name;
use poplar_core::poison::{Features, Fingerprint, Reason};
use poplar_core::regions::Home;
use poplar_platform::headers::{PromptPart, RequestHead, SharedParts};

use crate::relay::crashes::join;
use crate::relay::crashes::trial::Trial;
use crate::relay::refusal::Refusal;
use crate::relay::state::Relay;
use crate::relay::streams::resume::Origin;

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
    /// What identifies it among requests that crash servers.
    pub features: Features,
    /// The version of the software that the server must have, if a stream goes on.
    pub software: Option<Name>,
    /// Whether it is sent to find out whether it crashes servers.
    pub on_trial: bool,
}

/// What a request is identified by.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// Its method.
    pub method: &'a Method,
    /// Its path and query.
    pub uri: &'a Uri,
    /// The workspace that its key belongs to.
    pub workspace: Option<&'a Workspace>,
    /// The route that it matches.
    pub route: &'a str,
    /// The service that it is sent to.
    pub service: &'a str,
    /// The parts of its prompt.
    pub prompt: &'a [PromptPart],
    /// Those that other requests may have.
    pub shared: SharedParts<'a>,
    /// Its body.
    pub body: &'a [u8],
}

/// What a request has in common with its copies and with other requests.
pub fn features(identity: &Identity<'_>) -> Features {
    let parts = identity.shared.0.iter();
    Features {
        content: content(identity),
        resource: Some(resource(identity)),
        parts: parts
            .map(|part| Fingerprint::of_part(identity.service, part.id))
            .collect(),
    }
}

/// Identifies a request by all that a server gets of it. Spellings of a path that mean
/// the same count as one, and so do the keys of a workspace.
fn content(identity: &Identity<'_>) -> Fingerprint {
    let path = unescape(identity.uri.path());
    let query = unescape(identity.uri.query().unwrap_or_default());
    let prompt = identity.prompt.iter().flat_map(|p| p.id.to_le_bytes());
    let prompt: Vec<u8> = prompt.collect();
    Fingerprint::of_fields([
        identity.method.as_str().as_bytes(),
        identity.route.as_bytes(),
        &path,
        &query,
        identity.workspace.map_or("", |w| &*w.name).as_bytes(),
        &prompt,
        identity.body,
    ])
}

/// Identifies the requests with a path, workspace and body.
fn resource(identity: &Identity<'_>) -> Fingerprint {
    let name = identity.workspace.map_or("", |w| &*w.name);
    // The length comes first, so that the name and the body can't be confused.
    let mut content = (name.len() as u64).to_le_bytes().to_vec();
    content.extend_from_slice(name.as_bytes());
    content.extend_from_slice(identity.body);
    Fingerprint::new(identity.uri.path(), &content)
}

/// Decodes characters that mean the same when they are not percent-encoded, and writes
/// the other codes in capitals.
fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).filter(|_| *first == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        let decoded = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match decoded {
            Some(byte) if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            Some(_) => {
                bytes.push(b'%');
                bytes.extend(tail[..2].to_ascii_uppercase());
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    bytes
}

/// The resource as it is logged, `none` if there is none.
pub fn format_resource(features: &Features) -> String {
    let resource = features.resource.as_ref();
    resource.map_or("none".to_owned(), Fingerprint::to_string)
}

impl ClientRequest {
    /// Whether the request is to be refused because of the servers that it
    /// crashed.
    pub fn crashes_servers(&self, relay: &Relay, now: Instant) -> bool {
        let why = relay.crashes.refusal_reason(&self.features, now);
        if let Some(why) = &why {
            self.log_crash_refusal(why);
        }
        why.is_some()
    }

    /// Checks that the request may be sent for the first time. One that may not
    /// be the cause of the crashes that it was at is put on trial.
    ///
    /// # Errors
    /// [`Refusal`] if it crashes servers, or another request is on trial.
    pub async fn check_crashes(&mut self, relay: &Relay, now: Instant) -> Result<(), Refusal> {
        let Some(why) = relay.crashes.refusal_reason(&self.features, now) else {
            return Ok(());
        };
        let trial = if why.allows_trial() {
            let time_left = self.deadline.saturating_duration_since(now);
            let crashes = &relay.crashes;
            crashes
                .begin_trial(&relay.store, &why.causes, why.only_features, time_left)
                .await
        } else {
            Trial::Denied
        };
        match trial {
            Trial::Granted => {
                log::info("crashing request on trial")
                    .request(&self.head.attempt_id)
                    .with("content", self.features.content)
                    .with("causes", join(&why.causes))
                    .with("crashes", why.crashes)
                    .write();
                self.on_trial = true;
                Ok(())
            }
            Trial::Busy(wait) => {
                self.log_crash_refusal(&why);
                Err(Refusal::not_run(CRASHES_SERVERS, wait))
            }
            Trial::Denied => {
                self.log_crash_refusal(&why);
                Err(Refusal::new(StatusCode::BAD_GATEWAY, CRASHES_SERVERS))
            }
        }
    }

    /// The regions to which it is confined.
    pub fn home(&self) -> Home<'_> {
        let workspace = self.workspace.as_ref();
        Home {
            route: &self.route.home_regions,
            workspace: workspace.map_or(&[], |w| &w.home_regions),
        }
    }

    /// Whether the client has events of the stream from an earlier attempt.
    pub fn is_resumption(&self) -> bool {
        self.route.kind.is_stream() && self.head.last_event.is_some_and(|event| event > 0)
    }

    /// Finds the service and the version of its software at which a stream goes on
    /// that the client resumes.
    ///
    /// # Errors
    /// [`Refusal`] if it can't be told.
    pub async fn find_software(&mut self, relay: &Relay) -> Result<(), Refusal> {
        if !self.is_resumption() {
            return Ok(());
        }
        let resumes = self.head.resumes.as_ref();
        let streams = &relay.streams;
        let origin = streams
            .find(relay, &self.route, &self.service, resumes)
            .await;
        let software = origin.as_ref().ok().and_then(|o| o.software.as_deref());
        log::info("stream resumed by the client")
            .request(&self.head.attempt_id)
            .with("event", self.head.last_event.unwrap_or_default())
            .with("attempt", resumes.map_or("none", |attempt| attempt))
            .with("software", software.unwrap_or("unknown"))
            .with(
                "source",
                origin.as_ref().map_or("none", |o| o.source.label()),
            )
            .write();
        Origin {
            service: self.service,
            software: self.software,
            ..
        } = origin?;
        Ok(())
    }

    fn log_crash_refusal(&self, why: &Reason) {
        log::info("crashing request refused")
            .request(&self.head.attempt_id)
            .with("content", self.features.content)
            .with("causes", join(&why.causes))
            .with("crashes", why.crashes)
            .with("last_ms", why.ago.as_millis())
            .with("shared", why.is_shared)
            .write();
    }
}
