//! What one member knows of claims: its own and those it has promised.
//!
//! A note says that an attempt may run a request, and keeps everybody else from
//! it: other askers, and this router itself. A router notes its own attempt
//! before it claims in either way. Notes of others go once the table has the
//! attempt's row and the claimant was not sealed then, since a later sealer
//! finds the row; or once the claimant says that it gave the attempt up. All
//! notes go with the retention of keys.
//!
//! A claimant's word on its own attempts is its memory. An attempt that it does
//! not remember was abandoned and never runs, so it can be asked again at any
//! time whether to release one. Since it starts none while it remembers one of
//! the same request, a newer attempt shows too that the older were abandoned.
//! Nobody answers for a claimant that has ended.

use std::time::{Duration, Instant};

use super::group::GroupRow;
use super::table::ClaimRow;
use super::{Attempt, Reason, Verdict};
use crate::id::{Incarnation, RequestId};
use crate::sorted::SortedVec;

/// A request and an attempt of it.
type Key = (RequestId, Attempt);

/// What is kept of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// When it was noted.
    pub added: Instant,
    /// Whether the table has the attempt's row.
    ///
    /// Such a note of another claimant is kept for one that has ended.
    pub persisted: bool,
}

/// A request to promise a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromiseRequest {
    /// What is to run.
    pub id: RequestId,
    /// The attempt that is to run it.
    pub attempt: Attempt,
    /// Epoch of the set of members that is asked.
    pub epoch: u64,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Noted, and refused to everybody else.
    Granted,
    /// Another attempt is noted.
    Held(Attempt),
    /// Not promised.
    Refused(Reason),
}

/// Notes as one member hands them to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handover {
    /// Epoch of the set that the member keeps to from now on.
    pub epoch: u64,
    /// What it has noted.
    pub entries: Vec<(RequestId, Attempt, Entry)>,
}

/// Bounds on what is noted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// Notes at most; more claims are refused.
    pub max_entries: usize,
    /// For how long a key is remembered.
    pub retention: Duration,
}

/// A router's stage of membership, as it knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Standing {
    Joining,
    Informed,
    Active,
    Ended,
}

/// The notes of one router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Registry {
    me: Incarnation,
    limits: Limits,
    standing: Standing,
    group: GroupRow,
    count: u64,
    sealing: Vec<Incarnation>,
    entries: SortedVec<Key, Entry>,
}

impl Registry {
    /// Notes of a router that has not joined.
    pub fn new(me: Incarnation, limits: Limits) -> Self {
        Self {
            me,
            limits,
            standing: Standing::Joining,
            group: GroupRow::default(),
            count: 0,
            sealing: Vec::new(),
            entries: SortedVec::new(),
        }
    }

    /// Whose notes they are.
    pub fn me(&self) -> &Incarnation {
        &self.me
    }

    /// The newest set of members that is known here.
    pub fn group(&self) -> &GroupRow {
        &self.group
    }

    /// Whether this router may claim.
    pub fn is_active(&self) -> bool {
        self.standing == Standing::Active
    }

    /// Whether claims of ended members are still to be read.
    pub fn is_scanning(&self) -> bool {
        !self.sealing.is_empty()
    }

    /// Attempts noted for a request.
    pub fn attempts(&self, id: &RequestId) -> impl Iterator<Item = (&Attempt, &Entry)> {
        let all = self.entries.iter_from(|(noted, _)| noted < id);
        let of = all.take_while(move |((noted, _), _)| noted == id);
        of.map(|((_, attempt), note)| (attempt, note))
    }

    /// Notes of other claimants that the table may not have yet.
    pub fn unpersisted(&self) -> impl Iterator<Item = (&RequestId, &Attempt)> {
        let open = self.entries.iter().filter(|(_, note)| !note.persisted);
        open.map(|((id, attempt), _)| (id, attempt))
    }

    /// Takes in a set of members, from the table or from another member.
    pub fn update_group(&mut self, set: &GroupRow) {
        let newer = set.epoch > self.group.epoch;
        let activated = set.epoch == self.group.epoch && set.is_active(&self.me);
        if !newer && !activated {
            return;
        }
        let ended = self.group.contains(&self.me) && !set.contains(&self.me);
        self.group = set.clone();
        if ended {
            self.standing = Standing::Ended;
        } else if self.standing != Standing::Ended && set.is_active(&self.me) {
            self.standing = Standing::Active;
        }
    }

    /// Stops claiming and promising: this router is sealed or leaves.
    pub fn mark_ended(&mut self) {
        self.standing = Standing::Ended;
    }

    /// Acknowledges a set with a joiner in it; older sets are refused from now.
    ///
    /// `None` where this router is not active and can't speak for the group.
    pub fn acknowledge(&mut self, set: &GroupRow) -> Option<Handover> {
        self.update_group(set);
        self.is_active().then(|| self.hand_over())
    }

    /// All notes, for a joiner or for the heir of a leaver.
    ///
    /// A leaver hands over once its own attempts are in the table. Its heir
    /// keeps the notes of these for it, so they go as such.
    pub fn hand_over(&self) -> Handover {
        let leaves = self.standing == Standing::Ended;
        let all = self.entries.iter();
        let notes = all.map(|((id, attempt), note)| {
            let kept = leaves && attempt.claimant == self.me;
            let tabled = note.persisted || kept;
            (
                id.clone(),
                attempt.clone(),
                Entry {
                    persisted: tabled,
                    ..*note
                },
            )
        });
        Handover {
            epoch: self.group.epoch,
            entries: notes.collect(),
        }
    }

    /// Takes over the notes of an acknowledging or leaving member.
    ///
    /// Returns whether it did; a router that has handed its own notes on can't.
    pub fn take_over(&mut self, from: &Handover) -> bool {
        if self.standing == Standing::Ended {
            return false;
        }
        for (id, attempt, note) in &from.entries {
            let key = (id.clone(), attempt.clone());
            self.entries.get_or_insert_with(key, || *note).persisted |= note.persisted;
        }
        if self.standing == Standing::Joining {
            self.standing = Standing::Informed;
        }
        true
    }

    /// Stops promising before this router commits the sealing of `dead`.
    ///
    /// It goes on once the claims of ended members were read. Until then
    /// nobody may hold notes for them.
    pub fn begin_sealing(&mut self, dead: &Incarnation) {
        if !self.sealing.contains(dead) {
            self.sealing.push(dead.clone());
        }
    }

    /// The sealing of `dead` was refused and never takes effect.
    pub fn cancel_sealing(&mut self, dead: &Incarnation) {
        self.sealing.retain(|of| of != dead);
    }

    /// Notes the claims of ended members, read from the table after a sealing.
    ///
    /// `set` is the group's row, read before the claims. A sealing that it does
    /// not show may still take effect, so this goes on not to promise then.
    pub fn complete_scan(
        &mut self,
        set: &GroupRow,
        claims: impl IntoIterator<Item = (RequestId, ClaimRow)>,
        now: Instant,
    ) {
        self.update_group(set);
        for (id, row) in claims {
            if set.contains(&row.attempt.claimant) || !row.is_binding() {
                continue;
            }
            self.note(id, row.attempt, now).persisted = true;
        }
        self.sealing.retain(|dead| set.contains(dead));
    }

    fn note(&mut self, id: RequestId, attempt: Attempt, now: Instant) -> &mut Entry {
        let note = || Entry {
            added: now,
            persisted: false,
        };
        self.entries.get_or_insert_with((id, attempt), note)
    }

    /// Notes and numbers an attempt of this router, before any claim of it.
    ///
    /// # Errors
    /// Says what the caller is to be told.
    pub fn start(&mut self, id: &RequestId, now: Instant) -> Result<Attempt, Verdict> {
        match self.standing {
            Standing::Active => {}
            Standing::Ended => return Err(Verdict::NotRun(Reason::Sealed)),
            _ => return Err(Verdict::NotRun(Reason::Joining)),
        }
        if let Some((attempt, _)) = self.attempts(id).next() {
            return Err(self.verdict(attempt.clone()));
        }
        if self.entries.len() >= self.limits.max_entries {
            return Err(Verdict::NotRun(Reason::Full));
        }
        self.count += 1;
        let attempt = Attempt {
            claimant: self.me.clone(),
            number: self.count,
        };
        self.note(id.clone(), attempt.clone(), now);
        Ok(attempt)
    }

    /// What a caller is told of a claim that another attempt holds.
    pub fn verdict(&self, attempt: Attempt) -> Verdict {
        if self.group.contains(&attempt.claimant) {
            Verdict::InProgress(attempt)
        } else {
            Verdict::Unknown(attempt)
        }
    }

    /// Gives up an attempt of this router that was not dispatched and never will.
    pub fn abandon(&mut self, id: &RequestId, attempt: &Attempt) {
        self.entries.remove(&(id.clone(), attempt.clone()));
    }

    /// Whether an attempt of this router was given up.
    pub fn is_abandoned(&self, id: &RequestId, attempt: &Attempt) -> bool {
        attempt.claimant == self.me && !self.entries.contains(&(id.clone(), attempt.clone()))
    }

    /// What stands against an attempt here, the epoch of its ask apart.
    pub fn objection(&self, id: &RequestId, attempt: &Attempt) -> Option<Promise> {
        if self.standing == Standing::Joining || self.is_scanning() {
            return Some(Promise::Refused(Reason::Unready));
        }
        if self.standing == Standing::Ended {
            return Some(Promise::Refused(Reason::Sealed));
        }
        let mut noted = self.attempts(id).map(|(attempt, _)| attempt);
        let held = noted.find(|of| *of != attempt && !of.precedes(attempt));
        held.map(|of| Promise::Held(of.clone()))
    }

    /// Answers an ask for a promise.
    pub fn promise(&mut self, ask: &PromiseRequest, now: Instant) -> Promise {
        if let Some(refusal) = self.objection(&ask.id, &ask.attempt) {
            return refusal;
        }
        if ask.epoch < self.group.epoch {
            return Promise::Refused(Reason::Older);
        }
        let key = (ask.id.clone(), ask.attempt.clone());
        if self.entries.len() >= self.limits.max_entries && !self.entries.contains(&key) {
            return Promise::Refused(Reason::Full);
        }
        self.entries
            .retain(|(id, attempt), _| *id != ask.id || !attempt.precedes(&ask.attempt));
        self.note(ask.id.clone(), ask.attempt.clone(), now);
        Promise::Granted
    }

    /// Drops a promise whose claimant says that it gave the attempt up.
    pub fn release(&mut self, id: &RequestId, attempt: &Attempt) {
        if attempt.claimant != self.me {
            self.entries.remove(&(id.clone(), attempt.clone()));
        }
    }

    /// The table has the attempt's row.
    ///
    /// `unsealed` says that the claimant's own row was not sealed in the same
    /// transaction, or when read after it.
    pub fn mark_persisted(&mut self, id: &RequestId, attempt: &Attempt, unsealed: bool) {
        let key = (id.clone(), attempt.clone());
        let Some(note) = self.entries.get_mut(&key) else {
            return;
        };
        if unsealed && !note.persisted && attempt.claimant != self.me {
            self.entries.remove(&key);
        } else {
            note.persisted = true;
        }
    }

    /// Drops what is older than the retention of keys.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.limits.retention;
        self.entries
            .retain(|_, note| now.saturating_duration_since(note.added) < retention);
    }
}
