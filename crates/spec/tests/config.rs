//! Configuration holds within the bounds, and each seeded fault is found.

use poplar_spec::config::{Fault, run, suite};

#[track_caller]
fn finds(fault: Fault, invariant: &str) {
    let (_, bounds) = suite()[0];
    let broken = run(bounds, Some(fault))
        .violation
        .expect("the fault is found");
    assert_eq!(broken.invariant, invariant, "{broken}");
}

#[test]
fn races_and_restarts_hold() {
    for (_, bounds) in suite() {
        if let Some(broken) = run(bounds, None).violation {
            panic!("{broken}");
        }
    }
}

#[test]
fn faults_are_found() {
    let back = "no router goes back to an older generation";
    finds(Fault::ServeUnconfirmed, back);
    finds(Fault::ApplyOlder, back);
    finds(Fault::UncheckedWrite, "a generation is never rewritten");
    let applied = "a change that is said to be applied is in the table";
    finds(Fault::AssumeCommitted, applied);
}
