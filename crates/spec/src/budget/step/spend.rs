//! Steps of requests, from the reservation to the bill.
//!
//! Sets of requests are bit masks with one bit per request.

use super::{COMMIT_OUTCOMES, CommitOutcome, Step, Successors};
use crate::budget::table::{BillWrite, Delayed};
use crate::budget::{BUDGET, Context, Fault, Process, Request, Router, WORST_CASE_TOKENS, World};

pub(super) fn steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let Process::Running(router) = &world.processes[index] else {
        return;
    };
    if !router.closing {
        reserve(world, index, cx, successors);
    }
    for request in 0..world.requests.len() {
        if world.requests[request] == Request::Running(index) {
            settle(world, index, request, successors);
        }
    }
    match router.unconfirmed {
        None => {
            for outcome in COMMIT_OUTCOMES {
                write_bills(world, router, index, outcome, cx, successors);
            }
        }
        Some(requests) => read_bills(world, index, requests, successors),
    }
}

/// Reserves the worst case of the next request.
fn reserve(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let fresh = |request: &Request| *request == Request::Fresh;
    let Some(request) = world.requests.iter().position(fresh) else {
        return;
    };
    let mut next = world.clone();
    let Some(router) = next.router(index) else {
        return;
    };
    if cx.has(Fault::ExposureNotEnforced) {
        router.ledger.set_exposure_limit(&BUDGET, None);
    }
    if router.ledger.reserve(&BUDGET, WORST_CASE_TOKENS).is_ok() {
        next.requests[request] = Request::Running(index);
        successors.push((Step::Reserve(index, request), next));
    }
}

/// Ends a request: settled with each possible use, or written off.
fn settle(world: &World, index: usize, request: usize, successors: &mut Successors) {
    for used in 1..=WORST_CASE_TOKENS {
        let mut next = world.clone();
        if let Some(router) = next.router(index) {
            router.ledger.settle(&BUDGET, WORST_CASE_TOKENS, used);
        }
        next.requests[request] = Request::Settled(index, used);
        successors.push((Step::Settle(request, used), next));
    }
    let mut next = world.clone();
    if let Some(router) = next.router(index) {
        router.ledger.write_off(&BUDGET, WORST_CASE_TOKENS);
    }
    next.requests[request] = Request::Lost(index);
    successors.push((Step::WriteOff(request), next));
}

/// Tokens that a request adds to the accounted total of `holder`; `None` where
/// another incarnation ran it or it has not ended.
pub(super) fn accounted_tokens(request: Request, holder: usize) -> Option<u64> {
    match request {
        Request::Settled(by, used) if by == holder => Some(used),
        Request::Lost(by) if by == holder => Some(WORST_CASE_TOKENS),
        _ => None,
    }
}

/// Ended requests of a router whose bills it does not know to be durable.
fn pending(world: &World, router: &Router, index: usize) -> u8 {
    let all = world.requests.iter().enumerate();
    let ended = all.filter(|(_, request)| accounted_tokens(**request, index).is_some());
    let mask = ended.fold(0, |mask, (request, _)| mask | 1 << request);
    mask & !router.durable
}

/// Accounted tokens of the given requests.
fn token_sum(world: &World, index: usize, requests: u8) -> u64 {
    let all = world.requests.iter().enumerate();
    let chosen = all.filter(|(request, _)| requests >> request & 1 == 1);
    chosen
        .filter_map(|(_, request)| accounted_tokens(*request, index))
        .sum()
}

/// Writes all pending bills in one commit.
fn write_bills(
    world: &World,
    router: &Router,
    index: usize,
    outcome: CommitOutcome,
    cx: Context,
    successors: &mut Successors,
) {
    let mut next = world.clone();
    let holder = world.table.holders[index];
    // The row that was read shows bills of an earlier attempt that took effect late.
    if !cx.has(Fault::RebillWithoutRead) {
        mark_durable(
            &mut next,
            index,
            pending(world, router, index) & billed_requests(world),
        );
    }
    let requests = match &next.processes[index] {
        Process::Running(router) => pending(world, router, index),
        Process::NotStarted | Process::Crashed => 0,
    };
    if requests == 0 || holder.row.sealed {
        return;
    }
    if outcome != CommitOutcome::Answered {
        if next.left.lost_answers == 0 {
            return;
        }
        next.left.lost_answers -= 1;
    }
    let write = BillWrite {
        version: holder.version,
        accounted: holder.row.accounted + token_sum(world, index, requests),
        requests,
    };
    match outcome {
        CommitOutcome::Answered => mark_durable(&mut next, index, requests),
        CommitOutcome::AnswerLost | CommitOutcome::Delayed => {
            if let Some(router) = next.router(index) {
                router.unconfirmed = Some(requests);
            }
        }
    }
    match outcome {
        CommitOutcome::Delayed => next.delayed.push(Delayed::Bills(index, write)),
        _ => next
            .table
            .record_bills(index, write.accounted, write.requests),
    }
    successors.push((Step::Flush(index, outcome), next));
}

/// Requests that have a bill in the table.
fn billed_requests(world: &World) -> u8 {
    let counts = world.table.bill_counts.iter().enumerate();
    let billed = counts.filter(|(_, count)| **count > 0);
    billed.fold(0, |mask, (request, _)| mask | 1 << request)
}

/// Records in the router's memory that the bills of these requests are durable.
fn mark_durable(world: &mut World, index: usize, requests: u8) {
    let tokens = token_sum(world, index, requests);
    if let Some(router) = world.router(index) {
        router.ledger.mark_billed(&BUDGET, tokens);
        router.durable |= requests;
    }
}

/// Reads the own row after a lost answer and marks the bills in it as durable.
fn read_bills(world: &World, index: usize, requests: u8, successors: &mut Successors) {
    let mut next = world.clone();
    mark_durable(&mut next, index, requests & billed_requests(world));
    if let Some(router) = next.router(index) {
        router.unconfirmed = None;
    }
    successors.push((Step::ReadFlush(index), next));
}
