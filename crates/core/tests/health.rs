//! Bad servers are ejected, within a floor, and tried again.

use std::time::{Duration, Instant};

use poplar_core::health::{Change, HealthTracker, LeavingStatus, Reason};
use poplar_core::id::Name;
use poplar_core::route::server::HealthState;

const SECOND: Duration = Duration::from_secs(1);

fn name(i: usize) -> Name {
    format!("e{i}").into()
}

fn board(servers: usize) -> HealthTracker {
    let mut board = HealthTracker::new();
    board.set_servers((0..servers).map(name));
    board
}

fn fail(board: &mut HealthTracker, server: &str, times: usize, now: Instant) -> Option<Change> {
    (0..times)
        .filter_map(|_| board.record_outcome(server, false, now))
        .last()
}

#[test]
fn failures_in_a_row_eject_and_answers_between_them_do_not() {
    let now = Instant::now();
    let mut board = board(4);
    for _ in 0..5 {
        assert_eq!(fail(&mut board, "e0", 2, now), None);
        board.record_outcome("e0", true, now);
    }
    let change = fail(&mut board, "e0", 3, now);
    let reason = Reason::ConsecutiveFailures { failures: 3 };
    assert!(matches!(change, Some(Change::Ejected { reason: r, .. }) if r == reason));
    assert_eq!(board.state("e0", now), HealthState::Ejected);
    assert_eq!(board.state("e1", now), HealthState::Healthy);
}

#[test]
fn one_good_probe_restores_and_a_bad_one_ejects_for_longer() {
    let now = Instant::now();
    let mut board = board(4);
    fail(&mut board, "e0", 3, now);
    let later = now + SECOND;
    assert_eq!(board.state("e0", later), HealthState::Probing);
    let change = board.record_outcome("e0", false, later);
    let until = later + SECOND * 2;
    let reason = Reason::ProbeFailed;
    assert_eq!(change, Some(Change::Ejected { reason, until }));
    assert_eq!(board.record_outcome("e0", true, later + SECOND), None);
    assert_eq!(board.state("e0", later + SECOND), HealthState::Ejected);
    assert_eq!(
        board.record_outcome("e0", true, until),
        Some(Change::Restored)
    );
    assert_eq!(board.state("e0", until), HealthState::Healthy);
}

#[test]
fn half_of_the_servers_stay_in() {
    let now = Instant::now();
    let mut board = board(5);
    for i in 0..5 {
        fail(&mut board, &name(i), 10, now);
    }
    assert_eq!(board.ejected_count(), 2);
    let mut single = self::board(1);
    let change = fail(&mut single, "e0", 3, now);
    assert!(matches!(change, Some(Change::NotEjected { .. })));
    assert_eq!(single.state("e0", now), HealthState::Healthy);
}

/// Answers of which every third, from `from` on, is a failure.
fn every_third(board: &mut HealthTracker, servers: std::ops::Range<usize>, now: Instant) {
    for turn in 0..60 {
        for i in servers.clone() {
            board.record_outcome(&name(i), turn % 3 > 0, now);
        }
    }
}

#[test]
fn a_failure_rate_ejects_only_if_it_is_far_above_the_others() {
    let now = Instant::now();
    let mut all_bad = board(4);
    every_third(&mut all_bad, 0..4, now);
    assert_eq!(all_bad.ejected_count(), 0);
    let mut one_bad = board(4);
    for _ in 0..60 {
        (1..4).for_each(|i| _ = one_bad.record_outcome(&name(i), true, now));
    }
    every_third(&mut one_bad, 0..1, now);
    assert_eq!(one_bad.state("e0", now), HealthState::Ejected);
}

#[test]
fn a_server_far_slower_than_the_others_for_a_time_is_ejected() {
    let now = Instant::now();
    let mut board = board(4);
    let step = |i| Duration::from_millis(if i == 0 { 60 } else { 6 });
    let steps = || (0..4).map(move |i| (name(i), step(i)));
    assert!(board.detect_slow(steps(), now).is_empty());
    let changes = board.detect_slow(steps(), now + SECOND * 5);
    assert_eq!(changes.len(), 1);
    assert_eq!(board.state("e0", now + SECOND * 5), HealthState::Ejected);
}

#[test]
fn a_server_is_leaving_by_its_own_word_or_the_list_s() {
    let now = Instant::now();
    let mut leaving = LeavingStatus::default();
    leaving.record_report(true, now);
    // A report from before the refusal does not take it back.
    leaving.record_report(false, now - SECOND);
    assert!(leaving.is_leaving());
    leaving.set_listed(true);
    leaving.record_report(false, now + SECOND);
    assert!(leaving.is_leaving());
    leaving.set_listed(false);
    assert!(!leaving.is_leaving());
}
