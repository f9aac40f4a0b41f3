//! Steps of claims by the table.

use poplar_core::budget::rows::Versioned;
use poplar_core::claim::Attempt;
use poplar_core::claim::table::{ClaimRow, Lost, Next, Stage, claim, finish};

use super::{Step, Successors, dispatch, give_up};
use crate::claim::table::Delayed;
use crate::claim::{Cx, Fault, Job, World};

pub(super) fn steps(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let Some(router) = world.router(at) else {
        return;
    };
    match &router.job {
        Job::Noted(attempt) | Job::Asking(attempt, _) => read(world, at, attempt, cx, all),
        Job::Writing(attempt, write) => insert(world, at, attempt, write, cx, all),
        Job::Ran(attempt) if cx.bounds.record_outcomes => ran(world, at, attempt, all),
        Job::Idle | Job::Ran(_) | Job::Done => {}
    }
    mark_not_run(world, at, all);
}

/// Reads the claim's row and goes on from there.
fn read(world: &World, at: usize, attempt: &Attempt, cx: Cx, all: &mut Successors) {
    let row = &world.table.claim;
    let mut decided = claim(attempt, row, world.table.sealed[at]);
    if cx.has(Fault::TakeoverOnTimeout) && matches!(decided, Next::Lost(Lost::Held(_))) {
        decided = Next::Write(Versioned {
            version: row.version,
            row: ClaimRow::claimed(attempt),
        });
    }
    let next = match decided {
        Next::Won => dispatch(world, at, attempt),
        Next::Write(write) => world.with(at, |router| {
            router.job = Job::Writing(attempt.clone(), write);
        }),
        Next::Lost(_) => give_up(world, at, attempt),
    };
    all.push((Step::Read(at), next));
}

fn insert(
    world: &World,
    at: usize,
    attempt: &Attempt,
    write: &Versioned<ClaimRow>,
    cx: Cx,
    all: &mut Successors,
) {
    let delayed = Delayed {
        by: (!cx.has(Fault::UncheckedClaim)).then_some(at),
        write: write.clone(),
    };
    let unsure = world.with(at, |router| router.job = Job::Noted(attempt.clone()));
    let unsure = match cx.fault {
        Some(Fault::AssumeCommitted) => dispatch(world, at, attempt),
        _ => unsure,
    };
    if !world.table.may_land(&delayed) {
        all.push((Step::Insert(at), unsure));
        return;
    }
    let mut next = dispatch(world, at, attempt);
    next.table.write(write.row.clone());
    all.push((Step::Insert(at), next));
    let mut lost = unsure.clone();
    lost.table.write(write.row.clone());
    all.push((Step::InsertAnswerLost(at), lost));
    if world.left.lost_answers > 0 {
        let mut late = unsure;
        late.left.lost_answers -= 1;
        late.delayed.push(delayed);
        all.push((Step::InsertDelayed(at), late));
    }
}

/// Records that an attempt ran.
fn ran(world: &World, at: usize, attempt: &Attempt, all: &mut Successors) {
    let Some(write) = finish(attempt, &world.table.claim, Stage::Ran) else {
        return;
    };
    if world.table.sealed[at] {
        return;
    }
    let mut next = world.with(at, |router| router.job = Job::Done);
    next.table.write(write.row);
    all.push((Step::Finish(at), next));
}

/// Marks an attempt that was given up, so that others need not wait for it.
fn mark_not_run(world: &World, at: usize, all: &mut Successors) {
    let name = &crate::claim::NAMES[at];
    let mine = |attempt: &&Attempt| attempt.claimant == *name;
    for attempt in world.given_up.iter().filter(mine) {
        let own = world.table.claim.row.as_ref();
        if own.is_some_and(|row| row.attempt != *attempt) || world.table.sealed[at] {
            continue;
        }
        if let Some(write) = finish(attempt, &world.table.claim, Stage::NotRun) {
            let mut next = world.clone();
            next.table.write(write.row);
            all.push((Step::MarkNotRun(at), next));
        }
    }
}

/// Delayed writes that take effect now.
pub(super) fn landings(world: &World, all: &mut Successors) {
    for at in 0..world.delayed.len() {
        let mut next = world.clone();
        let delayed = next.delayed.remove(at);
        if next.table.may_land(&delayed) {
            next.table.write(delayed.write.row);
            all.push((Step::Land(at), next));
        }
    }
}
