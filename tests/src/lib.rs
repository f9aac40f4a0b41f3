//! Shared utilities of the integration tests.
//!
//! A scenario starts the built programs as separate processes on loopback, with
//! a relay in front of every address that a router connects to. What it asserts
//! is counted at the stand-ins of engines, services and platform, or in what
//! callers received; never taken from a router's word.

pub mod audit;
pub mod bills;
pub mod bins;
pub mod caller;
pub mod fault;
pub mod fleet;
pub mod gate;
pub mod load;
pub mod platform;
pub mod process;
pub mod record;
pub mod relay;
pub mod script;
pub mod wait;
pub mod web;
