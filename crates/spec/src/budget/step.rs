//! Steps: everything that may happen next.

mod change;
mod end;
mod gift;
mod spend;

use std::sync::Arc;

use super::{Cx, Fault, LIVES, Life, World};

/// A step, named as it reads in a trace.
#[derive(Debug, Clone, Copy)]
#[expect(
    dead_code,
    reason = "The fields are read by Debug in traces of broken invariants."
)]
pub(super) enum Step {
    Start(usize),
    Draw(usize),
    Record(usize),
    Close(usize),
    Commit(usize, Fate),
    Read(usize),
    Land(usize),
    Reserve(usize, usize),
    Settle(usize, u64),
    WriteOff(usize),
    Flush(usize, Fate),
    ReadFlush(usize),
    Ask(usize, usize),
    Deliver(usize),
    Double(usize),
    Stop(usize),
    Crash(usize),
    Seal(usize),
    Release(usize),
    Late(usize),
    TopUp,
}

/// What becomes of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// It is answered.
    Answered,
    /// It takes effect, but the answer is lost.
    AnswerLost,
    /// It may take effect later; there is no answer.
    Delayed,
}

/// Every fate of a commit.
const FATES: [Fate; 3] = [Fate::Answered, Fate::AnswerLost, Fate::Delayed];

/// What a step adds to the successors.
type Successors = Vec<(Step, World)>;

/// Every successor of a state.
pub(super) fn next(world: &World, cx: Cx) -> Successors {
    let mut all = Vec::new();
    for at in 0..LIVES {
        start(world, at, cx, &mut all);
        change::steps(world, at, cx, &mut all);
        spend::steps(world, at, cx, &mut all);
        gift::asks(world, at, &mut all);
        end::steps(world, at, cx, &mut all);
    }
    change::landings(world, cx, &mut all);
    gift::deliveries(world, cx, &mut all);
    end::late(world, cx, &mut all);
    end::top_up(world, cx, &mut all);
    for (_, world) in &mut all {
        tidy(world, cx);
    }
    all
}

fn start(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    if cx.bounds.restart && world.lives[at] == Life::Unborn {
        let mut next = world.clone();
        next.lives[at] = Life::Up(Arc::default());
        all.push((Step::Start(at), next));
    }
}

/// Drops commits that can't take effect any more, and brings lists into order.
fn tidy(world: &mut World, cx: Cx) {
    let table = &world.table;
    world
        .delayed
        .retain(|delayed| table.may_land(delayed) || unchecked(delayed, cx));
    world.delayed.sort();
    world.mail.sort();
}

fn unchecked(delayed: &super::table::Delayed, cx: Cx) -> bool {
    match delayed {
        super::table::Delayed::Change(..) => cx.has(Fault::UncheckedDraw),
        super::table::Delayed::Flush(..) => cx.has(Fault::UncheckedBill),
    }
}
