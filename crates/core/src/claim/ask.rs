//! Claims by promise, for the time when the table is out of reach.
//!
//! The claimant asks every member of the newest set that it knows. It may run
//! only once all of them have promised; one that is missing or refuses means
//! that it does not run.

use super::notes::{Ask, Notes, Promise};
use super::{Attempt, Verdict};
use crate::id::{Incarnation, RequestId};

/// How far asking is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Members have yet to answer.
    Waiting,
    /// All have promised: dispatch.
    Won,
    /// It does not run: abandon the attempt and tell the caller this.
    Refused(Verdict),
}

/// An attempt that asks for promises.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Asking {
    ask: Ask,
    waiting: Vec<Incarnation>,
}

impl Asking {
    /// Starts to ask, for an attempt that is noted already.
    pub fn begin(notes: &Notes, id: &RequestId, attempt: &Attempt) -> Self {
        let set = notes.set();
        Self {
            ask: Ask {
                id: id.clone(),
                attempt: attempt.clone(),
                epoch: set.epoch,
            },
            waiting: set.others(notes.me()).cloned().collect(),
        }
    }

    /// What to ask.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// Members that have yet to answer; asking one again is harmless.
    pub fn waiting(&self) -> &[Incarnation] {
        &self.waiting
    }

    /// A member's answer to `ask`.
    ///
    /// An answer to an older ask counts for nothing, also one of the same
    /// attempt: the member may have learned of other claims since.
    pub fn on_promise(
        &mut self,
        notes: &Notes,
        from: &Incarnation,
        ask: &Ask,
        promise: Promise,
    ) -> Progress {
        if *ask != self.ask {
            return self.progress(notes);
        }
        match promise {
            Promise::Given => self.waiting.retain(|of| of != from),
            Promise::Held(attempt) => return Progress::Refused(notes.verdict(attempt)),
            Promise::Refused(reason) => return Progress::Refused(Verdict::NotRun(reason)),
        }
        self.progress(notes)
    }

    /// How far it is, which in a group of one needs no answer.
    ///
    /// The claimant's own notes count like those of the members that it asks:
    /// it may have learned of another attempt since it began, and while it
    /// seals a member it speaks for that one's claims.
    pub fn progress(&self, notes: &Notes) -> Progress {
        match notes.against(&self.ask.id, &self.ask.attempt) {
            Some(Promise::Held(attempt)) => Progress::Refused(notes.verdict(attempt)),
            Some(Promise::Refused(reason)) => Progress::Refused(Verdict::NotRun(reason)),
            _ if self.waiting.is_empty() => Progress::Won,
            _ => Progress::Waiting,
        }
    }
}
