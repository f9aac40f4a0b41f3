//! Steps that change who is a member.

use std::sync::Arc;

use poplar_core::claim::group::GroupRow;

use super::{Step, Successors};
use crate::claim::{Cx, Fault, Job, LIVES, Life, NAMES, NOW, REQUEST, Router, World};

pub(super) fn steps(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    if world.lives[at] == Life::Unborn {
        join(world, at, cx, all);
    }
    let Some(router) = world.router(at) else {
        return;
    };
    learn(world, at, router, all);
    acknowledge(world, at, cx, all);
    take_over(world, at, cx, all);
    activate(world, at, router, cx, all);
    seal(world, at, router, cx, all);
    leave(world, at, router, cx, all);
}

/// Takes the group's row in from the table, or from whoever has read it.
fn learn(world: &World, at: usize, router: &Router, all: &mut Successors) {
    let next = world.with(at, |router| {
        router.notes.update_group(&world.table.group.row)
    });
    if next.router(at) != Some(router) {
        all.push((Step::LearnSet(at), next));
    }
}

fn join(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let joiners = cx.bounds.members..cx.bounds.members + cx.bounds.joins;
    if !joiners.contains(&at) {
        return;
    }
    if (cx.bounds.members..at).any(|before| world.lives[before] == Life::Unborn) {
        return;
    }
    let Ok(row) = world.table.group.row.join(&NAMES[at]) else {
        return;
    };
    let mut next = world.clone();
    let mut router = Router::new(at);
    router.notes.update_group(&row);
    next.lives[at] = Life::Up(Arc::new(router));
    next.table.regroup(row);
    all.push((Step::Join(at), next));
}

/// A member acknowledges the set that a joiner shows it.
fn acknowledge(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    for joiner in cx.bounds.members..LIVES {
        let Some(set) = shown(world, joiner) else {
            continue;
        };
        if joiner == at || handed(world, at, joiner) {
            continue;
        }
        let mut handed = None;
        let mut next = world.with(at, |router| {
            handed = router.notes.acknowledge(&set);
            if handed.is_none() && cx.has(Fault::SealedAcknowledger) {
                handed = Some(router.notes.hand_over());
            }
        });
        if let Some(handover) = handed {
            next.handovers.push((at, joiner, handover));
            if !world
                .handovers
                .contains(&next.handovers[next.handovers.len() - 1])
            {
                all.push((Step::Acknowledge(at, joiner), next));
            }
        }
    }
}

/// Whether a handover is under way; a later one would tell no more.
fn handed(world: &World, from: usize, to: usize) -> bool {
    let mut all = world.handovers.iter();
    all.any(|(by, heir, _)| (*by, *heir) == (from, to))
}

/// The set that a joiner asks to have acknowledged.
fn shown(world: &World, joiner: usize) -> Option<GroupRow> {
    let router = world.router(joiner)?;
    (!router.notes.is_active()).then(|| router.notes.group().clone())
}

fn take_over(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    for (from, to, handover) in &world.handovers {
        if *to != at {
            continue;
        }
        let mut handover = handover.clone();
        if cx.has(Fault::EmptyHandover) {
            handover.entries.clear();
        }
        let mut taken = false;
        let mut next = world.with(at, |router| {
            taken = router.notes.take_over(&handover) || cx.has(Fault::LeavingSuccessor);
            if taken && !router.notes.is_active() {
                router.acker = Some(*from);
            }
        });
        let left = matches!(&next.lives[*from], Life::Up(router) if router.leaving);
        if let (Life::Up(router), true) = (&mut next.lives[*from], left && taken) {
            Arc::make_mut(router).heir = Some(at);
        }
        if next != *world {
            all.push((Step::TakeOver(at, *from), next));
        }
    }
}

fn activate(world: &World, at: usize, router: &Router, cx: Cx, all: &mut Successors) {
    if router.notes.is_active() || world.table.sealed[at] || router.leaving {
        return;
    }
    let row = &world.table.group.row;
    let acker = router.acker.map(|acker| &NAMES[acker]);
    let taken = cx.has(Fault::SealedAcknowledger) && acker.is_some();
    let decided = match row.activate(&NAMES[at], acker) {
        Err(_) if cx.has(Fault::UnacknowledgedJoin) || taken => {
            let mut row = row.clone();
            row.members
                .iter_mut()
                .for_each(|member| member.active = true);
            row
        }
        Err(_) => return,
        Ok(row) => row,
    };
    let mut next = world.with(at, |router| router.notes.update_group(&decided));
    next.table.regroup(decided);
    all.push((Step::Activate(at), next));
}

/// Seals a member, in the gaps in which a sealer may be stopped.
fn seal(world: &World, at: usize, router: &Router, cx: Cx, all: &mut Successors) {
    let row = &world.table.group.row;
    if router.notes.is_scanning() {
        let claim = world.table.claim.row.clone();
        let claims = claim.map(|claim| (REQUEST.clone(), claim));
        let claims = claims.filter(|_| !cx.has(Fault::SkippedScan));
        let next = world.with(at, |router| router.notes.complete_scan(row, claims, *NOW));
        if next != *world {
            all.push((Step::Scan(at), next));
        }
    }
    if !cx.bounds.sealers.contains(&at) {
        return;
    }
    for dead in (0..LIVES).filter(|dead| *dead != at) {
        let sealing = world.with(at, |router| router.notes.begin_sealing(&NAMES[dead]));
        let begun = sealing == *world;
        let Ok(sealed) = row.seal(&NAMES[at], &NAMES[dead], None) else {
            continue;
        };
        if !begun && world.left.seals > 0 && !router.notes.is_scanning() {
            let mut next = sealing;
            next.left.seals -= 1;
            all.push((Step::Sealing(at, dead), next));
        } else if begun && !world.table.sealed[at] {
            let mut next = world.clone();
            next.table.sealed[dead] = true;
            next.table.regroup(sealed);
            all.push((Step::Seal(at, dead), next));
        }
    }
}

/// A planned stop: notes go to the table and to an heir, then the member leaves.
fn leave(world: &World, at: usize, router: &Router, cx: Cx, all: &mut Successors) {
    let free = matches!(router.job, Job::Idle | Job::Done);
    let may = cx.bounds.leavers.contains(&at) && router.notes.is_active();
    if !router.leaving && free && may {
        let next = world.with(at, |router| {
            router.leaving = true;
            router.notes.mark_ended();
        });
        all.push((Step::Leaving(at), next));
    }
    let mut open = router.notes.unpersisted();
    let foreign = open.any(|(_, attempt)| attempt.claimant != NAMES[at]);
    if !router.leaving || foreign || world.table.sealed[at] {
        return;
    }
    if router.heir.is_none() {
        let may = |heir: &usize| cx.bounds.any_successor || *heir == at + 1;
        let open = |heir: &usize| *heir != at && !handed(world, at, *heir);
        for heir in (0..LIVES).filter(|heir| may(heir) && open(heir)) {
            let mut next = world.clone();
            next.handovers.push((at, heir, router.notes.hand_over()));
            all.push((Step::Acknowledge(at, heir), next));
        }
    }
    let heir = router.heir.map(|heir| &NAMES[heir]);
    if let Ok(row) = world.table.group.row.leave(&NAMES[at], heir) {
        let mut next = world.clone();
        next.table.sealed[at] = true;
        next.table.regroup(row);
        all.push((Step::Leave(at), next));
    }
}
