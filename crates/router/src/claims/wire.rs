//! Claims as they go between routers.

use std::time::{Duration, Instant};

use poplar_core::claim::registry::{Entry, Handover, Promise};
use poplar_core::claim::{Attempt, Reason};
use poplar_core::id::{Incarnation, RequestId};
use poplar_peer::generated::promise_reply::Kind;
use poplar_peer::generated::{
    Attempt as AttemptWire, Handover as HandoverWire, Note as NoteWire, PromiseReply,
};

/// An attempt of a request.
pub(crate) fn attempt(id: &RequestId, attempt: &Attempt) -> AttemptWire {
    AttemptWire {
        request: id.to_string(),
        claimant: attempt.claimant.to_string(),
        number: attempt.number,
    }
}

/// Reads an attempt; `None` where it names no request or claimant.
pub(crate) fn read_attempt(wire: AttemptWire) -> Option<(RequestId, Attempt)> {
    if wire.request.is_empty() || wire.claimant.is_empty() {
        return None;
    }
    let attempt = Attempt {
        claimant: Incarnation(wire.claimant.as_str().into()),
        number: wire.number,
    };
    Some((RequestId(wire.request.as_str().into()), attempt))
}

/// A promise, or why there is none.
pub(crate) fn promise(id: &RequestId, promise: &Promise) -> PromiseReply {
    let (kind, held) = match promise {
        Promise::Granted => (Kind::Given, None),
        Promise::Held(held) => (Kind::Held, Some(attempt(id, held))),
        Promise::Refused(reason) => (refused(*reason), None),
    };
    PromiseReply {
        kind: kind.into(),
        held,
    }
}

fn refused(reason: Reason) -> Kind {
    match reason {
        Reason::Sealed => Kind::Sealed,
        Reason::Joining => Kind::Joining,
        Reason::Full => Kind::Full,
        Reason::Older => Kind::Older,
        Reason::Unready | Reason::Missing => Kind::Unready,
    }
}

/// Reads a promise; `None` where it can't be, which counts as missing.
pub(crate) fn read_promise(reply: PromiseReply) -> Option<Promise> {
    let promise = match Kind::try_from(reply.kind).ok()? {
        Kind::Given => Promise::Granted,
        Kind::Held => Promise::Held(read_attempt(reply.held?)?.1),
        Kind::Sealed => Promise::Refused(Reason::Sealed),
        Kind::Joining => Promise::Refused(Reason::Joining),
        Kind::Full => Promise::Refused(Reason::Full),
        Kind::Older => Promise::Refused(Reason::Older),
        Kind::Unready => Promise::Refused(Reason::Unready),
    };
    Some(promise)
}

/// Registry that are handed over.
pub(crate) fn handover(handover: &Handover, now: Instant) -> HandoverWire {
    let note = |(id, of, note): &(RequestId, Attempt, Entry)| NoteWire {
        attempt: Some(attempt(id, of)),
        age: now.saturating_duration_since(note.added).as_millis() as u64,
        tabled: note.persisted,
    };
    HandoverWire {
        acknowledged: true,
        epoch: handover.epoch,
        notes: handover.entries.iter().map(note).collect(),
    }
}

/// Reads notes; `None` where one can't be, since none may be missed.
pub(crate) fn read_handover(wire: HandoverWire, now: Instant) -> Option<Handover> {
    let note = |wire: NoteWire| {
        let (id, attempt) = read_attempt(wire.attempt?)?;
        let age = Duration::from_millis(wire.age);
        let note = Entry {
            added: now.checked_sub(age).unwrap_or(now),
            persisted: wire.tabled,
        };
        Some((id, attempt, note))
    };
    let notes: Option<Vec<_>> = wire.notes.into_iter().map(note).collect();
    Some(Handover {
        epoch: wire.epoch,
        entries: notes?,
    })
}
