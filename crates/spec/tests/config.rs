//! The configuration model holds within the bounds, and each seeded fault is found.

use poplar_spec::config::{Fault, run, suite};

#[track_caller]
fn finds(fault: Fault, invariant: &str) {
    let (_, bounds) = suite()[0];
    let violation = run(bounds, Some(fault))
        .violation
        .expect("the seeded fault violated no invariant");
    assert_eq!(violation.invariant, invariant, "{violation}");
}

#[test]
fn races_and_restarts_hold() {
    for (_, bounds) in suite() {
        if let Some(violation) = run(bounds, None).violation {
            panic!("{violation}");
        }
    }
}

#[test]
fn faults_are_found() {
    let no_revert = "no router goes back to an older generation";
    finds(Fault::ServeUnconfirmed, no_revert);
    finds(Fault::ApplyOlder, no_revert);
    finds(Fault::UncheckedWrite, "a generation is never overwritten");
    let applied = "a change reported as applied is in the table";
    finds(Fault::AssumeCommitted, applied);
}
