//! Each router's quota of the prepaid token budgets.
//!
//! Each router keeps one row in the shared table, with an allocation for each
//! budget: the tokens granted to the router, the tokens it had spent at the
//! last checkpoint, and a burst and a rate that limit what it may spend beyond
//! that. A router never spends more than its allocations allow at the moment.
//! When its process dies, its successor finds the row, computes an upper bound
//! on what was spent, and returns the rest of the grant to the budget. Tokens
//! below that bound that may or may not have been spent are stranded: they
//! stay deducted. What is above any bound, however old the row, goes back to the
//! budget when the router is silent, see [`plan_takeover`].
//!
//! The bound grows with the time since the row was written. A router that is
//! cut off from the table can therefore go on spending, and one that dies while
//! it writes regularly strands little.
//!
//! In a large fleet only the [`holders()`] of a budget have such allocations. The other
//! routers reserve what a request needs at one of them, see [`Leases`].

mod account;
mod contention;
mod holders;
mod lease;
mod plan;
mod rows;
mod summary;
mod takeover;
mod timeout;

pub use account::Account;
pub use contention::{Change, conflict_backoff, is_large_fleet, max_read_age, select_changes};
pub use holders::{holder_count, holders};
pub use lease::{Begin, LeaseId, Leases};
pub use plan::{Demand, PlanInput, demand_rate, plan_allocation, wanted_change};
pub use rows::{Allocation, BudgetTotal, HolderRow, LentTokens, Settlement, settle_allocation};
pub use summary::{BudgetSum, FleetSummary};
pub use takeover::{Takeover, plan_takeover};
pub use timeout::TableTimeout;
