//! Simulated comparison of the routing policies, in steps of one millisecond.
//!
//! Nine routers that don't see each other's choices send requests to twenty engines
//! whose load reports are out of date. The program prints one table of the targets
//! met and of latencies. Its argument is the number of seeds: 1, 2 and so on.

mod sim;

use std::time::Instant;

use poplar_core::route::Policy;

use crate::sim::{CLASSES, Class, DURATION_MS, Request, Scenario, Setup, Simulation};

/// Requests that arrive before this time are not counted, in ms.
const WARMUP_MS: u64 = 10_000;

/// Requests that arrive within this time before the end are not counted, in ms.
const COOLDOWN_MS: u64 = 20_000;

fn percentile(mut times: Vec<u64>, fraction: f64) -> u64 {
    times.sort_unstable();
    let at = (times.len() as f64 * fraction) as usize;
    times.get(at).copied().unwrap_or_default()
}

/// Prints a row for the workspaces that don't send a burst.
fn print_row(name: &str, setup: Setup, requests: &[Request]) {
    let burst = setup.scenario == Scenario::Burst;
    let counted = |r: &&Request| (WARMUP_MS..DURATION_MS - COOLDOWN_MS).contains(&r.arrived);
    let measured = requests
        .iter()
        .filter(counted)
        .filter(|r| !burst || r.workspace > 0);
    let measured: Vec<&Request> = measured.collect();
    let percent = |count: usize, of: usize| 100.0 * count as f64 / of.max(1) as f64;
    let suffix = if setup.managed { "" } else { ", unmanaged" };
    print!("| {name} | {:?}{suffix} ", setup.policy);
    for (class, goal) in CLASSES.iter().enumerate().take(3) {
        let of: Vec<&&Request> = measured.iter().filter(|r| r.class == class).collect();
        let Class { first, finish, .. } = *goal;
        let on_time = |t: Option<u64>, goal| t.is_some_and(|t| t <= goal);
        let met = |r: &&&&Request| on_time(r.first, first) && on_time(r.finish, finish);
        let met = percent(of.iter().filter(met).count(), of.len());
        let first = percentile(of.iter().filter_map(|r| r.first).collect(), 0.99);
        let finish = |p| percentile(of.iter().filter_map(|r| r.finish).collect(), p);
        print!("| {met:.2} | {first} | {} | {} ", finish(0.5), finish(0.99));
    }
    let refused = measured.iter().filter(|r| r.refused).count();
    println!("| {:.2} |", percent(refused, measured.len()));
}

fn main() {
    let seeds: u64 = std::env::args()
        .nth(1)
        .map_or(1, |s| s.parse().unwrap_or(1));
    let scenarios = [
        ("50% load", 0.5, Scenario::Steady),
        ("80% load", 0.8, Scenario::Steady),
        ("95% load", 0.95, Scenario::Steady),
        ("80%, a rush", 0.8, Scenario::Burst),
        ("80%, a slow engine", 0.8, Scenario::SlowEngine),
        ("95%, stale reports", 0.95, Scenario::StaleReports),
    ];
    let simple = [
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::RandomOfTwo,
    ];
    let managed = simple.iter().map(|p| (*p, true));
    let policies = std::iter::once((Policy::Predicted, true)).chain(managed);
    let policies = policies.chain(simple.iter().map(|p| (*p, false)));
    let class = |name: &str| format!("{name} met % | first p99 | p50 | p99");
    let classes = ["lookup", "chat", "plan"].map(class).join(" | ");
    println!("| load | policy | {classes} | refused % |");
    println!("|{}", "---|".repeat(15));
    for (name, load, scenario) in scenarios {
        for (policy, managed) in policies.clone() {
            let setup = Setup {
                load,
                scenario,
                policy,
                managed,
            };
            let mut requests = Vec::new();
            for seed in 1..=seeds {
                let mut simulation = Simulation::new(setup, seed, Instant::now());
                simulation.run();
                requests.append(&mut simulation.requests);
            }
            print_row(name, setup, &requests);
        }
    }
}
