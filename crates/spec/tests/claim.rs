//! The claim model holds within the bounds, and each seeded fault is found.

use poplar_spec::claim::{Bounds, Fault, run, suite};

fn bounds(scope: &str) -> Bounds {
    let found = suite().into_iter().find(|(name, _)| *name == scope);
    found.expect("the suite has these bounds").1
}

#[track_caller]
fn holds(scope: &str) {
    let explored = run(bounds(scope), None);
    if let Some(violation) = explored.violation {
        panic!("{violation}");
    }
}

#[track_caller]
fn finds(fault: Fault, scope: &str) {
    let explored = run(bounds(scope), Some(fault));
    let violation = explored
        .violation
        .expect("the seeded fault violated no invariant");
    assert_eq!(
        violation.invariant, "a request runs at most once",
        "{violation}"
    );
}

#[test]
fn a_fresh_request_runs_if_nothing_fails() {
    holds("calm");
}

#[test]
fn lost_answers_hold() {
    holds("lost answers");
}

#[test]
fn seals_hold() {
    holds("seal and flush");
}

#[test]
fn joins_hold() {
    holds("join");
}

#[test]
fn joins_with_a_seal_hold() {
    holds("join and seal");
}

#[test]
fn a_planned_stop_holds() {
    holds("leave");
}

#[test]
fn two_planned_stops_hold() {
    holds("two leave");
}

#[test]
fn faults_of_promises_are_found() {
    finds(Fault::MissingPromise, "lost answers");
    finds(Fault::ExpiredPromise, "lost answers");
    finds(Fault::StalePromise, "seal");
}

#[test]
fn faults_of_table_claims_are_found() {
    finds(Fault::TakeoverOnTimeout, "lost answers");
    finds(Fault::UnregisteredClaim, "lost answers");
    finds(Fault::AssumeCommitted, "lost answers");
    finds(Fault::UncheckedClaim, "seal");
}

#[test]
fn faults_of_seals_are_found() {
    finds(Fault::SkippedScan, "seal");
    finds(Fault::ClaimForSealed, "seal and flush");
    finds(Fault::DroppedEntry, "seal and flush");
}

#[test]
fn faults_of_joins_are_found() {
    finds(Fault::UnacknowledgedJoin, "join");
    finds(Fault::OldEpochPromise, "join");
    finds(Fault::EmptyHandover, "join");
    finds(Fault::SealedAcknowledger, "join and seal");
}

#[test]
fn a_leaving_successor_is_found() {
    finds(Fault::LeavingSuccessor, "two leave");
}

#[test]
fn an_abandonment_after_dispatch_is_found() {
    let explored = run(bounds("lost answers"), Some(Fault::AbandonAfterDispatch));
    assert!(
        explored.violation.is_some(),
        "the seeded fault violated no invariant"
    );
}
