//! Steps of token transfers between routers.

use poplar_core::budget::transfer::{Donor, Transfer, TransferRequest};

use super::{Step, Successors};
use crate::budget::{BUDGET, Context, Fault, INCARNATIONS, Message, NAMES, Process, Router, World};

/// Sends a transfer request of one router to each other one.
pub(super) fn requests(world: &World, index: usize, successors: &mut Successors) {
    let open = matches!(&world.processes[index], Process::Running(router) if !router.closing);
    if world.left.transfer_requests == 0 || !open {
        return;
    }
    for donor in (0..INCARNATIONS).filter(|donor| *donor != index) {
        if world.processes[donor] == Process::NotStarted {
            continue;
        }
        let mut next = world.clone();
        next.left.transfer_requests -= 1;
        let Some(router) = next.router(index) else {
            continue;
        };
        let request = TransferRequest {
            budget: BUDGET.clone(),
            from: NAMES[index].clone(),
            number: router.receiver.open_request(&BUDGET, &NAMES[donor]),
            want: 2,
        };
        next.messages.push(Message::Request(donor, request));
        successors.push((Step::Ask(index, donor), next));
    }
}

/// Delivers each message, once or with a duplicate to follow.
pub(super) fn deliveries(world: &World, cx: Context, successors: &mut Successors) {
    for index in 0..world.messages.len() {
        if index > 0 && world.messages[index] == world.messages[index - 1] {
            continue;
        }
        let mut next = world.clone();
        let message = next.messages.remove(index);
        if !deliver(&mut next, &message, cx) {
            continue;
        }
        if next.left.duplicates > 0 {
            let mut twice = next.clone();
            twice.left.duplicates -= 1;
            twice.messages.push(message);
            successors.push((Step::Double(index), twice));
        }
        successors.push((Step::Deliver(index), next));
    }
}

/// Delivers a message; returns whether its receiver runs.
fn deliver(next: &mut World, message: &Message, cx: Context) -> bool {
    match message {
        Message::Request(donor, request) => answer(next, *donor, request, cx),
        Message::Transfer(to, transfer) => {
            let Some(router) = next.router(*to) else {
                return false;
            };
            let tokens = match cx.fault {
                Some(Fault::DuplicateCredit) => transfer.tokens,
                _ => router.receiver.receive(transfer),
            };
            if tokens > 0 {
                router.ledger.credit(&BUDGET, tokens);
            }
            true
        }
    }
}

/// Answers a transfer request; returns whether the donor runs.
fn answer(next: &mut World, donor: usize, request: &TransferRequest, cx: Context) -> bool {
    let Some(router) = next.router(donor) else {
        return false;
    };
    let Some(tokens) = take_tokens(router, request, cx) else {
        return true;
    };
    let transfer = Transfer {
        budget: BUDGET.clone(),
        from: NAMES[donor].clone(),
        number: request.number,
        tokens,
    };
    let to = NAMES.iter().position(|name| *name == request.from);
    next.messages
        .extend(to.map(|to| Message::Transfer(to, transfer)));
    true
}

/// Tokens that the donor transfers; `None` where it ignores the request.
fn take_tokens(router: &mut Router, request: &TransferRequest, cx: Context) -> Option<u64> {
    let Router { ledger, donor, .. } = router;
    match cx.fault {
        Some(Fault::TransferNotDebited) => {
            donor.answer(request, |want| want.min(ledger.holding(&BUDGET).usable()))
        }
        Some(Fault::RepeatedTransfer) => {
            let mut fresh_donor = Donor::default();
            let tokens = fresh_donor.answer(request, |want| ledger.transfer_out(&BUDGET, want));
            donor.answer(request, |_| tokens.unwrap_or(0));
            tokens
        }
        _ => donor.answer(request, |want| ledger.transfer_out(&BUDGET, want)),
    }
}
