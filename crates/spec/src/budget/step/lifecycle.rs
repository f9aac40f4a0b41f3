//! Steps of planned stops, crashes, seals, releases, late bills and top-ups.

use poplar_core::budget::recovery::{Proof, add_late_bill, release as decide_release};
use poplar_core::budget::rows::Versioned;
use poplar_core::budget::topup::{TopUp, top_up as decide_topup};

use super::{Step, Successors};
use crate::budget::{BUDGET, Context, Fault, Process, Request, World};

pub(super) fn steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    if let Process::Running(router) = &world.processes[index] {
        if cx.bounds.planned_stops && !router.closing {
            let mut next = world.clone();
            if let Some(router) = next.router(index) {
                router.closing = true;
                router.ledger.begin_close(&BUDGET);
            }
            successors.push((Step::Stop(index), next));
        }
        crash(world, index, successors);
    }
    if world.left.seals > 0
        && !world.table.holders[index].row.sealed
        && world.processes[index] != Process::NotStarted
    {
        let mut next = world.clone();
        next.left.seals -= 1;
        next.risked_tokens = true;
        next.table.seal(index);
        successors.push((Step::Seal(index), next));
    }
    release(world, index, cx, successors);
}

/// Crashes a router.
fn crash(world: &World, index: usize, successors: &mut Successors) {
    if world.left.crashes == 0 {
        return;
    }
    let mut next = world.clone();
    next.left.crashes -= 1;
    next.risked_tokens = true;
    next.processes[index] = Process::Crashed;
    successors.push((Step::Crash(index), next));
}

/// Releases what an ended incarnation cannot have used.
fn release(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let gone = world.processes[index] == Process::Crashed || cx.has(Fault::ReleaseWithoutProof);
    let proof = gone.then_some(Proof::AddressReused);
    let table = &world.table;
    let decided = decide_release(
        &table.budget.row,
        &table.grants[index].row,
        &table.holders[index].row,
        proof,
    );
    if let Ok(released) = decided {
        let mut next = world.clone();
        next.table.put_budget(released.budget);
        next.table.put_grant(index, released.grant);
        successors.push((Step::Release(index), next));
    }
}

/// Writes bills of sealed incarnations from the copies that a peer holds.
pub(super) fn late_bills(world: &World, cx: Context, successors: &mut Successors) {
    for (request, state) in world.requests.iter().enumerate() {
        let Request::Settled(holder, used) = *state else {
            continue;
        };
        let table = &world.table;
        let marked = table.bill_counts[request] > 0 && !cx.has(Fault::LateBillUnchecked);
        if marked || table.bill_counts[request] > 1 {
            continue;
        }
        if let Some(accounted) = add_late_bill(&table.holders[holder].row, used) {
            let mut next = world.clone();
            next.table.record_bills(holder, accounted, 1 << request);
            successors.push((Step::Late(request), next));
        }
    }
}

/// Sends the top-up; resends carry the same identifier.
pub(super) fn top_up(world: &World, cx: Context, successors: &mut Successors) {
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
    successors.push((Step::TopUp, next));
}
