//! The table: the group's row, each router's own row and the claim.

use poplar_core::budget::rows::Versioned;
use poplar_core::claim::group::{GroupRow, Member};
use poplar_core::claim::table::ClaimRow;

use super::{LIVES, NAMES};

/// The rows that matter to one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Table {
    pub(super) group: Versioned<GroupRow>,
    /// Own rows, by whether they are sealed.
    pub(super) sealed: [bool; LIVES],
    pub(super) claim: Versioned<Option<ClaimRow>>,
}

/// A write of the claim that may take effect after its answer was given up.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Delayed {
    /// Whose own row must be unsealed.
    pub(super) by: Option<usize>,
    pub(super) write: Versioned<ClaimRow>,
}

impl Table {
    pub(super) fn new(members: usize) -> Self {
        let member = |name: &poplar_core::id::Incarnation| Member {
            incarnation: name.clone(),
            active: true,
        };
        let row = GroupRow {
            epoch: 1,
            members: NAMES[..members].iter().map(member).collect(),
        };
        Self {
            group: Versioned { version: 1, row },
            sealed: [false; LIVES],
            claim: Versioned::default(),
        }
    }

    pub(super) fn may_land(&self, delayed: &Delayed) -> bool {
        self.claim.version == delayed.write.version && delayed.by.is_none_or(|by| !self.sealed[by])
    }

    pub(super) fn write(&mut self, row: ClaimRow) {
        self.claim.version += 1;
        self.claim.row = Some(row);
    }

    pub(super) fn regroup(&mut self, row: GroupRow) {
        self.group.version += 1;
        self.group.row = row;
    }
}
