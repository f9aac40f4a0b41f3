//! What each workspace was served, over all priorities.
//!
//! Priorities go before fairness between workspaces, so a rush of urgent work
//! would keep another workspace's less urgent work from its time. The tags
//! kept here tell who has had more.

use crate::id::Name;
use crate::sorted::SortedVec;

/// One workspace's standing.
#[derive(Debug, Clone, Copy, Default)]
struct Standing {
    /// Tokens served, lifted to the least of the others after a pause.
    tag: u64,
    /// Entries queued.
    queued: usize,
}

/// Standings of the workspaces that were served while something was queued.
#[derive(Debug, Clone, Default)]
pub(super) struct Usage {
    standings: SortedVec<Name, Standing>,
}

impl Usage {
    /// Counts an entry that was queued.
    pub(super) fn push(&mut self, workspace: &Name) {
        let busy = self.standings.iter().filter(|(_, s)| s.queued > 0);
        let least = busy.map(|(_, s)| s.tag).min();
        if least.is_none() {
            self.standings = SortedVec::new();
        }
        let standing = self.standings.entry(workspace.clone(), Standing::default);
        if standing.queued == 0 {
            standing.tag = standing.tag.max(least.unwrap_or_default());
        }
        standing.queued += 1;
    }

    /// Counts an entry that was taken out, for `cost` tokens if it was served.
    pub(super) fn pop(&mut self, workspace: &str, cost: u32) {
        if let Some(standing) = self.standings.get_mut(workspace) {
            standing.queued -= 1;
            standing.tag += u64::from(cost);
        }
    }

    /// Entries that a workspace has queued.
    pub(super) fn queued(&self, workspace: &str) -> usize {
        self.standings.get(workspace).map_or(0, |s| s.queued)
    }

    /// Whether `ahead` would have had more even if `behind` got `cost` now.
    pub(super) fn has_more(&self, ahead: &str, behind: &str, cost: u32) -> bool {
        let tag = |name: &str| self.standings.get(name).map_or(0, |s| s.tag);
        tag(ahead) > tag(behind) + u64::from(cost)
    }
}
