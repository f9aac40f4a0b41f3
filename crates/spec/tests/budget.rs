//! The budget model holds within the bounds, and each seeded fault is found.

use poplar_spec::budget::{Bounds, Fault, run, run_for_invariant, suite};

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
fn finds(fault: Fault, scope: &str, invariant: &str) {
    let explored = run_for_invariant(bounds(scope), fault, invariant);
    assert!(
        explored.violation.is_some(),
        "seeded fault {fault:?} violated no invariant"
    );
}

#[test]
fn draws_hold() {
    holds("draw");
}

#[test]
fn transfers_hold() {
    holds("gift");
}

#[test]
fn chains_of_transfers_hold() {
    holds("chain of gifts");
}

#[test]
fn crashes_and_seals_hold() {
    holds("end");
}

#[test]
fn transfers_with_crashes_and_seals_hold() {
    holds("gift and end");
}

#[test]
fn exposures_hold() {
    holds("exposure");
}

#[test]
fn retries_without_read_are_found() {
    let ledger_agrees = "a holder's ledger agrees with its grant";
    finds(Fault::RetryWithoutRead, "draw", ledger_agrees);
}

#[test]
fn assumed_commits_are_found() {
    let within_grants = "consumption stays within the grants";
    finds(Fault::AssumeCommitted, "draw", within_grants);
}

#[test]
fn unchecked_draws_are_found() {
    let sum = "the sum of the grants equals the granted total of the budget row";
    finds(Fault::UncheckedDraw, "draw", sum);
}

#[test]
fn duplicate_topups_are_found() {
    let limit = "grants stay within the prepaid limit";
    finds(Fault::DuplicateTopUp, "draw", limit);
}

#[test]
fn faults_of_transfers_are_found() {
    let within_grants = "consumption stays within the grants";
    finds(Fault::DuplicateCredit, "gift and end", within_grants);
    finds(Fault::TransferNotDebited, "gift and end", within_grants);
    finds(Fault::CloseUnsettled, "gift", within_grants);
    let ledger_agrees = "a holder's ledger agrees with its grant";
    finds(Fault::RepeatedTransfer, "gift", ledger_agrees);
}

#[test]
fn faults_of_releases_and_exposure_are_found() {
    let within_grants = "consumption stays within the grants";
    finds(Fault::ReleaseWithoutProof, "end", within_grants);
    let exposed = "the unaccounted use of a crashed holder stays within its exposure";
    finds(Fault::ExposureNotEnforced, "end", exposed);
    finds(Fault::ExposureDeclaredEarly, "exposure", exposed);
}

#[test]
fn faults_of_bills_are_found() {
    let once = "a request is billed at most once";
    finds(Fault::UncheckedBill, "end", once);
    finds(Fault::RebillWithoutRead, "end", once);
    finds(Fault::LateBillUnchecked, "end", once);
}
