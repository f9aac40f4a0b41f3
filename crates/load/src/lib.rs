//! The load and experiment tool.
//!
//! Arrivals are open-loop: [`schedule`] computes them beforehand from a seed,
//! and an arrival is sent at its time however many are still under way. Times
//! are measured from the scheduled arrival, so that a fleet that falls behind
//! can't hide it. A [`caller`] behaves as a well-written client does: it
//! spreads over ready routers, honours `Retry-After`, and repeats a request
//! under the same idempotency key.

pub mod balancer;
pub mod caller;

pub mod mix;
pub mod options;
pub mod outcome;
pub mod plot;
mod program;
pub mod prompt;

pub mod retry;
pub mod runner;
pub mod schedule;
pub mod stream;
pub mod tally;

pub use program::run;
