//! Prints the specifications with their bounds, states and time.

use std::time::Instant;

use poplar_spec::{budget, claim};

fn main() {
    let wanted = std::env::args().nth(1);
    for (name, bounds) in budget::suite() {
        if wanted.as_ref().is_some_and(|w| w != name) {
            continue;
        }
        let start = Instant::now();
        let explored = budget::run(bounds, None);
        println!(
            "budget {name}: {} states, {:?}",
            explored.states,
            start.elapsed()
        );
        if let Some(broken) = explored.broken {
            println!("{broken}");
        }
    }
    for (name, bounds) in claim::suite() {
        if wanted.as_ref().is_some_and(|w| w != name) {
            continue;
        }
        let start = Instant::now();
        let explored = claim::run(bounds, None);
        println!(
            "claim {name}: {} states, {:?}",
            explored.states,
            start.elapsed()
        );
        if let Some(broken) = explored.broken {
            println!("{broken}");
        }
    }
}
