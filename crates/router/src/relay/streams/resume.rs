//! Finds where a stream that a client resumes goes on.

use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::Route;
use poplar_core::id::Name;
use poplar_core::software::Begun;

use super::StreamVersions;
use crate::relay::refusal::Refusal;
use crate::relay::state::{Relay, format_age};
use crate::sync::lock;

/// When the client should ask again if the version is not known: what another router
/// has written by then, or a store that is back, may tell it.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after which a row that was not found is read again. The router that began
/// the stream may just be writing it.
const READ_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// How the origin of a stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This router began it, or another one told of it.
    Memory,
    /// No other version can have begun it.
    OnlyVersion,
    /// Its row in the store.
    Row,
}

impl Source {
    /// Its name in the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::OnlyVersion => "only version",
            Self::Row => "row",
        }
    }
}

/// Where a stream goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The service.
    pub service: Name,
    /// The version of its software; `None` if no engine of the service is known.
    pub software: Option<Name>,
    /// How this is known.
    pub source: Source,
}

impl Origin {
    fn new(begun: Begun, source: Source) -> Self {
        Self {
            service: begun.service,
            software: Some(begun.software),
            source,
        }
    }
}

impl StreamVersions {
    /// Where a stream goes on that began with the client's attempt `resumes`, of
    /// `service` if that is not known.
    ///
    /// # Errors
    /// [`Refusal`] if several versions can have begun it, the store can't tell how many
    /// there are, or its service is no longer one of the route.
    pub async fn find(
        &self,
        relay: &Relay,
        route: &Route,
        service: &Name,
        resumes: Option<&Name>,
    ) -> Result<Origin, Refusal> {
        let refused = || Refusal::not_run("version of the stream unknown", UNKNOWN_RETRY_AFTER);
        let allowed = |begun: Begun, source| {
            let is_allowed = route.allows(&begun.service);
            let origin = is_allowed.then(|| Origin::new(begun, source));
            origin.ok_or_else(refused)
        };
        if let Some(begun) = self.known(resumes) {
            return allowed(begun, Source::Memory);
        }
        if let Err(why) = self.read_versions(relay, service).await {
            // A version that joined since the last read may have begun the stream.
            log::warn("software versions not read")
                .with("service", service)
                .with(
                    "list_age_ms",
                    format_age(relay.server_list_read.age(Instant::now())),
                )
                .reason(why)
                .write();
            return Err(refused());
        }
        let clock = relay.servers.store_clock(Instant::now());
        let clock = clock.ok_or_else(refused)?;
        let mut possible = lock(&self.state).possible(service, clock);
        if possible.len() <= 1 {
            return Ok(Origin {
                service: service.clone(),
                software: possible.pop(),
                source: Source::OnlyVersion,
            });
        }
        if let Some(attempt) = resumes {
            for wait in [Duration::ZERO, READ_AGAIN_AFTER] {
                tokio::time::sleep(wait).await;
                if let Some(begun) = self.known(resumes) {
                    return allowed(begun, Source::Memory);
                }
                match self.read_stream(relay, attempt).await {
                    Ok(Some(begun)) => return allowed(begun, Source::Row),
                    Ok(None) => {}
                    Err(why) => {
                        log::warn("stream not read").reason(why).write();
                        break;
                    }
                }
            }
        }
        Err(refused())
    }

    /// Where a stream began, if this router knows.
    fn known(&self, resumes: Option<&Name>) -> Option<Begun> {
        lock(&self.state).streams.get(resumes?).cloned()
    }
}
