//! Requests that differ only in details from one that crashes servers, as one router
//! that has all reports judges them.

use std::time::{Duration, Instant};

use poplar_core::id::Incarnation;
use poplar_core::poison::{CrashHistory, CrashId, Features, Fingerprint, Sighting};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn history() -> CrashHistory {
    CrashHistory::new(Incarnation::new("a", 1), SECOND / 5)
}

/// A request for the same resource as all others here.
fn request(detail: &str) -> Features {
    Features {
        content: Fingerprint::of_fields([b"GET".as_slice(), detail.as_bytes()]),
        resource: Some(Fingerprint::new("/read/", b"")),
        parts: Vec::new(),
    }
}

/// Records a crash of a process under what a router counts of a request.
fn crash(
    history: &mut CrashHistory,
    counted: impl IntoIterator<Item = Fingerprint>,
    process: u64,
    at: Instant,
) {
    for fingerprint in counted {
        let sighting = Sighting {
            fingerprint,
            server: format!("e{process}").into(),
            id: CrashId::Process(process),
            at,
        };
        history.merge(sighting, at);
    }
}

fn answer(history: &mut CrashHistory, request: &Features, at: Instant) {
    for fingerprint in request.iter() {
        history.record_answer(fingerprint, at);
        history.clear_answered(fingerprint, at);
    }
}

fn is_refused(history: &CrashHistory, request: &Features, now: Instant) -> bool {
    history.refusal_reason_of(request, now).is_some()
}

/// Guards against a request that is never refused, since others for its resource are
/// answered between its crashes.
#[test]
fn answers_to_other_requests_do_not_excuse_a_request() {
    let (now, mut history) = (Instant::now(), history());
    for n in 0..3 {
        let at = now + SECOND * n;
        crash(&mut history, request("bad").iter(), u64::from(n), at);
        answer(&mut history, &request("sound"), at + MS);
    }
    let later = now + 4 * SECOND;
    let reason = history.refusal_reason_of(&request("bad"), later);
    let reason = reason.expect("refused");
    assert!(!reason.allows_trial(), "{reason:?}");
    assert!(!is_refused(&history, &request("sound"), later));
    assert!(!is_refused(&history, &request("another"), later));
}

/// Guards against sound requests that are refused for another one, if none of them was
/// answered since its crashes.
#[test]
fn a_request_does_not_pay_for_another_one() {
    let (now, mut history) = (Instant::now(), history());
    for n in 0..4 {
        let at = now + SECOND * n;
        crash(&mut history, request("bad").iter(), u64::from(n), at);
    }
    let later = now + 5 * SECOND;
    assert!(is_refused(&history, &request("bad"), later));
    assert!(!is_refused(&history, &request("sound"), later));
}

/// Guards against a request that escapes by a detail that it changes each time, and
/// against sound ones that are refused for good with it.
#[test]
fn requests_for_a_resource_are_refused_until_one_is_answered() {
    let (now, mut history) = (Instant::now(), history());
    for n in 0..3 {
        let at = now + SECOND * n;
        let bad = request(&format!("bad-{n}"));
        crash(&mut history, bad.iter(), u64::from(n), at);
    }
    let later = now + 4 * SECOND;
    let reason = history.refusal_reason_of(&request("bad-4"), later);
    assert!(reason.expect("refused").allows_trial());
    answer(&mut history, &request("sound"), later);
    assert!(!is_refused(&history, &request("sound"), later + MS));
}

/// Guards against crashes that don't count since the build before, which counts only
/// resources, reports them.
#[test]
fn crashes_that_are_reported_for_a_resource_only_count() {
    let (now, mut history) = (Instant::now(), history());
    let bad = request("bad");
    for n in 0..3 {
        let at = now + SECOND * n;
        crash(&mut history, bad.resource, u64::from(n), at);
    }
    let later = now + 4 * SECOND;
    assert!(is_refused(&history, &bad, later));
    answer(&mut history, &request("sound"), later);
    assert!(!is_refused(&history, &bad, later + MS));
}
