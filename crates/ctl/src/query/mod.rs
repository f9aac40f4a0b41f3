//! Queries: commands that only read.

pub mod bills;
pub mod budgets;
pub mod config;
pub mod explain;
pub mod routers;
pub mod verify;
