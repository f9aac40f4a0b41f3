//! Budgets hold within the bounds, and each seeded fault is found.

use poplar_spec::budget::{Bounds, Fault, run, run_for_invariant, suite};

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
fn finds(fault: Fault, of: &str, invariant: &str) {
    let explored = run_for_invariant(bounds(of), fault, invariant);
    assert!(explored.violation.is_some(), "{fault:?} is not found");
}

#[test]
fn draws_hold() {
    holds("draw");
}

#[test]
fn gifts_hold() {
    holds("gift");
}

#[test]
fn gifts_passed_on_hold() {
    holds("chain of gifts");
}

#[test]
fn ends_hold() {
    holds("end");
}

#[test]
fn gifts_and_ends_hold() {
    holds("gift and end");
}

#[test]
fn exposures_hold() {
    holds("exposure");
}

#[test]
fn blind_repeats_are_found() {
    let known = "a holder knows what it was granted";
    finds(Fault::RetryWithoutRead, "draw", known);
}

#[test]
fn unsure_credits_are_found() {
    let rows = "consumption stays within the rows";
    finds(Fault::AssumeCommitted, "draw", rows);
}

#[test]
fn unchecked_draws_are_found() {
    let sum = "the sum of grants is what the budget says";
    finds(Fault::UncheckedDraw, "draw", sum);
}

#[test]
fn repeated_topups_are_found() {
    let limit = "grants stay within the prepaid limit";
    finds(Fault::DuplicateTopUp, "draw", limit);
}

#[test]
fn faults_of_gifts_are_found() {
    let rows = "consumption stays within the rows";
    finds(Fault::DuplicateCredit, "gift and end", rows);
    finds(Fault::TransferNotDebited, "gift and end", rows);
    finds(Fault::CloseUnsettled, "gift", rows);
    let known = "a holder knows what it was granted";
    finds(Fault::RepeatedTransfer, "gift", known);
}

#[test]
fn faults_of_ends_are_found() {
    let rows = "consumption stays within the rows";
    finds(Fault::ReleaseWithoutProof, "end", rows);
    let exposed = "a dead holder's use is bounded by its exposure";
    finds(Fault::ExposureNotEnforced, "end", exposed);
    finds(Fault::ExposureDeclaredEarly, "exposure", exposed);
}

#[test]
fn faults_of_bills_are_found() {
    let once = "a request is billed once";
    finds(Fault::UncheckedBill, "end", once);
    finds(Fault::RebillWithoutRead, "end", once);
    finds(Fault::LateBillUnchecked, "end", once);
}
