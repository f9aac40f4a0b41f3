//! Prepaid budgets: what is safe to spend and how the table keeps it so.
//!
//! Safety comes from conditional writes, not from clocks. The sum of grants in
//! the table never exceeds the prepaid limit, and a router's spent, reserved
//! and given tokens never exceed its grants. No grant expires by time, so a
//! holder that was paused or cut off can do no harm when it goes on.

pub mod change;
pub mod ledger;
pub mod recovery;
pub mod rows;
pub mod topup;
pub mod transfer;
