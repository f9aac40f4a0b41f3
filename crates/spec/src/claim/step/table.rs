//! Steps of claims by a row in the table.

use poplar_core::budget::rows::Versioned;
use poplar_core::claim::Attempt;
use poplar_core::claim::table::{ClaimRow, Lost, Next, Stage, claim, finish};

use super::{Step, Successors, abandon, dispatch};
use crate::claim::table::Delayed;
use crate::claim::{Context, Fault, Job, World};

pub(super) fn steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let Some(router) = world.router(index) else {
        return;
    };
    match &router.job {
        Job::Registered(attempt) | Job::AwaitingPromises(attempt, _) => {
            read(world, index, attempt, cx, successors)
        }
        Job::Inserting(attempt, write) => insert(world, index, attempt, write, cx, successors),
        Job::Dispatched(attempt) if cx.bounds.record_outcomes => {
            record_run(world, index, attempt, successors)
        }
        Job::Idle | Job::Dispatched(_) | Job::Recorded => {}
    }
    mark_not_run(world, index, successors);
}

/// Reads the claim's row and continues as it requires.
fn read(world: &World, index: usize, attempt: &Attempt, cx: Context, successors: &mut Successors) {
    let row = &world.table.claim;
    let mut decided = claim(attempt, row, world.table.sealed[index]);
    if cx.has(Fault::TakeoverOnTimeout) && matches!(decided, Next::Lost(Lost::Held(_))) {
        decided = Next::Write(Versioned {
            version: row.version,
            row: ClaimRow::claimed(attempt),
        });
    }
    let next = match decided {
        Next::Won => dispatch(world, index, attempt),
        Next::Write(write) => world.with_router(index, |router| {
            router.job = Job::Inserting(attempt.clone(), write);
        }),
        Next::Lost(_) => abandon(world, index, attempt),
    };
    successors.push((Step::Read(index), next));
}

/// Inserts the claim's row, on the version that was read.
fn insert(
    world: &World,
    index: usize,
    attempt: &Attempt,
    write: &Versioned<ClaimRow>,
    cx: Context,
    successors: &mut Successors,
) {
    let delayed = Delayed {
        claimant: (!cx.has(Fault::UncheckedClaim)).then_some(index),
        write: write.clone(),
    };
    let unanswered = world.with_router(index, |router| {
        router.job = Job::Registered(attempt.clone())
    });
    let unanswered = match cx.fault {
        Some(Fault::AssumeCommitted) => dispatch(world, index, attempt),
        _ => unanswered,
    };
    if !world.table.can_apply(&delayed) {
        successors.push((Step::Insert(index), unanswered));
        return;
    }
    let mut next = dispatch(world, index, attempt);
    next.table.write_claim(write.row.clone());
    successors.push((Step::Insert(index), next));
    let mut lost = unanswered.clone();
    lost.table.write_claim(write.row.clone());
    successors.push((Step::InsertAnswerLost(index), lost));
    if world.left.delayed_commits > 0 {
        let mut late = unanswered;
        late.left.delayed_commits -= 1;
        late.delayed.push(delayed);
        successors.push((Step::InsertDelayed(index), late));
    }
}

/// Records in the table that an attempt ran.
fn record_run(world: &World, index: usize, attempt: &Attempt, successors: &mut Successors) {
    let Some(write) = finish(attempt, &world.table.claim, Stage::Ran) else {
        return;
    };
    if world.table.sealed[index] {
        return;
    }
    let mut next = world.with_router(index, |router| router.job = Job::Recorded);
    next.table.write_claim(write.row);
    successors.push((Step::Finish(index), next));
}

/// Records in the table that an abandoned attempt did not run, so that other
/// claimants need not wait for it.
fn mark_not_run(world: &World, index: usize, successors: &mut Successors) {
    let name = &crate::claim::NAMES[index];
    let is_own = |attempt: &&Attempt| attempt.claimant == *name;
    for attempt in world.abandoned.iter().filter(is_own) {
        let claim = world.table.claim.row.as_ref();
        if claim.is_some_and(|row| row.attempt != *attempt) || world.table.sealed[index] {
            continue;
        }
        if let Some(write) = finish(attempt, &world.table.claim, Stage::NotRun) {
            let mut next = world.clone();
            next.table.write_claim(write.row);
            successors.push((Step::MarkNotRun(index), next));
        }
    }
}

/// Lets each delayed write take effect.
pub(super) fn delayed_writes(world: &World, successors: &mut Successors) {
    for index in 0..world.delayed.len() {
        let mut next = world.clone();
        let delayed = next.delayed.remove(index);
        if next.table.can_apply(&delayed) {
            next.table.write_claim(delayed.write.row);
            successors.push((Step::Land(index), next));
        }
    }
}
