//! Routers that decide as the product does, with a small fake of the engines.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplar_core::admit::{Conditions, DrainRate, Targets, Verdict, admit};
use poplar_core::id::Name;
use poplar_core::queue::{Entry, Queue, priority_for_target};
use poplar_core::route::rng::SplitMix64;
use poplar_core::route::server::{Completion, InFlight, LoadReport, Server};
use poplar_core::route::{Decision, Fleet, Job, Policy, choose, estimate};

const ROUTERS: usize = 9;
const ENGINES: usize = 20;
const SLOTS: usize = 16;
const STEP: u64 = 6;
const PREFILL: u32 = 2048;
const WORKSPACES: usize = 10;
pub(crate) const LENGTH: u64 = 60_000;
/// Time between load reports, and their age, in ms.
const REPORTS: (u64, u64) = (250, 200);
const STALE_REPORTS: (u64, u64) = (1000, 500);
const MS: Duration = Duration::from_millis(1);

/// A class of work.
pub(crate) struct Class {
    /// Part of the arrivals.
    share: f64,
    /// Target until the first token, in ms.
    pub(crate) first: u64,
    /// Target until the whole answer, in ms.
    pub(crate) finish: u64,
    /// Prompt tokens.
    prompt: u32,
    /// Mean of the output tokens.
    output: u32,
}

const fn class(share: f64, first: u64, finish: u64, prompt: u32, output: u32) -> Class {
    Class {
        share,
        first,
        finish,
        prompt,
        output,
    }
}

/// Lookups, chats, plans and bulk entries.
pub(crate) const CLASSES: [Class; 4] = [
    class(0.30, 200, 500, 100, 15),
    class(0.55, 500, 3_000, 600, 120),
    class(0.10, 3_000, 20_000, 3_000, 400),
    class(0.05, 60_000, 180_000, 1_000, 800),
];

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Trouble {
    Quiet,
    Rush,
    Slow,
    Stale,
}

#[derive(Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) load: f64,
    pub(crate) trouble: Trouble,
    pub(crate) policy: Policy,
    /// Whether the router has queue, admission and limits.
    pub(crate) managed: bool,
}

pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) workspace: usize,
    priority: u8,
    router: usize,
    pub(crate) arrived: u64,
    output: u32,
    made: u32,
    work: u32,
    pub(crate) first: Option<u64>,
    pub(crate) finish: Option<u64>,
    pub(crate) refused: bool,
}

#[derive(Default)]
struct Engine {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    loads: VecDeque<(usize, usize)>,
}

struct Router {
    servers: Vec<Server>,
    queue: Queue,
    drain: DrainRate,
    expected: [f64; CLASSES.len()],
    placed: u64,
}

pub(crate) struct World {
    setup: Setup,
    start: Instant,
    time: u64,
    dice: SplitMix64,
    draws: SplitMix64,
    names: Vec<Name>,
    pub(crate) requests: Vec<Request>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
}

fn targets(class: usize) -> Targets {
    let first = Some(MS * CLASSES[class].first as u32);
    let finish = MS * CLASSES[class].finish as u32;
    Targets { first, finish }
}

fn job(class: usize, router: &Router) -> Job<'static> {
    Job {
        priority: priority_for_target(MS * CLASSES[class].first as u32),
        prompt: CLASSES[class].prompt,
        output: router.expected[class] as u32,
        repeatable: true,
        tried: &[],
    }
}

fn fleet(router: &Router, policy: Policy) -> Fleet<'_> {
    Fleet {
        servers: &router.servers,
        routers: ROUTERS as u32,
        policy,
        placed: router.placed,
    }
}

fn router(salt: usize) -> Router {
    let server = |i: usize| {
        let mut server = Server::new(format!("engine-{i}").into(), "nbo-a".into(), MS);
        server.salt = (salt * ENGINES + i) as u64;
        server
    };
    Router {
        servers: (0..ENGINES).map(server).collect(),
        queue: Queue::new(4096),
        drain: DrainRate::default(),
        expected: std::array::from_fn(|i| f64::from(CLASSES[i].output)),
        placed: 0,
    }
}

impl World {
    pub(crate) fn new(setup: Setup, seed: u64, start: Instant) -> Self {
        Self {
            setup,
            start,
            time: 0,
            dice: SplitMix64::new(seed),
            draws: SplitMix64::new(!seed),
            names: (0..WORKSPACES).map(|i| format!("w{i}").into()).collect(),
            requests: Vec::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            routers: (0..ROUTERS).map(router).collect(),
        }
    }

    fn now(&self) -> Instant {
        self.start + MS * self.time as u32
    }

    fn reports(&self) -> (u64, u64) {
        match self.setup.trouble {
            Trouble::Stale => STALE_REPORTS,
            _ => REPORTS,
        }
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.dice.next_f64()).ln()
    }

    /// Lets everything happen.
    pub(crate) fn run(&mut self) {
        let steps = |c: &Class| c.share * f64::from(c.output + 1 + c.prompt / PREFILL);
        let mean = CLASSES.iter().map(steps).sum::<f64>() * STEP as f64;
        let rate = (ENGINES * SLOTS) as f64 / mean * self.setup.load;
        // A rush adds nine times a tenth to what all send.
        let rush = if self.setup.trouble == Trouble::Rush {
            0.9
        } else {
            0.0
        };
        let mut next = 0.0;
        while self.time < LENGTH {
            while next <= self.time as f64 {
                next += self.exponential() / (rate * (1.0 + rush));
                let rushes = self.dice.next_f64() < rush / (1.0 + rush);
                let any = self.dice.below(WORKSPACES);
                self.arrive(if rushes { 0 } else { any });
            }
            (0..ENGINES).for_each(|at| self.step(at));
            for at in 0..ROUTERS {
                if (self.time + at as u64 * 27).is_multiple_of(self.reports().0) {
                    self.poll(at);
                }
                self.dispatch(at);
            }
            self.time += 1;
        }
    }

    fn arrive(&mut self, workspace: usize) {
        let mut share = self.dice.next_f64();
        let mut falls = |c: &Class| {
            share -= c.share;
            share < 0.0
        };
        let class = CLASSES.iter().position(&mut falls).unwrap_or(0);
        let output = self.exponential() * f64::from(CLASSES[class].output);
        let id = self.requests.len();
        self.requests.push(Request {
            class,
            workspace,
            priority: 0,
            router: self.dice.below(ROUTERS),
            arrived: self.time,
            output: (output as u32).clamp(1, 4 * CLASSES[class].output),
            made: 0,
            work: CLASSES[class].prompt,
            first: None,
            finish: None,
            refused: false,
        });
        match self.setup.managed {
            true => self.admit(id),
            false => self.send(id),
        }
    }

    fn admit(&mut self, id: usize) {
        let (now, dice) = (self.now(), self.draws.next_u64());
        let request = &mut self.requests[id];
        let router = &mut self.routers[request.router];
        let job = job(request.class, router);
        let sight = estimate(
            &fleet(router, self.setup.policy),
            &job,
            |_| 0,
            &[],
            dice,
            now,
        );
        let workspace = &self.names[request.workspace];
        let outlook = Conditions {
            ahead: router
                .queue
                .backlog_ahead(job.priority, workspace, job.output, now),
            drain_rate: router.drain.rate(job.priority),
            best: sight.best,
            has_room: sight.has_room,
            elapsed: Duration::ZERO,
        };
        request.refused = match admit(targets(request.class), &outlook, dice, now) {
            Verdict::Refuse { .. } => true,
            Verdict::Accept { send_by, .. } => {
                let entry = Entry {
                    id: id as u64,
                    workspace: workspace.clone(),
                    priority: job.priority,
                    cost: job.output,
                    queued_at: now,
                    send_by,
                };
                router.queue.push(entry).is_err()
            }
        };
        router.drain.set_waiting(!router.queue.is_empty(), now);
    }

    fn dispatch(&mut self, at: usize) {
        let now = self.now();
        for late in self.routers[at].queue.expire(now) {
            self.requests[late.id as usize].refused = true;
        }
        while !self.routers[at].queue.is_empty() {
            let dice = self.draws.next_u64();
            let router = &mut self.routers[at];
            let mut queue = std::mem::replace(&mut router.queue, Queue::new(0));
            let mut chosen = None;
            let popped = queue.pop(now, |entry| {
                let job = job(self.requests[entry.id as usize].class, router);
                let fleet = fleet(router, self.setup.policy);
                let outcome = choose(&fleet, &job, |_| 0, &[], dice, now);
                chosen = matches!(outcome, Decision::Send(_)).then_some(outcome);
                chosen.is_some()
            });
            router.queue = queue;
            let (Some(popped), Some(Decision::Send(choice))) = (popped, chosen) else {
                return;
            };
            let entry = popped.entry;
            router.drain.record_sent(entry.priority, entry.cost, now);
            router.drain.set_waiting(!router.queue.is_empty(), now);
            self.start(entry.id as usize, choice.server, popped.priority);
        }
    }

    /// Sends a request at once, as a router without queue and limits does.
    fn send(&mut self, id: usize) {
        let router = &self.routers[self.requests[id].router];
        let own = |at: &usize| router.servers[*at].in_flight();
        let spin = self.draws.below(ENGINES);
        let other = (spin + 1 + self.draws.below(ENGINES - 1)) % ENGINES;
        let all = (0..ENGINES).map(|i| (spin + i) % ENGINES);
        let server = match self.setup.policy {
            Policy::RoundRobin => Some(router.placed as usize % ENGINES),
            Policy::LeastInFlight => all.min_by_key(own),
            _ => [spin, other].into_iter().min_by_key(own),
        };
        let priority = job(self.requests[id].class, router).priority;
        self.start(id, server.unwrap_or(spin), priority);
    }

    fn start(&mut self, id: usize, server: usize, priority: u8) {
        let sent = self.now();
        let router = &mut self.routers[self.requests[id].router];
        let job = job(self.requests[id].class, router);
        router.placed += 1;
        let slot_free = router.servers[server].load() < SLOTS as u32;
        let flight = InFlight {
            priority,
            sent,
            prefill: job.prompt,
            remaining: job.output,
            slot_free,
            last_token: None,
        };
        router.servers[server].record_dispatch(id as u64, flight);
        self.requests[id].priority = priority;
        let waiting = &mut self.engines[server].waiting;
        let at = waiting.partition_point(|w| self.requests[*w].priority <= priority);
        waiting.insert(at, id);
    }

    fn step(&mut self, at: usize) {
        let now = self.now();
        let (_, lag) = self.reports();
        let engine = &mut self.engines[at];
        let slow = self.setup.trouble == Trouble::Slow && at == 0;
        let step = if slow { STEP * 5 } else { STEP };
        if (self.time + at as u64).is_multiple_of(step) {
            let entering = (SLOTS - engine.running.len()).min(engine.waiting.len());
            engine.running.extend(engine.waiting.drain(..entering));
            let mut left = PREFILL;
            engine.running.retain(|id| {
                let request = &mut self.requests[*id];
                let work = request.work.min(left);
                left -= work;
                request.work -= work;
                if request.work > 0 {
                    return true;
                }
                let gone = self.time - request.arrived;
                request.made += 1;
                request.first.get_or_insert(gone);
                let router = &mut self.routers[request.router];
                let server = &mut router.servers[at];
                server.record_tokens(*id as u64, 1, now);
                if request.made < request.output {
                    return true;
                }
                request.finish = Some(gone);
                server.record_end(*id as u64, Completion::Answered(request.output), now);
                let expected = &mut router.expected[request.class];
                *expected += 0.02 * (f64::from(request.output) - *expected);
                false
            });
        }
        engine
            .loads
            .push_back((engine.running.len(), engine.waiting.len()));
        if engine.loads.len() as u64 > lag {
            engine.loads.pop_front();
        }
    }

    fn poll(&mut self, at: usize) {
        let taken = self.now() - MS * self.engines[0].loads.len() as u32;
        for (server, engine) in self.routers[at].servers.iter_mut().zip(&self.engines) {
            let (running, waiting) = engine.loads[0];
            server.record_report(LoadReport {
                running: running as u32,
                waiting: waiting as u32,
                slots: SLOTS as u32,
                step: MS * STEP as u32,
                taken,
            });
        }
    }
}
