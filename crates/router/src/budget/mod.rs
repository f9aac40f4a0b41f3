//! Budgets in the router: what it holds, draws, gives and bills.

pub mod bill_queue;
pub mod bill_writer;
mod grant_writer;
pub mod manager;
pub mod prefetch;
pub mod reservation;
pub mod transfer;
