//! Steps of a holder's change of its grant.

use poplar_core::budget::change::{Applied, Change, Next, Purpose};

use super::{FATES, Fate, Step, Successors};
use crate::budget::table::Delayed;
use crate::budget::{BUDGET, Cx, Fault, Life, NAMES, Phase, Router, World};

/// Whom a gift that is to be recorded went to.
fn receiver(router: &Router) -> Option<usize> {
    let (to, _) = router.donor.next_unrecorded(&BUDGET)?;
    NAMES.iter().position(|name| name == to)
}

/// Whom the change under way records a gift to.
fn recorded_to(router: &Router, change: &Change) -> Option<usize> {
    match change.purpose() {
        Purpose::Record { .. } => receiver(router),
        Purpose::Draw { .. } | Purpose::Close => None,
    }
}

pub(super) fn steps(world: &World, at: usize, cx: Cx, all: &mut Successors) {
    let Life::Up(router) = &world.lives[at] else {
        return;
    };
    match &router.change {
        None => begin(world, router, at, cx, all),
        Some((change, Phase::Ready)) => {
            for fate in FATES {
                commit(world, at, change, fate, cx, all);
            }
        }
        Some((change, Phase::Unsure)) => read(world, at, change, cx, all),
    }
}

fn begin(world: &World, router: &Router, at: usize, cx: Cx, all: &mut Successors) {
    if world.left.draws > 0 && !router.closing {
        for exposure in cx.bounds.exposures {
            draw(world, at, *exposure, cx, all);
        }
    }
    if let Some((_, tokens)) = router.donor.next_unrecorded(&BUDGET) {
        let purpose = Purpose::Record { tokens };
        start(world.clone(), at, purpose, Step::Record(at), all);
    }
    let idle = router.ledger.clone().begin_close(&BUDGET) || cx.has(Fault::CloseUnsettled);
    if router.closing && idle {
        start(world.clone(), at, Purpose::Close, Step::Close(at), all);
    }
}

fn draw(world: &World, at: usize, bound: Option<u64>, cx: Cx, all: &mut Successors) {
    let mut next = world.clone();
    next.left.draws -= 1;
    let Some(router) = next.router(at) else {
        return;
    };
    let exposure = if cx.has(Fault::ExposureDeclaredEarly) {
        bound
    } else {
        router.ledger.declare_exposure(&BUDGET, bound)
    };
    let want = cx.bounds.draw_tokens;
    start(
        next,
        at,
        Purpose::Draw { want, exposure },
        Step::Draw(at),
        all,
    );
}

fn start(mut next: World, at: usize, purpose: Purpose, step: Step, all: &mut Successors) {
    let Life::Up(router) = &next.lives[at] else {
        return;
    };
    let view = next.table.view(at, receiver(router));
    let Ok(change) = Change::begin(purpose, &view) else {
        return;
    };
    if let Some(router) = next.router(at) {
        router.change = Some((change, Phase::Ready));
        all.push((step, next));
    }
}

fn enter(router: &mut Router, applied: Applied) {
    applied.apply_to(&mut router.ledger, &BUDGET);
    let receiver = receiver(router);
    if let (Purpose::Record { .. }, Some(to)) = (applied.purpose, receiver) {
        router
            .donor
            .mark_recorded(&BUDGET, &NAMES[to], applied.tokens);
    }
    router.change = None;
}

fn commit(world: &World, at: usize, change: &Change, fate: Fate, cx: Cx, all: &mut Successors) {
    let mut next = world.clone();
    if fate != Fate::Answered {
        if next.left.lost_answers == 0 {
            return;
        }
        next.left.lost_answers -= 1;
    }
    let table = next.table.clone();
    let Some(router) = next.router(at) else {
        return;
    };
    let to = recorded_to(router, change);
    let unchecked = cx.has(Fault::UncheckedDraw);
    let fits = unchecked || table.fits(at, to, change.writes());
    match fate {
        Fate::Answered if fits => {
            enter(router, change.on_committed());
            next.table.write(at, to, change.writes());
        }
        Fate::Answered => on_rows(router, &table.view(at, to), change),
        Fate::AnswerLost | Fate::Delayed => unsure(router, change, cx),
    }
    if fits && fate == Fate::AnswerLost {
        next.table.write(at, to, change.writes());
    }
    if fits && fate == Fate::Delayed {
        let delayed = Delayed::Change(at, to, *change.writes());
        next.delayed.push(delayed);
    }
    all.push((Step::Commit(at, fate), next));
}

fn unsure(router: &mut Router, change: &Change, cx: Cx) {
    match cx.fault {
        Some(Fault::AssumeCommitted) => enter(router, change.on_committed()),
        _ => router.change = Some((*change, Phase::Unsure)),
    }
}

fn on_rows(router: &mut Router, view: &poplar_core::budget::change::View, change: &Change) {
    let mut change = *change;
    match change.on_rows(view) {
        Ok(Next::Applied(applied)) => enter(router, applied),
        Ok(Next::Commit) => router.change = Some((change, Phase::Ready)),
        Err(_) => router.change = None,
    }
}

fn read(world: &World, at: usize, change: &Change, cx: Cx, all: &mut Successors) {
    let mut next = world.clone();
    let table = next.table.clone();
    let Some(router) = next.router(at) else {
        return;
    };
    let to = recorded_to(router, change);
    if cx.has(Fault::RetryWithoutRead) {
        router.change = None;
    } else {
        on_rows(router, &table.view(at, to), change);
    }
    all.push((Step::Read(at), next));
}

/// Delayed commits that take effect now.
pub(super) fn landings(world: &World, cx: Cx, all: &mut Successors) {
    for at in 0..world.delayed.len() {
        let mut next = world.clone();
        let delayed = next.delayed.remove(at);
        let forced = super::unchecked(&delayed, cx);
        if !forced && !next.table.may_land(&delayed) {
            continue;
        }
        match &delayed {
            Delayed::Change(of, to, writes) => next.table.write(*of, *to, writes),
            Delayed::Flush(of, flush) => {
                next.table.account(*of, flush.accounted, flush.requests);
            }
        }
        all.push((Step::Land(at), next));
    }
}
