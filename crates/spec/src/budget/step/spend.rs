//! Steps of requests and of their bills.

use super::{FATES, Fate, Step, Successors};
use crate::budget::table::{Delayed, Flush};
use crate::budget::{BUDGET, Cx, Fault, Life, Request, Router, WORST, World};

pub(super) fn steps(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let Life::Up(router) = &world.lives[at] else {
        return;
    };
    if !router.closing {
        reserve(world, at, cx, all);
    }
    for request in 0..world.requests.len() {
        if world.requests[request] == Request::Running(at) {
            settle(world, at, request, all);
        }
    }
    match router.flush {
        None => {
            for fate in FATES {
                flush(world, router, at, fate, cx, all);
            }
        }
        Some(requests) => read(world, at, requests, all),
    }
}

fn reserve(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let fresh = |request: &Request| *request == Request::Fresh;
    let Some(request) = world.requests.iter().position(fresh) else {
        return;
    };
    let mut next = world.clone();
    let Some(router) = next.router(at) else {
        return;
    };
    if cx.has(Fault::ExposureNotEnforced) {
        router.ledger.set_exposure_limit(&BUDGET, None);
    }
    if router.ledger.reserve(&BUDGET, WORST).is_ok() {
        next.requests[request] = Request::Running(at);
        all.push((Step::Reserve(at, request), next));
    }
}

fn settle(world: &World, at: usize, request: usize, all: &mut Successors) {
    for used in 1..=WORST {
        let mut next = world.clone();
        if let Some(router) = next.router(at) {
            router.ledger.settle(&BUDGET, WORST, used);
        }
        next.requests[request] = Request::Settled(at, used);
        all.push((Step::Settle(request, used), next));
    }
    let mut next = world.clone();
    if let Some(router) = next.router(at) {
        router.ledger.write_off(&BUDGET, WORST);
    }
    next.requests[request] = Request::Lost(at);
    all.push((Step::WriteOff(request), next));
}

/// Tokens that a request adds to the totals of the incarnation that ran it.
pub(super) fn tokens(request: Request, of: usize) -> Option<u64> {
    match request {
        Request::Settled(by, used) if by == of => Some(used),
        Request::Lost(by) if by == of => Some(WORST),
        _ => None,
    }
}

/// Requests that a router has ended and does not know to be durable.
fn pending(world: &World, router: &Router, at: usize) -> u8 {
    let all = world.requests.iter().enumerate();
    let open = all.filter(|(_, request)| tokens(**request, at).is_some());
    let mask = open.fold(0, |mask, (request, _)| mask | 1 << request);
    mask & !router.known
}

fn sum(world: &World, at: usize, requests: u8) -> u64 {
    let all = world.requests.iter().enumerate();
    let of = all.filter(|(request, _)| requests >> request & 1 == 1);
    of.filter_map(|(_, request)| tokens(*request, at)).sum()
}

fn flush(world: &World, router: &Router, at: usize, fate: Fate, cx: Cx, all: &mut Successors) {
    let mut next = world.clone();
    let own = world.table.own[at];
    // The row that was read shows what an earlier try has billed after all.
    if !cx.has(Fault::RebillWithoutRead) {
        durable(&mut next, at, pending(world, router, at) & shown(world));
    }
    let requests = match &next.lives[at] {
        Life::Up(router) => pending(world, router, at),
        Life::Unborn | Life::Gone => 0,
    };
    if requests == 0 || own.row.sealed {
        return;
    }
    if fate != Fate::Answered {
        if next.left.lost_answers == 0 {
            return;
        }
        next.left.lost_answers -= 1;
    }
    let flush = Flush {
        version: own.version,
        accounted: own.row.accounted + sum(world, at, requests),
        requests,
    };
    match fate {
        Fate::Answered => durable(&mut next, at, requests),
        Fate::AnswerLost | Fate::Delayed => {
            if let Some(router) = next.router(at) {
                router.flush = Some(requests);
            }
        }
    }
    match fate {
        Fate::Delayed => next.delayed.push(Delayed::Flush(at, flush)),
        _ => next.table.account(at, flush.accounted, flush.requests),
    }
    all.push((Step::Flush(at, fate), next));
}

/// Requests that the table shows as billed.
fn shown(world: &World) -> u8 {
    let bills = world.table.bills.iter().enumerate();
    let billed = bills.filter(|(_, bills)| **bills > 0);
    billed.fold(0, |mask, (request, _)| mask | 1 << request)
}

fn durable(world: &mut World, at: usize, requests: u8) {
    let tokens = sum(world, at, requests);
    if let Some(router) = world.router(at) {
        router.ledger.mark_billed(&BUDGET, tokens);
        router.known |= requests;
    }
}

/// Reads the own row after a lost answer; what it shows is durable.
fn read(world: &World, at: usize, requests: u8, all: &mut Successors) {
    let mut next = world.clone();
    durable(&mut next, at, requests & shown(world));
    if let Some(router) = next.router(at) {
        router.flush = None;
    }
    all.push((Step::ReadFlush(at), next));
}
