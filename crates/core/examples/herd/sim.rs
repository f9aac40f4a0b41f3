//! Simulation of routers that use the product's decision code, and of engines.

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
/// Number of requests that an engine runs concurrently.
const SLOTS: usize = 16;
/// Time of one engine step, in ms.
const STEP_MS: u64 = 6;
/// Prompt tokens that an engine processes in one step.
const PREFILL_PER_STEP: u32 = 2048;
const WORKSPACES: usize = 10;
/// Simulated time, in ms.
pub(crate) const DURATION_MS: u64 = 60_000;
/// Interval and age of load reports, in ms.
const REPORT_TIMING_MS: (u64, u64) = (250, 200);
/// Interval and age of load reports in [`Scenario::StaleReports`], in ms.
const STALE_REPORT_TIMING_MS: (u64, u64) = (1000, 500);
const MS: Duration = Duration::from_millis(1);

/// A class of requests.
pub(crate) struct Class {
    /// Fraction of the arrivals.
    share: f64,
    /// Target time to the first token, in ms.
    pub(crate) first: u64,
    /// Target time to the whole answer, in ms.
    pub(crate) finish: u64,
    /// Number of prompt tokens.
    prompt: u32,
    /// Mean number of output tokens.
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

/// The classes lookup, chat, plan and bulk.
pub(crate) const CLASSES: [Class; 4] = [
    class(0.30, 200, 500, 100, 15),
    class(0.55, 500, 3_000, 600, 120),
    class(0.10, 3_000, 20_000, 3_000, 400),
    class(0.05, 60_000, 180_000, 1_000, 800),
];

/// What is out of the ordinary in a simulation.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scenario {
    /// Nothing.
    Steady,
    /// One workspace sends ten times its usual load.
    Burst,
    /// One engine takes five times as long for each step.
    SlowEngine,
    /// Load reports are rarer and older.
    StaleReports,
}

#[derive(Clone, Copy)]
pub(crate) struct Setup {
    /// Offered load as a fraction of the engines' capacity.
    pub(crate) load: f64,
    pub(crate) scenario: Scenario,
    pub(crate) policy: Policy,
    /// Whether routers use the queue, admission control and limits.
    pub(crate) managed: bool,
}

pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) workspace: usize,
    priority: u8,
    router: usize,
    pub(crate) arrived: u64,
    output: u32,
    generated: u32,
    prefill_left: u32,
    pub(crate) first: Option<u64>,
    pub(crate) finish: Option<u64>,
    pub(crate) refused: bool,
}

#[derive(Default)]
struct Engine {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    /// Numbers of running and waiting requests per ms, the oldest first.
    loads: VecDeque<(usize, usize)>,
}

struct Router {
    servers: Vec<Server>,
    queue: Queue,
    drain: DrainRate,
    /// Expected output tokens by class, as a moving average.
    expected: [f64; CLASSES.len()],
    placed: u64,
}

pub(crate) struct Simulation {
    setup: Setup,
    start: Instant,
    /// Simulated time, in ms.
    time: u64,
    /// Draws the arrivals, the same for every policy.
    workload_rng: SplitMix64,
    /// Draws the random numbers of decisions.
    decision_rng: SplitMix64,
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

impl Simulation {
    pub(crate) fn new(setup: Setup, seed: u64, start: Instant) -> Self {
        Self {
            setup,
            start,
            time: 0,
            workload_rng: SplitMix64::new(seed),
            decision_rng: SplitMix64::new(!seed),
            names: (0..WORKSPACES).map(|i| format!("w{i}").into()).collect(),
            requests: Vec::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            routers: (0..ROUTERS).map(router).collect(),
        }
    }

    fn now(&self) -> Instant {
        self.start + MS * self.time as u32
    }

    fn report_timing(&self) -> (u64, u64) {
        match self.setup.scenario {
            Scenario::StaleReports => STALE_REPORT_TIMING_MS,
            _ => REPORT_TIMING_MS,
        }
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.workload_rng.next_f64()).ln()
    }

    /// Runs the simulation to its end.
    pub(crate) fn run(&mut self) {
        let steps = |c: &Class| c.share * f64::from(c.output + 1 + c.prompt / PREFILL_PER_STEP);
        let mean = CLASSES.iter().map(steps).sum::<f64>() * STEP_MS as f64;
        let rate = (ENGINES * SLOTS) as f64 / mean * self.setup.load;
        // A burst adds nine times one workspace's tenth of the total load.
        let burst = if self.setup.scenario == Scenario::Burst {
            0.9
        } else {
            0.0
        };
        let mut next = 0.0;
        while self.time < DURATION_MS {
            while next <= self.time as f64 {
                next += self.exponential() / (rate * (1.0 + burst));
                let is_burst = self.workload_rng.next_f64() < burst / (1.0 + burst);
                let any = self.workload_rng.below(WORKSPACES);
                self.add_request(if is_burst { 0 } else { any });
            }
            (0..ENGINES).for_each(|at| self.step_engine(at));
            for at in 0..ROUTERS {
                if (self.time + at as u64 * 27).is_multiple_of(self.report_timing().0) {
                    self.poll_reports(at);
                }
                self.dispatch(at);
            }
            self.time += 1;
        }
    }

    fn add_request(&mut self, workspace: usize) {
        let mut share = self.workload_rng.next_f64();
        let mut matches = |c: &Class| {
            share -= c.share;
            share < 0.0
        };
        let class = CLASSES.iter().position(&mut matches).unwrap_or(0);
        let output = self.exponential() * f64::from(CLASSES[class].output);
        let id = self.requests.len();
        self.requests.push(Request {
            class,
            workspace,
            priority: 0,
            router: self.workload_rng.below(ROUTERS),
            arrived: self.time,
            output: (output as u32).clamp(1, 4 * CLASSES[class].output),
            generated: 0,
            prefill_left: CLASSES[class].prompt,
            first: None,
            finish: None,
            refused: false,
        });
        match self.setup.managed {
            true => self.admit(id),
            false => self.send_unmanaged(id),
        }
    }

    fn admit(&mut self, id: usize) {
        let (now, random) = (self.now(), self.decision_rng.next_u64());
        let request = &mut self.requests[id];
        let router = &mut self.routers[request.router];
        let job = job(request.class, router);
        let estimated = estimate(
            &fleet(router, self.setup.policy),
            &job,
            |_| 0,
            &[],
            random,
            now,
        );
        let workspace = &self.names[request.workspace];
        let conditions = Conditions {
            ahead: router
                .queue
                .backlog_ahead(job.priority, workspace, job.output, now),
            drain_rate: router.drain.rate(job.priority),
            best: estimated.best,
            has_room: estimated.has_room,
            elapsed: Duration::ZERO,
        };
        request.refused = match admit(targets(request.class), &conditions, random, now) {
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
            let random = self.decision_rng.next_u64();
            let router = &mut self.routers[at];
            let mut queue = std::mem::replace(&mut router.queue, Queue::new(0));
            let mut chosen = None;
            let popped = queue.pop(now, |entry| {
                let job = job(self.requests[entry.id as usize].class, router);
                let fleet = fleet(router, self.setup.policy);
                let decision = choose(&fleet, &job, |_| 0, &[], random, now);
                chosen = matches!(decision, Decision::Send(_)).then_some(decision);
                chosen.is_some()
            });
            router.queue = queue;
            let (Some(popped), Some(Decision::Send(choice))) = (popped, chosen) else {
                return;
            };
            let entry = popped.entry;
            router.drain.record_sent(entry.priority, entry.cost, now);
            router.drain.set_waiting(!router.queue.is_empty(), now);
            self.start_request(entry.id as usize, choice.server, popped.priority);
        }
    }

    /// Sends a request at once, as a router without a queue and limits does.
    fn send_unmanaged(&mut self, id: usize) {
        let router = &self.routers[self.requests[id].router];
        let in_flight = |at: &usize| router.servers[*at].in_flight();
        let first = self.decision_rng.below(ENGINES);
        let second = (first + 1 + self.decision_rng.below(ENGINES - 1)) % ENGINES;
        let all = (0..ENGINES).map(|i| (first + i) % ENGINES);
        let server = match self.setup.policy {
            Policy::RoundRobin => Some(router.placed as usize % ENGINES),
            Policy::LeastInFlight => all.min_by_key(in_flight),
            _ => [first, second].into_iter().min_by_key(in_flight),
        };
        let priority = job(self.requests[id].class, router).priority;
        self.start_request(id, server.unwrap_or(first), priority);
    }

    fn start_request(&mut self, id: usize, server: usize, priority: u8) {
        let sent = self.now();
        let router = &mut self.routers[self.requests[id].router];
        let job = job(self.requests[id].class, router);
        router.placed += 1;
        let slot_free = router.servers[server].load() < SLOTS as u32;
        let request = InFlight {
            priority,
            sent,
            prefill: job.prompt,
            remaining: job.output,
            slot_free,
            last_token: None,
        };
        router.servers[server].record_dispatch(id as u64, request);
        self.requests[id].priority = priority;
        let waiting = &mut self.engines[server].waiting;
        let at = waiting.partition_point(|w| self.requests[*w].priority <= priority);
        waiting.insert(at, id);
    }

    fn step_engine(&mut self, at: usize) {
        let now = self.now();
        let (_, lag) = self.report_timing();
        let engine = &mut self.engines[at];
        let slow = self.setup.scenario == Scenario::SlowEngine && at == 0;
        let step = if slow { STEP_MS * 5 } else { STEP_MS };
        if (self.time + at as u64).is_multiple_of(step) {
            let entering = (SLOTS - engine.running.len()).min(engine.waiting.len());
            engine.running.extend(engine.waiting.drain(..entering));
            let mut budget = PREFILL_PER_STEP;
            engine.running.retain(|id| {
                let request = &mut self.requests[*id];
                let prefill = request.prefill_left.min(budget);
                budget -= prefill;
                request.prefill_left -= prefill;
                if request.prefill_left > 0 {
                    return true;
                }
                let elapsed = self.time - request.arrived;
                request.generated += 1;
                request.first.get_or_insert(elapsed);
                let router = &mut self.routers[request.router];
                let server = &mut router.servers[at];
                server.record_tokens(*id as u64, 1, now);
                if request.generated < request.output {
                    return true;
                }
                request.finish = Some(elapsed);
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

    fn poll_reports(&mut self, at: usize) {
        let taken = self.now() - MS * self.engines[0].loads.len() as u32;
        for (server, engine) in self.routers[at].servers.iter_mut().zip(&self.engines) {
            let (running, waiting) = engine.loads[0];
            server.record_report(LoadReport {
                running: running as u32,
                waiting: waiting as u32,
                slots: SLOTS as u32,
                step: MS * STEP_MS as u32,
                taken,
            });
        }
    }
}
