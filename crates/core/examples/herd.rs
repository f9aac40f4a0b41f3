//! Routing policies side by side, in virtual time.
//!
//! Nine routers that don't see each other's choices send to twenty engines
//! whose load reports lag. The routers' decisions are those of the product;
//! engines and arrivals are a small fake. Prints one table.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use poplar_core::admit::{self, Drain, Outlook, Targets, Verdict};
use poplar_core::id::Name;
use poplar_core::queue::{Entry, Queue, priority_of};
use poplar_core::route::dice::Dice;
use poplar_core::route::server::{End, Flight, Report, Server};
use poplar_core::route::{Fleet, Job, Outcome, Policy, choose, look};

const ROUTERS: usize = 9;
const ENGINES: usize = 20;
const SLOTS: usize = 16;
const STEP: Duration = Duration::from_millis(6);
const PREFILL: u32 = 2048;
const WORKSPACES: usize = 10;
const LENGTH: Duration = Duration::from_secs(60);
const WARMUP: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(250);
const LAG: Duration = Duration::from_millis(200);
const SEED: u64 = 1;

/// Share of arrivals, targets in ms, and tokens of prompt and mean output.
const CLASSES: [(f64, u64, u64, u32, u32); 4] = [
    (0.30, 200, 500, 100, 15),
    (0.55, 500, 3_000, 600, 120),
    (0.10, 3_000, 20_000, 3_000, 400),
    (0.05, 60_000, 180_000, 1_000, 800),
];

#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    load: f64,
    rush: bool,
    slow: bool,
}

#[derive(Debug, Clone)]
struct Request {
    class: usize,
    workspace: usize,
    router: usize,
    arrived: Instant,
    output: u32,
    made: u32,
    work: u32,
    first: Option<Duration>,
    finish: Option<Duration>,
    refused: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Step(usize),
    Poll,
    Tick,
}

#[derive(Debug, Default)]
struct Engine {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    reports: VecDeque<Report>,
    awake: bool,
}

struct Router {
    servers: Vec<Server>,
    queue: Queue,
    drain: Drain,
    expected: [f64; CLASSES.len()],
    turn: u64,
}

struct World {
    scenario: Scenario,
    policy: Policy,
    limits: u32,
    dice: Dice,
    names: Vec<Name>,
    requests: Vec<Request>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    count: u64,
}

fn targets(class: usize) -> Targets {
    Targets {
        first: Some(Duration::from_millis(CLASSES[class].1)),
        finish: Duration::from_millis(CLASSES[class].2),
    }
}

fn job(class: usize, output: f64) -> Job<'static> {
    Job {
        priority: priority_of(targets(class).finish),
        prompt: CLASSES[class].3,
        output: output as u32,
        repeat: true,
        tried: &[],
    }
}

fn router(now: Instant) -> Router {
    let server = |i: usize| {
        let name: Name = format!("engine-{i}").into();
        let mut server = Server::new(name, "nbo-a".into(), Duration::from_millis(1));
        server.reported(Report {
            running: 0,
            waiting: 0,
            slots: SLOTS as u32,
            step: STEP,
            taken: now,
        });
        server
    };
    Router {
        servers: (0..ENGINES).map(server).collect(),
        queue: Queue::new(4096),
        drain: Drain::default(),
        expected: CLASSES.map(|c| f64::from(c.4)),
        turn: 0,
    }
}

impl World {
    fn at(&mut self, when: Instant, event: Event) {
        self.count += 1;
        self.events.push(Reverse((when, self.count, event)));
    }

    fn step_of(&self, engine: usize) -> Duration {
        let slow = self.scenario.slow && engine == 0;
        if slow { STEP * 5 } else { STEP }
    }

    /// Time until the next arrival of the whole fleet.
    fn gap(&mut self) -> Duration {
        let steps = |c: &(f64, u64, u64, u32, u32)| c.0 * f64::from(c.4 + 1 + c.3 / PREFILL);
        let mean: f64 = CLASSES.iter().map(steps).sum::<f64>() * STEP.as_secs_f64();
        let rate = (ENGINES * SLOTS) as f64 / mean * self.scenario.load;
        let rush = if self.scenario.rush { 1.9 } else { 1.0 };
        Duration::from_secs_f64(-(1.0 - self.dice.unit()).ln() / rate / rush)
    }

    fn arrive(&mut self, now: Instant) {
        let mut share = self.dice.unit();
        let class = CLASSES.iter().position(|c| {
            share -= c.0;
            share < 0.0
        });
        let class = class.unwrap_or(0);
        // A rush adds nine times a tenth to what all send.
        let extra = self.scenario.rush && self.dice.unit() < 0.9 / 1.9;
        let workspace = if extra {
            0
        } else {
            self.dice.below(WORKSPACES)
        };
        let router = self.dice.below(ROUTERS);
        let output = -(1.0 - self.dice.unit()).ln() * f64::from(CLASSES[class].4);
        let id = self.requests.len();
        self.requests.push(Request {
            class,
            workspace,
            router,
            arrived: now,
            output: (output as u32).clamp(1, 4 * CLASSES[class].4),
            made: 0,
            work: CLASSES[class].3,
            first: None,
            finish: None,
            refused: false,
        });
        let gap = self.gap();
        self.at(now + gap, Event::Arrive);
        if self.policy == Policy::Predicted || self.limits > 1 {
            self.admit(id, now);
            self.dispatch(router, now);
        } else {
            self.send(id, now);
        }
    }

    fn admit(&mut self, id: usize, now: Instant) {
        let (class, workspace) = (self.requests[id].class, self.requests[id].workspace);
        let dice = self.dice.roll();
        let router = &mut self.routers[self.requests[id].router];
        let job = job(class, router.expected[class]);
        let fleet = Fleet {
            servers: &router.servers,
            routers: self.limits,
            policy: self.policy,
            turn: router.turn,
        };
        let sight = look(&fleet, &job, |_| 0, &[], dice, now);
        let workspace = &self.names[workspace];
        let outlook = Outlook {
            ahead: router.queue.ahead(job.priority, workspace, job.output),
            rate: router.drain.rate(job.priority),
            best: sight.best,
            room: sight.room,
            gone: Duration::ZERO,
        };
        let verdict = admit::admit(targets(class), &outlook, dice, now);
        let taken = match verdict {
            Verdict::Accept { latest, .. } => router.queue.push(Entry {
                id: id as u64,
                workspace: workspace.clone(),
                priority: job.priority,
                cost: job.output,
                pushed: now,
                latest,
            }),
            Verdict::Refuse { .. } => {
                self.requests[id].refused = true;
                return;
            }
        };
        self.requests[id].refused = taken.is_err();
        router.drain.waits(!router.queue.is_empty(), now);
    }

    fn dispatch(&mut self, at: usize, now: Instant) {
        loop {
            let router = &mut self.routers[at];
            for late in router.queue.expire(now) {
                self.requests[late.id as usize].refused = true;
            }
            let (servers, expected) = (&router.servers, &router.expected);
            let requests = &self.requests;
            let dice = self.dice.roll();
            let fleet = Fleet {
                servers,
                routers: self.limits,
                policy: self.policy,
                turn: router.turn,
            };
            let mut chosen = None;
            let popped = router.queue.pop(now, |entry| {
                let class = requests[entry.id as usize].class;
                let job = job(class, expected[class]);
                let outcome = choose(&fleet, &job, |_| 0, &[], dice, now);
                if let Outcome::Go(choice) = outcome {
                    chosen = Some(choice);
                }
                matches!(outcome, Outcome::Go(_))
            });
            let (Some(popped), Some(choice)) = (popped, chosen) else {
                router.drain.waits(!router.queue.is_empty(), now);
                return;
            };
            let entry = &popped.entry;
            router.drain.sent(entry.priority, entry.cost, now);
            router.drain.waits(!router.queue.is_empty(), now);
            self.start(entry.id as usize, choice.server, now);
        }
    }

    /// Sends a request at once, as a router without queue and limits does.
    fn send(&mut self, id: usize, now: Instant) {
        let dice = self.dice.roll();
        let request = &self.requests[id];
        let router = &self.routers[request.router];
        let len = router.servers.len();
        let own = |at: &usize| (router.servers[*at].own(), (*at as u64 + dice) % len as u64);
        let server = match self.policy {
            Policy::RoundRobin => (router.turn % len as u64) as usize,
            Policy::LeastInFlight => (0..len).min_by_key(own).unwrap_or(0),
            _ => {
                let two = [self.dice.below(len), self.dice.below(len)];
                two.into_iter().min_by_key(own).unwrap_or(0)
            }
        };
        self.start(id, server, now);
    }

    fn start(&mut self, id: usize, server: usize, now: Instant) {
        let request = &self.requests[id];
        let class = request.class;
        let router = &mut self.routers[request.router];
        let job = job(class, router.expected[class]);
        router.turn += 1;
        let direct = router.servers[server].load(1.0) < SLOTS as f64;
        let flight = Flight {
            priority: job.priority,
            sent: now,
            work: job.prompt,
            left: job.output,
            direct,
            heard: None,
        };
        router.servers[server].dispatched(id as u64, flight);
        let priority = |id: &usize| priority_of(targets(self.requests[*id].class).finish);
        let engine = &mut self.engines[server];
        let at = engine
            .waiting
            .partition_point(|w| priority(w) <= job.priority);
        engine.waiting.insert(at, id);
        if !std::mem::replace(&mut engine.awake, true) {
            let step = self.step_of(server);
            self.at(now + step, Event::Step(server));
        }
    }

    fn step(&mut self, at: usize, now: Instant) {
        let engine = &mut self.engines[at];
        while engine.running.len() < SLOTS {
            let Some(id) = engine.waiting.pop_front() else {
                break;
            };
            engine.running.push(id);
        }
        let mut prefill = PREFILL;
        let mut ended = Vec::new();
        for id in std::mem::take(&mut engine.running) {
            let request = &mut self.requests[id];
            let work = request.work.min(prefill);
            prefill -= work;
            request.work -= work;
            if request.work > 0 {
                engine.running.push(id);
                continue;
            }
            request.made += 1;
            request.first.get_or_insert(now - request.arrived);
            let server = &mut self.routers[request.router].servers[at];
            server.progressed(id as u64, 1, now);
            if request.made < request.output {
                engine.running.push(id);
                continue;
            }
            request.finish = Some(now - request.arrived);
            server.ended(id as u64, End::Done(request.output), now);
            let expected = &mut self.routers[request.router].expected[request.class];
            *expected += 0.02 * (f64::from(request.output) - *expected);
            ended.push(request.router);
        }
        let idle = engine.running.is_empty() && engine.waiting.is_empty();
        engine.awake = !idle;
        if !idle {
            let step = self.step_of(at);
            self.at(now + step, Event::Step(at));
        }
        for router in ended {
            self.dispatch(router, now);
        }
    }

    fn poll(&mut self, now: Instant) {
        for at in 0..ENGINES {
            let engine = &mut self.engines[at];
            engine.reports.push_back(Report {
                running: engine.running.len() as u32,
                waiting: engine.waiting.len() as u32,
                slots: SLOTS as u32,
                step: STEP,
                taken: now,
            });
            while engine.reports.get(1).is_some_and(|r| r.taken + LAG <= now) {
                engine.reports.pop_front();
            }
            let report = engine.reports[0];
            if report.taken + LAG <= now {
                for router in &mut self.routers {
                    router.servers[at].reported(report);
                }
            }
        }
        self.at(now + POLL, Event::Poll);
    }

    fn run(&mut self, start: Instant) {
        for event in [Event::Arrive, Event::Poll, Event::Tick] {
            self.at(start, event);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > start + LENGTH {
                return;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Step(engine) => self.step(engine, now),
                Event::Poll => self.poll(now),
                Event::Tick => {
                    (0..ROUTERS).for_each(|at| self.dispatch(at, now));
                    self.at(now + Duration::from_millis(10), Event::Tick);
                }
            }
        }
    }
}

fn percentile(times: &mut [Duration], part: f64) -> u128 {
    times.sort_unstable();
    let at = (times.len() as f64 * part) as usize;
    times
        .get(at.min(times.len().saturating_sub(1)))
        .map_or(0, Duration::as_millis)
}

fn row(world: &World, start: Instant, end: Instant) {
    let due = |r: &&Request| {
        let counted = r.arrived >= start + WARMUP && r.arrived + targets(r.class).finish <= end;
        counted && (!world.scenario.rush || r.workspace != 0)
    };
    print!(
        "| {} | {:?}{} ",
        world.scenario.name,
        world.policy,
        if world.limits > 1 { "" } else { ", plain" }
    );
    let all: Vec<&Request> = world.requests.iter().filter(due).collect();
    let refused = all.iter().filter(|r| r.refused).count();
    for class in 0..3 {
        let of: Vec<&&Request> = all.iter().filter(|r| r.class == class).collect();
        let goal = targets(class);
        let met =
            |r: &&&&Request| r.finish.is_some_and(|f| f <= goal.finish) && r.first <= goal.first;
        let met = of.iter().filter(met).count();
        let mut first: Vec<Duration> = of.iter().filter_map(|r| r.first).collect();
        let mut finish: Vec<Duration> = of.iter().filter_map(|r| r.finish).collect();
        let (p50, p99) = (percentile(&mut finish, 0.5), percentile(&mut finish, 0.99));
        let first = percentile(&mut first, 0.99);
        let share = 100.0 * met as f64 / of.len().max(1) as f64;
        print!("| {share:.2} | {first} | {p50} | {p99} ");
    }
    println!(
        "| {:.2} |",
        100.0 * refused as f64 / all.len().max(1) as f64
    );
}

fn main() {
    let scenario = |name, load, rush, slow| Scenario {
        name,
        load,
        rush,
        slow,
    };
    let scenarios = [
        scenario("50% load", 0.5, false, false),
        scenario("80% load", 0.8, false, false),
        scenario("95% load", 0.95, false, false),
        scenario("80% and a rush", 0.8, true, false),
        scenario("80%, one slow engine", 0.8, false, true),
    ];
    let policies = [
        (Policy::Predicted, ROUTERS as u32),
        (Policy::RoundRobin, ROUTERS as u32),
        (Policy::LeastInFlight, ROUTERS as u32),
        (Policy::RandomOfTwo, ROUTERS as u32),
        (Policy::RoundRobin, 1),
        (Policy::LeastInFlight, 1),
        (Policy::RandomOfTwo, 1),
    ];
    println!(
        "| scenario | policy | lookup met % | first p99 | p50 | p99 | chat met % | first p99 | p50 | p99 | plan met % | first p99 | p50 | p99 | refused % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in scenarios {
        for (policy, limits) in policies {
            let start = Instant::now();
            let mut world = World {
                scenario,
                policy,
                limits,
                dice: Dice::new(SEED),
                names: (0..WORKSPACES).map(|i| format!("w{i}").into()).collect(),
                requests: Vec::new(),
                engines: (0..ENGINES).map(|_| Engine::default()).collect(),
                routers: (0..ROUTERS).map(|_| router(start)).collect(),
                events: BinaryHeap::new(),
                count: 0,
            };
            world.run(start);
            row(&world, start, start + LENGTH);
        }
    }
}
