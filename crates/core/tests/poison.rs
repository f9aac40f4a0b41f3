//! A request that crashes backend servers is refused after the second crash.

use std::time::{Duration, Instant};

use poplar_core::id::{Incarnation, Name};
use poplar_core::poison::{CrashHistory, Fingerprint, Sighting};

const SECOND: Duration = Duration::from_secs(1);

fn book(router: &str) -> CrashHistory {
    CrashHistory::new(Incarnation::new(router, 1))
}

fn print() -> Fingerprint {
    Fingerprint::new("scenes", b"user\nboom\n")
}

fn crash(book: &mut CrashHistory, server: &str, now: Instant) -> Vec<Sighting> {
    let server: Name = server.into();
    book.record_lost_connection(print(), &server, now);
    book.record_dead_server(&server, now + SECOND)
}

#[test]
fn content_and_model_make_the_print() {
    assert_eq!(print(), Fingerprint::new("scenes", b"user\nboom\n"));
    assert_ne!(print(), Fingerprint::new("chat", b"user\nboom\n"));
    assert_ne!(print(), Fingerprint::new("scenes", b"user\nbooms\n"));
    // The model's end is not the prompt's start.
    assert_ne!(Fingerprint::new("ab", b"c"), Fingerprint::new("a", b"bc"));
}

#[test]
fn the_second_crash_is_refused_on_every_router() {
    let now = Instant::now();
    let (mut a, mut b) = (book("a"), book("b"));
    let first = crash(&mut a, "e0", now);
    assert!(a.is_suspect(print(), now) && a.refusal_reason(print(), now).is_none());
    for sighting in first {
        b.merge(sighting, now);
    }
    let later = now + SECOND * 20;
    crash(&mut b, "e1", later);
    assert_eq!(b.refusal_reason(print(), later).unwrap().crashes, 2);
    for sighting in b.sightings() {
        a.merge(sighting.clone(), later);
    }
    assert!(a.refusal_reason(print(), later).is_some());
}

#[test]
fn a_lost_connection_alone_is_not_a_crash() {
    let now = Instant::now();
    let mut book = book("a");
    for server in ["e0", "e1", "e2"] {
        book.record_lost_connection(print(), &server.into(), now);
    }
    assert!(!book.is_suspect(print(), now));
    // Found dead much later, it died of something else.
    assert!(book.record_dead_server("e0", now + SECOND * 6).is_empty());
    // Another server's death proves nothing.
    book.record_lost_connection(print(), &"e1".into(), now);
    assert!(book.record_dead_server("e3", now + SECOND).is_empty());
}

#[test]
fn what_is_told_again_does_not_count_again() {
    let now = Instant::now();
    let (mut a, mut b) = (book("a"), book("b"));
    let seen = crash(&mut a, "e0", now);
    for _ in 0..10 {
        seen.iter().for_each(|s| b.merge(s.clone(), now));
        b.sightings()
            .cloned()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|s| a.merge(s, now));
    }
    assert!(a.refusal_reason(print(), now).is_none() && b.refusal_reason(print(), now).is_none());
    // Its age may be told wrong.
    let again = Sighting {
        at: now + SECOND * 10,
        ..seen[0].clone()
    };
    b.merge(again, now + SECOND * 10);
    assert!(b.refusal_reason(print(), now + SECOND * 10).is_none());
}

#[test]
fn one_crash_seen_by_two_routers_counts_once() {
    let now = Instant::now();
    let (mut a, mut b) = (book("a"), book("b"));
    crash(&mut a, "e0", now);
    for sighting in crash(&mut b, "e0", now + SECOND) {
        a.merge(sighting, now);
    }
    assert!(a.refusal_reason(print(), now).is_none());
    // The same server crashed again later does count.
    for sighting in crash(&mut b, "e0", now + SECOND * 30) {
        a.merge(sighting, now);
    }
    assert!(a.refusal_reason(print(), now).is_some());
}

#[test]
fn crashes_are_forgotten_and_memory_is_bounded() {
    let now = Instant::now();
    let mut book = book("a");
    crash(&mut book, "e0", now);
    crash(&mut book, "e1", now);
    assert!(book.refusal_reason(print(), now).is_some());
    assert!(book.refusal_reason(print(), now + SECOND * 1000).is_none());
    for i in 0..2000u32 {
        let other = Fingerprint::new("scenes", &i.to_le_bytes());
        book.record_lost_connection(other, &"e2".into(), now);
        book.record_dead_server("e2", now);
    }
    let prints: std::collections::BTreeSet<Fingerprint> =
        book.sightings().map(|s| s.fingerprint).collect();
    assert_eq!(prints.len(), 1024);
}
