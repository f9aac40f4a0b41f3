//! Requests that crash the backend servers that run them.
//!
//! A request whose server stopped answering is a suspect until the server is
//! found dead or some time has passed. The router connects to it to find out, and
//! the list of servers shows processes that have been replaced. What is found
//! counts against the request on all routers: each report goes to the others in
//! several datagrams, see [`gossip`](crate::relay::gossip), and into a [`table`]
//! of the platform's store. Either of them is enough. What counts against a request
//! counts against each of its [`Features`], which other requests may have, too.
//! Requests that can't be told apart from one that crashes servers are put on
//! [`trial`].

pub mod table;
pub mod trial;
mod verify;
pub mod wire;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::id::{Incarnation, Name};
use poplar_core::poison::{
    CULPRIT_LIMIT, CrashHistory, Features, Fingerprint, Reason, Report, Sighting,
};
use poplar_core::retry::Failure;
use poplar_core::sorted::SortedVec;
use tokio::sync::Notify;

use self::table::StoredRow;
use self::verify::Verification;
use crate::relay::paths::Paths;
use crate::relay::servers::Listing;
use crate::sync::lock;

/// Datagrams to each router that a report goes into; one may be lost.
const SENDS: u32 = 3;
/// Time within which these are sent. Requests that ran beside the one that
/// crashed a server are mostly answered within it, too.
const REPORT_TIME: Duration = Duration::from_millis(200);
/// Most reports in one datagram, about 40 bytes each.
const MAX_SENT_REPORTS: usize = 16;
/// Time for which a process is remembered as dead: a refused connection may be followed
/// by one that is accepted.
const DEAD_TIME: Duration = Duration::from_secs(5);
/// Most reports that wait to be sent, or to be written.
const MAX_QUEUED: usize = 1024;

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

/// Where a report came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A datagram of another router.
    Peer,
    /// The table.
    Table,
}

impl Source {
    /// Its name in the log and in metrics.
    fn text(self) -> &'static str {
        match self {
            Self::Peer => "peer",
            Self::Table => "table",
        }
    }
}

/// The crashes that this router knows of.
#[derive(Debug)]
pub struct Crashes {
    state: Mutex<State>,
    /// Notified when there is a new report of this router.
    added: Notify,
    paths: Arc<Paths>,
}

#[derive(Debug)]
struct State {
    history: CrashHistory,
    verifying: Vec<Verification>,
    /// The processes of servers that were found dead lately, by start time, and when
    /// that was.
    dead: SortedVec<Name, (u64, Instant)>,
    /// This router's reports that go into further datagrams, and into how many.
    unsent: Vec<(Report, u32)>,
    /// This router's reports that are not in the table yet.
    unwritten: Vec<Report>,
    /// The rows of the table, in the order of their keys.
    rows: Vec<StoredRow>,
    /// The store's clock in milliseconds when the table was last read, and when
    /// that was.
    clock: Option<(u64, Instant)>,
    /// The row of trials as last seen.
    trials: trial::Seen,
}

impl State {
    /// Queues a report for the other routers. The oldest ones make room.
    fn announce(&mut self, report: Report) {
        if self.unsent.len() >= MAX_QUEUED {
            self.unsent.remove(0);
        }
        self.unsent.push((report.clone(), SENDS));
        if self.unwritten.len() >= MAX_QUEUED {
            self.unwritten.remove(0);
        }
        self.unwritten.push(report);
    }
}

impl Crashes {
    /// An empty history for the router `own`, which finds out by `paths` whether servers
    /// are dead.
    pub fn open(own: Incarnation, paths: Arc<Paths>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                history: CrashHistory::new(own, REPORT_TIME),
                verifying: Vec::new(),
                dead: SortedVec::new(),
                unsent: Vec::new(),
                unwritten: Vec::new(),
                rows: Vec::new(),
                clock: None,
                trials: trial::Seen::default(),
            }),
            added: Notify::new(),
            paths,
        })
    }

    /// The reason to refuse a request; `None` if it may be sent.
    pub fn refusal_reason(&self, features: &Features, now: Instant) -> Option<Reason> {
        lock(&self.state).history.refusal_reason_of(features, now)
    }

    /// Number of requests that were on servers that crashed, for the metrics.
    pub fn suspected_requests(&self) -> usize {
        lock(&self.state).history.suspected_requests()
    }

    /// Records that a server stopped answering while it had the request, and
    /// has the server verified. `listing` is what the list of servers shows now.
    pub fn suspect(
        self: &Arc<Self>,
        features: &Features,
        server: &Server,
        listing: Listing,
        failure: Failure,
        now: Instant,
    ) {
        let process = Some(server.started_ms);
        for feature in features.iter() {
            let history = &mut lock(&self.state).history;
            history.record_lost_connection(feature, &server.id, process, now);
        }
        log::info("crash suspected")
            .with("content", features.content)
            .with("parts", join(&features.parts))
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
        state.dead.retain(|_, (_, at)| now < *at + DEAD_TIME);
        state
            .dead
            .insert(server.id.clone(), (server.started_ms, now));
        let process = Some(server.started_ms);
        let sightings = state.history.record_dead_server(&server.id, process, now);
        let count = |s: &Sighting| state.history.crashes(s.fingerprint, now);
        let crashes: Vec<usize> = sightings.iter().map(count).collect();
        for sighting in &sightings {
            state.announce(Report::Crash(sighting.clone()));
        }
        drop(state);
        if !sightings.is_empty() {
            self.added.notify_one();
        }
        self.clear_answered(sightings.iter().map(|s| s.fingerprint), now);
        for (sighting, crashes) in sightings.iter().zip(crashes) {
            log::warn("crash recorded")
                .with("content", sighting.fingerprint)
                .with("server", &server.id)
                .with("started_ms", server.started_ms)
                .with("crashes", crashes)
                .with("source", "own")
                .with("evidence", evidence.text())
                .with("after_ms", now.duration_since(sighting.at).as_millis())
                .write();
        }
        metrics::counter!("poplar_crash_sightings_total", "source" => "own")
            .increment(sightings.len() as u64);
    }

    /// Whether a server's process was found dead lately.
    pub fn is_dead(&self, server: &Server, now: Instant) -> bool {
        let state = lock(&self.state);
        let found = state.dead.get(&*server.id);
        found.is_some_and(|(started_ms, at)| {
            *started_ms == server.started_ms && now < *at + DEAD_TIME
        })
    }

    /// Records that a request was answered, so that neither it nor what it has in
    /// common with others crashes every server.
    pub fn record_answer(&self, features: &Features, now: Instant) {
        self.record_answers(features.iter(), now);
    }

    /// Records that a server goes on with its answer to a request. The parts of the
    /// prompt don't crash every server that begins to answer.
    pub fn record_progress(&self, features: &Features, now: Instant) {
        self.record_answers(features.parts.iter().copied(), now);
    }

    fn record_answers(&self, answered: impl Iterator<Item = Fingerprint> + Clone, now: Instant) {
        for feature in answered.clone() {
            lock(&self.state).history.record_answer(feature, now);
        }
        self.clear_answered(answered, now);
    }

    /// Clears crashes before answers that this router saw.
    fn clear_answered(&self, features: impl Iterator<Item = Fingerprint>, now: Instant) {
        for fingerprint in features {
            {
                let mut state = lock(&self.state);
                let Some(at) = state.history.clear_answered(fingerprint, now) else {
                    continue;
                };
                state.announce(Report::Answer { fingerprint, at });
            }
            self.added.notify_one();
            log::info("crashes cleared")
                .with("content", fingerprint)
                .write();
        }
    }

    /// Takes the reports for the next datagram.
    pub fn take_unsent(&self, now: Instant) -> Vec<Report> {
        let mut state = lock(&self.state);
        let State {
            unsent, history, ..
        } = &mut *state;
        // Most requests are at one crash only, by chance, and can wait.
        let can_wait = |(report, _): &(Report, u32)| match report {
            Report::Crash(sighting) => history.crashes(sighting.fingerprint, now) < CULPRIT_LIMIT,
            Report::Answer { .. } => false,
        };
        unsent.sort_by_cached_key(can_wait);
        let next = unsent.iter_mut().take(MAX_SENT_REPORTS);
        let reports = next.map(|(report, left)| {
            *left -= 1;
            report.clone()
        });
        let reports = reports.collect();
        state.unsent.retain(|(_, left)| *left > 0);
        reports
    }

    /// Adds reports of other routers.
    pub fn merge(&self, reports: Vec<Report>, source: Source, now: Instant) {
        for report in reports {
            let crash = match &report {
                Report::Crash(sighting) => Some(sighting.clone()),
                Report::Answer { .. } => None,
            };
            let (is_new, crashes) = {
                let history = &mut lock(&self.state).history;
                let is_new = history.merge_report(report, now);
                let count = |s: &Sighting| history.crashes(s.fingerprint, now);
                (is_new, crash.as_ref().map_or(0, count))
            };
            let Some(sighting) = crash.filter(|_| is_new) else {
                continue;
            };
            metrics::counter!("poplar_crash_sightings_total", "source" => source.text())
                .increment(1);
            self.clear_answered(std::iter::once(sighting.fingerprint), now);
            // Most requests are on one crash only, by chance.
            if crashes >= CULPRIT_LIMIT {
                log::warn("crash recorded")
                    .with("content", sighting.fingerprint)
                    .with("server", &sighting.server)
                    .with("crashes", crashes)
                    .with("source", source.text())
                    .with("after_ms", now.duration_since(sighting.at).as_millis())
                    .write();
            }
        }
    }

    /// The store's clock in milliseconds; `None` if it is not known yet.
    fn store_clock(&self, now: Instant) -> Option<u64> {
        let (clock, read_at) = lock(&self.state).clock?;
        Some(clock + now.saturating_duration_since(read_at).as_millis() as u64)
    }

    /// Whether requests wait for this process to be found dead.
    fn has_suspects(&self, server: &Server, now: Instant) -> bool {
        let state = lock(&self.state);
        let process = Some(server.started_ms);
        state.history.has_suspects(&server.id, process, now)
    }
}

/// Fingerprints as they are logged.
pub(crate) fn join(fingerprints: &[Fingerprint]) -> String {
    let texts: Vec<String> = fingerprints.iter().map(Fingerprint::to_string).collect();
    texts.join(",")
}
