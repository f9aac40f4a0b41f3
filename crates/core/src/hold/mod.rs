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
mod contend;
mod pace;
mod plan;
mod rows;
mod summary;

pub use account::Account;
pub use contend::{Change, back_off, choose, is_many, read_age};
pub use pace::Pace;
pub use plan::{Demand, Outlook, change, plan};
pub use rows::{Bound, HolderRow, Terms, Total, release};
pub use summary::{Sum, Summary};
