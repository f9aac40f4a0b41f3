//! Invariants of the claim model, checked in every state.

use super::{Context, World, step};

/// Text of the first invariant that `world` violates.
pub(super) fn violated(world: &World, cx: Context) -> Option<&'static str> {
    if world.executed.len() > 1 {
        return Some("a request runs at most once");
    }
    if world
        .executed
        .iter()
        .any(|attempt| world.abandoned.contains(attempt))
    {
        return Some("an attempt reported as not run did not run");
    }
    let stuck = !cx.bounds.may_abandon && world.executed.is_empty();
    if stuck && step::next(world, cx).is_empty() {
        return Some("a fresh request runs if nothing fails");
    }
    None
}
