//! The decision logic of the poplarreel router fleet, as pure functions.
//!
//! Nothing here does I/O, starts a task or reads a clock. Functions that depend on
//! the time take it as the argument `now`, so that the tests and the
//! specifications in `poplar-spec` run the same code as the router.

pub mod admit;
pub mod affinity;
pub mod availability;
pub mod bill;
pub mod budget;
pub mod capacity;
pub mod claim;
pub mod client_limits;
pub mod cold;
pub mod completion;
pub mod config;
pub mod cost;
pub mod deployment;
pub mod engine_memory;
pub mod evacuation;
pub mod generation;
pub mod grant;
pub mod health;
pub mod id;
pub mod pace;
pub mod path;
pub mod poison;
pub mod prefix;
pub mod queue;
pub mod quota;
pub mod regions;
pub mod retry;
pub mod route;
pub mod server_limit;
pub mod software;
pub mod sorted;
