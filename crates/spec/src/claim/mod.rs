//! Claims: a call that may run at most once.
//!
//! Three routers are members of the group and a fourth may join, which also
//! stands for the restart of one that crashed. All are asked for the same
//! request. Each may at any time go by the table or by promises, so that the
//! search covers a table that is out of reach of any of them for any time. What
//! was sent or answered once may arrive at any later time, any number of times,
//! or never. A crash needs no step of its own: it is a pause that never ends,
//! since nobody answers for what a router remembers.

mod check;
mod step;
mod table;

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use poplar_core::budget::rows::Versioned;
use poplar_core::claim::Attempt;
use poplar_core::claim::promise::PromiseRound;
use poplar_core::claim::registry::{Handover, Limits, PromiseRequest, Registry};
use poplar_core::claim::table::ClaimRow;
use poplar_core::id::{Incarnation, RequestId};

use crate::explore::{Exploration, explore};
use table::{Delayed, Table};

/// Incarnations in the model.
const LIVES: usize = 4;

/// Names of the incarnations.
static NAMES: LazyLock<[Incarnation; LIVES]> =
    LazyLock::new(|| ["a", "b", "c", "d"].map(|name| Incarnation(name.into())));

/// The request.
static REQUEST: LazyLock<RequestId> = LazyLock::new(|| RequestId("k".into()));

/// The time; nothing in the model depends on it.
static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// A fault put into the model, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A claim is won by the promises of all members but one.
    MissingPromise,
    /// A joiner is active without an acknowledgement.
    UnacknowledgedJoin,
    /// A sealed member's acknowledgement counts.
    SealedAcknowledger,
    /// A member that acknowledged a set goes on to promise to older ones.
    OldEpochPromise,
    /// A joiner does not take over the notes.
    EmptyHandover,
    /// A claim in the table is taken over after a timeout.
    TakeoverOnTimeout,
    /// A claim in the table does not check the claimant's own row.
    UncheckedClaim,
    /// A sealer does not read the claims of the sealed.
    SkippedScan,
    /// A router claims in the table without a note of its own.
    UnregisteredClaim,
    /// A promise counts for a later ask of the same attempt.
    StalePromise,
    /// A note's holder writes a claim for a claimant that is sealed.
    ClaimForSealed,
    /// A leaver takes over notes after it handed on its own.
    LeavingSuccessor,
    /// A note is dropped though the claimant was sealed when its row came.
    DroppedEntry,
    /// A promise is dropped after a timeout.
    ExpiredPromise,
    /// A lost answer of an insertion is taken for success.
    AssumeCommitted,
    /// An attempt is given up after its dispatch.
    AbandonAfterDispatch,
}

/// How much of everything the search goes through.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Members at the start.
    pub members: usize,
    /// How many more may join.
    pub joins: usize,
    /// Who is asked to run the request.
    pub claimants: &'static [usize],
    /// Attempts in all.
    pub attempts: u8,
    /// Commits that lose their answer.
    pub lost_answers: u8,
    /// Seals.
    pub seals: u8,
    /// Members that may stop as planned.
    pub leavers: &'static [usize],
    /// Whether any member may be a leaver's heir, or the next one only.
    pub any_successor: bool,
    /// Who may seal.
    pub sealers: &'static [usize],
    /// Whether outcomes are brought into the table.
    pub record_outcomes: bool,
    /// Whether notes of others are brought into the table.
    pub persist_entries: bool,
    /// Whether attempts may be given up.
    pub may_abandon: bool,
}

/// What a router does about the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Job {
    Idle,
    Noted(Attempt),
    Writing(Attempt, Versioned<ClaimRow>),
    Asking(Attempt, PromiseRound),
    Ran(Attempt),
    Done,
}

/// A router's memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Router {
    notes: Registry,
    job: Job,
    /// Who acknowledged this joiner.
    acker: Option<usize>,
    /// Who has taken over this leaver's notes.
    heir: Option<usize>,
    leaving: bool,
}

/// An incarnation's life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Life {
    Unborn,
    Up(Arc<Router>),
}

/// What is left of the bounded steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Left {
    attempts: u8,
    lost_answers: u8,
    seals: u8,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    table: Table,
    lives: [Life; LIVES],
    /// Asks on their way, with whom they were sent to.
    asks: Vec<(PromiseRequest, Vec<Incarnation>)>,
    /// Promises given, by member.
    given: Vec<(usize, PromiseRequest)>,
    /// Handovers on their way: from, to, what.
    handovers: Vec<(usize, usize, Handover)>,
    delayed: Vec<Delayed>,
    /// Attempts given up; their callers were told that they did not run.
    given_up: Vec<Attempt>,
    /// Attempts that the backend server ran.
    ran: Vec<Attempt>,
    left: Left,
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

impl Router {
    fn new(at: usize) -> Self {
        let limits = Limits {
            max_entries: 8,
            retention: Duration::from_secs(3600),
        };
        Self {
            notes: Registry::new(NAMES[at].clone(), limits),
            job: Job::Idle,
            acker: None,
            heir: None,
            leaving: false,
        }
    }
}

impl World {
    fn new(bounds: Bounds) -> Self {
        let table = Table::new(bounds.members);
        let life = |at| {
            if at >= bounds.members {
                return Life::Unborn;
            }
            let mut router = Router::new(at);
            router.notes.update_group(&table.group.row);
            Life::Up(Arc::new(router))
        };
        Self {
            lives: std::array::from_fn(life),
            table,
            asks: Vec::new(),
            given: Vec::new(),
            handovers: Vec::new(),
            delayed: Vec::new(),
            given_up: Vec::new(),
            ran: Vec::new(),
            left: Left {
                attempts: bounds.attempts,
                lost_answers: bounds.lost_answers,
                seals: bounds.seals,
            },
        }
    }

    fn router(&self, at: usize) -> Option<&Router> {
        match &self.lives[at] {
            Life::Up(router) => Some(router),
            Life::Unborn => None,
        }
    }

    /// A copy in which a router's memory may be changed.
    fn with(&self, at: usize, change: impl FnOnce(&mut Router)) -> Self {
        let mut next = self.clone();
        if let Life::Up(router) = &mut next.lives[at] {
            change(Arc::make_mut(router));
        }
        next
    }
}

/// Explores claims within `bounds`, with a fault where one is given.
pub fn run(bounds: Bounds, fault: Option<Fault>) -> Exploration {
    let cx = Cx { bounds, fault };
    explore(
        World::new(bounds),
        |world| step::next(world, cx),
        |world| check::broken(world, cx),
    )
}

/// The bounds that are explored, by what they look into.
pub fn suite() -> Vec<(&'static str, Bounds)> {
    let base = Bounds {
        members: 3,
        joins: 0,
        claimants: &[0, 1],
        attempts: 2,
        lost_answers: 0,
        seals: 0,
        leavers: &[],
        any_successor: true,
        sealers: &[0, 1, 2, 3],
        record_outcomes: false,
        persist_entries: false,
        may_abandon: true,
    };
    vec![
        (
            "calm",
            Bounds {
                claimants: &[0],
                attempts: 1,
                may_abandon: false,
                ..base
            },
        ),
        (
            "lost answers",
            Bounds {
                attempts: 3,
                lost_answers: 2,
                record_outcomes: true,
                persist_entries: true,
                ..base
            },
        ),
        (
            "seal",
            Bounds {
                claimants: &[0, 2],
                seals: 2,
                ..base
            },
        ),
        (
            "seal and flush",
            Bounds {
                claimants: &[0, 2],
                seals: 2,
                persist_entries: true,
                ..base
            },
        ),
        (
            "join",
            Bounds {
                members: 2,
                joins: 1,
                claimants: &[0, 2],
                ..base
            },
        ),
        (
            "join and seal",
            Bounds {
                members: 2,
                joins: 1,
                claimants: &[1, 2],
                seals: 1,
                sealers: &[1],
                ..base
            },
        ),
        (
            "leave",
            Bounds {
                claimants: &[0, 2],
                leavers: &[0],
                record_outcomes: true,
                persist_entries: true,
                ..base
            },
        ),
        (
            "two leave",
            Bounds {
                claimants: &[0, 2],
                leavers: &[0, 1],
                any_successor: false,
                record_outcomes: true,
                persist_entries: true,
                ..base
            },
        ),
    ]
}

/// Wider bounds, which take minutes and gigabytes.
pub fn wide_suite() -> Vec<(&'static str, Bounds)> {
    let all = suite().into_iter();
    let widened = all.filter_map(|(name, bounds)| match name {
        "seal and flush" => {
            let bounds = Bounds {
                record_outcomes: true,
                ..bounds
            };
            Some((name, bounds))
        }
        "join and seal" => {
            let bounds = Bounds {
                claimants: &[0, 1, 2],
                sealers: &[0, 1, 2],
                ..bounds
            };
            Some((name, bounds))
        }
        "two leave" => {
            let bounds = Bounds {
                any_successor: true,
                persist_entries: true,
                ..bounds
            };
            Some((name, bounds))
        }
        _ => None,
    });
    widened.collect()
}
