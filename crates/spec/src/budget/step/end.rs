//! Steps of stops, crashes, seals, releases, late bills and top-ups.

use poplar_core::budget::recovery::{Proof, add_late_bill as decide, release as decide_release};
use poplar_core::budget::rows::Versioned;
use poplar_core::budget::topup::{TopUp, top_up as decide_topup};

use super::{Step, Successors};
use crate::budget::{BUDGET, Cx, Fault, Life, Request, World};

pub(super) fn steps(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    if let Life::Up(router) = &world.lives[at] {
        if cx.bounds.planned_stops && !router.closing {
            let mut next = world.clone();
            if let Some(router) = next.router(at) {
                router.closing = true;
                router.ledger.begin_close(&BUDGET);
            }
            all.push((Step::Stop(at), next));
        }
        crash(world, at, all);
    }
    if world.left.seals > 0 && !world.table.own[at].row.sealed && world.lives[at] != Life::Unborn {
        let mut next = world.clone();
        next.left.seals -= 1;
        next.harmed = true;
        next.table.seal(at);
        all.push((Step::Seal(at), next));
    }
    release(world, at, cx, all);
}

fn crash(world: &World, at: usize, all: &mut Successors) {
    if world.left.crashes == 0 {
        return;
    }
    let mut next = world.clone();
    next.left.crashes -= 1;
    next.harmed = true;
    next.lives[at] = Life::Gone;
    all.push((Step::Crash(at), next));
}

fn release(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let gone = world.lives[at] == Life::Gone || cx.has(Fault::ReleaseWithoutProof);
    let proof = gone.then_some(Proof::AddressReused);
    let table = &world.table;
    let decided = decide_release(
        &table.budget.row,
        &table.grants[at].row,
        &table.own[at].row,
        proof,
    );
    if let Ok(released) = decided {
        let mut next = world.clone();
        next.table.put_budget(released.budget);
        next.table.put_grant(at, released.grant);
        all.push((Step::Release(at), next));
    }
}

/// Late bills, by a peer that holds a copy.
pub(super) fn late(world: &World, cx: Cx, all: &mut Successors) {
    for (request, state) in world.requests.iter().enumerate() {
        let Request::Settled(of, used) = *state else {
            continue;
        };
        let table = &world.table;
        let marked = table.bills[request] > 0 && !cx.has(Fault::LateBillUnchecked);
        if marked || table.bills[request] > 1 {
            continue;
        }
        if let Some(accounted) = decide(&table.own[of].row, used) {
            let mut next = world.clone();
            next.table.account(of, accounted, 1 << request);
            all.push((Step::Late(request), next));
        }
    }
}

/// The one top-up, sent again and again.
pub(super) fn top_up(world: &World, cx: Cx, all: &mut Successors) {
    if world.left.topup_sends == 0 {
        return;
    }
    let mut next = world.clone();
    next.left.topup_sends -= 1;
    let mark = match cx.fault {
        Some(Fault::DuplicateTopUp) => Versioned::default(),
        _ => next.table.topup,
    };
    if let TopUp::Write { budget, mark } =
        decide_topup(&next.table.budget, &mark, cx.bounds.topup_tokens)
    {
        next.table.put_budget(budget);
        next.table.put_topup(mark);
    }
    all.push((Step::TopUp, next));
}
