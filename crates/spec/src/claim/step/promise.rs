//! Steps of claims by promise.

use poplar_core::claim::Attempt;
use poplar_core::claim::promise::{Progress, PromiseRound};
use poplar_core::claim::registry::Promise;

use super::{Step, Successors, dispatch, index};
use crate::claim::{Cx, Fault, Job, NAMES, NOW, REQUEST, Router, World};

pub(super) fn steps(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let Some(router) = world.router(at) else {
        return;
    };
    match &router.job {
        Job::Noted(attempt) => ask_all(world, at, router, attempt, all),
        Job::Asking(attempt, asking) => win(world, at, router, attempt, asking, cx, all),
        _ => {}
    }
    promise(world, at, cx, all);
}

fn ask_all(world: &World, at: usize, router: &Router, attempt: &Attempt, all: &mut Successors) {
    let asking = PromiseRound::begin(&router.notes, &REQUEST, attempt);
    let next = match asking.progress(&router.notes) {
        Progress::Won => dispatch(world, at, attempt),
        Progress::Refused(_) => return,
        Progress::Waiting => {
            let mut next = world.with(at, |router| {
                router.job = Job::Asking(attempt.clone(), asking.clone());
            });
            let asked = asking.pending().to_vec();
            next.asks.push((asking.request().clone(), asked));
            next
        }
    };
    all.push((Step::AskAll(at), next));
}

/// Hears the promises that were given; before the last one nothing happens.
fn win(
    world: &World,
    at: usize,
    router: &Router,
    attempt: &Attempt,
    asking: &PromiseRound,
    cx: Cx,
    all: &mut Successors,
) {
    let mut asking = asking.clone();
    let mut progress = Progress::Waiting;
    for (from, ask) in &world.given {
        let mut ask = ask.clone();
        if cx.has(Fault::StalePromise) {
            ask.epoch = asking.request().epoch;
        }
        if ask.attempt == *attempt {
            progress = asking.on_reply(&router.notes, &NAMES[*from], &ask, Promise::Granted);
        }
    }
    let enough = cx.has(Fault::MissingPromise) && asking.pending().len() == 1;
    if progress == Progress::Won || enough {
        all.push((Step::Win(at), dispatch(world, at, attempt)));
    }
}

/// Answers to asks that arrive now.
fn promise(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    for (ask, asked) in &world.asks {
        if !asked.contains(&NAMES[at]) || index(&ask.attempt.claimant) == Some(at) {
            continue;
        }
        let mut seen = ask.clone();
        if cx.has(Fault::OldEpochPromise) {
            seen.epoch = u64::MAX;
        }
        let mut answer = None;
        let mut next = world.with(at, |router| {
            let own = match &router.job {
                Job::Writing(attempt, _) if cx.has(Fault::UnregisteredClaim) => {
                    Some(attempt.clone())
                }
                _ => None,
            };
            if let Some(own) = own {
                router.notes.abandon(&REQUEST, &own);
            }
            answer = Some(router.notes.promise(&seen, *NOW));
        });
        if answer == Some(Promise::Granted) {
            next.given.push((at, ask.clone()));
            all.push((Step::Promise(at, ask.attempt.clone()), next));
        }
    }
}
