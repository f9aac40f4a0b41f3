//! What only reads.

pub mod bills;
pub mod budgets;
pub mod config;
pub mod explain;
pub mod routers;
