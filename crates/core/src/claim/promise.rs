//! Claims by promise, used while the table is unreachable.
//!
//! The claimant asks every member of the newest group that it knows. It may
//! dispatch only once all of them have promised. If one does not answer or
//! refuses, the attempt does not run.

use super::registry::{Promise, PromiseRequest, Registry};
use super::{Attempt, Verdict};
use crate::id::{Incarnation, RequestId};

/// State of a round of promises.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Some members have not answered yet.
    Waiting,
    /// All members have promised: dispatch.
    Won,
    /// The attempt does not run: abandon it and answer the caller with the verdict.
    Refused(Verdict),
}

/// One attempt's requests for a promise to all other members.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromiseRound {
    request: PromiseRequest,
    pending: Vec<Incarnation>,
}

impl PromiseRound {
    /// Starts a round for an attempt that the claimant's registry contains.
    pub fn begin(registry: &Registry, id: &RequestId, attempt: &Attempt) -> Self {
        let group = registry.group();
        Self {
            request: PromiseRequest {
                id: id.clone(),
                attempt: attempt.clone(),
                epoch: group.epoch,
            },
            pending: group.others(registry.incarnation()).cloned().collect(),
        }
    }

    /// The request to send to each member.
    pub fn request(&self) -> &PromiseRequest {
        &self.request
    }

    /// Members that have not answered yet; resending the request is harmless.
    pub fn pending(&self) -> &[Incarnation] {
        &self.pending
    }

    /// Handles a member's answer to `request`.
    ///
    /// An answer to another request is ignored, even if it is for the same attempt:
    /// the member may have learned of other claims since.
    pub fn on_reply(
        &mut self,
        registry: &Registry,
        from: &Incarnation,
        request: &PromiseRequest,
        promise: Promise,
    ) -> Progress {
        if *request != self.request {
            return self.progress(registry);
        }
        match promise {
            Promise::Granted => self.pending.retain(|member| member != from),
            Promise::Held(attempt) => return Progress::Refused(registry.verdict(attempt)),
            Promise::Refused(reason) => return Progress::Refused(Verdict::NotRun(reason)),
        }
        self.progress(registry)
    }

    /// Returns the state of the round; a group of one needs no answer.
    ///
    /// The claimant's own registry is checked like those of the other members. It
    /// may have learned of another attempt since the round began, and while it
    /// seals a member it answers for that member's claims.
    pub fn progress(&self, registry: &Registry) -> Progress {
        match registry.objection(&self.request.id, &self.request.attempt) {
            Some(Promise::Held(attempt)) => Progress::Refused(registry.verdict(attempt)),
            Some(Promise::Refused(reason)) => Progress::Refused(Verdict::NotRun(reason)),
            _ if self.pending.is_empty() => Progress::Won,
            _ => Progress::Waiting,
        }
    }
}
