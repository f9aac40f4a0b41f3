//! Ways to share one budget between routers, in virtual time.
//!
//! Nine unevenly used routers spend one budget. Grants sized as the product
//! sizes them stand beside an equal static split and one transaction a request.
//! Prints refusals that were false, how many of them before the last 2 % of the
//! budget, writes to the table, and what a killed router strands.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplar_core::grant::{
    Peer, PeerRequest, Rate, Settings, State, choose_donor, draw, give_back, transfer_amount,
};
use poplar_core::route::rng::SplitMix64;

const ROUTERS: usize = 9;
/// Requests a second of all routers.
const ARRIVALS: f64 = 30.0;
/// Worst case of a request, in tokens.
const WORST: u64 = 600;
/// Mean of what a request takes, in tokens.
const MEAN: f64 = 150.0;
const TICK: Duration = Duration::from_millis(100);
/// How long a request runs, in ticks.
const RUNS: u64 = 10;
const SECOND: u64 = 10;
const MINUTE: u64 = 60 * SECOND;
/// Peers asked for one request.
const ASKED: usize = 3;
const SEED: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    Grants,
    Split,
    Transactions,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The budget, in minutes of spending.
    minutes: u64,
    /// Ticks from and to which the table is down.
    outage: (u64, u64),
    /// Tick at which router 0 is killed.
    kill: Option<u64>,
    /// Ticks in all.
    length: u64,
}

#[derive(Debug, Default)]
struct Router {
    free: u64,
    reserved: u64,
    rate: Rate,
    running: VecDeque<(u64, u64)>,
}

#[derive(Debug, Default)]
struct Result {
    requests: u64,
    refused: u64,
    false_refused: u64,
    false_early: u64,
    writes: u64,
    /// Writes in the busiest second.
    peak: u64,
    gifts: u64,
    stranded: u64,
    spent: u64,
}

struct World {
    way: Way,
    scenario: Scenario,
    start: Instant,
    tick: u64,
    dice: SplitMix64,
    limit: u64,
    available: u64,
    routers: Vec<Router>,
    result: Result,
}

impl World {
    fn new(way: Way, scenario: Scenario) -> Self {
        let limit = (ARRIVALS * MEAN) as u64 * 60 * scenario.minutes;
        let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::default()).collect();
        let mut available = limit;
        if way == Way::Split {
            for router in &mut routers {
                router.free = limit / ROUTERS as u64;
                available -= router.free;
            }
        }
        Self {
            way,
            scenario,
            start: Instant::now(),
            tick: 0,
            dice: SplitMix64::new(SEED),
            limit,
            available,
            routers,
            result: Result::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick as u32
    }

    fn up(&self) -> bool {
        !(self.scenario.outage.0..self.scenario.outage.1).contains(&self.tick)
    }

    fn dead(&self, at: usize) -> bool {
        at == 0 && self.scenario.kill.is_some_and(|kill| self.tick >= kill)
    }

    fn state(&self, at: usize) -> State {
        let router = &self.routers[at];
        State {
            free: router.free,
            available: self.available,
            rate: router.rate.per_second(self.now()),
            idle_time: router.rate.idle_time(self.now()),
            request_cost: WORST,
            routers: ROUTERS as u32,
        }
    }

    fn draw(&mut self, at: usize, need: u64) {
        let wanted = draw(&self.state(at), need, &Settings::default());
        if let (Some(wanted), true) = (wanted, self.up()) {
            let tokens = wanted.tokens.min(self.available);
            self.available -= tokens;
            self.routers[at].free += tokens;
            self.result.writes += 1;
        }
    }

    fn ask_peers(&mut self, at: usize) {
        for _ in 0..ASKED {
            let free = self.routers[at].free;
            if free >= WORST {
                return;
            }
            let now = self.now();
            let peer = |i: usize| Peer {
                free: if i == at || self.dead(i) {
                    0
                } else {
                    self.routers[i].free
                },
                rate: self.routers[i].rate.per_second(now),
                age: Duration::ZERO,
            };
            let peers: Vec<Peer> = (0..ROUTERS).map(peer).collect();
            let Some(from) = choose_donor(&peers) else {
                return;
            };
            let ask = PeerRequest {
                need: WORST - free,
                rate: peers[at].rate,
            };
            let given = transfer_amount(peers[from].free, &ask, peers[from].rate);
            self.routers[from].free -= given;
            self.routers[at].free += given;
            self.result.gifts += 1;
        }
    }

    /// Sets the worst case aside, if there is enough.
    fn reserve(&mut self, at: usize) -> bool {
        if self.way == Way::Transactions {
            let granted = self.up() && self.available >= WORST;
            if granted {
                self.available -= WORST;
                self.routers[at].free += WORST;
            }
            self.result.writes += u64::from(self.up());
        } else if self.way == Way::Grants && self.routers[at].free < WORST {
            self.draw(at, WORST);
            self.ask_peers(at);
        }
        let router = &mut self.routers[at];
        if router.free < WORST {
            return false;
        }
        router.free -= WORST;
        router.reserved += WORST;
        true
    }

    fn arrive(&mut self) {
        // The last router gets three times as much as the first.
        let at = self.dice.below(ROUTERS);
        let keep = 0.33 + 0.67 * at as f64 / (ROUTERS - 1) as f64;
        if self.dice.next_f64() > keep || self.dead(at) {
            return;
        }
        let used = -(1.0 - self.dice.next_f64()).ln() * MEAN;
        let used = (used as u64).clamp(1, WORST);
        self.result.requests += 1;
        if self.reserve(at) {
            let end = self.tick + RUNS;
            self.routers[at].running.push_back((end, used));
            return;
        }
        self.result.refused += 1;
        let reserved: u64 = self.routers.iter().map(|r| r.reserved).sum();
        let left = self.limit - self.result.spent - self.result.stranded - reserved;
        if left >= WORST {
            self.result.false_refused += 1;
            let early = left * 50 > self.limit;
            self.result.false_early += u64::from(early);
        }
    }

    fn settle(&mut self, at: usize) {
        let now = self.now();
        while let Some((end, used)) = self.routers[at].running.front().copied() {
            if end > self.tick {
                return;
            }
            let router = &mut self.routers[at];
            router.running.pop_front();
            router.reserved -= WORST;
            router.rate.record(used, now);
            self.result.spent += used;
            if self.way == Way::Transactions {
                // What is not returned in an outage is returned after it.
                self.available += WORST - used;
                self.result.writes += 1;
            } else {
                router.free += WORST - used;
            }
        }
    }

    fn keep(&mut self, at: usize) {
        self.draw(at, 0);
        let moved = give_back(&self.state(at), &Settings::default());
        if let (Some(moved), true) = (moved, self.up()) {
            self.routers[at].free -= moved.tokens;
            self.available += moved.tokens;
            self.result.writes += 1;
        }
    }

    fn run(mut self) -> Result {
        let mut due = 0.0;
        let mut writes = 0;
        // The share that `arrive` keeps is two thirds.
        let each = SECOND as f64 / (ARRIVALS / 0.665);
        while self.tick < self.scenario.length {
            while due <= self.tick as f64 {
                due -= (1.0 - self.dice.next_f64()).ln() * each;
                self.arrive();
            }
            for at in (0..ROUTERS)
                .filter(|at| !self.dead(*at))
                .collect::<Vec<_>>()
            {
                self.settle(at);
                let turn = self.tick + at as u64;
                if self.way == Way::Grants && turn.is_multiple_of(SECOND) {
                    self.keep(at);
                }
            }
            if self.scenario.kill == Some(self.tick) {
                self.result.stranded = self.routers[0].free + self.routers[0].reserved;
                self.routers[0] = Router::default();
            }
            self.tick += 1;
            if self.tick.is_multiple_of(SECOND) {
                self.result.peak = self.result.peak.max(self.result.writes - writes);
                writes = self.result.writes;
            }
        }
        assert!(self.result.spent <= self.limit, "overspent");
        self.result
    }
}

fn main() {
    let scenario = |name, minutes, outage, kill, length| Scenario {
        name,
        minutes,
        outage,
        kill,
        length,
    };
    let long = (20 * MINUTE, 25 * MINUTE);
    let scenarios = [
        scenario("spent to the end", 20, (0, 0), None, 25 * MINUTE),
        scenario(
            "table down 5 min, an hour left",
            80,
            long,
            None,
            30 * MINUTE,
        ),
        scenario("table down 5 min, 10 min left", 30, long, None, 35 * MINUTE),
        scenario(
            "a router killed, then to the end",
            30,
            (0, 0),
            Some(10 * MINUTE),
            40 * MINUTE,
        ),
    ];
    println!(
        "| scenario | way | requests | false refusals | of them early | writes/s | at most | gifts | stranded % | spent % |"
    );
    println!("|{}", "---|".repeat(10));
    for scenario in scenarios {
        for way in [Way::Grants, Way::Split, Way::Transactions] {
            let world = World::new(way, scenario);
            let limit = world.limit;
            let r = world.run();
            let writes = r.writes as f64 * SECOND as f64 / scenario.length as f64;
            let part = |tokens: u64| 100.0 * tokens as f64 / limit as f64;
            println!(
                "| {} | {way:?} | {} | {} | {} | {writes:.2} | {} | {} | {:.2} | {:.2} |",
                scenario.name,
                r.requests,
                r.false_refused,
                r.false_early,
                r.peak,
                r.gifts,
                part(r.stranded),
                part(r.spent),
            );
        }
    }
}
