//! What a router may spend of prepaid budgets, and what its death strands.
//!
//! Each router keeps one row with its terms for each budget: how much was
//! granted to it, how much it had spent at the last checkpoint, and a burst
//! and a rate beyond that. A router never spends more than its terms allow at
//! the moment, so that a successor that finds the row knows a bound on what
//! the dead process spent, and gives the rest of the grant back. The bound
//! grows with time, so that a router which is cut off from the table goes on,
//! and one that dies in touch strands little.

mod account;
mod contention;
mod plan;
mod rows;
mod summary;
mod timeout;

pub use account::Account;
pub use contention::{Change, conflict_backoff, is_large_fleet, max_read_age, select_changes};
pub use plan::{Demand, PlanInput, plan_allocation, wanted_change};
pub use rows::{Allocation, BudgetTotal, HolderRow, Settlement, settle_allocation};
pub use summary::{BudgetSum, FleetSummary};
pub use timeout::TableTimeout;
