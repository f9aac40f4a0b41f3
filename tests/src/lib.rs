//! Test harness of the integration tests.
//!
//! A scenario starts the built programs as separate processes on loopback, with
//! a relay in front of every address that a router connects to. Assertions rest
//! on counts of the stand-ins (engines, services, platform) and on what callers
//! received, never on what a router reports about itself.

pub mod audit;
pub mod bills;
pub mod bins;
pub mod caller;
pub mod concurrency;
pub mod error;
pub mod fleet;
pub mod load;
pub mod platform;
pub mod process;
pub mod record;
pub mod relay;
pub mod script;
pub mod wait;
pub mod web;
