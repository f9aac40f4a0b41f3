//! Invariants of the budget model, checked in every state.

use poplar_core::budget::recovery::{NotReleased, Proof, release, stranded};

use super::{BUDGET, Bounds, INCARNATIONS, Message, Process, Request, WORST_CASE_TOKENS, World};

/// Texts of the invariants that `world` violates.
pub(super) fn violations(world: &World, bounds: Bounds) -> impl Iterator<Item = &'static str> {
    let checks = [
        (
            grants_match_budget(world),
            "the sum of the grants equals the granted total of the budget row",
        ),
        (
            grants_within_limit(world, bounds),
            "grants stay within the prepaid limit",
        ),
        (
            consumption_within_grants(world),
            "consumption stays within the grants",
        ),
        (bills_within_grants(world), "bills stay within the grants"),
        (billed_once(world), "a request is billed at most once"),
        (
            ledgers_match_grants(world),
            "a holder's ledger agrees with its grant",
        ),
        (
            exposure_holds(world),
            "the unaccounted use of a crashed holder stays within its exposure",
        ),
        (
            stops_strand_nothing(world),
            "planned stops of all routers strand no tokens",
        ),
    ];
    let failed = checks.into_iter().filter(|(holds, _)| !holds);
    failed.map(|(_, invariant)| invariant)
}

fn grants_match_budget(world: &World) -> bool {
    let sum: u64 = world
        .table
        .grants
        .iter()
        .map(|grant| grant.row.granted)
        .sum();
    sum == world.table.budget.row.granted
}

fn grants_within_limit(world: &World, bounds: Bounds) -> bool {
    let row = world.table.budget.row;
    row.granted <= row.limit && row.limit <= bounds.limit + bounds.topup_tokens
}

/// The router that ran a request and the most tokens that an engine may have
/// consumed for it: the worst case unless the request is settled.
fn worst_use(request: Request) -> Option<(usize, u64)> {
    match request {
        Request::Fresh => None,
        Request::Settled(by, used) => Some((by, used)),
        Request::Running(by) | Request::Lost(by) => Some((by, WORST_CASE_TOKENS)),
    }
}

fn consumption_within_grants(world: &World) -> bool {
    let all = world
        .requests
        .iter()
        .filter_map(|request| worst_use(*request));
    let sum: u64 = all.map(|(_, tokens)| tokens).sum();
    sum <= world.table.budget.row.granted
}

fn bills_within_grants(world: &World) -> bool {
    let sum: u64 = world
        .table
        .holders
        .iter()
        .map(|holder| holder.row.accounted)
        .sum();
    sum <= world.table.budget.row.granted
}

fn billed_once(world: &World) -> bool {
    world.table.bill_counts.iter().all(|count| *count <= 1)
}

/// Compares ledgers and grants where they must agree: no change, delayed commit,
/// message or unrecorded transfer is pending, and no crash or seal occurred.
fn ledgers_match_grants(world: &World) -> bool {
    world.routers().all(|(index, router)| {
        let messages = world.messages.iter();
        let mut incoming =
            messages.filter(|message| matches!(message, Message::Transfer(to, _) if *to == index));
        let all_recorded = world
            .routers()
            .all(|(_, other)| other.donor.next_unrecorded(&BUDGET).is_none());
        let idle = router.change.is_none() && world.delayed.is_empty() && all_recorded;
        let all_delivered = world.left.transfer_requests == 0
            && world.messages.is_empty()
            && incoming.next().is_none();
        let grant = world.table.grants[index].row;
        let at_rest = idle
            && all_delivered
            && !grant.closed
            && !world.risked_tokens
            && !dropped_transfer(world, index);
        !at_rest || router.ledger.holding(&BUDGET).held == grant.granted
    })
}

/// Whether transfers to the router may have been dropped because it is stopping.
fn dropped_transfer(world: &World, index: usize) -> bool {
    matches!(&world.processes[index], Process::Running(router) if router.closing)
}

/// Checks that a crashed holder used no more beyond its durable totals than the
/// declared exposure, and that whatever is stranded beyond that can be released.
fn exposure_holds(world: &World) -> bool {
    (0..INCARNATIONS)
        .filter(|index| world.processes[*index] == Process::Crashed)
        .all(|index| {
            let all = world
                .requests
                .iter()
                .filter_map(|request| worst_use(*request));
            let sum: u64 = all
                .filter(|(by, _)| *by == index)
                .map(|(_, tokens)| tokens)
                .sum();
            let row = world.table.grants[index].row;
            let holder = world.table.holders[index].row;
            let use_bounded = row
                .exposure
                .is_none_or(|limit| sum <= holder.accounted + limit);
            let stranded_bounded = row
                .exposure
                .is_none_or(|limit| stranded(&row, &holder) <= limit);
            let released = release(
                &world.table.budget.row,
                &row,
                &holder,
                Some(Proof::Operator),
            );
            use_bounded && (stranded_bounded || released != Err(NotReleased::Stranded))
        })
}

/// Checks, once every router has stopped as planned and nothing failed, that the
/// granted total less the stranded tokens equals the accounted tokens.
fn stops_strand_nothing(world: &World) -> bool {
    let table = &world.table;
    let is_closed = |(index, process): (usize, &Process)| match process {
        Process::Running(_) => table.grants[index].row.closed,
        Process::NotStarted => true,
        Process::Crashed => false,
    };
    let stopped = world.processes.iter().enumerate().all(is_closed);
    let recorded = world
        .routers()
        .all(|(_, router)| router.donor.next_unrecorded(&BUDGET).is_none());
    if !stopped || !recorded || world.risked_tokens {
        return true;
    }
    let stranded_of = |index: usize| stranded(&table.grants[index].row, &table.holders[index].row);
    let total_stranded: u64 = (0..INCARNATIONS).map(stranded_of).sum();
    let accounted: u64 = table
        .holders
        .iter()
        .map(|holder| holder.row.accounted)
        .sum();
    table.budget.row.granted - total_stranded == accounted
}
