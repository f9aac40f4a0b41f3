//! Model of claims, by which a request runs at most once.
//!
//! The model has up to four routers. Two or three are members of the group in the
//! first state and one more may join, which also represents the restart of a
//! crashed router. The claimants receive the same request. Each may claim by the
//! table or by promises at any time, so the search covers a table that is
//! unreachable for any of them for any period. A message or answer that was sent
//! once may arrive at any later time, any number of times, or never. A crash needs
//! no step of its own: it is a pause that never ends, since no other router
//! answers for the lost memory.

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
const INCARNATIONS: usize = 4;

/// Names of the incarnations.
static NAMES: LazyLock<[Incarnation; INCARNATIONS]> =
    LazyLock::new(|| ["a", "b", "c", "d"].map(|name| Incarnation(name.into())));

/// Identifier of the request.
static REQUEST: LazyLock<RequestId> = LazyLock::new(|| RequestId("k".into()));

/// The time of all steps; nothing in the model depends on it.
static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// A fault seeded into the model. The search must find a state in which it
/// violates an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A claim is won although one promise is missing.
    MissingPromise,
    /// A joiner becomes active without an acknowledgement.
    UnacknowledgedJoin,
    /// The acknowledgement of a sealed member is accepted.
    SealedAcknowledger,
    /// A member that acknowledged a group still promises to requests of an older
    /// epoch.
    OldEpochPromise,
    /// A joiner does not take over the entries of its acknowledger.
    EmptyHandover,
    /// A claim in the table is taken over after a timeout.
    TakeoverOnTimeout,
    /// A claim in the table does not check that the claimant is unsealed.
    UncheckedClaim,
    /// A sealer does not read the claims of the sealed member.
    SkippedScan,
    /// A router claims in the table without a registry entry of its own.
    UnregisteredClaim,
    /// A promise is accepted for a later request of the same attempt.
    StalePromise,
    /// A member writes a claim on behalf of a claimant that is sealed.
    ClaimForSealed,
    /// A leaver takes over entries after it handed over its own.
    LeavingSuccessor,
    /// An entry is dropped although its claimant was sealed when the table got its
    /// row.
    DroppedEntry,
    /// A promise is dropped after a timeout.
    ExpiredPromise,
    /// An insertion whose answer was lost is assumed to have taken effect.
    AssumeCommitted,
    /// An attempt is abandoned after its dispatch.
    AbandonAfterDispatch,
}

/// Limits of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Members in the first state.
    pub members: usize,
    /// Routers that may join later.
    pub joins: usize,
    /// Routers that receive the request.
    pub claimants: &'static [usize],
    /// Attempts of all routers.
    pub attempts: u8,
    /// Commits without an answer that may take effect later or never.
    pub delayed_commits: u8,
    /// Members that are sealed.
    pub seals: u8,
    /// Members that may stop as planned.
    pub leavers: &'static [usize],
    /// Whether any member may be a leaver's successor, or only the next one.
    pub any_successor: bool,
    /// Members that may seal others.
    pub sealers: &'static [usize],
    /// Whether routers record in the table that an attempt ran.
    pub record_outcomes: bool,
    /// Whether members write entries of other claimants to the table.
    pub persist_entries: bool,
    /// Whether attempts may be abandoned.
    pub may_abandon: bool,
}

/// Progress of a router with the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Job {
    /// No attempt is open.
    Idle,
    /// The attempt is in the registry; no claim was begun.
    Registered(Attempt),
    /// The row of the claim is to be inserted.
    Inserting(Attempt, Versioned<ClaimRow>),
    /// The other members were asked for promises.
    AwaitingPromises(Attempt, PromiseRound),
    /// The attempt won the claim and ran.
    Dispatched(Attempt),
    /// The table shows that the attempt ran.
    Recorded,
}

/// The memory of a router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Router {
    registry: Registry,
    job: Job,
    /// The member that acknowledged this joiner.
    acknowledger: Option<usize>,
    /// The member that has taken over this leaver's entries.
    successor: Option<usize>,
    /// Whether a planned stop has begun.
    leaving: bool,
}

/// State of an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Process {
    NotStarted,
    Running(Arc<Router>),
}

/// Remaining steps of each bounded kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Left {
    attempts: u8,
    delayed_commits: u8,
    seals: u8,
}

/// A state of the whole model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    table: Table,
    processes: [Process; INCARNATIONS],
    /// Promise requests that were sent, with their recipients.
    promise_requests: Vec<(PromiseRequest, Vec<Incarnation>)>,
    /// Promises that were granted, with the members that granted them.
    promises: Vec<(usize, PromiseRequest)>,
    /// Handovers that were sent: sender, receiver and content.
    handovers: Vec<(usize, usize, Handover)>,
    delayed: Vec<Delayed>,
    /// Abandoned attempts; their callers were told that they did not run.
    abandoned: Vec<Attempt>,
    /// Attempts that the backend server ran.
    executed: Vec<Attempt>,
    left: Left,
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

impl Router {
    fn new(index: usize) -> Self {
        let limits = Limits {
            max_entries: 8,
            retention: Duration::from_secs(3600),
        };
        Self {
            registry: Registry::new(NAMES[index].clone(), limits),
            job: Job::Idle,
            acknowledger: None,
            successor: None,
            leaving: false,
        }
    }
}

impl World {
    fn new(bounds: Bounds) -> Self {
        let table = Table::new(bounds.members);
        let process = |index| {
            if index >= bounds.members {
                return Process::NotStarted;
            }
            let mut router = Router::new(index);
            router.registry.update_group(&table.group.row);
            Process::Running(Arc::new(router))
        };
        Self {
            processes: std::array::from_fn(process),
            table,
            promise_requests: Vec::new(),
            promises: Vec::new(),
            handovers: Vec::new(),
            delayed: Vec::new(),
            abandoned: Vec::new(),
            executed: Vec::new(),
            left: Left {
                attempts: bounds.attempts,
                delayed_commits: bounds.delayed_commits,
                seals: bounds.seals,
            },
        }
    }

    fn router(&self, index: usize) -> Option<&Router> {
        match &self.processes[index] {
            Process::Running(router) => Some(router),
            Process::NotStarted => None,
        }
    }

    /// A copy of the state in which `change` was applied to a running router.
    fn with_router(&self, index: usize, change: impl FnOnce(&mut Router)) -> Self {
        let mut next = self.clone();
        if let Process::Running(router) = &mut next.processes[index] {
            change(Arc::make_mut(router));
        }
        next
    }
}

/// Explores the model within `bounds`, with `fault` seeded if there is one.
pub fn run(bounds: Bounds, fault: Option<Fault>) -> Exploration {
    let cx = Context { bounds, fault };
    explore(
        World::new(bounds),
        |world| step::next(world, cx),
        |world| check::violated(world, cx),
    )
}

/// The bounds that are explored, each with a name for its scope.
pub fn suite() -> Vec<(&'static str, Bounds)> {
    let base = Bounds {
        members: 3,
        joins: 0,
        claimants: &[0, 1],
        attempts: 2,
        delayed_commits: 0,
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
                delayed_commits: 2,
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

/// Wider bounds, whose exploration takes minutes and gigabytes of memory.
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
