//! Measures the cost of the decisions in nanoseconds each, for several sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::prefix::CacheView;
use poplar_core::queue::{Entry, Queue};
use poplar_core::route::rng::SplitMix64;
use poplar_core::route::server::{InFlight, LoadReport, Server};
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
