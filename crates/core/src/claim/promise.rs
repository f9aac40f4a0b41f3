//! Claims by promise, for the time when the table is out of reach.
//!
//! The claimant asks every member of the newest set that it knows. It may run
//! only once all of them have promised; one that is missing or refuses means
//! that it does not run.

use super::registry::{Promise, PromiseRequest, Registry};
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
pub struct PromiseRound {
    request: PromiseRequest,
    pending: Vec<Incarnation>,
}

impl PromiseRound {
    /// Starts to ask, for an attempt that is noted already.
    pub fn begin(notes: &Registry, id: &RequestId, attempt: &Attempt) -> Self {
        let set = notes.group();
        Self {
            request: PromiseRequest {
                id: id.clone(),
                attempt: attempt.clone(),
                epoch: set.epoch,
            },
            pending: set.others(notes.me()).cloned().collect(),
        }
    }

    /// What to ask.
    pub fn request(&self) -> &PromiseRequest {
        &self.request
    }

    /// Members that have yet to answer; asking one again is harmless.
    pub fn pending(&self) -> &[Incarnation] {
        &self.pending
    }

    /// A member's answer to `ask`.
    ///
    /// An answer to an older ask counts for nothing, also one of the same
    /// attempt: the member may have learned of other claims since.
    pub fn on_reply(
        &mut self,
        notes: &Registry,
        from: &Incarnation,
        ask: &PromiseRequest,
        promise: Promise,
    ) -> Progress {
        if *ask != self.request {
            return self.progress(notes);
        }
        match promise {
            Promise::Granted => self.pending.retain(|of| of != from),
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
    pub fn progress(&self, notes: &Registry) -> Progress {
        match notes.objection(&self.request.id, &self.request.attempt) {
            Some(Promise::Held(attempt)) => Progress::Refused(notes.verdict(attempt)),
            Some(Promise::Refused(reason)) => Progress::Refused(Verdict::NotRun(reason)),
            _ if self.pending.is_empty() => Progress::Won,
            _ => Progress::Waiting,
        }
    }
}
