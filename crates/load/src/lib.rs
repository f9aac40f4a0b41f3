//! Load generator and experiment tool.
//!
//! Arrivals are open-loop: [`schedule`] computes them in advance from a seed,
//! and each request is sent at its time, however many are still in flight.
//! Latencies are measured from the scheduled arrival, so that the delay of an
//! overloaded fleet is counted (no coordinated omission). A [`caller`] behaves
//! like a well-written client: it spreads requests over ready routers, honours
//! `Retry-After`, and retries under the same idempotency key.

pub mod balancer;
pub mod caller;

pub mod mix;
pub mod options;
pub mod plot;
mod program;
pub mod prompt;

pub mod retry;
pub mod run_result;
pub mod runner;
pub mod schedule;
pub mod stream;
pub mod tally;

pub use program::run;
