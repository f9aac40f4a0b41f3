//! Decisions of the poplarreel router fleet as pure functions.
//!
//! Nothing here does I/O, starts a task or reads a clock. Each function that
//! depends on the time takes it as the argument `now`, so tests and the
//! specifications in `poplar-spec` drive the same code that the router runs.

pub mod admit;
pub mod affinity;
pub mod bill;
pub mod budget;
pub mod claim;
pub mod config;
pub mod deployment;
pub mod generation;
pub mod grant;
pub mod health;
pub mod id;
pub mod poison;
pub mod prefix;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod route;
pub mod sorted;
