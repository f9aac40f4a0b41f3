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

    /// Whether everybody has promised; a group of one has at once.
    pub fn is_won(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A member's answer to this attempt's ask.
    pub fn on_promise(&mut self, notes: &Notes, from: &Incarnation, promise: Promise) -> Progress {
        match promise {
            Promise::Given => self.waiting.retain(|of| of != from),
            Promise::Held(attempt) => return Progress::Refused(notes.verdict(attempt)),
            Promise::Refused(reason) => return Progress::Refused(Verdict::NotRun(reason)),
        }
        if self.is_won() {
            Progress::Won
        } else {
            Progress::Waiting
        }
    }
}
