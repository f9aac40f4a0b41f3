//! Unhealthy servers are ejected up to a limit, and probed later.

use std::time::{Duration, Instant};

use poplar_core::health::{Change, HealthTracker, LeavingStatus, Reason};
use poplar_core::id::Name;
use poplar_core::route::server::HealthState;

const SECOND: Duration = Duration::from_secs(1);

fn name(i: usize) -> Name {
    format!("e{i}").into()
}

fn tracker(servers: usize) -> HealthTracker {
    let mut tracker = HealthTracker::new();
    tracker.set_servers((0..servers).map(name));
    tracker
}

fn fail(tracker: &mut HealthTracker, server: &str, times: usize, now: Instant) -> Option<Change> {
    (0..times)
        .filter_map(|_| tracker.record_outcome(server, false, now))
        .last()
}

#[test]
fn only_consecutive_failures_eject() {
    let now = Instant::now();
    let mut tracker = tracker(4);
    for _ in 0..5 {
        assert_eq!(fail(&mut tracker, "e0", 2, now), None);
        tracker.record_outcome("e0", true, now);
    }
    let change = fail(&mut tracker, "e0", 3, now);
    let reason = Reason::ConsecutiveFailures { failures: 3 };
    assert!(matches!(change, Some(Change::Ejected { reason: r, .. }) if r == reason));
    assert_eq!(tracker.state("e0", now), HealthState::Ejected);
    assert_eq!(tracker.state("e1", now), HealthState::Healthy);
}

#[test]
fn one_good_probe_restores_and_a_bad_one_ejects_for_longer() {
    let now = Instant::now();
    let mut tracker = tracker(4);
    fail(&mut tracker, "e0", 3, now);
    let later = now + SECOND;
    assert_eq!(tracker.state("e0", later), HealthState::Probing);
    let change = tracker.record_outcome("e0", false, later);
    let until = later + SECOND * 2;
    let reason = Reason::ProbeFailed;
    assert_eq!(change, Some(Change::Ejected { reason, until }));
    assert_eq!(tracker.record_outcome("e0", true, later + SECOND), None);
    assert_eq!(tracker.state("e0", later + SECOND), HealthState::Ejected);
    assert_eq!(
        tracker.record_outcome("e0", true, until),
        Some(Change::Restored)
    );
    assert_eq!(tracker.state("e0", until), HealthState::Healthy);
}

#[test]
fn half_of_the_servers_stay_in_service() {
    let now = Instant::now();
    let mut tracker = tracker(5);
    for i in 0..5 {
        fail(&mut tracker, &name(i), 10, now);
    }
    assert_eq!(tracker.ejected_count(), 2);
    let mut single = self::tracker(1);
    let change = fail(&mut single, "e0", 3, now);
    assert!(matches!(change, Some(Change::NotEjected { .. })));
    assert_eq!(single.state("e0", now), HealthState::Healthy);
}

/// Records outcomes of which every third is a failure.
fn fail_every_third(tracker: &mut HealthTracker, servers: std::ops::Range<usize>, now: Instant) {
    for turn in 0..60 {
        for i in servers.clone() {
            tracker.record_outcome(&name(i), turn % 3 > 0, now);
        }
    }
}

#[test]
fn a_failure_rate_ejects_only_if_it_is_far_above_the_others() {
    let now = Instant::now();
    let mut all_bad = tracker(4);
    fail_every_third(&mut all_bad, 0..4, now);
    assert_eq!(all_bad.ejected_count(), 0);
    let mut one_bad = tracker(4);
    for _ in 0..60 {
        (1..4).for_each(|i| _ = one_bad.record_outcome(&name(i), true, now));
    }
    fail_every_third(&mut one_bad, 0..1, now);
    assert_eq!(one_bad.state("e0", now), HealthState::Ejected);
}

#[test]
fn a_server_far_slower_than_the_others_for_a_time_is_ejected() {
    let now = Instant::now();
    let mut tracker = tracker(4);
    let step = |i| Duration::from_millis(if i == 0 { 60 } else { 6 });
    let steps = || (0..4).map(move |i| (name(i), step(i)));
    assert!(tracker.detect_slow(steps(), now).is_empty());
    let changes = tracker.detect_slow(steps(), now + SECOND * 5);
    assert_eq!(changes.len(), 1);
    assert_eq!(tracker.state("e0", now + SECOND * 5), HealthState::Ejected);
}

#[test]
fn a_server_is_leaving_by_its_own_report_or_the_host_list() {
    let now = Instant::now();
    let mut leaving = LeavingStatus::default();
    leaving.record_report(true, now);
    // A report from before the refusal does not clear it.
    leaving.record_report(false, now - SECOND);
    assert!(leaving.is_leaving());
    leaving.set_listed(true);
    leaving.record_report(false, now + SECOND);
    assert!(leaving.is_leaving());
    leaving.set_listed(false);
    assert!(!leaving.is_leaving());
}
