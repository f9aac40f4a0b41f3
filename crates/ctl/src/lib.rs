//! The operators' command line tool, `poplar-ctl`.
//!
//! Operators control the fleet by classes of work with their targets and by
//! prepaid budgets. There are no commands to place requests or to set weights of
//! backend servers. [`command`] contains the commands that change something,
//! [`query`] those that only read. Both work on a [`fleet::Fleet`], so that tests
//! can supply their own.

pub mod audit;
pub mod chain;
pub mod classes;
pub mod command;
pub mod config_diff;
pub mod deployment_diff;
mod dispatch;
pub mod error;
pub mod fleet;
pub mod open;
pub mod output;
pub mod query;

pub use dispatch::run;
