//! Steps that write notes to the table or drop them.

use poplar_core::claim::Attempt;
use poplar_core::claim::table::on_behalf;

use super::{Step, Successors, index};
use crate::claim::table::Delayed;
use crate::claim::{Cx, Fault, NAMES, REQUEST, World};

pub(super) fn steps(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let Some(router) = world.router(at) else {
        return;
    };
    let foreign = |(attempt, _): &(&Attempt, _)| attempt.claimant != NAMES[at];
    let noted = router.notes.attempts(&REQUEST).filter(foreign);
    for (attempt, note) in noted {
        if world.given_up.contains(attempt) || cx.has(Fault::ExpiredPromise) {
            let next = world.with(at, |router| router.notes.release(&REQUEST, attempt));
            all.push((Step::Release(at, attempt.clone()), next));
        }
        if cx.bounds.persist_entries {
            write(world, at, attempt, note.persisted, cx, all);
        }
    }
}

/// Brings a note into the table, or finds that it is there.
fn write(world: &World, at: usize, attempt: &Attempt, tabled: bool, cx: Cx, all: &mut Successors) {
    let Some(claimant) = index(&attempt.claimant) else {
        return;
    };
    let unsealed = !world.table.sealed[claimant] || cx.has(Fault::DroppedEntry);
    let drop = |router: &mut crate::claim::Router| {
        router.notes.mark_persisted(&REQUEST, attempt, unsealed);
    };
    let row = &world.table.claim;
    if row.row.as_ref().is_some_and(|row| row.attempt == *attempt) {
        let next = world.with(at, drop);
        all.push((Step::Tabled(at, attempt.clone()), next));
        return;
    }
    if tabled {
        return;
    }
    let sealed = world.table.sealed[claimant] && !cx.has(Fault::ClaimForSealed);
    let Some(write) = on_behalf(attempt, row, sealed) else {
        return;
    };
    let mut next = world.with(at, drop);
    next.table.write(write.row.clone());
    all.push((Step::OnBehalf(at, attempt.clone()), next));
    if world.left.lost_answers > 0 {
        let mut next = world.clone();
        next.left.lost_answers -= 1;
        let by = (!sealed).then_some(claimant);
        next.delayed.push(Delayed { by, write });
        all.push((Step::OnBehalfDelayed(at, attempt.clone()), next));
    }
}
