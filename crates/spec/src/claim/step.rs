//! Transitions of the claim model: every step that is possible in a state.

mod group;
mod promise;
mod registry;
mod table;

use poplar_core::claim::Attempt;

use super::{Context, Fault, INCARNATIONS, Job, NAMES, NOW, REQUEST, World};

/// A step of the model. Traces print the variant names.
///
/// The first number is the incarnation that acts unless stated otherwise.
#[derive(Debug, Clone)]
#[expect(
    dead_code,
    reason = "The fields are read by Debug in traces of violated invariants."
)]
pub(super) enum Step {
    /// A router registers an attempt of its own.
    Start(usize),
    /// A router abandons its attempt.
    GiveUp(usize),
    /// A router reads the claim's row.
    Read(usize),
    /// A router inserts the claim's row and receives the answer.
    Insert(usize),
    /// The insertion takes effect, but its answer is lost.
    InsertAnswerLost(usize),
    /// The insertion may take effect later or never; there is no answer.
    InsertDelayed(usize),
    /// A delayed write takes effect; the number is its place among these.
    Land(usize),
    /// A router records in the table that its attempt ran.
    Finish(usize),
    /// A router records in the table that its abandoned attempt did not run.
    MarkNotRun(usize),
    /// A router asks all other members for their promises.
    AskAll(usize),
    /// A member grants a promise.
    Promise(usize, Attempt),
    /// A router receives the last promise and dispatches its attempt.
    Win(usize),
    /// A member drops a promise.
    Release(usize, Attempt),
    /// A member writes the claim of another claimant's attempt.
    OnBehalf(usize, Attempt),
    /// Such a write may take effect later or never; there is no answer.
    OnBehalfDelayed(usize, Attempt),
    /// A member finds that the table has the attempt of a registry entry.
    Tabled(usize, Attempt),
    /// A router learns of the group's current row.
    LearnSet(usize),
    /// A router joins the group, not yet active.
    Join(usize),
    /// A member hands its registry over to a joiner, whose group it acknowledges,
    /// or to a leaver's successor; the receiver is given second.
    Acknowledge(usize, usize),
    /// A router takes over the entries of a handover from another, given second.
    TakeOver(usize, usize),
    /// A joiner becomes active.
    Activate(usize),
    /// A sealer stops promising before it seals a member, given second.
    Sealing(usize, usize),
    /// A sealer commits the seal of a member, given second.
    Seal(usize, usize),
    /// A sealer reads the claims of sealed members.
    Scan(usize),
    /// A planned stop begins.
    Leaving(usize),
    /// A stopping router leaves the group.
    Leave(usize),
}

/// Possible next steps with the states that they lead to.
type Successors = Vec<(Step, World)>;

/// Every step that is possible in `world`, with the state after it.
pub(super) fn next(world: &World, cx: Context) -> Successors {
    let mut successors = Vec::new();
    if is_decided(world, cx) {
        return successors;
    }
    for index in 0..INCARNATIONS {
        attempt_steps(world, index, cx, &mut successors);
        table::steps(world, index, cx, &mut successors);
        promise::steps(world, index, cx, &mut successors);
        registry::steps(world, index, cx, &mut successors);
        group::steps(world, index, cx, &mut successors);
    }
    table::delayed_writes(world, &mut successors);
    for (_, world) in &mut successors {
        normalise(world);
    }
    successors
}

/// Whether a second dispatch is impossible in every state that can follow, so
/// that the search can end here.
fn is_decided(world: &World, cx: Context) -> bool {
    let is_open = |index: &usize| {
        let job = world.router(*index).map(|router| &router.job);
        matches!(
            job,
            Some(Job::Registered(_) | Job::Inserting(..) | Job::AwaitingPromises(..))
        )
    };
    let open = (0..INCARNATIONS).filter(is_open).count();
    let max_dispatches = world.executed.len() + open + usize::from(world.left.attempts);
    max_dispatches < 2 && cx.bounds.may_abandon && !cx.has(Fault::AbandonAfterDispatch)
}

/// Normalises a state, so that equal states compare equal: whatever can no longer
/// have an effect is dropped and lists are sorted.
fn normalise(world: &mut World) {
    let table = &world.table;
    world.delayed.retain(|delayed| table.can_apply(delayed));
    world.delayed.sort();
    world.delayed.dedup();
    let abandoned = &world.abandoned;
    world
        .promises
        .retain(|(_, request)| !abandoned.contains(&request.attempt));
    world.promises.sort();
    world.promises.dedup();
    world.handovers.sort();
    world.abandoned.sort();
    world.abandoned.dedup();
    world.promise_requests.sort();
    world.promise_requests.dedup();
}

/// The index of an incarnation.
fn position_of(incarnation: &poplar_core::id::Incarnation) -> Option<usize> {
    NAMES.iter().position(|name| name == incarnation)
}

/// Start and abandonment of attempts.
fn attempt_steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let Some(router) = world.router(index) else {
        return;
    };
    if router.job == Job::Idle && cx.bounds.claimants.contains(&index) {
        start(world, index, successors);
    }
    let open = match &router.job {
        Job::Registered(attempt)
        | Job::Inserting(attempt, _)
        | Job::AwaitingPromises(attempt, _) => attempt,
        Job::Dispatched(attempt) if cx.has(Fault::AbandonAfterDispatch) => attempt,
        Job::Dispatched(_) | Job::Idle | Job::Recorded => return,
    };
    if cx.bounds.may_abandon {
        successors.push((Step::GiveUp(index), abandon(world, index, open)));
    }
}

/// Registers an attempt of the router.
fn start(world: &World, index: usize, successors: &mut Successors) {
    if world.left.attempts == 0 {
        return;
    }
    let mut started = false;
    let mut next = world.with_router(index, |router| {
        if let Ok(attempt) = router.registry.start(&REQUEST, *NOW) {
            router.job = Job::Registered(attempt);
            started = true;
        }
    });
    if started {
        next.left.attempts -= 1;
        successors.push((Step::Start(index), next));
    }
}

/// Dispatches an attempt that holds the claim.
///
/// Only the backend server observes the dispatch, so it is part of the step that
/// wins the claim.
fn dispatch(world: &World, index: usize, attempt: &Attempt) -> World {
    let mut next = world.with_router(index, |router| {
        router.job = Job::Dispatched(attempt.clone())
    });
    next.executed.push(attempt.clone());
    next
}

/// Abandons an attempt and tells its caller that it did not run.
fn abandon(world: &World, index: usize, attempt: &Attempt) -> World {
    let mut next = world.with_router(index, |router| {
        router.registry.abandon(&REQUEST, attempt);
        router.job = Job::Idle;
    });
    next.abandoned.push(attempt.clone());
    next
}
