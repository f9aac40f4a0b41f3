//! Budgets: draw, spend, gift, seal, release, return, top-up.
//!
//! Three incarnations share one budget. The third may start at any time, so it
//! stands both for a third router and for a restart of one that crashed. Every
//! request costs two tokens at most. Within the bounds any commit may
//! lose its answer, take effect late or not at all; any message may come late,
//! twice or never; routers crash, and are sealed while they run or after.

mod check;
mod step;
mod table;

use std::sync::{Arc, LazyLock};

use poplar_core::budget::change::Change;
use poplar_core::budget::ledger::Ledger;
use poplar_core::budget::transfer::{Donor, Receiver, Transfer, TransferRequest};
use poplar_core::id::{Incarnation, Name};

use crate::explore::{Exploration, explore};
use table::{Delayed, Table};

/// Incarnations in the model.
const LIVES: usize = 3;

/// Worst case of a request, in tokens.
const WORST: u64 = 2;

/// The budget's name.
static BUDGET: LazyLock<Name> = LazyLock::new(|| "b".into());

/// Names of the incarnations.
static NAMES: LazyLock<[Incarnation; LIVES]> =
    LazyLock::new(|| ["a", "b", "c"].map(|name| Incarnation(name.into())));

/// A fault put into the model, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// After a lost answer a draw is begun anew instead of read back.
    RetryWithoutRead,
    /// A lost answer is taken for success.
    AssumeCommitted,
    /// A draw does not check the versions of the rows.
    UncheckedDraw,
    /// A receiver credits a gift each time it comes.
    DuplicateCredit,
    /// A donor keeps what it gives.
    TransferNotDebited,
    /// A donor answers a repeated ask with new tokens.
    RepeatedTransfer,
    /// An incarnation's grant is released though it may still run.
    ReleaseWithoutProof,
    /// The bound on exposure is not kept.
    ExposureNotEnforced,
    /// A smaller exposure is declared before the ledger keeps to it.
    ExposureDeclaredEarly,
    /// A bill does not check its own row, so a sealed router still bills.
    UncheckedBill,
    /// A bill is begun anew without a look at what the own row shows.
    RebillWithoutRead,
    /// A late bill does not look for the mark of an earlier one.
    LateBillUnchecked,
    /// A grant is closed while something is given and not recorded.
    CloseUnsettled,
    /// A repeated top-up is made again.
    DuplicateTopUp,
}

/// How much of everything the search goes through.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Incarnations that run from the start.
    pub routers: usize,
    /// Whether one more may start later.
    pub restart: bool,
    /// Prepaid tokens at the start.
    pub limit: u64,
    /// Tokens of the one top-up.
    pub topup_tokens: u64,
    /// How often it is sent.
    pub topup_sends: u8,
    /// Tokens wanted by a draw.
    pub draw_tokens: u64,
    /// Draws in all.
    pub draws: u8,
    /// Exposures that a draw may declare.
    pub exposures: &'static [Option<u64>],
    /// Requests in all.
    pub requests: usize,
    /// Commits that lose their answer.
    pub lost_answers: u8,
    /// Asks for a gift.
    pub transfer_requests: u8,
    /// Messages that come twice.
    pub duplicates: u8,
    /// Crashes.
    pub crashes: u8,
    /// Seals.
    pub seals: u8,
    /// Whether routers may stop as planned.
    pub planned_stops: bool,
}

/// What is left of the bounded steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Left {
    topup_sends: u8,
    draws: u8,
    lost_answers: u8,
    transfer_requests: u8,
    duplicates: u8,
    crashes: u8,
    seals: u8,
}

impl Left {
    fn new(bounds: &Bounds) -> Self {
        Self {
            topup_sends: bounds.topup_sends,
            draws: bounds.draws,
            lost_answers: bounds.lost_answers,
            transfer_requests: bounds.transfer_requests,
            duplicates: bounds.duplicates,
            crashes: bounds.crashes,
            seals: bounds.seals,
        }
    }
}

/// The bounds of an exploration and the fault put into it.
#[derive(Debug, Clone, Copy)]
struct Cx {
    bounds: Bounds,
    fault: Option<Fault>,
}

impl Cx {
    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

/// A request, by the incarnation that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Request {
    Fresh,
    Running(usize),
    Settled(usize, u64),
    Lost(usize),
}

/// How a router stands to its change of the grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    Ready,
    Unsure,
}

/// A router's memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Router {
    ledger: Ledger,
    donor: Donor,
    receiver: Receiver,
    change: Option<(Change, Phase)>,
    flush: Option<u8>,
    known: u8,
    closing: bool,
}

/// An incarnation's life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Life {
    Unborn,
    Up(Arc<Router>),
    Gone,
}

/// A message between routers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Mail {
    Ask(usize, TransferRequest),
    Gift(usize, Transfer),
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    table: Table,
    lives: [Life; LIVES],
    requests: Vec<Request>,
    mail: Vec<Mail>,
    delayed: Vec<Delayed>,
    left: Left,
    /// Whether something failed that may cost tokens.
    harmed: bool,
}

impl World {
    fn new(bounds: Bounds) -> Self {
        let life = |at| {
            if at < bounds.routers {
                Life::Up(Arc::default())
            } else {
                Life::Unborn
            }
        };
        Self {
            table: Table::new(bounds.limit, bounds.requests),
            lives: std::array::from_fn(life),
            requests: vec![Request::Fresh; bounds.requests],
            mail: Vec::new(),
            delayed: Vec::new(),
            left: Left::new(&bounds),
            harmed: false,
        }
    }

    fn router(&mut self, at: usize) -> Option<&mut Router> {
        match &mut self.lives[at] {
            Life::Up(router) => Some(Arc::make_mut(router)),
            Life::Unborn | Life::Gone => None,
        }
    }

    fn routers(&self) -> impl Iterator<Item = (usize, &Router)> {
        let all = self.lives.iter().enumerate();
        all.filter_map(|(at, life)| match life {
            Life::Up(router) => Some((at, &**router)),
            Life::Unborn | Life::Gone => None,
        })
    }
}

/// Explores budgets within `bounds`, with a fault where one is given.
pub fn run(bounds: Bounds, fault: Option<Fault>) -> Exploration {
    let cx = Cx { bounds, fault };
    let broken = |world: &World| check::broken(world, bounds).next();
    explore(World::new(bounds), |world| step::next(world, cx), broken)
}

/// Looks for a state that breaks just one invariant.
pub fn run_for_invariant(bounds: Bounds, fault: Fault, invariant: &str) -> Exploration {
    let cx = Cx {
        bounds,
        fault: Some(fault),
    };
    let broken = |world: &World| {
        let mut all = check::broken(world, bounds);
        all.find(|name| *name == invariant)
    };
    explore(World::new(bounds), |world| step::next(world, cx), broken)
}

/// The bounds that are explored, by what they look into.
pub fn suite() -> Vec<(&'static str, Bounds)> {
    let base = Bounds {
        routers: 2,
        restart: false,
        limit: 4,
        topup_tokens: 0,
        topup_sends: 0,
        draw_tokens: 2,
        draws: 2,
        exposures: &[None],
        requests: 2,
        lost_answers: 0,
        transfer_requests: 0,
        duplicates: 0,
        crashes: 0,
        seals: 0,
        planned_stops: false,
    };
    vec![
        (
            "draw",
            Bounds {
                restart: true,
                limit: 3,
                topup_tokens: 2,
                topup_sends: 2,
                draws: 3,
                lost_answers: 2,
                ..base
            },
        ),
        (
            "gift",
            Bounds {
                transfer_requests: 2,
                duplicates: 1,
                lost_answers: 1,
                requests: 1,
                draws: 1,
                planned_stops: true,
                ..base
            },
        ),
        (
            "end",
            Bounds {
                restart: true,
                draw_tokens: 4,
                exposures: &[Some(2)],
                requests: 3,
                lost_answers: 2,
                crashes: 1,
                seals: 1,
                ..base
            },
        ),
        (
            "exposure",
            Bounds {
                limit: 6,
                draw_tokens: 4,
                draws: 3,
                exposures: &[Some(2), Some(4)],
                requests: 2,
                lost_answers: 1,
                crashes: 1,
                seals: 1,
                ..base
            },
        ),
        (
            "gift and end",
            Bounds {
                draw_tokens: 4,
                exposures: &[Some(2)],
                transfer_requests: 1,
                duplicates: 1,
                crashes: 1,
                seals: 1,
                requests: 3,
                ..base
            },
        ),
        (
            "chain of gifts",
            Bounds {
                routers: 3,
                draws: 1,
                requests: 1,
                transfer_requests: 3,
                ..base
            },
        ),
    ]
}
