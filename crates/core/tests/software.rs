//! Which software versions can have begun a stream, and what is kept of streams.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use poplar_core::id::Name;
use poplar_core::software::{Begun, RETENTION, Streams, Versions};

const SECOND: u64 = 1_000;
const RETENTION_MS: u64 = RETENTION.as_millis() as u64;

fn names(versions: &[&str]) -> Vec<Name> {
    versions.iter().map(|name| Name::from(*name)).collect()
}

fn possible(versions: &Versions, clock: u64) -> Vec<Name> {
    versions.possible(clock).cloned().collect()
}

fn begun(service: &str, software: &str, at: Instant) -> Begun {
    Begun {
        service: service.into(),
        software: software.into(),
        at,
    }
}

/// Guards against streams of a version that has just left, which go on at the one
/// that is listed.
#[test]
fn a_version_that_left_remains_possible_for_some_time() {
    let mut versions = Versions::default();
    versions.update(&names(&["v1"]), 0);
    assert_eq!(possible(&versions, 0), names(&["v1"]));
    versions.update(&names(&["v1", "v2"]), 10 * SECOND);
    versions.update(&names(&["v2"]), 20 * SECOND);
    let gone = 20 * SECOND + RETENTION_MS;
    assert_eq!(possible(&versions, gone - 1), names(&["v1", "v2"]));
    assert_eq!(possible(&versions, gone), names(&["v2"]));
    // It returns, and leaves again.
    versions.update(&names(&["v1", "v2"]), 30 * SECOND);
    versions.update(&names(&["v2"]), 40 * SECOND);
    assert_eq!(possible(&versions, gone), names(&["v1", "v2"]));
    versions.update(&names(&["v2"]), 200 * SECOND);
    assert_eq!(versions.entries(), &[("v2".into(), None)]);
}

/// Guards against a version that nobody saw leave, since all routers were down: it
/// is gone from the time at which that is noticed.
#[test]
fn a_version_that_left_unseen_is_possible_from_then_on() {
    let mut versions = Versions::new(vec![("v1".into(), None)]);
    let clock = 500 * SECOND;
    versions.update(&names(&["v2"]), clock);
    assert_eq!(possible(&versions, clock + SECOND), names(&["v1", "v2"]));
}

proptest! {
    /// Whatever versions come and go, those that were listed within the retention
    /// time are possible, and no others.
    #[test]
    fn possible_versions_are_those_of_late(
        lists in prop::collection::vec((prop::collection::btree_set(0u8..4, 0..4), 1u64..50), 1..30)
    ) {
        let mut versions = Versions::default();
        let mut last_listed = [None; 4];
        let mut clock = 0;
        let mut previous: Vec<u8> = Vec::new();
        for (list, seconds) in lists {
            clock += seconds * SECOND;
            for version in &previous {
                last_listed[usize::from(*version)] = Some(clock);
            }
            previous = list.into_iter().collect();
            for version in &previous {
                last_listed[usize::from(*version)] = Some(clock);
            }
            let listed: Vec<Name> = previous.iter().map(|v| format!("v{v}").into()).collect();
            versions.update(&listed, clock);
            let expected: Vec<Name> = (0..4u8)
                .filter(|v| {
                    let at = last_listed[usize::from(*v)];
                    at.is_some_and(|at| previous.contains(v) || clock < at + RETENTION_MS)
                })
                .map(|v| format!("v{v}").into())
                .collect();
            prop_assert_eq!(possible(&versions, clock), expected);
        }
    }
}

/// Guards against streams that are written again and again, or although the client
/// has all of them.
#[test]
fn streams_are_written_and_announced_once_while_they_may_be_resumed() {
    let now = Instant::now();
    let mut streams = Streams::new();
    for attempt in ["a", "b", "whole"] {
        streams.record_own(attempt.into(), begun("engines", "v1", now));
    }
    streams.record_other("c".into(), begun("engines", "v2", now));
    streams.remove("whole");
    let due = |service: &Name| **service == *"engines";
    let unwritten = streams.unwritten(due, 9);
    let attempts: Vec<Name> = unwritten.into_iter().map(|(attempt, _)| attempt).collect();
    assert_eq!(attempts, names(&["a", "b"]));
    assert!(streams.unwritten(|_| false, 9).is_empty());
    streams.record_written(&attempts);
    assert!(streams.unwritten(due, 9).is_empty());
    assert_eq!(streams.take_unannounced(due, 1).len(), 1);
    assert_eq!(streams.take_unannounced(due, 9).len(), 1);
    assert!(streams.take_unannounced(due, 9).is_empty());
    assert_eq!(streams.get("c").map(|b| &*b.software), Some("v2"));
    // What others say doesn't replace what this router saw.
    streams.record_other("a".into(), begun("engines", "v2", now));
    assert_eq!(streams.get("a").map(|b| &*b.software), Some("v1"));
    streams.expire(now + RETENTION);
    assert!(streams.is_empty());
}

/// Guards against memory that grows with the streams of all routers.
#[test]
fn the_oldest_streams_make_room() {
    let now = Instant::now();
    let mut streams = Streams::new();
    for n in 0..9_000u32 {
        let at = now + Duration::from_millis(u64::from(n));
        streams.record_other(format!("{n}").into(), begun("engines", "v1", at));
    }
    assert_eq!(streams.len(), 8192);
    assert!(streams.get("0").is_none() && streams.get("8999").is_some());
}
