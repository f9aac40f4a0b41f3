//! Specifications of the core protocol, explored exhaustively.
//!
//! Each specification is a small model of the environment of the decision
//! functions of `poplar-core`: a table with conditional writes, messages that are
//! lost, delayed or duplicated, and routers that crash or pause. The decision
//! functions themselves make the transitions. A breadth-first search visits every
//! state within the bounds and checks the invariants in each.
//!
//! A router that is paused or cut off from the table is one that takes no steps
//! for a while. The search tries every order of steps, so both cases are covered
//! without steps of their own.

pub mod budget;
pub mod claim;
pub mod config;
pub mod explore;
