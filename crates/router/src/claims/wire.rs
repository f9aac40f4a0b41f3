//! Conversion of claims to and from the messages between routers.

use std::time::{Duration, Instant};

use poplar_core::claim::registry::{Entry, Handover, Promise};
use poplar_core::claim::{Attempt, Reason};
use poplar_core::id::{Incarnation, RequestId};
use poplar_peer::generated::promise_reply::Kind;
use poplar_peer::generated::{
    Attempt as AttemptWire, Handover as HandoverWire, Note as NoteWire, PromiseReply,
};

/// Encodes an attempt of a request.
pub(crate) fn encode_attempt(id: &RequestId, attempt: &Attempt) -> AttemptWire {
    AttemptWire {
        request: id.to_string(),
        claimant: attempt.claimant.to_string(),
        number: attempt.number,
    }
}

/// Decodes an attempt; `None` if it names no request or no claimant.
pub(crate) fn decode_attempt(wire: AttemptWire) -> Option<(RequestId, Attempt)> {
    if wire.request.is_empty() || wire.claimant.is_empty() {
        return None;
    }
    let attempt = Attempt {
        claimant: Incarnation(wire.claimant.as_str().into()),
        number: wire.number,
    };
    Some((RequestId(wire.request.as_str().into()), attempt))
}

/// Encodes a promise, or the reason for which it is refused.
pub(crate) fn encode_promise(id: &RequestId, promise: &Promise) -> PromiseReply {
    let (kind, held) = match promise {
        Promise::Granted => (Kind::Given, None),
        Promise::Held(held) => (Kind::Held, Some(encode_attempt(id, held))),
        Promise::Refused(reason) => (encode_reason(*reason), None),
    };
    PromiseReply {
        kind: kind.into(),
        held,
    }
}

fn encode_reason(reason: Reason) -> Kind {
    match reason {
        Reason::Sealed => Kind::Sealed,
        Reason::Joining => Kind::Joining,
        Reason::Full => Kind::Full,
        Reason::Older => Kind::Older,
        Reason::Unready | Reason::Missing => Kind::Unready,
    }
}

/// Decodes a promise; `None` if the message is invalid, which counts as no
/// answer.
pub(crate) fn decode_promise(reply: PromiseReply) -> Option<Promise> {
    let promise = match Kind::try_from(reply.kind).ok()? {
        Kind::Given => Promise::Granted,
        Kind::Held => Promise::Held(decode_attempt(reply.held?)?.1),
        Kind::Sealed => Promise::Refused(Reason::Sealed),
        Kind::Joining => Promise::Refused(Reason::Joining),
        Kind::Full => Promise::Refused(Reason::Full),
        Kind::Older => Promise::Refused(Reason::Older),
        Kind::Unready => Promise::Refused(Reason::Unready),
    };
    Some(promise)
}

/// Encodes the claims that are handed over to another member.
pub(crate) fn encode_handover(handover: &Handover, now: Instant) -> HandoverWire {
    let encode = |(id, of, entry): &(RequestId, Attempt, Entry)| NoteWire {
        attempt: Some(encode_attempt(id, of)),
        age: now.saturating_duration_since(entry.added).as_millis() as u64,
        tabled: entry.persisted,
    };
    HandoverWire {
        acknowledged: true,
        epoch: handover.epoch,
        notes: handover.entries.iter().map(encode).collect(),
    }
}

/// Decodes a handover; `None` if any claim in it is invalid, since none may be
/// left out.
pub(crate) fn decode_handover(wire: HandoverWire, now: Instant) -> Option<Handover> {
    let decode = |wire: NoteWire| {
        let (id, attempt) = decode_attempt(wire.attempt?)?;
        let age = Duration::from_millis(wire.age);
        let entry = Entry {
            added: now.checked_sub(age).unwrap_or(now),
            persisted: wire.tabled,
        };
        Some((id, attempt, entry))
    };
    let entries: Option<Vec<_>> = wire.notes.into_iter().map(decode).collect();
    Some(Handover {
        epoch: wire.epoch,
        entries: entries?,
    })
}
