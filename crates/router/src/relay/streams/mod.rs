//! The software versions at which streams go on.
//!
//! A router that begins a resumable stream remembers the version of the engine. A
//! client that resumes it may come to any router, also after all of them were killed.
//! While a service has engines of several versions, each stream that begins there
//! goes to the other routers in a datagram, which takes no call to answer from, and
//! into a [`table`] of the platform's store, which survives the routers. While there
//! is only one version, neither is needed; when a second one comes, the open streams
//! follow. Which versions there were of late is in the store, too.
//!
//! Whether there is only one version can only be told by a read of the store: another
//! may have joined since the last one. A router that can't read it continues the
//! streams that it knows, and refuses the others. While the store is away, the other
//! routers are therefore told of each stream, whatever the number of versions.

pub mod resume;
pub mod table;
pub mod wire;

use std::sync::{Arc, Mutex};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::software::{Begun, Streams, Versions};
use poplar_core::sorted::SortedVec;
use tokio::sync::Notify;

use crate::sync::lock;

/// Most streams in one datagram, about 20 bytes each.
const MAX_ANNOUNCED: usize = 24;

/// The versions of a service, as the store has them.
#[derive(Debug, Clone, Default)]
struct StoredVersions {
    versions: Versions,
    /// Version of the row; 0 if it is not known to exist.
    row: u64,
}

#[derive(Debug, Default)]
struct State {
    streams: Streams,
    /// The versions of each service that the store has.
    stored: SortedVec<Name, StoredVersions>,
    /// The versions of each service in the list of servers.
    listed: SortedVec<Name, Vec<Name>>,
    /// Whether the last read of the list failed, so that versions may have joined
    /// since.
    is_list_lost: bool,
}

impl State {
    /// The versions of a service that can have begun a stream that a client resumes
    /// when the store's clock shows `clock`.
    fn possible(&self, service: &str, clock: u64) -> Vec<Name> {
        let mut versions = self
            .stored
            .get(service)
            .map(|stored| stored.versions.clone())
            .unwrap_or_default();
        if let Some(listed) = self.listed.get(service) {
            versions.update(listed, clock);
        }
        versions.possible(clock).cloned().collect()
    }

    /// The services that have had several versions of late.
    fn services_of_several(&self, clock: u64) -> Vec<Name> {
        let services = self.listed.iter().map(|(service, _)| service);
        let several = services.filter(|service| self.possible(service, clock).len() > 1);
        several.cloned().collect()
    }

    /// The services of whose streams the other routers have to be told.
    fn announced_services(&self, clock: u64) -> Vec<Name> {
        if self.is_list_lost {
            return self.listed.iter().map(|(s, _)| s.clone()).collect();
        }
        self.services_of_several(clock)
    }
}

/// What this router knows of streams and versions.
#[derive(Debug, Default)]
pub struct StreamVersions {
    state: Mutex<State>,
    /// Notified when there is something to write.
    changed: Notify,
}

impl StreamVersions {
    /// Knows nothing yet.
    pub fn open() -> Arc<Self> {
        Arc::default()
    }

    /// Records the versions of each service in the list of servers.
    pub fn set_listed(&self, listed: SortedVec<Name, Vec<Name>>) {
        let mut state = lock(&self.state);
        state.is_list_lost = false;
        let previous = std::mem::replace(&mut state.listed, listed);
        let is_changed = !previous.iter().eq(state.listed.iter());
        drop(state);
        if is_changed {
            self.changed.notify_one();
        }
    }

    /// Records that the list of servers could not be read.
    pub fn record_list_lost(&self) {
        lock(&self.state).is_list_lost = true;
    }

    /// Records that the client's attempt got the first event of a stream.
    pub fn record_begun(&self, attempt: &Name, begun: Begun) {
        lock(&self.state).streams.record_own(attempt.clone(), begun);
        self.changed.notify_one();
    }

    /// Records that the client has a stream as a whole.
    pub fn record_whole(&self, attempt: &str) {
        lock(&self.state).streams.remove(attempt);
    }

    /// Takes the streams for the next datagram. `clock` is the store's.
    pub fn take_unannounced(&self, clock: u64) -> Vec<(Name, Begun)> {
        let mut state = lock(&self.state);
        let due = state.announced_services(clock);
        let is_due = |service: &Name| due.contains(service);
        state.streams.take_unannounced(is_due, MAX_ANNOUNCED)
    }

    /// Adds streams that other routers began.
    pub fn merge(&self, streams: Vec<(Name, Begun)>) {
        let mut state = lock(&self.state);
        for (attempt, begun) in streams {
            state.streams.record_other(attempt, begun);
        }
    }

    /// Number of streams, for the metrics.
    pub fn count(&self) -> usize {
        lock(&self.state).streams.len()
    }

    /// Replaces what is known of a service's versions in the store.
    fn set_stored(&self, service: &Name, stored: StoredVersions) {
        let mut state = lock(&self.state);
        let known = state
            .stored
            .get_or_insert_with(service.clone(), StoredVersions::default);
        let is_changed = known.versions != stored.versions;
        *known = stored;
        let versions = format!("{:?}", known.versions.entries());
        drop(state);
        if is_changed {
            log::info("software versions changed")
                .with("service", service)
                .with("versions", versions)
                .write();
            self.changed.notify_one();
        }
    }
}
