//! Model of configuration changes: concurrent operators, and routers that apply
//! new generations.
//!
//! Each operator changes the configuration once, by a conditional write whose
//! answer may be lost and which may take effect late. Routers read the table,
//! whose answer may arrive late, and at any later time learn of generations from
//! one another. A router loses its memory when it restarts.

use poplar_core::generation::{Follower, Replace, Source, replace};

use crate::explore::{Exploration, explore};

/// Number of operators, and of hosts with a router.
const PROCESS_COUNT: usize = 2;

/// A fault seeded into the model. The search must find a state in which it
/// violates an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A restarted router serves with a generation that it knows only from a peer.
    ServeUnconfirmed,
    /// A router applies any generation that it receives, also an older one.
    ApplyOlder,
    /// An operator's write does not check the generation that was read.
    UncheckedWrite,
    /// A write whose answer was lost is assumed to have taken effect.
    AssumeCommitted,
}

/// Limits of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Commits that lose their answer.
    pub lost_answers: u8,
    /// Restarts of routers.
    pub restarts: u8,
}

/// State of an operator, with the generation that it read or wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Operator {
    /// Has not read the table.
    Idle,
    /// Is to write on the generation that it read.
    Ready(u64),
    /// Got no answer to its write on this generation.
    AnswerLost(u64),
    /// Reports that its change is in the table as this generation.
    Applied(u64),
    /// Reports that another change came first.
    Conflict,
}

/// The memory of a router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Router {
    follower: Follower,
    /// Generation in the answer of the table that is to arrive.
    pending_read: Option<u64>,
    /// Whether the router serves requests.
    serving: bool,
}

/// A state of the whole model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    /// The operator that wrote each generation, from the second on. The first one
    /// exists in the first state.
    writers: Vec<usize>,
    operators: [Operator; PROCESS_COUNT],
    routers: [Router; PROCESS_COUNT],
    /// The newest generation that a router of each host has served with.
    highest_served: [u64; PROCESS_COUNT],
    /// Whether a router has announced each generation to the others.
    announced: [bool; PROCESS_COUNT + 2],
    /// Delayed writes: the operator and the generation that the write relies on.
    delayed: Vec<(usize, u64)>,
    /// Answers that may still be lost.
    lost_answers: u8,
    /// Restarts that may still occur.
    restarts: u8,
    /// Whether a router has served with an older generation than before.
    reverted: bool,
    /// Whether a write replaced an existing generation.
    overwritten: bool,
}

impl World {
    fn new(bounds: Bounds) -> Self {
        Self {
            writers: Vec::new(),
            operators: [Operator::Idle; PROCESS_COUNT],
            routers: [Router::default(); PROCESS_COUNT],
            highest_served: [0; PROCESS_COUNT],
            announced: [false; PROCESS_COUNT + 2],
            delayed: Vec::new(),
            lost_answers: bounds.lost_answers,
            restarts: bounds.restarts,
            reverted: false,
            overwritten: false,
        }
    }

    /// The generation that the table has.
    fn generation(&self) -> u64 {
        self.writers.len() as u64 + 1
    }

    /// Applies an operator's write on generation `base`; returns whether it took
    /// effect.
    fn write(&mut self, operator: usize, base: u64, fault: Option<Fault>) -> bool {
        let matches = base == self.generation();
        if matches {
            self.writers.push(operator);
        } else if fault == Some(Fault::UncheckedWrite) {
            self.writers[base as usize - 1] = operator;
            self.overwritten = true;
            return true;
        }
        matches
    }
}

/// A step of the model. Traces print the variant names.
///
/// The first number is the operator or router that acts unless stated otherwise.
#[derive(Debug, Clone, Copy)]
#[expect(
    dead_code,
    reason = "The fields are read by Debug in traces of violated invariants."
)]
enum Step {
    /// An operator reads the table.
    OperatorReads(usize),
    /// An operator writes its change and receives the answer.
    OperatorWrites(usize),
    /// An operator's write is processed, but its answer is lost.
    AnswerLost(usize),
    /// An operator's write may take effect later; there is no answer.
    Delayed(usize),
    /// A delayed write arrives; the number is its place among these.
    Lands(usize),
    /// A router sends a read to the table.
    Asks(usize),
    /// A router receives the answer to its read.
    Reads(usize),
    /// A router receives a generation from another router.
    Hears(usize, u64),
    /// A router announces its generation to the others.
    Tells(usize),
    /// A router starts to serve.
    Serves(usize),
    /// A router restarts.
    Restarts(usize),
}

/// Every step that is possible in `world`, with the state after it.
fn next(world: &World, fault: Option<Fault>) -> Vec<(Step, World)> {
    let mut successors = Vec::new();
    for index in 0..PROCESS_COUNT {
        operator_steps(world, index, fault, &mut successors);
        router_steps(world, index, fault, &mut successors);
    }
    for index in 0..world.delayed.len() {
        let mut next = world.clone();
        let (operator, base) = next.delayed.remove(index);
        next.write(operator, base, fault);
        successors.push((Step::Lands(index), next));
    }
    successors
}

/// Steps of an operator.
fn operator_steps(
    world: &World,
    index: usize,
    fault: Option<Fault>,
    successors: &mut Vec<(Step, World)>,
) {
    let mut next = world.clone();
    match world.operators[index] {
        Operator::Idle => next.operators[index] = Operator::Ready(world.generation()),
        Operator::Ready(base) => return write(world, index, base, fault, successors),
        Operator::AnswerLost(base) => next.operators[index] = conclude(world, index, base),
        Operator::Applied(_) | Operator::Conflict => return,
    }
    successors.push((Step::OperatorReads(index), next));
}

/// State of an operator that reads the table after its write.
fn conclude(world: &World, index: usize, base: u64) -> Operator {
    let same = world.writers.last() == Some(&index);
    match replace(base, world.generation(), same) {
        Replace::Write(_) => Operator::Ready(base),
        Replace::Applied => Operator::Applied(base + 1),
        Replace::Conflict => Operator::Conflict,
    }
}

/// Writes the change of an operator, with each possible outcome.
fn write(
    world: &World,
    index: usize,
    base: u64,
    fault: Option<Fault>,
    successors: &mut Vec<(Step, World)>,
) {
    let mut next = world.clone();
    next.operators[index] = if next.write(index, base, fault) {
        Operator::Applied(base + 1)
    } else {
        conclude(world, index, base)
    };
    successors.push((Step::OperatorWrites(index), next));
    if world.lost_answers == 0 {
        return;
    }
    let mut lost = world.clone();
    lost.lost_answers -= 1;
    lost.operators[index] = match fault {
        Some(Fault::AssumeCommitted) => Operator::Applied(base + 1),
        _ => Operator::AnswerLost(base),
    };
    let mut late = lost.clone();
    late.delayed.push((index, base));
    successors.push((Step::Delayed(index), late));
    lost.write(index, base, fault);
    successors.push((Step::AnswerLost(index), lost));
}

/// Steps of a router.
fn router_steps(
    world: &World,
    index: usize,
    fault: Option<Fault>,
    successors: &mut Vec<(Step, World)>,
) {
    let router = world.routers[index];
    let mut reads = world.clone();
    reads.routers[index].pending_read = Some(world.generation());
    successors.push((Step::Asks(index), reads));
    if let Some(generation) = router.pending_read {
        let mut next = world.clone();
        next.routers[index].pending_read = None;
        learn(&mut next, index, generation, Source::Table, fault);
        successors.push((Step::Reads(index), next));
    }
    for generation in 1..=world.generation() {
        if world.announced[generation as usize] {
            let mut next = world.clone();
            learn(&mut next, index, generation, Source::Peer, fault);
            successors.push((Step::Hears(index, generation), next));
        }
    }
    let mut announces = world.clone();
    announces.announced[router.follower.generation() as usize] = true;
    successors.push((Step::Tells(index), announces));
    let unconfirmed = fault == Some(Fault::ServeUnconfirmed) && router.follower.generation() > 0;
    if router.follower.may_serve() || unconfirmed {
        let mut next = world.clone();
        next.routers[index].serving = true;
        record_served(&mut next, index);
        successors.push((Step::Serves(index), next));
    }
    if world.restarts > 0 {
        let mut next = world.clone();
        next.restarts -= 1;
        next.routers[index] = Router::default();
        successors.push((Step::Restarts(index), next));
    }
}

/// Passes a generation to a router.
fn learn(world: &mut World, index: usize, generation: u64, from: Source, fault: Option<Fault>) {
    let follower = &mut world.routers[index].follower;
    if fault == Some(Fault::ApplyOlder) {
        *follower = Follower::default();
        follower.learn(0, Source::Table);
    }
    follower.learn(generation, from);
    if world.routers[index].serving {
        record_served(world, index);
    }
}

/// Records that a router serves with its generation.
fn record_served(world: &mut World, index: usize) {
    let generation = world.routers[index].follower.generation();
    world.reverted |= generation < world.highest_served[index];
    world.highest_served[index] = world.highest_served[index].max(generation);
}

/// Text of the first invariant that `world` violates.
fn violated(world: &World) -> Option<&'static str> {
    if world.reverted {
        return Some("no router goes back to an older generation");
    }
    if world.overwritten {
        return Some("a generation is never overwritten");
    }
    let lost_change = (0..PROCESS_COUNT).any(|index| match world.operators[index] {
        Operator::Applied(generation) => world.writers.get(generation as usize - 2) != Some(&index),
        _ => false,
    });
    lost_change.then_some("a change reported as applied is in the table")
}

/// Explores the model within `bounds`, with `fault` seeded if there is one.
pub fn run(bounds: Bounds, fault: Option<Fault>) -> Exploration {
    explore(World::new(bounds), |world| next(world, fault), violated)
}

/// The bounds that are explored, each with a name for its scope.
pub fn suite() -> Vec<(&'static str, Bounds)> {
    let bounds = Bounds {
        lost_answers: 1,
        restarts: 1,
    };
    vec![("race and restart", bounds)]
}
