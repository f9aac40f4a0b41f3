//! Requests that crash the backend servers that run them.
//!
//! A request whose server stopped answering is a suspect until the server is
//! found dead or some time has passed. [`verify`] looks whether it is dead, and
//! the list of servers shows processes that have been replaced. What is found
//! counts against the request on all routers.

mod verify;

use std::sync::{Arc, Mutex};
use std::time::Instant;

use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::id::Incarnation;
use poplar_core::poison::{CrashHistory, Fingerprint, Reason, Sighting};
use poplar_core::retry::Failure;

use self::verify::Verification;
use crate::relay::servers::Listing;
use crate::sync::lock;

/// How a server was found dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It refuses connections.
    Refused,
    /// Another process of it is registered.
    Restarted,
    /// It is no longer registered and doesn't accept connections.
    Unlisted,
    /// Another server answers at its address.
    Replaced,
}

impl Evidence {
    /// Its name in the log.
    fn text(self) -> &'static str {
        match self {
            Self::Refused => "connection refused",
            Self::Restarted => "restarted",
            Self::Unlisted => "not listed and no connection",
            Self::Replaced => "address in use by another",
        }
    }
}

/// The crashes that this router knows of.
#[derive(Debug)]
pub struct Crashes {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    history: CrashHistory,
    verifying: Vec<Verification>,
}

impl Crashes {
    /// An empty history for the router `own`.
    pub fn open(own: Incarnation) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                history: CrashHistory::new(own),
                verifying: Vec::new(),
            }),
        })
    }

    /// The reason to refuse a request; `None` if it may be sent.
    pub fn refusal_reason(&self, fingerprint: Fingerprint, now: Instant) -> Option<Reason> {
        lock(&self.state).history.refusal_reason(fingerprint, now)
    }

    /// Number of requests that were on servers that crashed, for the metrics.
    pub fn suspected_requests(&self) -> usize {
        lock(&self.state).history.suspected_requests()
    }

    /// Records that a server stopped answering while it had the request, and
    /// has the server verified. `listing` is what the list of servers shows now.
    pub fn suspect(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        server: &Server,
        listing: Listing,
        failure: Failure,
        now: Instant,
    ) {
        lock(&self.state).history.record_lost_connection(
            fingerprint,
            &server.id,
            Some(server.started_ms),
            now,
        );
        log::info("crash suspected")
            .with("content", fingerprint)
            .with("server", &server.id)
            .with("started_ms", server.started_ms)
            .reason(failure)
            .write();
        self.check_listing(server, listing, now);
    }

    /// Records what the list of servers shows of a server, and has it verified
    /// if requests wait for that.
    pub fn check_listing(self: &Arc<Self>, server: &Server, listing: Listing, now: Instant) {
        match listing {
            Listing::Restarted => self.record_dead_server(server, Evidence::Restarted, now),
            Listing::Replaced => self.record_dead_server(server, Evidence::Replaced, now),
            Listing::Listed | Listing::Unlisted if self.has_suspects(server, now) => {
                self.verify(server, listing == Listing::Listed);
            }
            Listing::Listed | Listing::Unlisted => {}
        }
    }

    /// Records that a server's process has ended. The requests that it had when
    /// it stopped answering were then on a server that crashed.
    pub fn record_dead_server(&self, server: &Server, evidence: Evidence, now: Instant) {
        let mut state = lock(&self.state);
        let process = Some(server.started_ms);
        let sightings = state.history.record_dead_server(&server.id, process, now);
        let count = |s: &Sighting| state.history.crashes(s.fingerprint, now);
        let crashes: Vec<usize> = sightings.iter().map(count).collect();
        drop(state);
        for (sighting, crashes) in sightings.iter().zip(crashes) {
            log::warn("crash recorded")
                .with("content", sighting.fingerprint)
                .with("server", &server.id)
                .with("started_ms", server.started_ms)
                .with("crashes", crashes)
                .with("evidence", evidence.text())
                .with("after_ms", now.duration_since(sighting.at).as_millis())
                .write();
        }
        metrics::counter!("poplar_crash_sightings_total", "source" => "own")
            .increment(sightings.len() as u64);
    }

    /// Records that a request was answered, so that it does not crash every
    /// server that runs it.
    pub fn record_answer(&self, fingerprint: Fingerprint, now: Instant) {
        if lock(&self.state).history.record_answer(fingerprint, now) {
            log::info("crashes cleared")
                .with("content", fingerprint)
                .write();
        }
    }

    /// Whether requests wait for this process to be found dead.
    fn has_suspects(&self, server: &Server, now: Instant) -> bool {
        let state = lock(&self.state);
        let process = Some(server.started_ms);
        state.history.has_suspects(&server.id, process, now)
    }
}
