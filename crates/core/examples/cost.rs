//! Measures the cost of the decisions in nanoseconds each, for several sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use poplar_core::affinity::{Candidate, Query};
use poplar_core::completion::{self, Outlook};
use poplar_core::cost::Work;
use poplar_core::id::Name;
use poplar_core::pace::{Common, Pace};
use poplar_core::prefix::CacheView;
use poplar_core::queue::{Entry, Queue};
use poplar_core::route::rng::SplitMix64;
use poplar_core::route::server::{HealthState, InFlight, LoadReport, Server};
use poplar_core::route::{Fleet, Job, Policy, choose};

const MS: Duration = Duration::from_millis(1);
const ITERATIONS: u32 = 20_000;

fn servers(count: usize, now: Instant) -> Vec<Server> {
    let mut rng = SplitMix64::new(1);
    let server = |i: usize| {
        let mut server = Server::new(format!("e{i}").into(), "nbo-a".into(), MS);
        server.record_report(LoadReport {
            running: rng.below(16) as u32,
            waiting: 0,
            slots: 16,
            step: MS * 6,
            taken: now,
        });
        (0..rng.below(4)).for_each(|id| {
            let request = InFlight {
                priority: 3,
                sent: now,
                prefill: 100,
                remaining: 100,
                slot_free: true,
                last_token: None,
            };
            server.record_dispatch(id as u64, request);
        });
        server
    };
    (0..count).map(server).collect()
}

/// Engines with paces that were learned, a quarter of them in the own data centre.
fn candidates(count: usize, now: Instant) -> Vec<Candidate> {
    let mut rng = SplitMix64::new(2);
    let mut common = Common::default();
    let candidate = |at: usize| {
        let mut pace = Pace::default();
        pace.record_figure(100, now);
        let took = MS * (60 + rng.below(100) as u32);
        (0..9).for_each(|_| pace.record(&mut common, took, 100.0, 1.0, now));
        Candidate {
            id: format!("engine-{at}").into(),
            same_centre: at.is_multiple_of(4),
            in_flight: 3,
            prefill_tokens: 900,
            running: 8,
            waiting: 0,
            health: HealthState::Healthy,
            last_resort: false,
            outlook: Some(Outlook {
                left_ms: 500.0 * rng.next_f64(),
                slots: 16,
                pace,
            }),
        }
    };
    (0..count).map(candidate).collect()
}

fn time(name: &str, size: usize, mut decide: impl FnMut(u32)) {
    let start = Instant::now();
    (0..ITERATIONS).for_each(&mut decide);
    let nanos = start.elapsed().as_nanos() / u128::from(ITERATIONS);
    println!("| {name} | {size} | {nanos} |");
}

fn main() {
    let now = Instant::now();
    println!("| decision | size | ns |\n|---|---|---|");
    for count in [4, 20, 64, 1_000, 10_000] {
        let servers = servers(count, now);
        let fleet = Fleet {
            servers: &servers,
            routers: 9,
            policy: Policy::Predicted,
            placed: 0,
        };
        let job = Job {
            priority: 3,
            prompt: 600,
            output: 120,
            repeatable: true,
            tried: &[],
        };
        time("choose, servers", count, |i| {
            black_box(choose(&fleet, &job, |_| 0, &[], i.into(), now));
        });
    }
    for count in [9, 90, 900] {
        let all = candidates(count, now);
        let work = Work {
            prompt_tokens: 600,
            shared_tokens: 13_000,
            output_tokens: 150,
            call_ms: 0.0,
        };
        time("choose by completion, servers", count, |i| {
            let query = Query {
                prompt_id: i.into(),
                shared_tokens: 13_000,
                tried: &[],
                random: f64::from(i) / f64::from(ITERATIONS),
            };
            black_box(completion::choose(&all, &query, &work, now));
        });
    }
    for workspaces in [10, 100, 1_000] {
        let names: Vec<Name> = (0..workspaces).map(|i| format!("w{i}").into()).collect();
        let mut queue = Queue::new(100_000);
        let push = |i: u32, queue: &mut Queue| {
            let entry = Entry {
                id: i.into(),
                workspace: names[i as usize % names.len()].clone(),
                priority: (i % 5) as u8,
                cost: 100 + i % 50,
                queued_at: now,
                send_by: now + MS * (1_000 + i % 1_000),
            };
            queue.push(entry).expect("the queue has room");
        };
        (0..5_000).for_each(|i| push(i, &mut queue));
        time("push and pop, workspaces", workspaces, |i| {
            push(i, &mut queue);
            black_box(queue.pop(now, |_| true));
        });
    }
    for blocks in [4, 64, 256] {
        let mut view = CacheView::new(4096);
        let hashes: Vec<u64> = (0..blocks).map(|i| SplitMix64::new(i).next_u64()).collect();
        view.record_sent(&hashes);
        time("match a prefix, blocks", hashes.len(), |_| {
            black_box(view.matched_blocks(&hashes));
        });
    }
}
