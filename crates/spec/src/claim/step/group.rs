//! Steps that change the members of the group: join, seal and leave.

use std::sync::Arc;

use poplar_core::claim::group::GroupRow;

use super::{Step, Successors};
use crate::claim::{
    Context, Fault, INCARNATIONS, Job, NAMES, NOW, Process, REQUEST, Router, World,
};

pub(super) fn steps(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    if world.processes[index] == Process::NotStarted {
        join(world, index, cx, successors);
    }
    let Some(router) = world.router(index) else {
        return;
    };
    update_group(world, index, router, successors);
    acknowledge(world, index, cx, successors);
    take_over(world, index, cx, successors);
    activate(world, index, router, cx, successors);
    seal(world, index, router, cx, successors);
    leave(world, index, router, cx, successors);
}

/// Updates a router's copy of the group's row, read from the table or received
/// from another member.
fn update_group(world: &World, index: usize, router: &Router, successors: &mut Successors) {
    let next = world.with_router(index, |router| {
        router.registry.update_group(&world.table.group.row)
    });
    if next.router(index) != Some(router) {
        successors.push((Step::LearnSet(index), next));
    }
}

/// Adds the next joiner to the group.
fn join(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    let joiners = cx.bounds.members..cx.bounds.members + cx.bounds.joins;
    if !joiners.contains(&index) {
        return;
    }
    if (cx.bounds.members..index).any(|before| world.processes[before] == Process::NotStarted) {
        return;
    }
    let Ok(row) = world.table.group.row.join(&NAMES[index]) else {
        return;
    };
    let mut next = world.clone();
    let mut router = Router::new(index);
    router.registry.update_group(&row);
    next.processes[index] = Process::Running(Arc::new(router));
    next.table.write_group(row);
    successors.push((Step::Join(index), next));
}

/// A member acknowledges the group that a joiner sends and hands its registry over.
fn acknowledge(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    for joiner in cx.bounds.members..INCARNATIONS {
        let Some(group) = unacknowledged_group(world, joiner) else {
            continue;
        };
        if joiner == index || handover_pending(world, index, joiner) {
            continue;
        }
        let mut acknowledged = None;
        let mut next = world.with_router(index, |router| {
            acknowledged = router.registry.acknowledge(&group);
            if acknowledged.is_none() && cx.has(Fault::SealedAcknowledger) {
                acknowledged = Some(router.registry.hand_over());
            }
        });
        if let Some(handover) = acknowledged {
            next.handovers.push((index, joiner, handover));
            if !world
                .handovers
                .contains(&next.handovers[next.handovers.len() - 1])
            {
                successors.push((Step::Acknowledge(index, joiner), next));
            }
        }
    }
}

/// Whether a handover between the two is pending; a second one would add nothing.
fn handover_pending(world: &World, from: usize, to: usize) -> bool {
    let mut all = world.handovers.iter();
    all.any(|(sender, receiver, _)| (*sender, *receiver) == (from, to))
}

/// The group that a joiner asks the members to acknowledge; `None` where the
/// router does not run or is active.
fn unacknowledged_group(world: &World, joiner: usize) -> Option<GroupRow> {
    let router = world.router(joiner)?;
    (!router.registry.is_active()).then(|| router.registry.group().clone())
}

/// Takes over the entries of pending handovers.
fn take_over(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    for (from, to, handover) in &world.handovers {
        if *to != index {
            continue;
        }
        let mut handover = handover.clone();
        if cx.has(Fault::EmptyHandover) {
            handover.entries.clear();
        }
        let mut taken = false;
        let mut next = world.with_router(index, |router| {
            taken = router.registry.take_over(&handover) || cx.has(Fault::LeavingSuccessor);
            if taken && !router.registry.is_active() {
                router.acknowledger = Some(*from);
            }
        });
        let is_leaving =
            matches!(&next.processes[*from], Process::Running(router) if router.leaving);
        if let (Process::Running(router), true) = (&mut next.processes[*from], is_leaving && taken)
        {
            Arc::make_mut(router).successor = Some(index);
        }
        if next != *world {
            successors.push((Step::TakeOver(index, *from), next));
        }
    }
}

/// Activates a joiner that a member has acknowledged.
fn activate(
    world: &World,
    index: usize,
    router: &Router,
    cx: Context,
    successors: &mut Successors,
) {
    if router.registry.is_active() || world.table.sealed[index] || router.leaving {
        return;
    }
    let row = &world.table.group.row;
    let acknowledger = router.acknowledger.map(|acknowledger| &NAMES[acknowledger]);
    let forced = cx.has(Fault::SealedAcknowledger) && acknowledger.is_some();
    let activated = match row.activate(&NAMES[index], acknowledger) {
        Err(_) if cx.has(Fault::UnacknowledgedJoin) || forced => {
            let mut row = row.clone();
            row.members
                .iter_mut()
                .for_each(|member| member.active = true);
            row
        }
        Err(_) => return,
        Ok(row) => row,
    };
    let mut next = world.with_router(index, |router| router.registry.update_group(&activated));
    next.table.write_group(activated);
    successors.push((Step::Activate(index), next));
}

/// Seals a member. The sealer may be interrupted between its steps: it stops
/// promising, commits the seal and reads the claims of the sealed member.
fn seal(world: &World, index: usize, router: &Router, cx: Context, successors: &mut Successors) {
    let row = &world.table.group.row;
    if router.registry.is_scanning() {
        let claim = world.table.claim.row.clone();
        let claims = claim.map(|claim| (REQUEST.clone(), claim));
        let claims = claims.filter(|_| !cx.has(Fault::SkippedScan));
        let next = world.with_router(index, |router| {
            router.registry.complete_scan(row, claims, *NOW)
        });
        if next != *world {
            successors.push((Step::Scan(index), next));
        }
    }
    if !cx.bounds.sealers.contains(&index) {
        return;
    }
    for dead in (0..INCARNATIONS).filter(|dead| *dead != index) {
        let sealing =
            world.with_router(index, |router| router.registry.begin_sealing(&NAMES[dead]));
        let has_begun = sealing == *world;
        let Ok(sealed) = row.seal(&NAMES[index], &NAMES[dead], None) else {
            continue;
        };
        if !has_begun && world.left.seals > 0 && !router.registry.is_scanning() {
            let mut next = sealing;
            next.left.seals -= 1;
            successors.push((Step::Sealing(index, dead), next));
        } else if has_begun && !world.table.sealed[index] {
            let mut next = world.clone();
            next.table.sealed[dead] = true;
            next.table.write_group(sealed);
            successors.push((Step::Seal(index, dead), next));
        }
    }
}

/// Steps of a planned stop: entries of other claimants go to the table, all
/// entries go to a successor, then the member leaves the group.
fn leave(world: &World, index: usize, router: &Router, cx: Context, successors: &mut Successors) {
    let idle = matches!(router.job, Job::Idle | Job::Recorded);
    let may_leave = cx.bounds.leavers.contains(&index) && router.registry.is_active();
    if !router.leaving && idle && may_leave {
        let next = world.with_router(index, |router| {
            router.leaving = true;
            router.registry.mark_ended();
        });
        successors.push((Step::Leaving(index), next));
    }
    let mut unpersisted = router.registry.unpersisted();
    let has_foreign = unpersisted.any(|(_, attempt)| attempt.claimant != NAMES[index]);
    if !router.leaving || has_foreign || world.table.sealed[index] {
        return;
    }
    if router.successor.is_none() {
        let is_candidate = |successor: &usize| cx.bounds.any_successor || *successor == index + 1;
        let is_free =
            |successor: &usize| *successor != index && !handover_pending(world, index, *successor);
        for successor in
            (0..INCARNATIONS).filter(|successor| is_candidate(successor) && is_free(successor))
        {
            let mut next = world.clone();
            next.handovers
                .push((index, successor, router.registry.hand_over()));
            successors.push((Step::Acknowledge(index, successor), next));
        }
    }
    let successor = router.successor.map(|successor| &NAMES[successor]);
    if let Ok(row) = world.table.group.row.leave(&NAMES[index], successor) {
        let mut next = world.clone();
        next.table.sealed[index] = true;
        next.table.write_group(row);
        successors.push((Step::Leave(index), next));
    }
}
