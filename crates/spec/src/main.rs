//! Explores the specifications and prints the number of states, the time and the
//! bounds of each.

use std::fmt::Debug;
use std::process::ExitCode;
use std::time::Instant;

use poplar_spec::explore::Exploration;
use poplar_spec::{budget, claim, config};

const USAGE: &str = "usage: poplar-spec [--wide]

Explores every specification and prints its number of states, time and bounds.
With --wide it also explores larger bounds of the claims, which takes minutes
and up to 8 GB of memory.";

/// Explores one specification and prints the result; returns whether it holds.
fn report(model: &str, name: &str, bounds: impl Debug, run: impl FnOnce() -> Exploration) -> bool {
    let start = Instant::now();
    let explored = run();
    let seconds = start.elapsed().as_secs_f64();
    let states = explored.states;
    println!("{model:7} {name:16} {states:9} {seconds:7.1} s  {bounds:?}");
    if let Some(violation) = &explored.violation {
        println!("{violation}");
    }
    explored.violation.is_none()
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let wide = args.iter().any(|arg| arg == "--wide");
    if args.iter().any(|arg| arg != "--wide") {
        println!("{USAGE}");
        return ExitCode::from(2);
    }
    println!("{:7} {:16} {:>9} {:>9}  bounds", "", "", "states", "time");
    let mut all_hold = true;
    for (name, bounds) in budget::suite() {
        all_hold &= report("budget", name, bounds, || budget::run(bounds, None));
    }
    for (name, bounds) in claim::suite() {
        all_hold &= report("claim", name, bounds, || claim::run(bounds, None));
    }
    for (name, bounds) in config::suite() {
        all_hold &= report("config", name, bounds, || config::run(bounds, None));
    }
    for (name, bounds) in claim::wide_suite().into_iter().filter(|_| wide) {
        all_hold &= report("claim", name, bounds, || claim::run(bounds, None));
    }
    if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
