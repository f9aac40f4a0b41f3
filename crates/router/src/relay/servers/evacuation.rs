//! Evacuated data centres, see [`poplar_core::evacuation`].

use std::time::Instant;

use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::evacuation::Change;
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

use super::Servers;
use crate::sync::lock;

impl Servers {
    /// Replaces the evacuated data centres by those just read, with the versions of
    /// their rows. `version` is that of the table.
    pub fn set_evacuated(&self, read: SortedVec<Name, u64>, version: u64, now: Instant) {
        let changes = lock(&self.state).evacuations.update(read, now);
        for change in changes {
            let (event, centre, row) = match &change {
                Change::Began(centre, row) => (log::info("evacuation began"), centre, *row),
                Change::Ended(centre) => (log::info("evacuation ended"), centre, version),
            };
            event.with("centre", centre).with("version", row).write();
        }
    }

    /// Whether the data centre of a server is evacuated.
    pub fn is_evacuated(&self, server: &Server) -> bool {
        lock(&self.state).evacuations.is_evacuated(&server.centre)
    }

    /// Number of evacuated data centres, and of those that get only a part of the
    /// requests after an evacuation, for the metrics.
    pub fn evacuated_counts(&self, now: Instant) -> (usize, usize) {
        let state = lock(&self.state);
        let evacuations = &state.evacuations;
        (evacuations.count(), evacuations.returning_count(now))
    }
}
