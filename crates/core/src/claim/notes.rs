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
pub struct Note {
    /// When it was noted.
    pub at: Instant,
    /// Whether the table has the attempt's row.
    ///
    /// Such a note of another claimant is kept for one that has ended.
    pub tabled: bool,
}

/// A request to promise a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
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
    Given,
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
    pub notes: Vec<(RequestId, Attempt, Note)>,
}

/// Bounds on what is noted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// Notes at most; more claims are refused.
    pub notes: usize,
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
pub struct Notes {
    me: Incarnation,
    limits: Limits,
    standing: Standing,
    set: GroupRow,
    count: u64,
    sealing: Vec<Incarnation>,
    notes: SortedVec<Key, Note>,
}

impl Notes {
    /// Notes of a router that has not joined.
    pub fn new(me: Incarnation, limits: Limits) -> Self {
        Self {
            me,
            limits,
            standing: Standing::Joining,
            set: GroupRow::default(),
            count: 0,
            sealing: Vec::new(),
            notes: SortedVec::new(),
        }
    }

    /// Whose notes they are.
    pub fn me(&self) -> &Incarnation {
        &self.me
    }

    /// The newest set of members that is known here.
    pub fn set(&self) -> &GroupRow {
        &self.set
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
    pub fn noted(&self, id: &RequestId) -> impl Iterator<Item = (&Attempt, &Note)> {
        let all = self.notes.iter_from(|(noted, _)| noted < id);
        let of = all.take_while(move |((noted, _), _)| noted == id);
        of.map(|((_, attempt), note)| (attempt, note))
    }

    /// Notes of other claimants that the table may not have yet.
    pub fn untabled(&self) -> impl Iterator<Item = (&RequestId, &Attempt)> {
        let open = self.notes.iter().filter(|(_, note)| !note.tabled);
        open.map(|((id, attempt), _)| (id, attempt))
    }

    /// Takes in a set of members, from the table or from another member.
    pub fn learn(&mut self, set: &GroupRow) {
        let newer = set.epoch > self.set.epoch;
        let activated = set.epoch == self.set.epoch && set.is_active(&self.me);
        if !newer && !activated {
            return;
        }
        let ended = self.set.has(&self.me) && !set.has(&self.me);
        self.set = set.clone();
        if ended {
            self.standing = Standing::Ended;
        } else if self.standing != Standing::Ended && set.is_active(&self.me) {
            self.standing = Standing::Active;
        }
    }

    /// Stops claiming and promising: this router is sealed or leaves.
    pub fn end(&mut self) {
        self.standing = Standing::Ended;
    }

    /// Acknowledges a set with a joiner in it; older sets are refused from now.
    ///
    /// `None` where this router is not active and can't speak for the group.
    pub fn acknowledge(&mut self, set: &GroupRow) -> Option<Handover> {
        self.learn(set);
        self.is_active().then(|| self.hand_over())
    }

    /// All notes, for a joiner or for the heir of a leaver.
    ///
    /// A leaver hands over once its own attempts are in the table. Its heir
    /// keeps the notes of these for it, so they go as such.
    pub fn hand_over(&self) -> Handover {
        let leaves = self.standing == Standing::Ended;
        let all = self.notes.iter();
        let notes = all.map(|((id, attempt), note)| {
            let kept = leaves && attempt.claimant == self.me;
            let tabled = note.tabled || kept;
            (id.clone(), attempt.clone(), Note { tabled, ..*note })
        });
        Handover {
            epoch: self.set.epoch,
            notes: notes.collect(),
        }
    }

    /// Takes over the notes of an acknowledging or leaving member.
    ///
    /// Returns whether it did; a router that has handed its own notes on can't.
    pub fn take_over(&mut self, from: &Handover) -> bool {
        if self.standing == Standing::Ended {
            return false;
        }
        for (id, attempt, note) in &from.notes {
            let key = (id.clone(), attempt.clone());
            self.notes.entry(key, || *note).tabled |= note.tabled;
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
    pub fn sealing(&mut self, dead: &Incarnation) {
        if !self.sealing.contains(dead) {
            self.sealing.push(dead.clone());
        }
    }

    /// The sealing of `dead` was refused and never takes effect.
    pub fn spared(&mut self, dead: &Incarnation) {
        self.sealing.retain(|of| of != dead);
    }

    /// Notes the claims of ended members, read from the table after a sealing.
    ///
    /// `set` is the group's row, read before the claims. A sealing that it does
    /// not show may still take effect, so this goes on not to promise then.
    pub fn scanned(
        &mut self,
        set: &GroupRow,
        claims: impl IntoIterator<Item = (RequestId, ClaimRow)>,
        now: Instant,
    ) {
        self.learn(set);
        for (id, row) in claims {
            if set.has(&row.attempt.claimant) || !row.binds() {
                continue;
            }
            self.note(id, row.attempt, now).tabled = true;
        }
        self.sealing.retain(|dead| set.has(dead));
    }

    fn note(&mut self, id: RequestId, attempt: Attempt, now: Instant) -> &mut Note {
        let note = || Note {
            at: now,
            tabled: false,
        };
        self.notes.entry((id, attempt), note)
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
        if let Some((attempt, _)) = self.noted(id).next() {
            return Err(self.verdict(attempt.clone()));
        }
        if self.notes.len() >= self.limits.notes {
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
        if self.set.has(&attempt.claimant) {
            Verdict::InProgress(attempt)
        } else {
            Verdict::Unknown(attempt)
        }
    }

    /// Gives up an attempt of this router that was not dispatched and never will.
    pub fn abandon(&mut self, id: &RequestId, attempt: &Attempt) {
        self.notes.remove(&(id.clone(), attempt.clone()));
    }

    /// Whether an attempt of this router was given up.
    pub fn is_abandoned(&self, id: &RequestId, attempt: &Attempt) -> bool {
        attempt.claimant == self.me && !self.notes.contains(&(id.clone(), attempt.clone()))
    }

    /// What stands against an attempt here, the epoch of its ask apart.
    pub fn against(&self, id: &RequestId, attempt: &Attempt) -> Option<Promise> {
        if self.standing == Standing::Joining || self.is_scanning() {
            return Some(Promise::Refused(Reason::Unready));
        }
        if self.standing == Standing::Ended {
            return Some(Promise::Refused(Reason::Sealed));
        }
        let mut noted = self.noted(id).map(|(attempt, _)| attempt);
        let held = noted.find(|of| *of != attempt && !of.precedes(attempt));
        held.map(|of| Promise::Held(of.clone()))
    }

    /// Answers an ask for a promise.
    pub fn promise(&mut self, ask: &Ask, now: Instant) -> Promise {
        if let Some(refusal) = self.against(&ask.id, &ask.attempt) {
            return refusal;
        }
        if ask.epoch < self.set.epoch {
            return Promise::Refused(Reason::Older);
        }
        let key = (ask.id.clone(), ask.attempt.clone());
        if self.notes.len() >= self.limits.notes && !self.notes.contains(&key) {
            return Promise::Refused(Reason::Full);
        }
        self.notes
            .retain(|(id, attempt), _| *id != ask.id || !attempt.precedes(&ask.attempt));
        self.note(ask.id.clone(), ask.attempt.clone(), now);
        Promise::Given
    }

    /// Drops a promise whose claimant says that it gave the attempt up.
    pub fn release(&mut self, id: &RequestId, attempt: &Attempt) {
        if attempt.claimant != self.me {
            self.notes.remove(&(id.clone(), attempt.clone()));
        }
    }

    /// The table has the attempt's row.
    ///
    /// `unsealed` says that the claimant's own row was not sealed in the same
    /// transaction, or when read after it.
    pub fn tabled(&mut self, id: &RequestId, attempt: &Attempt, unsealed: bool) {
        let key = (id.clone(), attempt.clone());
        let Some(note) = self.notes.get_mut(&key) else {
            return;
        };
        if unsealed && !note.tabled && attempt.claimant != self.me {
            self.notes.remove(&key);
        } else {
            note.tabled = true;
        }
    }

    /// Drops what is older than the retention of keys.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.limits.retention;
        self.notes
            .retain(|_, note| now.saturating_duration_since(note.at) < retention);
    }
}
