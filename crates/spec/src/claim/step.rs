//! Steps: everything that may happen next.

mod group;
mod notes;
mod promise;
mod table;

use poplar_core::claim::Attempt;

use super::{Cx, Fault, Job, LIVES, NAMES, NOW, REQUEST, World};

/// A step, named as it reads in a trace.
#[derive(Debug, Clone)]
#[expect(
    dead_code,
    reason = "The fields are read by Debug in traces of broken invariants."
)]
pub(super) enum Step {
    Start(usize),
    GiveUp(usize),
    Read(usize),
    Insert(usize),
    InsertAnswerLost(usize),
    InsertDelayed(usize),
    Land(usize),
    Finish(usize),
    MarkNotRun(usize),
    AskAll(usize),
    Promise(usize, Attempt),
    Win(usize),
    Release(usize, Attempt),
    OnBehalf(usize, Attempt),
    OnBehalfDelayed(usize, Attempt),
    Tabled(usize, Attempt),
    LearnSet(usize),
    Join(usize),
    Acknowledge(usize, usize),
    TakeOver(usize, usize),
    Activate(usize),
    Sealing(usize, usize),
    Seal(usize, usize),
    Scan(usize),
    Leaving(usize),
    Leave(usize),
}

/// What a step adds to the successors.
type Successors = Vec<(Step, World)>;

/// Every successor of a state.
pub(super) fn next(world: &World, cx: Cx) -> Successors {
    let mut all = Vec::new();
    if is_decided(world, cx) {
        return all;
    }
    for at in 0..LIVES {
        attempt(world, at, cx, &mut all);
        table::steps(world, at, cx, &mut all);
        promise::steps(world, at, cx, &mut all);
        notes::steps(world, at, cx, &mut all);
        group::steps(world, at, cx, &mut all);
    }
    table::landings(world, &mut all);
    for (_, world) in &mut all {
        tidy(world);
    }
    all
}

/// Whether a second dispatch is out of the question, whatever happens next.
fn is_decided(world: &World, cx: Cx) -> bool {
    let open = |at: &usize| {
        let job = world.router(*at).map(|router| &router.job);
        matches!(
            job,
            Some(Job::Noted(_) | Job::Writing(..) | Job::Asking(..))
        )
    };
    let open = (0..LIVES).filter(open).count();
    let most = world.ran.len() + open + usize::from(world.left.attempts);
    most < 2 && cx.bounds.may_abandon && !cx.has(Fault::AbandonAfterDispatch)
}

/// Drops what can have no effect any more, and brings lists into order.
fn tidy(world: &mut World) {
    let table = &world.table;
    world.delayed.retain(|delayed| table.may_land(delayed));
    world.delayed.sort();
    world.delayed.dedup();
    let given_up = &world.given_up;
    world
        .given
        .retain(|(_, ask)| !given_up.contains(&ask.attempt));
    world.given.sort();
    world.given.dedup();
    world.handovers.sort();
    world.given_up.sort();
    world.given_up.dedup();
    world.asks.sort();
    world.asks.dedup();
}

/// The index of an incarnation's name.
fn index(of: &poplar_core::id::Incarnation) -> Option<usize> {
    NAMES.iter().position(|name| name == of)
}

/// Start, end and dispatch of attempts.
fn attempt(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let Some(router) = world.router(at) else {
        return;
    };
    if router.job == Job::Idle && cx.bounds.claimants.contains(&at) {
        start(world, at, all);
    }
    let open = match &router.job {
        Job::Noted(attempt) | Job::Writing(attempt, _) | Job::Asking(attempt, _) => attempt,
        Job::Ran(attempt) if cx.has(Fault::AbandonAfterDispatch) => attempt,
        Job::Ran(_) | Job::Idle | Job::Done => return,
    };
    if cx.bounds.may_abandon {
        all.push((Step::GiveUp(at), give_up(world, at, open)));
    }
}

fn start(world: &World, at: usize, all: &mut Successors) {
    if world.left.attempts == 0 {
        return;
    }
    let mut started = false;
    let mut next = world.with(at, |router| {
        if let Ok(attempt) = router.notes.start(&REQUEST, *NOW) {
            router.job = Job::Noted(attempt);
            started = true;
        }
    });
    if started {
        next.left.attempts -= 1;
        all.push((Step::Start(at), next));
    }
}

/// Dispatches an attempt that holds the claim.
///
/// Only the backend server sees that, so it comes with the last step before it.
fn dispatch(world: &World, at: usize, attempt: &Attempt) -> World {
    let mut next = world.with(at, |router| router.job = Job::Ran(attempt.clone()));
    next.ran.push(attempt.clone());
    next
}

/// Gives an attempt up and tells its caller that it did not run.
fn give_up(world: &World, at: usize, attempt: &Attempt) -> World {
    let mut next = world.with(at, |router| {
        router.notes.abandon(&REQUEST, attempt);
        router.job = Job::Idle;
    });
    next.given_up.push(attempt.clone());
    next
}
