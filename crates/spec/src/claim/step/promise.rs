//! Steps of claims by promise.

use poplar_core::claim::Attempt;
use poplar_core::claim::promise::{Progress, PromiseRound};
use poplar_core::claim::registry::Promise;

use super::{Step, Successors, dispatch, position_of};
use crate::claim::{Context, Fault, Job, NAMES, NOW, REQUEST, Router, World};

pub(super) fn steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let Some(router) = world.router(index) else {
        return;
    };
    match &router.job {
        Job::Registered(attempt) => begin_round(world, index, router, attempt, successors),
        Job::AwaitingPromises(attempt, round) => {
            collect_promises(world, index, router, attempt, round, cx, successors)
        }
        _ => {}
    }
    promise(world, index, cx, successors);
}

/// Sends promise requests to all other members; without any the claim is won.
fn begin_round(
    world: &World,
    index: usize,
    router: &Router,
    attempt: &Attempt,
    successors: &mut Successors,
) {
    let round = PromiseRound::begin(&router.registry, &REQUEST, attempt);
    let next = match round.progress(&router.registry) {
        Progress::Won => dispatch(world, index, attempt),
        Progress::Refused(_) => return,
        Progress::Waiting => {
            let mut next = world.with_router(index, |router| {
                router.job = Job::AwaitingPromises(attempt.clone(), round.clone());
            });
            let recipients = round.pending().to_vec();
            next.promise_requests
                .push((round.request().clone(), recipients));
            next
        }
    };
    successors.push((Step::AskAll(index), next));
}

/// Receives all promises of an attempt in one step, since only the last of them has
/// an effect.
fn collect_promises(
    world: &World,
    index: usize,
    router: &Router,
    attempt: &Attempt,
    round: &PromiseRound,
    cx: Context,
    successors: &mut Successors,
) {
    let mut round = round.clone();
    let mut progress = Progress::Waiting;
    for (from, request) in &world.promises {
        let mut request = request.clone();
        if cx.has(Fault::StalePromise) {
            request.epoch = round.request().epoch;
        }
        if request.attempt == *attempt {
            progress = round.on_reply(&router.registry, &NAMES[*from], &request, Promise::Granted);
        }
    }
    let enough = cx.has(Fault::MissingPromise) && round.pending().len() == 1;
    if progress == Progress::Won || enough {
        successors.push((Step::Win(index), dispatch(world, index, attempt)));
    }
}

/// Answers each promise request that the member may receive.
fn promise(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    for (request, recipients) in &world.promise_requests {
        if !recipients.contains(&NAMES[index])
            || position_of(&request.attempt.claimant) == Some(index)
        {
            continue;
        }
        let mut received = request.clone();
        if cx.has(Fault::OldEpochPromise) {
            received.epoch = u64::MAX;
        }
        let mut answer = None;
        let mut next = world.with_router(index, |router| {
            let own = match &router.job {
                Job::Inserting(attempt, _) if cx.has(Fault::UnregisteredClaim) => {
                    Some(attempt.clone())
                }
                _ => None,
            };
            if let Some(own) = own {
                router.registry.abandon(&REQUEST, &own);
            }
            answer = Some(router.registry.promise(&received, *NOW));
        });
        if answer == Some(Promise::Granted) {
            next.promises.push((index, request.clone()));
            successors.push((Step::Promise(index, request.attempt.clone()), next));
        }
    }
}
