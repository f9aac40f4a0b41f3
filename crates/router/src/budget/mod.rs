//! Budgets in the router: what it holds, draws, gives and bills.

pub mod bill_queue;
pub mod bill_writer;
pub mod gift;
mod grant_writer;
pub mod manager;
pub mod prefetch;
pub mod reservation;
