//! Steps of a holder that changes its grant: draw, record of a transfer, close.

use poplar_core::budget::change::{Applied, Change, Next, Purpose};

use super::{COMMIT_OUTCOMES, CommitOutcome, Step, Successors};
use crate::budget::table::Delayed;
use crate::budget::{BUDGET, ChangeState, Context, Fault, NAMES, Process, Router, World};

/// The receiver of the transfer that is to be recorded next.
fn receiver(router: &Router) -> Option<usize> {
    let (to, _) = router.donor.next_unrecorded(&BUDGET)?;
    NAMES.iter().position(|name| name == to)
}

/// The receiver of the transfer that `change` records.
fn recorded_to(router: &Router, change: &Change) -> Option<usize> {
    match change.purpose() {
        Purpose::Record { .. } => receiver(router),
        Purpose::Draw { .. } | Purpose::Close => None,
    }
}

pub(super) fn steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let Process::Running(router) = &world.processes[index] else {
        return;
    };
    match &router.change {
        None => begin_any(world, router, index, cx, successors),
        Some((change, ChangeState::Ready)) => {
            for outcome in COMMIT_OUTCOMES {
                commit(world, index, change, outcome, cx, successors);
            }
        }
        Some((change, ChangeState::AnswerLost)) => read(world, index, change, cx, successors),
    }
}

/// Begins each change that the router may make now.
fn begin_any(
    world: &World,
    router: &Router,
    index: usize,
    cx: Context,
    successors: &mut Successors,
) {
    if world.left.draws > 0 && !router.closing {
        for exposure in cx.bounds.exposures {
            draw(world, index, *exposure, cx, successors);
        }
    }
    if let Some((_, tokens)) = router.donor.next_unrecorded(&BUDGET) {
        let purpose = Purpose::Record { tokens };
        begin_change(
            world.clone(),
            index,
            purpose,
            Step::Record(index),
            successors,
        );
    }
    let settled = router.ledger.clone().begin_close(&BUDGET) || cx.has(Fault::CloseUnsettled);
    if router.closing && settled {
        begin_change(
            world.clone(),
            index,
            Purpose::Close,
            Step::Close(index),
            successors,
        );
    }
}

/// Begins a draw that declares `limit` as the exposure.
fn draw(world: &World, index: usize, limit: Option<u64>, cx: Context, successors: &mut Successors) {
    let mut next = world.clone();
    next.left.draws -= 1;
    let Some(router) = next.router(index) else {
        return;
    };
    let exposure = if cx.has(Fault::ExposureDeclaredEarly) {
        limit
    } else {
        router.ledger.declare_exposure(&BUDGET, limit)
    };
    let want = cx.bounds.draw_tokens;
    begin_change(
        next,
        index,
        Purpose::Draw { want, exposure },
        Step::Draw(index),
        successors,
    );
}

/// Begins a change on the rows as they are in the table.
fn begin_change(
    mut next: World,
    index: usize,
    purpose: Purpose,
    step: Step,
    successors: &mut Successors,
) {
    let Process::Running(router) = &next.processes[index] else {
        return;
    };
    let view = next.table.view(index, receiver(router));
    let Ok(change) = Change::begin(purpose, &view) else {
        return;
    };
    if let Some(router) = next.router(index) {
        router.change = Some((change, ChangeState::Ready));
        successors.push((step, next));
    }
}

/// Applies a committed change to the router's memory.
fn complete(router: &mut Router, applied: Applied) {
    applied.apply_to(&mut router.ledger, &BUDGET);
    let receiver = receiver(router);
    if let (Purpose::Record { .. }, Some(to)) = (applied.purpose, receiver) {
        router
            .donor
            .mark_recorded(&BUDGET, &NAMES[to], applied.tokens);
    }
    router.change = None;
}

/// Commits a change with the given outcome.
fn commit(
    world: &World,
    index: usize,
    change: &Change,
    outcome: CommitOutcome,
    cx: Context,
    successors: &mut Successors,
) {
    let mut next = world.clone();
    if outcome != CommitOutcome::Answered {
        if next.left.lost_answers == 0 {
            return;
        }
        next.left.lost_answers -= 1;
    }
    let table = next.table.clone();
    let Some(router) = next.router(index) else {
        return;
    };
    let to = recorded_to(router, change);
    let unchecked = cx.has(Fault::UncheckedDraw);
    let matches = unchecked || table.versions_match(index, to, change.writes());
    match outcome {
        CommitOutcome::Answered if matches => {
            complete(router, change.on_committed());
            next.table.apply(index, to, change.writes());
        }
        CommitOutcome::Answered => on_rows_read(router, &table.view(index, to), change),
        CommitOutcome::AnswerLost | CommitOutcome::Delayed => on_lost_answer(router, change, cx),
    }
    if matches && outcome == CommitOutcome::AnswerLost {
        next.table.apply(index, to, change.writes());
    }
    if matches && outcome == CommitOutcome::Delayed {
        let delayed = Delayed::Change(index, to, *change.writes());
        next.delayed.push(delayed);
    }
    successors.push((Step::Commit(index, outcome), next));
}

/// The answer to a commit was lost; whether it took effect is unknown.
fn on_lost_answer(router: &mut Router, change: &Change, cx: Context) {
    match cx.fault {
        Some(Fault::AssumeCommitted) => complete(router, change.on_committed()),
        _ => router.change = Some((*change, ChangeState::AnswerLost)),
    }
}

/// Continues a change from the rows as they were read.
fn on_rows_read(router: &mut Router, view: &poplar_core::budget::change::View, change: &Change) {
    let mut change = *change;
    match change.on_rows(view) {
        Ok(Next::Applied(applied)) => complete(router, applied),
        Ok(Next::Commit) => router.change = Some((change, ChangeState::Ready)),
        Err(_) => router.change = None,
    }
}

/// Reads the rows after a lost answer.
fn read(world: &World, index: usize, change: &Change, cx: Context, successors: &mut Successors) {
    let mut next = world.clone();
    let table = next.table.clone();
    let Some(router) = next.router(index) else {
        return;
    };
    let to = recorded_to(router, change);
    if cx.has(Fault::RetryWithoutRead) {
        router.change = None;
    } else {
        on_rows_read(router, &table.view(index, to), change);
    }
    successors.push((Step::Read(index), next));
}

/// Lets each delayed commit take effect.
pub(super) fn delayed_writes(world: &World, cx: Context, successors: &mut Successors) {
    for index in 0..world.delayed.len() {
        let mut next = world.clone();
        let delayed = next.delayed.remove(index);
        let forced = super::unchecked(&delayed, cx);
        if !forced && !next.table.can_apply(&delayed) {
            continue;
        }
        match &delayed {
            Delayed::Change(holder, to, writes) => next.table.apply(*holder, *to, writes),
            Delayed::Bills(holder, bills) => {
                next.table
                    .record_bills(*holder, bills.accounted, bills.requests);
            }
        }
        successors.push((Step::Land(index), next));
    }
}
