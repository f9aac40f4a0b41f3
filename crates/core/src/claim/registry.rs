//! One member's registry of claims: its own attempts and those it has promised.
//!
//! An entry states that an attempt may run a request, and prevents every other
//! attempt of it: those of other claimants and those of this router. A router
//! registers its own attempt before it claims, by row or by promise. An entry of
//! another claimant is removed once the table has the attempt's row and the
//! claimant was not sealed at that time, since a later sealer finds the row. It is
//! also removed once the claimant states that it has abandoned the attempt. All
//! entries are removed after the retention time of idempotency keys.
//!
//! The registry of a claimant is the authority on the claimant's own attempts. An
//! attempt that is not in it was abandoned and never runs, so the claimant can be
//! asked at any time, and repeatedly, whether a promise may be released. A
//! claimant starts no attempt while its registry has one for the same request, so
//! a newer attempt also shows that the older ones were abandoned. No member
//! answers for a claimant that has ended.

use std::time::{Duration, Instant};

use super::group::GroupRow;
use super::table::ClaimRow;
use super::{Attempt, Reason, Verdict};
use crate::id::{Incarnation, RequestId};
use crate::sorted::SortedVec;

/// A request and one attempt to run it.
type Key = (RequestId, Attempt);

/// What the registry stores about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// When the entry was added.
    pub added: Instant,
    /// Whether the table has the attempt's row.
    ///
    /// Such an entry of another claimant is kept if that claimant has ended.
    pub persisted: bool,
}

/// A request to promise a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromiseRequest {
    /// The request to run.
    pub id: RequestId,
    /// The attempt that is to run it.
    pub attempt: Attempt,
    /// Epoch of the group whose members are asked.
    pub epoch: u64,
}

/// The answer to a [`PromiseRequest`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// The attempt is registered, and all others are refused.
    Granted,
    /// Another attempt is registered.
    Held(Attempt),
    /// The promise is refused for another reason.
    Refused(Reason),
}

/// The registry as one member hands it over to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handover {
    /// Epoch of the group that the member acts on from now on.
    pub epoch: u64,
    /// All entries of the registry.
    pub entries: Vec<(RequestId, Attempt, Entry)>,
}

/// Limits of a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// Maximum number of entries; further claims are refused.
    pub max_entries: usize,
    /// How long an entry is kept.
    pub retention: Duration,
}

/// A router's state of membership, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Membership {
    /// Has not taken over a member's registry.
    Joining,
    /// Has taken over a member's registry, but is not active yet.
    Informed,
    /// May claim and promise.
    Active,
    /// Is sealed or leaves; neither claims nor promises.
    Ended,
}

/// The claims known to one router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Registry {
    incarnation: Incarnation,
    limits: Limits,
    membership: Membership,
    group: GroupRow,
    attempt_count: u64,
    sealing: Vec<Incarnation>,
    entries: SortedVec<Key, Entry>,
}

impl Registry {
    /// The registry of a router that has not joined the group.
    pub fn new(incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            incarnation,
            limits,
            membership: Membership::Joining,
            group: GroupRow::default(),
            attempt_count: 0,
            sealing: Vec::new(),
            entries: SortedVec::new(),
        }
    }

    /// The router that the registry belongs to.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// The newest group that this router knows.
    pub fn group(&self) -> &GroupRow {
        &self.group
    }

    /// Whether this router may claim.
    pub fn is_active(&self) -> bool {
        self.membership == Membership::Active
    }

    /// Whether claims of ended members are still to be read from the table.
    pub fn is_scanning(&self) -> bool {
        !self.sealing.is_empty()
    }

    /// The registered attempts to run a request.
    pub fn attempts(&self, id: &RequestId) -> impl Iterator<Item = (&Attempt, &Entry)> {
        let from = self.entries.iter_from(|(other, _)| other < id);
        let matching = from.take_while(move |((other, _), _)| other == id);
        matching.map(|((_, attempt), entry)| (attempt, entry))
    }

    /// Attempts whose row the table may not have yet.
    pub fn unpersisted(&self) -> impl Iterator<Item = (&RequestId, &Attempt)> {
        let unpersisted = self.entries.iter().filter(|(_, entry)| !entry.persisted);
        unpersisted.map(|((id, attempt), _)| (id, attempt))
    }

    /// Updates the group from the table or from another member, if it is newer.
    pub fn update_group(&mut self, group: &GroupRow) {
        let newer = group.epoch > self.group.epoch;
        let activated = group.epoch == self.group.epoch && group.is_active(&self.incarnation);
        if !newer && !activated {
            return;
        }
        let ended = self.group.contains(&self.incarnation) && !group.contains(&self.incarnation);
        self.group = group.clone();
        if ended {
            self.membership = Membership::Ended;
        } else if self.membership != Membership::Ended && group.is_active(&self.incarnation) {
            self.membership = Membership::Active;
        }
    }

    /// Stops claiming and promising, because this router is sealed or leaves.
    pub fn mark_ended(&mut self) {
        self.membership = Membership::Ended;
    }

    /// Acknowledges a group with a joiner in it, and returns the registry for it.
    ///
    /// Requests of an older epoch are refused from now on. `None` if this router is
    /// not active and so may not acknowledge on behalf of the group.
    pub fn acknowledge(&mut self, group: &GroupRow) -> Option<Handover> {
        self.update_group(group);
        self.is_active().then(|| self.hand_over())
    }

    /// The whole registry, for a joiner or for the successor of a leaver.
    ///
    /// A leaver hands over once its own attempts are in the table. They are handed
    /// over as persisted, so that the successor keeps them for the ended claimant.
    pub fn hand_over(&self) -> Handover {
        let is_leaving = self.membership == Membership::Ended;
        let all = self.entries.iter();
        let entries = all.map(|((id, attempt), entry)| {
            let must_keep = is_leaving && attempt.claimant == self.incarnation;
            let persisted = entry.persisted || must_keep;
            (
                id.clone(),
                attempt.clone(),
                Entry {
                    persisted,
                    ..*entry
                },
            )
        });
        Handover {
            epoch: self.group.epoch,
            entries: entries.collect(),
        }
    }

    /// Takes over the registry of an acknowledging or leaving member.
    ///
    /// Returns whether it did so. A router that has ended cannot, since it may have
    /// handed over its own registry already.
    pub fn take_over(&mut self, handover: &Handover) -> bool {
        if self.membership == Membership::Ended {
            return false;
        }
        for (id, attempt, entry) in &handover.entries {
            let key = (id.clone(), attempt.clone());
            self.entries.get_or_insert_with(key, || *entry).persisted |= entry.persisted;
        }
        if self.membership == Membership::Joining {
            self.membership = Membership::Informed;
        }
        true
    }

    /// Stops promising, before this router commits the sealing of `dead`.
    ///
    /// Promising resumes once the claims of ended members were read from the table,
    /// because until then it is possible that no member has entries for them.
    pub fn begin_sealing(&mut self, dead: &Incarnation) {
        if !self.sealing.contains(dead) {
            self.sealing.push(dead.clone());
        }
    }

    /// Handles that the sealing of `dead` was refused and never takes effect.
    pub fn cancel_sealing(&mut self, dead: &Incarnation) {
        self.sealing.retain(|member| member != dead);
    }

    /// Registers the claims of ended members, read from the table after a sealing.
    ///
    /// `group` is the group's row, read before the claims. A sealing that it does not
    /// show may still take effect, so promising stays suspended in that case.
    pub fn complete_scan(
        &mut self,
        group: &GroupRow,
        claims: impl IntoIterator<Item = (RequestId, ClaimRow)>,
        now: Instant,
    ) {
        self.update_group(group);
        for (id, row) in claims {
            if group.contains(&row.attempt.claimant) || !row.is_binding() {
                continue;
            }
            self.register(id, row.attempt, now).persisted = true;
        }
        self.sealing.retain(|dead| group.contains(dead));
    }

    fn register(&mut self, id: RequestId, attempt: Attempt, now: Instant) -> &mut Entry {
        let new_entry = || Entry {
            added: now,
            persisted: false,
        };
        self.entries.get_or_insert_with((id, attempt), new_entry)
    }

    /// Numbers and registers an attempt of this router, before it claims.
    ///
    /// # Errors
    /// Returns the verdict for the caller.
    pub fn start(&mut self, id: &RequestId, now: Instant) -> Result<Attempt, Verdict> {
        match self.membership {
            Membership::Active => {}
            Membership::Ended => return Err(Verdict::NotRun(Reason::Sealed)),
            _ => return Err(Verdict::NotRun(Reason::Joining)),
        }
        if let Some((attempt, _)) = self.attempts(id).next() {
            return Err(self.verdict(attempt.clone()));
        }
        if self.entries.len() >= self.limits.max_entries {
            return Err(Verdict::NotRun(Reason::Full));
        }
        self.attempt_count += 1;
        let attempt = Attempt {
            claimant: self.incarnation.clone(),
            number: self.attempt_count,
        };
        self.register(id.clone(), attempt.clone(), now);
        Ok(attempt)
    }

    /// The verdict for a caller whose claim another attempt holds.
    pub fn verdict(&self, attempt: Attempt) -> Verdict {
        if self.group.contains(&attempt.claimant) {
            Verdict::InProgress(attempt)
        } else {
            Verdict::Unknown(attempt)
        }
    }

    /// Abandons an attempt of this router that was not and will not be dispatched.
    pub fn abandon(&mut self, id: &RequestId, attempt: &Attempt) {
        self.entries.remove(&(id.clone(), attempt.clone()));
    }

    /// Whether an attempt is one of this router's that was abandoned.
    pub fn is_abandoned(&self, id: &RequestId, attempt: &Attempt) -> bool {
        attempt.claimant == self.incarnation
            && !self.entries.contains(&(id.clone(), attempt.clone()))
    }

    /// The reason to refuse a promise for an attempt, apart from the request's epoch.
    pub fn objection(&self, id: &RequestId, attempt: &Attempt) -> Option<Promise> {
        if self.membership == Membership::Joining || self.is_scanning() {
            return Some(Promise::Refused(Reason::Unready));
        }
        if self.membership == Membership::Ended {
            return Some(Promise::Refused(Reason::Sealed));
        }
        let mut registered = self.attempts(id).map(|(attempt, _)| attempt);
        let holder = registered.find(|other| *other != attempt && !other.precedes(attempt));
        holder.map(|other| Promise::Held(other.clone()))
    }

    /// Answers a request for a promise.
    pub fn promise(&mut self, request: &PromiseRequest, now: Instant) -> Promise {
        if let Some(refusal) = self.objection(&request.id, &request.attempt) {
            return refusal;
        }
        if request.epoch < self.group.epoch {
            return Promise::Refused(Reason::Older);
        }
        let key = (request.id.clone(), request.attempt.clone());
        if self.entries.len() >= self.limits.max_entries && !self.entries.contains(&key) {
            return Promise::Refused(Reason::Full);
        }
        self.entries
            .retain(|(id, attempt), _| *id != request.id || !attempt.precedes(&request.attempt));
        self.register(request.id.clone(), request.attempt.clone(), now);
        Promise::Granted
    }

    /// Drops a promise whose claimant states that it has abandoned the attempt.
    pub fn release(&mut self, id: &RequestId, attempt: &Attempt) {
        if attempt.claimant != self.incarnation {
            self.entries.remove(&(id.clone(), attempt.clone()));
        }
    }

    /// Handles that the table has the attempt's row.
    ///
    /// `unsealed` tells that the claimant's router row was not sealed in the same
    /// transaction, or when it was read afterwards.
    pub fn mark_persisted(&mut self, id: &RequestId, attempt: &Attempt, unsealed: bool) {
        let key = (id.clone(), attempt.clone());
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if unsealed && !entry.persisted && attempt.claimant != self.incarnation {
            self.entries.remove(&key);
        } else {
            entry.persisted = true;
        }
    }

    /// Removes the entries that are older than the retention time.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.limits.retention;
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.added) < retention);
    }
}
