//! Model of budgets: draw, spend, transfer, seal, release, return and top-up.
//!
//! Three incarnations share one budget. The third may start at any time, so it
//! represents both a third router and a restart of one that crashed. Every
//! request costs at most two tokens. Within the bounds, any commit may lose its
//! answer, take effect late or not at all; any message may arrive late, twice or
//! never; routers may crash, and may be sealed while they run or afterwards.

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
const INCARNATIONS: usize = 3;

/// Most tokens that a request may use.
const WORST_CASE_TOKENS: u64 = 2;

/// The budget's name.
static BUDGET: LazyLock<Name> = LazyLock::new(|| "b".into());

/// Names of the incarnations.
static NAMES: LazyLock<[Incarnation; INCARNATIONS]> =
    LazyLock::new(|| ["a", "b", "c"].map(|name| Incarnation(name.into())));

/// A fault seeded into the model. The search must find a state in which it
/// violates an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// After a lost answer, a new draw is begun without reading the rows.
    RetryWithoutRead,
    /// A commit whose answer was lost is assumed to have taken effect.
    AssumeCommitted,
    /// A draw does not check the versions of the rows.
    UncheckedDraw,
    /// A receiver credits a transfer each time the message arrives.
    DuplicateCredit,
    /// A donor does not take the transferred tokens out of its ledger.
    TransferNotDebited,
    /// A donor answers a resent request with a second transfer.
    RepeatedTransfer,
    /// A grant is released without proof that its holder no longer runs.
    ReleaseWithoutProof,
    /// The ledger does not enforce the exposure limit.
    ExposureNotEnforced,
    /// A smaller exposure is declared before the ledger enforces it.
    ExposureDeclaredEarly,
    /// A bill write does not check the version of the router's own row, so a
    /// sealed router can still bill.
    UncheckedBill,
    /// Bills are written again without reading which of them the table has.
    RebillWithoutRead,
    /// A late bill does not check whether the request was billed before.
    LateBillUnchecked,
    /// A grant is closed while a transfer is not recorded.
    CloseUnsettled,
    /// A resent top-up is applied again.
    DuplicateTopUp,
}

/// Limits of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Incarnations that run in the first state.
    pub routers: usize,
    /// Whether the other incarnations may start later.
    pub restart: bool,
    /// Prepaid tokens in the first state.
    pub limit: u64,
    /// Tokens of the top-up; there is only one.
    pub topup_tokens: u64,
    /// How often the top-up is sent.
    pub topup_sends: u8,
    /// Tokens that a draw asks for.
    pub draw_tokens: u64,
    /// Draws of all routers.
    pub draws: u8,
    /// Exposures that a draw may declare.
    pub exposures: &'static [Option<u64>],
    /// Requests of all routers.
    pub requests: usize,
    /// Commits that lose their answer.
    pub lost_answers: u8,
    /// Transfer requests of all routers.
    pub transfer_requests: u8,
    /// Messages that are delivered twice.
    pub duplicates: u8,
    /// Crashes.
    pub crashes: u8,
    /// Incarnations that are sealed.
    pub seals: u8,
    /// Whether routers may stop as planned.
    pub planned_stops: bool,
}

/// Remaining steps of each bounded kind.
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
struct Context {
    bounds: Bounds,
    fault: Option<Fault>,
}

impl Context {
    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

/// State of a request, with the incarnation that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Request {
    /// Not started.
    Fresh,
    /// Dispatched, with the worst case reserved.
    Running(usize),
    /// Ended, with the tokens that it used.
    Settled(usize, u64),
    /// Written off: its use is unknown.
    Lost(usize),
}

/// Progress of a router's change of its grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ChangeState {
    /// To be committed.
    Ready,
    /// Committed without an answer; the rows are to be read.
    AnswerLost,
}

/// The memory of a router.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Router {
    ledger: Ledger,
    donor: Donor,
    receiver: Receiver,
    change: Option<(Change, ChangeState)>,
    /// Requests in a bill write whose answer was lost, as a bit mask.
    unconfirmed: Option<u8>,
    /// Requests whose bills the router knows to be durable, as a bit mask.
    durable: u8,
    /// Whether a planned stop has begun.
    closing: bool,
}

/// State of an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Process {
    NotStarted,
    Running(Arc<Router>),
    Crashed,
}

/// A message between routers, with the incarnation that it is sent to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Request(usize, TransferRequest),
    Transfer(usize, Transfer),
}

/// A state of the whole model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    table: Table,
    processes: [Process; INCARNATIONS],
    requests: Vec<Request>,
    messages: Vec<Message>,
    delayed: Vec<Delayed>,
    left: Left,
    /// Whether a crash or a seal occurred, after which tokens may be stranded.
    risked_tokens: bool,
}

impl World {
    fn new(bounds: Bounds) -> Self {
        let process = |index| {
            if index < bounds.routers {
                Process::Running(Arc::default())
            } else {
                Process::NotStarted
            }
        };
        Self {
            table: Table::new(bounds.limit, bounds.requests),
            processes: std::array::from_fn(process),
            requests: vec![Request::Fresh; bounds.requests],
            messages: Vec::new(),
            delayed: Vec::new(),
            left: Left::new(&bounds),
            risked_tokens: false,
        }
    }

    fn router(&mut self, index: usize) -> Option<&mut Router> {
        match &mut self.processes[index] {
            Process::Running(router) => Some(Arc::make_mut(router)),
            Process::NotStarted | Process::Crashed => None,
        }
    }

    /// The routers that run.
    fn routers(&self) -> impl Iterator<Item = (usize, &Router)> {
        let all = self.processes.iter().enumerate();
        all.filter_map(|(index, process)| match process {
            Process::Running(router) => Some((index, &**router)),
            Process::NotStarted | Process::Crashed => None,
        })
    }
}

/// Explores the model within `bounds`, with `fault` seeded if there is one.
pub fn run(bounds: Bounds, fault: Option<Fault>) -> Exploration {
    let cx = Context { bounds, fault };
    let violated = |world: &World| check::violations(world, bounds).next();
    explore(World::new(bounds), |world| step::next(world, cx), violated)
}

/// Searches for a state that violates the given invariant and ignores others.
pub fn run_for_invariant(bounds: Bounds, fault: Fault, invariant: &str) -> Exploration {
    let cx = Context {
        bounds,
        fault: Some(fault),
    };
    let violated = |world: &World| {
        let mut all = check::violations(world, bounds);
        all.find(|text| *text == invariant)
    };
    explore(World::new(bounds), |world| step::next(world, cx), violated)
}

/// The bounds that are explored, each with a name for its scope.
///
/// In the names, which are printed, "gift" is a transfer and "end" is the end of
/// an incarnation by a crash or a seal.
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
