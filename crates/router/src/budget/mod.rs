//! Budgets in the router: what it holds, draws and gives.

pub mod bank;
pub mod biller;
pub mod rate;
