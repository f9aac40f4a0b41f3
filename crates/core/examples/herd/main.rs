//! Routing policies side by side, in virtual time of one millisecond a turn.
//!
//! Nine routers that don't see each other's choices send to twenty engines
//! whose load reports lag. Prints one table of targets met and times; the
//! argument is the number of seeds, which are 1, 2 and so on.

mod sim;

use std::time::Instant;

use poplar_core::route::Policy;

use crate::sim::{CLASSES, Class, LENGTH, Request, Setup, Trouble, World};

/// Arrivals before this time are not counted, in ms.
const WARMUP: u64 = 10_000;

/// Arrivals this long before the end are not counted, in ms.
const COOLDOWN: u64 = 20_000;

fn percentile(mut times: Vec<u64>, part: f64) -> u64 {
    times.sort_unstable();
    let at = (times.len() as f64 * part) as usize;
    times.get(at).copied().unwrap_or_default()
}

/// Prints targets met and times of the workspaces that are not in a rush.
fn print(name: &str, setup: Setup, requests: &[Request]) {
    let rush = setup.trouble == Trouble::Rush;
    let counted = |r: &&Request| (WARMUP..LENGTH - COOLDOWN).contains(&r.arrived);
    let quiet = requests
        .iter()
        .filter(counted)
        .filter(|r| !rush || r.workspace > 0);
    let quiet: Vec<&Request> = quiet.collect();
    let part = |count: usize, of: usize| 100.0 * count as f64 / of.max(1) as f64;
    let plain = if setup.managed { "" } else { ", unmanaged" };
    print!("| {name} | {:?}{plain} ", setup.policy);
    for (class, goal) in CLASSES.iter().enumerate().take(3) {
        let of: Vec<&&Request> = quiet.iter().filter(|r| r.class == class).collect();
        let Class { first, finish, .. } = *goal;
        let on_time = |t: Option<u64>, goal| t.is_some_and(|t| t <= goal);
        let met = |r: &&&&Request| on_time(r.first, first) && on_time(r.finish, finish);
        let met = part(of.iter().filter(met).count(), of.len());
        let first = percentile(of.iter().filter_map(|r| r.first).collect(), 0.99);
        let finish = |p| percentile(of.iter().filter_map(|r| r.finish).collect(), p);
        print!("| {met:.2} | {first} | {} | {} ", finish(0.5), finish(0.99));
    }
    let refused = quiet.iter().filter(|r| r.refused).count();
    println!("| {:.2} |", part(refused, quiet.len()));
}

fn main() {
    let seeds: u64 = std::env::args()
        .nth(1)
        .map_or(1, |s| s.parse().unwrap_or(1));
    let troubles = [
        ("50% load", 0.5, Trouble::Quiet),
        ("80% load", 0.8, Trouble::Quiet),
        ("95% load", 0.95, Trouble::Quiet),
        ("80%, a rush", 0.8, Trouble::Rush),
        ("80%, a slow engine", 0.8, Trouble::Slow),
        ("95%, stale reports", 0.95, Trouble::Stale),
    ];
    let plain = [
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::RandomOfTwo,
    ];
    let managed = plain.iter().map(|p| (*p, true));
    let policies = std::iter::once((Policy::Predicted, true)).chain(managed);
    let policies = policies.chain(plain.iter().map(|p| (*p, false)));
    let class = |name: &str| format!("{name} met % | first p99 | p50 | p99");
    let classes = ["lookup", "chat", "plan"].map(class).join(" | ");
    println!("| load | policy | {classes} | refused % |");
    println!("|{}", "---|".repeat(15));
    for (name, load, trouble) in troubles {
        for (policy, managed) in policies.clone() {
            let setup = Setup {
                load,
                trouble,
                policy,
                managed,
            };
            let mut requests = Vec::new();
            for seed in 1..=seeds {
                let mut world = World::new(setup, seed, Instant::now());
                world.run();
                requests.append(&mut world.requests);
            }
            print(name, setup, &requests);
        }
    }
}
