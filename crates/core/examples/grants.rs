//! Simulates ways to share one budget between routers, in virtual time.
//!
//! Nine routers with uneven load spend one budget. Grants sized as in the product
//! are compared with an equal static split and with one transaction per request.
//! Prints the false refusals, how many of them came before the last 2 % of the
//! budget, the writes to the table, and the tokens that a killed router strands.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplar_core::grant::{
    Peer, PeerRequest, Rate, Settings, State, choose_donor, draw, give_back, transfer_amount,
};
use poplar_core::route::rng::SplitMix64;

const ROUTERS: usize = 9;
/// Requests per second of all routers together.
const ARRIVALS_PER_SECOND: f64 = 30.0;
/// Worst-case cost of a request, in tokens.
const WORST_CASE: u64 = 600;
/// Mean consumption of a request, in tokens.
const MEAN_USED: f64 = 150.0;
/// Length of a tick.
const TICK: Duration = Duration::from_millis(100);
/// Duration of a request, in ticks.
const REQUEST_TICKS: u64 = 10;
/// Ticks per second.
const SECOND: u64 = 10;
/// Ticks per minute.
const MINUTE: u64 = 60 * SECOND;
/// Maximum number of transfers requested from peers for one request.
const MAX_TRANSFERS: usize = 3;
const SEED: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Method {
    /// Grants sized by `poplar_core::grant`.
    Grants,
    /// Equal shares, assigned once at the start.
    Split,
    /// A transaction of the table for each request.
    Transactions,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The size of the budget, in minutes of spending.
    minutes: u64,
    /// Ticks at which an outage of the table starts and ends.
    outage: (u64, u64),
    /// Tick at which router 0 is killed.
    kill_at: Option<u64>,
    /// Ticks that are simulated.
    length: u64,
}

#[derive(Debug, Default)]
struct Router {
    free: u64,
    reserved: u64,
    rate: Rate,
    /// Last tick and consumption of each running request.
    running: VecDeque<(u64, u64)>,
}

#[derive(Debug, Default)]
struct Report {
    requests: u64,
    refused: u64,
    /// Refusals while the fleet had enough tokens for the request.
    false_refusals: u64,
    /// False refusals before the last 2 % of the budget.
    false_early: u64,
    writes: u64,
    /// Writes in the busiest second.
    peak_writes: u64,
    transfers: u64,
    stranded: u64,
    spent: u64,
}

struct World {
    method: Method,
    scenario: Scenario,
    start: Instant,
    tick: u64,
    rng: SplitMix64,
    limit: u64,
    available: u64,
    routers: Vec<Router>,
    result: Report,
}

impl World {
    fn new(method: Method, scenario: Scenario) -> Self {
        let limit = (ARRIVALS_PER_SECOND * MEAN_USED) as u64 * 60 * scenario.minutes;
        let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::default()).collect();
        let mut available = limit;
        if method == Method::Split {
            for router in &mut routers {
                router.free = limit / ROUTERS as u64;
                available -= router.free;
            }
        }
        Self {
            method,
            scenario,
            start: Instant::now(),
            tick: 0,
            rng: SplitMix64::new(SEED),
            limit,
            available,
            routers,
            result: Report::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick as u32
    }

    fn is_table_up(&self) -> bool {
        !(self.scenario.outage.0..self.scenario.outage.1).contains(&self.tick)
    }

    fn is_killed(&self, at: usize) -> bool {
        at == 0 && self.scenario.kill_at.is_some_and(|at| self.tick >= at)
    }

    fn state(&self, at: usize) -> State {
        let router = &self.routers[at];
        State {
            free: router.free,
            available: self.available,
            rate: router.rate.per_second(self.now()),
            idle_time: router.rate.idle_time(self.now()),
            request_cost: WORST_CASE,
            routers: ROUTERS as u32,
        }
    }

    fn draw(&mut self, at: usize, need: u64) {
        let wanted = draw(&self.state(at), need, &Settings::default());
        if let (Some(wanted), true) = (wanted, self.is_table_up()) {
            let tokens = wanted.tokens.min(self.available);
            self.available -= tokens;
            self.routers[at].free += tokens;
            self.result.writes += 1;
        }
    }

    fn ask_peers(&mut self, at: usize) {
        for _ in 0..MAX_TRANSFERS {
            let free = self.routers[at].free;
            if free >= WORST_CASE {
                return;
            }
            let now = self.now();
            let peer = |i: usize| Peer {
                free: if i == at || self.is_killed(i) {
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
            let request = PeerRequest {
                need: WORST_CASE - free,
                rate: peers[at].rate,
            };
            let given = transfer_amount(peers[from].free, &request, peers[from].rate);
            self.routers[from].free -= given;
            self.routers[at].free += given;
            self.result.transfers += 1;
        }
    }

    /// Reserves the worst-case cost of a request, if there are enough tokens.
    fn reserve(&mut self, at: usize) -> bool {
        if self.method == Method::Transactions {
            let granted = self.is_table_up() && self.available >= WORST_CASE;
            if granted {
                self.available -= WORST_CASE;
                self.routers[at].free += WORST_CASE;
            }
            self.result.writes += u64::from(self.is_table_up());
        } else if self.method == Method::Grants && self.routers[at].free < WORST_CASE {
            self.draw(at, WORST_CASE);
            self.ask_peers(at);
        }
        let router = &mut self.routers[at];
        if router.free < WORST_CASE {
            return false;
        }
        router.free -= WORST_CASE;
        router.reserved += WORST_CASE;
        true
    }

    fn arrive(&mut self) {
        // The last router gets three times as many requests as the first.
        let at = self.rng.below(ROUTERS);
        let accept = 0.33 + 0.67 * at as f64 / (ROUTERS - 1) as f64;
        if self.rng.next_f64() > accept || self.is_killed(at) {
            return;
        }
        let used = -(1.0 - self.rng.next_f64()).ln() * MEAN_USED;
        let used = (used as u64).clamp(1, WORST_CASE);
        self.result.requests += 1;
        if self.reserve(at) {
            let end = self.tick + REQUEST_TICKS;
            self.routers[at].running.push_back((end, used));
            return;
        }
        self.result.refused += 1;
        let reserved: u64 = self.routers.iter().map(|r| r.reserved).sum();
        let left = self.limit - self.result.spent - self.result.stranded - reserved;
        if left >= WORST_CASE {
            self.result.false_refusals += 1;
            let is_early = left * 50 > self.limit;
            self.result.false_early += u64::from(is_early);
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
            router.reserved -= WORST_CASE;
            router.rate.record(used, now);
            self.result.spent += used;
            if self.method == Method::Transactions {
                // A return that is impossible in an outage is made after it, so it is
                // counted in any case.
                self.available += WORST_CASE - used;
                self.result.writes += 1;
            } else {
                router.free += WORST_CASE - used;
            }
        }
    }

    fn adjust(&mut self, at: usize) {
        self.draw(at, 0);
        let moved = give_back(&self.state(at), &Settings::default());
        if let (Some(moved), true) = (moved, self.is_table_up()) {
            self.routers[at].free -= moved.tokens;
            self.available += moved.tokens;
            self.result.writes += 1;
        }
    }

    fn run(mut self) -> Report {
        let mut next_arrival = 0.0;
        let mut last_writes = 0;
        // `arrive` accepts two thirds of the requests that are generated.
        let interval = SECOND as f64 / (ARRIVALS_PER_SECOND / 0.665);
        while self.tick < self.scenario.length {
            while next_arrival <= self.tick as f64 {
                next_arrival -= (1.0 - self.rng.next_f64()).ln() * interval;
                self.arrive();
            }
            for at in (0..ROUTERS)
                .filter(|at| !self.is_killed(*at))
                .collect::<Vec<_>>()
            {
                self.settle(at);
                let turn = self.tick + at as u64;
                if self.method == Method::Grants && turn.is_multiple_of(SECOND) {
                    self.adjust(at);
                }
            }
            if self.scenario.kill_at == Some(self.tick) {
                self.result.stranded = self.routers[0].free + self.routers[0].reserved;
                self.routers[0] = Router::default();
            }
            self.tick += 1;
            if self.tick.is_multiple_of(SECOND) {
                self.result.peak_writes = self
                    .result
                    .peak_writes
                    .max(self.result.writes - last_writes);
                last_writes = self.result.writes;
            }
        }
        assert!(self.result.spent <= self.limit, "overspent");
        self.result
    }
}

fn main() {
    let scenario = |name, minutes, outage, kill_at, length| Scenario {
        name,
        minutes,
        outage,
        kill_at,
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
        for method in [Method::Grants, Method::Split, Method::Transactions] {
            let world = World::new(method, scenario);
            let limit = world.limit;
            let r = world.run();
            let writes = r.writes as f64 * SECOND as f64 / scenario.length as f64;
            let percent = |tokens: u64| 100.0 * tokens as f64 / limit as f64;
            println!(
                "| {} | {method:?} | {} | {} | {} | {writes:.2} | {} | {} | {:.2} | {:.2} |",
                scenario.name,
                r.requests,
                r.false_refusals,
                r.false_early,
                r.peak_writes,
                r.transfers,
                percent(r.stranded),
                percent(r.spent),
            );
        }
    }
}
