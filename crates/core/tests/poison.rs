//! A request that crashes backend servers is refused after the second crash.

use std::time::{Duration, Instant};

use poplar_core::id::{Incarnation, Name};
use poplar_core::poison::{CrashHistory, Fingerprint, Sighting};

const SECOND: Duration = Duration::from_secs(1);

fn history(router: &str) -> CrashHistory {
    CrashHistory::new(Incarnation::new(router, 1))
}

fn fingerprint() -> Fingerprint {
    Fingerprint::new("scenes", b"user\nboom\n")
}

fn crash(history: &mut CrashHistory, server: &str, now: Instant) -> Vec<Sighting> {
    let server: Name = server.into();
    history.record_lost_connection(fingerprint(), &server, now);
    history.record_dead_server(&server, now + SECOND)
}

#[test]
fn model_and_content_make_the_fingerprint() {
    assert_eq!(fingerprint(), Fingerprint::new("scenes", b"user\nboom\n"));
    assert_ne!(fingerprint(), Fingerprint::new("chat", b"user\nboom\n"));
    assert_ne!(fingerprint(), Fingerprint::new("scenes", b"user\nbooms\n"));
    // The boundary between model and prompt counts.
    assert_ne!(Fingerprint::new("ab", b"c"), Fingerprint::new("a", b"bc"));
}

#[test]
fn the_second_crash_is_refused_on_every_router() {
    let now = Instant::now();
    let (mut a, mut b) = (history("a"), history("b"));
    let first = crash(&mut a, "e0", now);
    assert!(a.is_suspect(fingerprint(), now) && a.refusal_reason(fingerprint(), now).is_none());
    for sighting in first {
        b.merge(sighting, now);
    }
    let later = now + SECOND * 20;
    crash(&mut b, "e1", later);
    assert_eq!(b.refusal_reason(fingerprint(), later).unwrap().crashes, 2);
    for sighting in b.sightings() {
        a.merge(sighting.clone(), later);
    }
    assert!(a.refusal_reason(fingerprint(), later).is_some());
}

#[test]
fn a_lost_connection_alone_is_not_a_crash() {
    let now = Instant::now();
    let mut history = history("a");
    for server in ["e0", "e1", "e2"] {
        history.record_lost_connection(fingerprint(), &server.into(), now);
    }
    assert!(!history.is_suspect(fingerprint(), now));
    // A server that is found dead much later died of something else.
    assert!(
        history
            .record_dead_server("e0", now + SECOND * 6)
            .is_empty()
    );
    // The death of another server proves nothing.
    history.record_lost_connection(fingerprint(), &"e1".into(), now);
    assert!(history.record_dead_server("e3", now + SECOND).is_empty());
}

#[test]
fn a_sighting_received_again_does_not_count_again() {
    let now = Instant::now();
    let (mut a, mut b) = (history("a"), history("b"));
    let seen = crash(&mut a, "e0", now);
    for _ in 0..10 {
        seen.iter().for_each(|s| b.merge(s.clone(), now));
        b.sightings()
            .cloned()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|s| a.merge(s, now));
    }
    assert!(
        a.refusal_reason(fingerprint(), now).is_none()
            && b.refusal_reason(fingerprint(), now).is_none()
    );
    // The reported age may be wrong.
    let again = Sighting {
        at: now + SECOND * 10,
        ..seen[0].clone()
    };
    b.merge(again, now + SECOND * 10);
    assert!(b.refusal_reason(fingerprint(), now + SECOND * 10).is_none());
}

#[test]
fn one_crash_seen_by_two_routers_counts_once() {
    let now = Instant::now();
    let (mut a, mut b) = (history("a"), history("b"));
    crash(&mut a, "e0", now);
    for sighting in crash(&mut b, "e0", now + SECOND) {
        a.merge(sighting, now);
    }
    assert!(a.refusal_reason(fingerprint(), now).is_none());
    // The same server crashed again later does count.
    for sighting in crash(&mut b, "e0", now + SECOND * 30) {
        a.merge(sighting, now);
    }
    assert!(a.refusal_reason(fingerprint(), now).is_some());
}

#[test]
fn crashes_expire_and_the_history_is_bounded() {
    let now = Instant::now();
    let mut history = history("a");
    crash(&mut history, "e0", now);
    crash(&mut history, "e1", now);
    assert!(history.refusal_reason(fingerprint(), now).is_some());
    assert!(
        history
            .refusal_reason(fingerprint(), now + SECOND * 1000)
            .is_none()
    );
    for i in 0..2000u32 {
        let other = Fingerprint::new("scenes", &i.to_le_bytes());
        history.record_lost_connection(other, &"e2".into(), now);
        history.record_dead_server("e2", now);
    }
    let fingerprints: std::collections::BTreeSet<Fingerprint> =
        history.sightings().map(|s| s.fingerprint).collect();
    assert_eq!(fingerprints.len(), 1024);
}
