//! Prepaid budgets: grants, reservations and the transactions that change them.
//!
//! Safety comes from conditional writes, not from clocks. The sum of grants in
//! the table never exceeds the prepaid limit, and the tokens that a router has
//! spent, reserved or transferred never exceed its grants. Grants don't expire
//! with time, so a holder that was paused or partitioned cannot cause overspend
//! when it resumes.

pub mod change;
pub mod ledger;
pub mod recovery;
pub mod rows;
pub mod topup;
pub mod transfer;
