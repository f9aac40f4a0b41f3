//! A request that crashes backend servers is refused after the second crash.

use std::time::{Duration, Instant};

use poplar_core::id::{Incarnation, Name};
use poplar_core::poison::{Book, Print, Sighting};

const SECOND: Duration = Duration::from_secs(1);

fn book(router: &str) -> Book {
    Book::new(Incarnation::new(router, 1))
}

fn print() -> Print {
    Print::new("scenes", b"user\nboom\n")
}

fn crash(book: &mut Book, server: &str, now: Instant) -> Vec<Sighting> {
    let server: Name = server.into();
    book.lost(print(), &server, now);
    book.dead(&server, now + SECOND)
}

#[test]
fn content_and_model_make_the_print() {
    assert_eq!(print(), Print::new("scenes", b"user\nboom\n"));
    assert_ne!(print(), Print::new("chat", b"user\nboom\n"));
    assert_ne!(print(), Print::new("scenes", b"user\nbooms\n"));
    // The model's end is not the prompt's start.
    assert_ne!(Print::new("ab", b"c"), Print::new("a", b"bc"));
}

#[test]
fn the_second_crash_is_refused_on_every_router() {
    let now = Instant::now();
    let (mut a, mut b) = (book("a"), book("b"));
    let first = crash(&mut a, "e0", now);
    assert!(a.suspects(print(), now) && a.refuses(print(), now).is_none());
    for sighting in first {
        b.merge(sighting, now);
    }
    let later = now + SECOND * 20;
    crash(&mut b, "e1", later);
    assert_eq!(b.refuses(print(), later).unwrap().crashes, 2);
    for sighting in b.sightings() {
        a.merge(sighting.clone(), later);
    }
    assert!(a.refuses(print(), later).is_some());
}

#[test]
fn a_lost_connection_alone_is_not_a_crash() {
    let now = Instant::now();
    let mut book = book("a");
    for server in ["e0", "e1", "e2"] {
        book.lost(print(), &server.into(), now);
    }
    assert!(!book.suspects(print(), now));
    // Found dead much later, it died of something else.
    assert!(book.dead("e0", now + SECOND * 6).is_empty());
    // Another server's death proves nothing.
    book.lost(print(), &"e1".into(), now);
    assert!(book.dead("e3", now + SECOND).is_empty());
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
    assert!(a.refuses(print(), now).is_none() && b.refuses(print(), now).is_none());
    // Its age may be told wrong.
    let again = Sighting {
        at: now + SECOND * 10,
        ..seen[0].clone()
    };
    b.merge(again, now + SECOND * 10);
    assert!(b.refuses(print(), now + SECOND * 10).is_none());
}

#[test]
fn one_crash_seen_by_two_routers_counts_once() {
    let now = Instant::now();
    let (mut a, mut b) = (book("a"), book("b"));
    crash(&mut a, "e0", now);
    for sighting in crash(&mut b, "e0", now + SECOND) {
        a.merge(sighting, now);
    }
    assert!(a.refuses(print(), now).is_none());
    // The same server crashed again later does count.
    for sighting in crash(&mut b, "e0", now + SECOND * 30) {
        a.merge(sighting, now);
    }
    assert!(a.refuses(print(), now).is_some());
}

#[test]
fn crashes_are_forgotten_and_memory_is_bounded() {
    let now = Instant::now();
    let mut book = book("a");
    crash(&mut book, "e0", now);
    crash(&mut book, "e1", now);
    assert!(book.refuses(print(), now).is_some());
    assert!(book.refuses(print(), now + SECOND * 1000).is_none());
    for i in 0..2000u32 {
        let other = Print::new("scenes", &i.to_le_bytes());
        book.lost(other, &"e2".into(), now);
        book.dead("e2", now);
    }
    let prints: std::collections::BTreeSet<Print> = book.sightings().map(|s| s.print).collect();
    assert_eq!(prints.len(), 1024);
}
