//! Steps that write registry entries of other claimants to the table or drop them.

use poplar_core::claim::Attempt;
use poplar_core::claim::table::on_behalf;

use super::{Step, Successors, position_of};
use crate::claim::table::Delayed;
use crate::claim::{Context, Fault, NAMES, REQUEST, World};

pub(super) fn steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let Some(router) = world.router(index) else {
        return;
    };
    let foreign = |(attempt, _): &(&Attempt, _)| attempt.claimant != NAMES[index];
    let entries = router.registry.attempts(&REQUEST).filter(foreign);
    for (attempt, entry) in entries {
        if world.abandoned.contains(attempt) || cx.has(Fault::ExpiredPromise) {
            let next =
                world.with_router(index, |router| router.registry.release(&REQUEST, attempt));
            successors.push((Step::Release(index, attempt.clone()), next));
        }
        if cx.bounds.persist_entries {
            persist(world, index, attempt, entry.persisted, cx, successors);
        }
    }
}

/// Writes the attempt of an entry to the table on behalf of its claimant, or finds
/// that the table has it.
fn persist(
    world: &World,
    index: usize,
    attempt: &Attempt,
    persisted: bool,
    cx: Context,
    successors: &mut Successors,
) {
    let Some(claimant) = position_of(&attempt.claimant) else {
        return;
    };
    let unsealed = !world.table.sealed[claimant] || cx.has(Fault::DroppedEntry);
    let mark = |router: &mut crate::claim::Router| {
        router.registry.mark_persisted(&REQUEST, attempt, unsealed);
    };
    let row = &world.table.claim;
    if row.row.as_ref().is_some_and(|row| row.attempt == *attempt) {
        let next = world.with_router(index, mark);
        successors.push((Step::Tabled(index, attempt.clone()), next));
        return;
    }
    if persisted {
        return;
    }
    let sealed = world.table.sealed[claimant] && !cx.has(Fault::ClaimForSealed);
    let Some(write) = on_behalf(attempt, row, sealed) else {
        return;
    };
    let mut next = world.with_router(index, mark);
    next.table.write_claim(write.row.clone());
    successors.push((Step::OnBehalf(index, attempt.clone()), next));
    if world.left.delayed_commits > 0 {
        let mut next = world.clone();
        next.left.delayed_commits -= 1;
        let claimant = (!sealed).then_some(claimant);
        next.delayed.push(Delayed { claimant, write });
        successors.push((Step::OnBehalfDelayed(index, attempt.clone()), next));
    }
}
