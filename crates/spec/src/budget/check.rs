//! Invariants of budgets.

use poplar_core::budget::recovery::{NotReleased, Proof, release, stranded};

use super::{BUDGET, Bounds, LIVES, Life, Mail, Request, WORST, World};

/// The invariants that do not hold.
pub(super) fn broken(world: &World, bounds: Bounds) -> impl Iterator<Item = &'static str> {
    let checks = [
        (granted(world), "the sum of grants is what the budget says"),
        (
            limited(world, bounds),
            "grants stay within the prepaid limit",
        ),
        (consumed(world), "consumption stays within the rows"),
        (billed(world), "bills stay within the grants"),
        (once(world), "a request is billed once"),
        (known(world), "a holder knows what it was granted"),
        (
            exposed(world),
            "a dead holder's use is bounded by its exposure",
        ),
        (
            returned(world),
            "a planned stop of all leaves nothing behind",
        ),
    ];
    let failed = checks.into_iter().filter(|(holds, _)| !holds);
    failed.map(|(_, invariant)| invariant)
}

fn granted(world: &World) -> bool {
    let sum: u64 = world.table.grants.iter().map(|row| row.row.granted).sum();
    sum == world.table.budget.row.granted
}

fn limited(world: &World, bounds: Bounds) -> bool {
    let row = world.table.budget.row;
    row.granted <= row.limit && row.limit <= bounds.limit + bounds.topup_tokens
}

/// What engines may have consumed; a request that runs may use its worst case.
fn used(request: Request) -> Option<(usize, u64)> {
    match request {
        Request::Fresh => None,
        Request::Settled(by, used) => Some((by, used)),
        Request::Running(by) | Request::Lost(by) => Some((by, WORST)),
    }
}

fn consumed(world: &World) -> bool {
    let all = world.requests.iter().filter_map(|request| used(*request));
    let sum: u64 = all.map(|(_, tokens)| tokens).sum();
    sum <= world.table.budget.row.granted
}

fn billed(world: &World) -> bool {
    let sum: u64 = world.table.own.iter().map(|row| row.row.accounted).sum();
    sum <= world.table.budget.row.granted
}

fn once(world: &World) -> bool {
    world.table.bills.iter().all(|bills| *bills <= 1)
}

/// Holds while nothing is under way that the holder has yet to hear of.
fn known(world: &World) -> bool {
    world.routers().all(|(at, router)| {
        let mail = world.mail.iter();
        let mut coming = mail.filter(|mail| matches!(mail, Mail::Gift(to, _) if *to == at));
        let others = world
            .routers()
            .all(|(_, other)| other.donor.next_unrecorded(&BUDGET).is_none());
        let idle = router.change.is_none() && world.delayed.is_empty() && others;
        let asked =
            world.left.transfer_requests == 0 && world.mail.is_empty() && coming.next().is_none();
        let grant = world.table.grants[at].row;
        let quiet = idle && asked && !grant.closed && !world.harmed && !lost_gift(world, at);
        !quiet || router.ledger.holding(&BUDGET).held == grant.granted
    })
}

/// Whether a gift to a router was dropped because it came after its stop.
fn lost_gift(world: &World, at: usize) -> bool {
    matches!(&world.lives[at], Life::Up(router) if router.closing)
}

/// What a dead holder used beyond its durable totals.
fn exposed(world: &World) -> bool {
    (0..LIVES)
        .filter(|at| world.lives[*at] == Life::Gone)
        .all(|at| {
            let all = world.requests.iter().filter_map(|request| used(*request));
            let sum: u64 = all
                .filter(|(by, _)| *by == at)
                .map(|(_, tokens)| tokens)
                .sum();
            let row = world.table.grants[at].row;
            let own = world.table.own[at].row;
            let kept = row
                .exposure
                .is_none_or(|bound| sum <= own.accounted + bound);
            let bounded = row
                .exposure
                .is_none_or(|bound| stranded(&row, &own) <= bound);
            let rest = release(&world.table.budget.row, &row, &own, Some(Proof::Operator));
            kept && (bounded || rest != Err(NotReleased::Stranded))
        })
}

/// Holds once every router has stopped as planned and no failure cost tokens.
fn returned(world: &World) -> bool {
    let table = &world.table;
    let closed = |(at, life): (usize, &Life)| match life {
        Life::Up(_) => table.grants[at].row.closed,
        Life::Unborn => true,
        Life::Gone => false,
    };
    let stopped = world.lives.iter().enumerate().all(closed);
    let recorded = world
        .routers()
        .all(|(_, r)| r.donor.next_unrecorded(&BUDGET).is_none());
    if !stopped || !recorded || world.harmed {
        return true;
    }
    let rest = |at: usize| stranded(&table.grants[at].row, &table.own[at].row);
    let released: u64 = (0..LIVES).map(rest).sum();
    let used: u64 = table.own.iter().map(|row| row.row.accounted).sum();
    table.budget.row.granted - released == used
}
