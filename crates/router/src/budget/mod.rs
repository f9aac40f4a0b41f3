//! Token budgets in the router.
//!
//! The [`manager`] reserves tokens for requests from the grants that this
//! router holds. Grants are drawn from the platform's table or transferred from
//! peers. The [`bill_queue`] holds bills until the [`bill_writer`] makes them
//! durable.

pub mod bill_queue;
pub mod bill_writer;
mod grant_writer;
pub mod manager;
pub mod prefetch;
pub mod reservation;
pub mod transfer;
