//! Which processes of a service may get a request.

use poplar_core::deployment::{Server, ServerList};
use poplar_core::id::Name;
use poplar_core::regions::{Home, Regions};
use poplar_core::sorted::SortedVec;

use super::{Servers, Unavailable};
use crate::sync::lock;

/// What a request demands of the process that gets it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Requirement<'a> {
    /// The versions of the software that it may have; any if `None`.
    pub versions: Option<&'a [Name]>,
    /// Whether it has to be the process that is listed.
    pub as_listed: bool,
    /// The home regions of the request, and the regions of the data centres; `None` if
    /// there is no constraint.
    pub home: Option<(Home<'a>, &'a Regions)>,
}

impl Requirement<'_> {
    /// Removes the servers that don't meet it.
    ///
    /// # Errors
    /// [`Unavailable::NoVersion`] if there are servers that are ready and none of them
    /// meets it, or [`Unavailable::NoRegion`] if none of them is in a home region.
    pub(super) fn apply(
        self,
        servers: &mut Vec<&Server>,
        ended: &Ended,
    ) -> Result<(), Unavailable> {
        if !servers.iter().any(|server| server.ready) {
            return Ok(());
        }
        if let Some((home, regions)) = self.home {
            servers.retain(|server| home.allows_centre(regions, &server.centre));
            if !servers.iter().any(|server| server.ready) {
                return Err(Unavailable::NoRegion);
            }
        }
        servers.retain(|server| {
            let has_version = self
                .versions
                .is_none_or(|versions| versions.contains(&server.software));
            has_version && !(self.as_listed && ended.contains(server))
        });
        if servers.iter().any(|server| server.ready) {
            return Ok(());
        }
        Err(Unavailable::NoVersion)
    }
}

/// Listed processes that have ended, by server, with their start times: another one
/// answers at the address.
#[derive(Debug, Default)]
pub(super) struct Ended(SortedVec<Name, u64>);

impl Ended {
    fn contains(&self, server: &Server) -> bool {
        self.0.get(&*server.id) == Some(&server.started_ms)
    }

    /// Forgets those that are not listed any more.
    pub(super) fn expire(&mut self, list: &ServerList) {
        self.0.retain(|id, started_ms| {
            list.all()
                .any(|s| s.id == *id && s.started_ms == *started_ms)
        });
    }
}

impl Servers {
    /// Records that the listed process of a server has ended.
    pub fn record_ended(&self, server: &Server) {
        let mut state = lock(&self.state);
        state.ended.0.insert(server.id.clone(), server.started_ms);
    }
}
