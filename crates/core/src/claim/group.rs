//! The group of routers that promise claims to one another, as a row.
//!
//! Each change of the members is a new epoch, written on the version that was
//! read. A joiner is a member at once but claims nothing until it is active.
//! That needs an active member which has acknowledged the new set and handed
//! over its notes, and which is still a member when the activation commits.
//!
//! A member that ends is sealed: the transaction that takes it out also seals
//! its own row. Only an active member may do that without proof that the
//! process is gone, so a group never seals its last active member by mistake.
//! The sealer then reads the claims table, see
//! [`Notes::sealing`](super::notes::Notes::sealing).

use serde::{Deserialize, Serialize};

use crate::budget::recovery::Proof;
use crate::id::Incarnation;

/// Key of the group's row in the table.
pub const ROW_KEY: &str = "group";

/// A member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Which incarnation.
    pub incarnation: Incarnation,
    /// Whether it may claim.
    pub active: bool,
}

/// The group's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct GroupRow {
    /// Grows by one with each change of who is a member.
    pub epoch: u64,
    /// In order of the incarnations.
    pub members: Vec<Member>,
}

/// Why the group's row can't be changed so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The change is in the row already.
    AlreadyApplied,
    /// Who asks for it is not a member.
    NotMember,
    /// No active member acknowledged it, and there is one.
    Unacknowledged,
    /// Who asks is not active, and nothing proves that the member is gone.
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

    /// Members but `who`.
    pub fn others(&self, who: &Incarnation) -> impl Iterator<Item = &Incarnation> {
        let all = self.members.iter().map(|m| &m.incarnation);
        all.filter(move |of| *of != who)
    }

    /// The row with a joiner.
    ///
    /// # Errors
    /// [`Refusal::Done`] where it is a member.
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

    /// The row with a joiner made active.
    ///
    /// `acker` is the member that acknowledged a set with the joiner in it. It
    /// may be `None` only where no member is active.
    ///
    /// # Errors
    /// Says why it may not be active yet.
    pub fn activate(
        &self,
        who: &Incarnation,
        acker: Option<&Incarnation>,
    ) -> Result<Self, Refusal> {
        let at = self.find(who).map_err(|_| Refusal::NotMember)?;
        if self.members[at].active {
            return Err(Refusal::AlreadyApplied);
        }
        let acknowledged = match acker {
            Some(acker) => self.is_active(acker),
            None => self.members.iter().all(|m| !m.active),
        };
        if !acknowledged {
            return Err(Refusal::Unacknowledged);
        }
        let mut next = self.clone();
        next.members[at].active = true;
        Ok(next)
    }

    /// The row without a member that `by` seals.
    ///
    /// The same transaction seals the member's own row.
    ///
    /// # Errors
    /// Says why `by` may not.
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

    /// The row without `who`, whose notes `heir` has taken over.
    ///
    /// The same transaction seals the leaver's own row. The last member has no
    /// heir.
    ///
    /// # Errors
    /// Says why it may not leave yet.
    pub fn leave(&self, who: &Incarnation, heir: Option<&Incarnation>) -> Result<Self, Refusal> {
        let at = self.find(who).map_err(|_| Refusal::AlreadyApplied)?;
        let inherited = match heir {
            Some(heir) => heir != who && self.is_active(heir),
            None => self.members.len() == 1,
        };
        if !inherited {
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
