//! Steps of gifts between routers.

use poplar_core::budget::transfer::{Donor, Transfer, TransferRequest};

use super::{Step, Successors};
use crate::budget::{BUDGET, Cx, Fault, LIVES, Life, Mail, NAMES, Router, World};

/// Asks of a router to every other one.
pub(super) fn asks(world: &World, at: usize, all: &mut Successors) {
    let open = matches!(&world.lives[at], Life::Up(router) if !router.closing);
    if world.left.transfer_requests == 0 || !open {
        return;
    }
    for donor in (0..LIVES).filter(|donor| *donor != at) {
        if world.lives[donor] == Life::Unborn {
            continue;
        }
        let mut next = world.clone();
        next.left.transfer_requests -= 1;
        let Some(router) = next.router(at) else {
            continue;
        };
        let ask = TransferRequest {
            budget: BUDGET.clone(),
            from: NAMES[at].clone(),
            number: router.receiver.open_request(&BUDGET, &NAMES[donor]),
            want: 2,
        };
        next.mail.push(Mail::Ask(donor, ask));
        all.push((Step::Ask(at, donor), next));
    }
}

/// Messages that arrive now, once or twice.
pub(super) fn deliveries(world: &World, cx: Cx, all: &mut Successors) {
    for at in 0..world.mail.len() {
        if at > 0 && world.mail[at] == world.mail[at - 1] {
            continue;
        }
        let mut next = world.clone();
        let mail = next.mail.remove(at);
        if !deliver(&mut next, &mail, cx) {
            continue;
        }
        if next.left.duplicates > 0 {
            let mut twice = next.clone();
            twice.left.duplicates -= 1;
            twice.mail.push(mail);
            all.push((Step::Double(at), twice));
        }
        all.push((Step::Deliver(at), next));
    }
}

fn deliver(next: &mut World, mail: &Mail, cx: Cx) -> bool {
    match mail {
        Mail::Ask(donor, ask) => answer(next, *donor, ask, cx),
        Mail::Gift(to, gift) => {
            let Some(router) = next.router(*to) else {
                return false;
            };
            let tokens = match cx.fault {
                Some(Fault::DuplicateCredit) => gift.tokens,
                _ => router.receiver.receive(gift),
            };
            if tokens > 0 {
                router.ledger.credit(&BUDGET, tokens);
            }
            true
        }
    }
}

fn answer(next: &mut World, donor: usize, ask: &TransferRequest, cx: Cx) -> bool {
    let Some(router) = next.router(donor) else {
        return false;
    };
    let Some(tokens) = give(router, ask, cx) else {
        return true;
    };
    let gift = Transfer {
        budget: BUDGET.clone(),
        from: NAMES[donor].clone(),
        number: ask.number,
        tokens,
    };
    let to = NAMES.iter().position(|name| *name == ask.from);
    next.mail.extend(to.map(|to| Mail::Gift(to, gift)));
    true
}

fn give(router: &mut Router, ask: &TransferRequest, cx: Cx) -> Option<u64> {
    let Router { ledger, donor, .. } = router;
    match cx.fault {
        Some(Fault::TransferNotDebited) => {
            donor.answer(ask, |want| want.min(ledger.holding(&BUDGET).usable()))
        }
        Some(Fault::RepeatedTransfer) => {
            let mut forgetful = Donor::default();
            let again = forgetful.answer(ask, |want| ledger.transfer_out(&BUDGET, want));
            donor.answer(ask, |_| again.unwrap_or(0));
            again
        }
        _ => donor.answer(ask, |want| ledger.transfer_out(&BUDGET, want)),
    }
}
