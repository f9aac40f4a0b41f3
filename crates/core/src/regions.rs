//! Home regions: where the requests of a route or a workspace may be processed.
//!
//! A route or a workspace may name regions. Its requests reach servers of data centres
//! in these regions only, and their bodies reach routers there or in the region that
//! the client's request came in. Both constraints apply if both are present. What is
//! not known to be in a home region is outside of it. The load concerned is that of
//! requests whose nearest servers are not allowed for them.

use crate::id::Name;
use crate::sorted::SortedVec;

/// The regions of the data centres, as a host's settings name them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    /// The host's own region.
    pub own: Option<Name>,
    /// The region of each data centre.
    pub centres: SortedVec<Name, Name>,
}

/// The home regions of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Home<'a> {
    /// Those of its route; empty if it has none.
    pub route: &'a [Name],
    /// Those of its workspace; empty if it has none.
    pub workspace: &'a [Name],
}

impl Home<'_> {
    /// Whether there is no constraint.
    pub fn is_anywhere(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }

    /// Whether a region is a home region.
    pub fn contains(&self, region: &str) -> bool {
        let is_in = |home: &[Name]| home.is_empty() || home.iter().any(|r| **r == *region);
        is_in(self.route) && is_in(self.workspace)
    }

    /// Whether a server in this data centre may get the request.
    pub fn allows_centre(&self, regions: &Regions, centre: &str) -> bool {
        let region = regions.centres.get(centre);
        self.is_anywhere() || region.is_some_and(|region| self.contains(region))
    }

    /// The regions of the routers that may get the body of the request, which came in
    /// at the region `own`; `None` if there is no constraint.
    pub fn router_regions(&self, own: Option<&Name>) -> Option<Vec<Name>> {
        if self.is_anywhere() {
            return None;
        }
        let named = self.route.iter().chain(self.workspace);
        let home = named.filter(|region| self.contains(region));
        let mut regions: Vec<Name> = home.chain(own).cloned().collect();
        regions.sort();
        regions.dedup();
        Some(regions)
    }
}
