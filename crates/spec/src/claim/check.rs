//! Invariants of claims.

use super::{Cx, World, step};

/// The first invariant that does not hold.
pub(super) fn broken(world: &World, cx: Cx) -> Option<&'static str> {
    if world.ran.len() > 1 {
        return Some("a request runs at most once");
    }
    if world.ran.iter().any(|ran| world.given_up.contains(ran)) {
        return Some("an attempt that is said not to have run did not run");
    }
    let stuck = !cx.bounds.may_abandon && world.ran.is_empty();
    if stuck && step::next(world, cx).is_empty() {
        return Some("a fresh request runs if nothing fails");
    }
    None
}
