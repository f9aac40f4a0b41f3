//! Paths to servers: when one counts as lost, and as found again.

use std::time::{Duration, Instant};

use poplar_core::path::Path;

/// Guards against a path that counts as lost because one server has ended.
#[test]
fn one_server_that_accepts_nothing_is_not_a_lost_path() {
    let mut path = Path::default();
    for _ in 0..5 {
        assert!(!path.record_failed(&"a".into()));
    }
    assert!(!path.is_lost());
    assert!(path.record_failed(&"b".into()));
    assert!(path.is_lost());
    assert!(!path.record_failed(&"c".into()), "it was lost before");
}

/// Guards against servers that end one after another and are taken for a lost path.
#[test]
fn a_connection_finds_the_path_again() {
    let now = Instant::now();
    let mut path = Path::default();
    path.record_failed(&"a".into());
    assert!(!path.record_connected(now));
    path.record_failed(&"b".into());
    assert!(!path.is_lost());
    path.record_failed(&"a".into());
    assert!(path.record_connected(now));
    assert!(!path.is_lost());
    let later = now + Duration::from_secs(3);
    assert_eq!(path.age(later), Some(Duration::from_secs(3)));
}

/// Guards against probes of a host without a path that load the servers.
#[test]
fn a_lost_path_is_tried_four_times_a_second() {
    let start = Instant::now();
    let mut path = Path::default();
    assert!(!path.take_probe(start));
    path.record_failed(&"a".into());
    path.record_failed(&"b".into());
    let later = start + Duration::from_secs(1);
    let tries = (0..1_000).filter(|ms| path.take_probe(later + Duration::from_millis(*ms)));
    assert_eq!(tries.count(), 4);
}
