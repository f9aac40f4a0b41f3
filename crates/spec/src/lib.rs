//! Specifications of the core protocol, explored exhaustively.
//!
//! Each specification is a small model of the world around the decision
//! functions of `poplar-core`: a table with conditional writes, messages that
//! are lost, late or doubled, routers that crash or stand still. The decision
//! functions themselves are the transitions. A breadth-first search visits every
//! state within the bounds and checks the invariants in each.
//!
//! A router that is paused, or cut off from the table, is one whose steps are
//! not taken for a while. The search tries every order of steps, so it covers
//! both without a step of their own.

pub mod budget;
pub mod claim;
pub mod config;
pub mod explore;
