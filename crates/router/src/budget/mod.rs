//! Budgets in the router: what it holds, draws, gives and bills.

pub mod bank;
pub mod biller;
mod draw;
pub mod gift;
pub mod reservation;
pub mod warm;
pub mod writer;
