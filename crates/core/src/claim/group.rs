//! The row that lists the group of routers that promise claims to one another.
//!
//! Each change of the members starts a new epoch and is written conditional on
//! the version that was read. A joiner is a member at once, but may not claim
//! until it is active. For that an active member must have acknowledged the new
//! group and handed over its registry, and must still be an active member when
//! the activation commits.
//!
//! A member that ends is sealed: the transaction that removes it from the group
//! also seals its router row. Only an active member may do that without proof
//! that the process is gone, so a group never seals its last active member by
//! mistake. The sealer then reads all claims from the table, see
//! [`Registry::begin_sealing`](super::registry::Registry::begin_sealing).

use serde::{Deserialize, Serialize};

use crate::budget::recovery::Proof;
use crate::id::Incarnation;

/// Key of the group's row in the table.
pub const ROW_KEY: &str = "group";

/// A member of the group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// Whether the member may claim.
    pub active: bool,
}

/// The group's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct GroupRow {
    /// Grows by one with each member that is added or removed.
    pub epoch: u64,
    /// The members, sorted by incarnation.
    pub members: Vec<Member>,
}

/// Why a change of the group is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The row shows the change already.
    AlreadyApplied,
    /// The router in question is not a member, or it would seal itself.
    NotMember,
    /// No active member has acknowledged the change, and the group has one.
    Unacknowledged,
    /// The sealer is not active, and there is no proof that the member is gone.
    NoProof,
}

impl GroupRow {
    fn find(&self, who: &Incarnation) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.incarnation.cmp(who))
    }

    /// Whether `who` is a member.
    pub fn contains(&self, who: &Incarnation) -> bool {
        self.find(who).is_ok()
    }

    /// Whether `who` is an active member.
    pub fn is_active(&self, who: &Incarnation) -> bool {
        self.find(who).is_ok_and(|at| self.members[at].active)
    }

    /// All members except `who`.
    pub fn others(&self, who: &Incarnation) -> impl Iterator<Item = &Incarnation> {
        let all = self.members.iter().map(|m| &m.incarnation);
        all.filter(move |member| *member != who)
    }

    /// The row after `who` has joined.
    ///
    /// # Errors
    /// [`Refusal::AlreadyApplied`] if `who` is a member.
    pub fn join(&self, who: &Incarnation) -> Result<Self, Refusal> {
        let Err(at) = self.find(who) else {
            return Err(Refusal::AlreadyApplied);
        };
        let mut next = self.clone();
        next.epoch += 1;
        let member = Member {
            incarnation: who.clone(),
            active: false,
        };
        next.members.insert(at, member);
        Ok(next)
    }

    /// The row after the joiner `who` has become active.
    ///
    /// `acknowledger` is the member that acknowledged a group with the joiner in
    /// it. It may be `None` only if no member is active.
    ///
    /// # Errors
    /// Returns the reason why the joiner may not be active yet.
    pub fn activate(
        &self,
        who: &Incarnation,
        acknowledger: Option<&Incarnation>,
    ) -> Result<Self, Refusal> {
        let at = self.find(who).map_err(|_| Refusal::NotMember)?;
        if self.members[at].active {
            return Err(Refusal::AlreadyApplied);
        }
        let acknowledged = match acknowledger {
            Some(acknowledger) => self.is_active(acknowledger),
            None => self.members.iter().all(|m| !m.active),
        };
        if !acknowledged {
            return Err(Refusal::Unacknowledged);
        }
        let mut next = self.clone();
        next.members[at].active = true;
        Ok(next)
    }

    /// The row after `by` has sealed and removed the member `dead`.
    ///
    /// The same transaction seals the member's router row.
    ///
    /// # Errors
    /// Returns the reason why `by` may not seal the member.
    pub fn seal(
        &self,
        by: &Incarnation,
        dead: &Incarnation,
        proof: Option<Proof>,
    ) -> Result<Self, Refusal> {
        let at = self.find(dead).map_err(|_| Refusal::AlreadyApplied)?;
        if !self.contains(by) || by == dead {
            return Err(Refusal::NotMember);
        }
        if !self.is_active(by) && proof.is_none() {
            return Err(Refusal::NoProof);
        }
        Ok(self.without(at))
    }

    /// The row after `who` has left, with `successor` having taken over its registry.
    ///
    /// The same transaction seals the leaver's router row. The last member has no
    /// successor.
    ///
    /// # Errors
    /// Returns the reason why the member may not leave yet.
    pub fn leave(
        &self,
        who: &Incarnation,
        successor: Option<&Incarnation>,
    ) -> Result<Self, Refusal> {
        let at = self.find(who).map_err(|_| Refusal::AlreadyApplied)?;
        let handed_over = match successor {
            Some(successor) => successor != who && self.is_active(successor),
            None => self.members.len() == 1,
        };
        if !handed_over {
            return Err(Refusal::Unacknowledged);
        }
        Ok(self.without(at))
    }

    fn without(&self, at: usize) -> Self {
        let mut next = self.clone();
        next.epoch += 1;
        next.members.remove(at);
        next
    }
}
