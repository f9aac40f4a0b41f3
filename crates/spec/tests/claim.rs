//! Claims hold within the bounds, and each seeded fault is found.

use poplar_spec::claim::{Bounds, Fault, run, suite};

fn bounds(of: &str) -> Bounds {
    let found = suite().into_iter().find(|(name, _)| *name == of);
    found.expect("the suite has these bounds").1
}

#[track_caller]
fn holds(of: &str) {
    let explored = run(bounds(of), None);
    if let Some(broken) = explored.violation {
        panic!("{broken}");
    }
}

#[track_caller]
fn finds(fault: Fault, of: &str) {
    let explored = run(bounds(of), Some(fault));
    let broken = explored.violation.expect("the fault is found");
    assert_eq!(broken.invariant, "a request runs at most once", "{broken}");
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
fn a_leaving_heir_is_found() {
    finds(Fault::LeavingSuccessor, "two leave");
}

#[test]
fn a_late_refusal_is_found() {
    let explored = run(bounds("lost answers"), Some(Fault::AbandonAfterDispatch));
    assert!(explored.violation.is_some(), "the fault is found");
}
