//! Model of the table: the group's row, each router's own row and the claim.

use poplar_core::budget::rows::Versioned;
use poplar_core::claim::group::{GroupRow, Member};
use poplar_core::claim::table::ClaimRow;

use super::{INCARNATIONS, NAMES};

/// The rows that concern the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Table {
    pub(super) group: Versioned<GroupRow>,
    /// Whether each incarnation's own row is sealed.
    pub(super) sealed: [bool; INCARNATIONS],
    pub(super) claim: Versioned<Option<ClaimRow>>,
}

/// A write of the claim that may still take effect although its sender no longer
/// waits for the answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Delayed {
    /// The incarnation whose own row must be unsealed; `None` if it is not checked.
    pub(super) claimant: Option<usize>,
    /// The row, with the version that the write relies on.
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
            sealed: [false; INCARNATIONS],
            claim: Versioned::default(),
        }
    }

    /// Whether a delayed write can still take effect.
    pub(super) fn can_apply(&self, delayed: &Delayed) -> bool {
        self.claim.version == delayed.write.version
            && delayed
                .claimant
                .is_none_or(|claimant| !self.sealed[claimant])
    }

    pub(super) fn write_claim(&mut self, row: ClaimRow) {
        self.claim.version += 1;
        self.claim.row = Some(row);
    }

    pub(super) fn write_group(&mut self, row: GroupRow) {
        self.group.version += 1;
        self.group.row = row;
    }
}
