//! The operators' command.
//!
//! Operators drive the fleet through classes of work with their targets, and
//! through prepaid budgets; there is nothing here to place work or to weigh
//! backend servers. [`command`] holds what changes something, [`query`] what
//! only reads; both work on a [`fleet::Fleet`], so that tests fill in a fleet
//! of their own.

pub mod audit;
pub mod chain;
pub mod classes;
pub mod command;
pub mod config_diff;
mod dispatch;
pub mod error;
pub mod fleet;
pub mod open;
pub mod output;
pub mod query;

pub use dispatch::run;
