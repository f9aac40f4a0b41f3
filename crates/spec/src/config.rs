//! Configuration: operators that race and routers that follow.
//!
//! Operators change the configuration, each once, by a conditional write whose
//! answer may be lost and which may take effect late. Routers read the table,
//! where an answer may come late, and hear of generations from one another at
//! any time after. A restart forgets everything.

use poplar_core::generation::{Follower, Replace, Source, replace};

use crate::explore::{Exploration, explore};

/// Operators, and hosts of routers.
const COUNT: usize = 2;

/// A fault put into the model, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A restarted router serves on what a peer told it.
    ServeUnconfirmed,
    /// A router applies whatever it hears.
    ApplyOlder,
    /// An operator's write does not rely on what was read.
    UncheckedWrite,
    /// A lost answer is taken for success.
    AssumeCommitted,
}

/// How much the search goes through.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Commits that lose their answer.
    pub lost_answers: u8,
    /// Restarts of routers.
    pub restarts: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Operator {
    Idle,
    Ready(u64),
    Unsure(u64),
    Applied(u64),
    Conflict,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Router {
    follower: Follower,
    /// A read's answer on its way.
    reading: Option<u64>,
    serving: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    /// Who wrote each generation from the second on; the first is given.
    history: Vec<usize>,
    operators: [Operator; COUNT],
    routers: [Router; COUNT],
    /// The newest generation that each host's router had in force.
    served: [u64; COUNT],
    /// Generations that routers have told one another.
    told: [bool; COUNT + 2],
    /// Writes on their way: whose, and on which generation.
    delayed: Vec<(usize, u64)>,
    lost_answers: u8,
    restarts: u8,
    reverted: bool,
    overwritten: bool,
}

impl World {
    fn new(bounds: Bounds) -> Self {
        Self {
            history: Vec::new(),
            operators: [Operator::Idle; COUNT],
            routers: [Router::default(); COUNT],
            served: [0; COUNT],
            told: [false; COUNT + 2],
            delayed: Vec::new(),
            lost_answers: bounds.lost_answers,
            restarts: bounds.restarts,
            reverted: false,
            overwritten: false,
        }
    }

    /// The generation in the table.
    fn generation(&self) -> u64 {
        self.history.len() as u64 + 1
    }

    fn write(&mut self, by: usize, base: u64, fault: Option<Fault>) -> bool {
        let fits = base == self.generation();
        if fits {
            self.history.push(by);
        } else if fault == Some(Fault::UncheckedWrite) {
            self.history[base as usize - 1] = by;
            self.overwritten = true;
            return true;
        }
        fits
    }
}

/// A step, named as it reads in a trace.
#[derive(Debug, Clone, Copy)]
#[expect(
    dead_code,
    reason = "The fields are read by Debug in traces of broken invariants."
)]
enum Step {
    OperatorReads(usize),
    OperatorWrites(usize),
    AnswerLost(usize),
    Delayed(usize),
    Lands(usize),
    Asks(usize),
    Reads(usize),
    Hears(usize, u64),
    Tells(usize),
    Serves(usize),
    Restarts(usize),
}

fn next(world: &World, fault: Option<Fault>) -> Vec<(Step, World)> {
    let mut all = Vec::new();
    for at in 0..COUNT {
        operate(world, at, fault, &mut all);
        follow(world, at, fault, &mut all);
    }
    for at in 0..world.delayed.len() {
        let mut next = world.clone();
        let (by, base) = next.delayed.remove(at);
        next.write(by, base, fault);
        all.push((Step::Lands(at), next));
    }
    all
}

fn operate(world: &World, at: usize, fault: Option<Fault>, all: &mut Vec<(Step, World)>) {
    let mut next = world.clone();
    match world.operators[at] {
        Operator::Idle => next.operators[at] = Operator::Ready(world.generation()),
        Operator::Ready(base) => return write(world, at, base, fault, all),
        Operator::Unsure(base) => next.operators[at] = look(world, at, base),
        Operator::Applied(_) | Operator::Conflict => return,
    }
    all.push((Step::OperatorReads(at), next));
}

/// What an operator concludes from the table as it is.
fn look(world: &World, at: usize, base: u64) -> Operator {
    let same = world.history.last() == Some(&at);
    match replace(base, world.generation(), same) {
        Replace::Write(_) => Operator::Ready(base),
        Replace::Applied => Operator::Applied(base + 1),
        Replace::Conflict => Operator::Conflict,
    }
}

fn write(world: &World, at: usize, base: u64, fault: Option<Fault>, all: &mut Vec<(Step, World)>) {
    let mut next = world.clone();
    next.operators[at] = if next.write(at, base, fault) {
        Operator::Applied(base + 1)
    } else {
        look(world, at, base)
    };
    all.push((Step::OperatorWrites(at), next));
    if world.lost_answers == 0 {
        return;
    }
    let mut lost = world.clone();
    lost.lost_answers -= 1;
    lost.operators[at] = match fault {
        Some(Fault::AssumeCommitted) => Operator::Applied(base + 1),
        _ => Operator::Unsure(base),
    };
    let mut late = lost.clone();
    late.delayed.push((at, base));
    all.push((Step::Delayed(at), late));
    lost.write(at, base, fault);
    all.push((Step::AnswerLost(at), lost));
}

fn follow(world: &World, at: usize, fault: Option<Fault>, all: &mut Vec<(Step, World)>) {
    let router = world.routers[at];
    let mut asked = world.clone();
    asked.routers[at].reading = Some(world.generation());
    all.push((Step::Asks(at), asked));
    if let Some(generation) = router.reading {
        let mut next = world.clone();
        next.routers[at].reading = None;
        learn(&mut next, at, generation, Source::Table, fault);
        all.push((Step::Reads(at), next));
    }
    for generation in 1..=world.generation() {
        if world.told[generation as usize] {
            let mut next = world.clone();
            learn(&mut next, at, generation, Source::Peer, fault);
            all.push((Step::Hears(at, generation), next));
        }
    }
    let mut tells = world.clone();
    tells.told[router.follower.generation() as usize] = true;
    all.push((Step::Tells(at), tells));
    let unread = fault == Some(Fault::ServeUnconfirmed) && router.follower.generation() > 0;
    if router.follower.may_serve() || unread {
        let mut next = world.clone();
        next.routers[at].serving = true;
        serve(&mut next, at);
        all.push((Step::Serves(at), next));
    }
    if world.restarts > 0 {
        let mut next = world.clone();
        next.restarts -= 1;
        next.routers[at] = Router::default();
        all.push((Step::Restarts(at), next));
    }
}

fn learn(world: &mut World, at: usize, generation: u64, from: Source, fault: Option<Fault>) {
    let follower = &mut world.routers[at].follower;
    if fault == Some(Fault::ApplyOlder) {
        *follower = Follower::default();
        follower.learn(0, Source::Table);
    }
    follower.learn(generation, from);
    if world.routers[at].serving {
        serve(world, at);
    }
}

/// A router has its generation in force.
fn serve(world: &mut World, at: usize) {
    let generation = world.routers[at].follower.generation();
    world.reverted |= generation < world.served[at];
    world.served[at] = world.served[at].max(generation);
}

fn broken(world: &World) -> Option<&'static str> {
    if world.reverted {
        return Some("no router goes back to an older generation");
    }
    if world.overwritten {
        return Some("a generation is never rewritten");
    }
    let unkept = (0..COUNT).any(|at| match world.operators[at] {
        Operator::Applied(of) => world.history.get(of as usize - 2) != Some(&at),
        _ => false,
    });
    unkept.then_some("a change that is said to be applied is in the table")
}

/// Explores configuration within `bounds`, with a fault where one is given.
pub fn run(bounds: Bounds, fault: Option<Fault>) -> Exploration {
    explore(World::new(bounds), |world| next(world, fault), broken)
}

/// The bounds that are explored, by what they look into.
pub fn suite() -> Vec<(&'static str, Bounds)> {
    let bounds = Bounds {
        lost_answers: 1,
        restarts: 1,
    };
    vec![("race and restart", bounds)]
}
