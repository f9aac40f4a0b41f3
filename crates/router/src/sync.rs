//! Locks of the shared tables.
//!
//! Order: the configuration, the bank's tables, the biller's queue and then its
//! losses, the peers and then the copies held for them, the pools of
//! `dispatch`, the notes of claims and then the open ones, the journal, the
//! burn counts. On the users' platform: the configuration, the fleet's tables,
//! the purse's tables, the shares of repeats; none of them is taken while
//! another is held. A lock is held for one decision, never across an await, and a
//! later one may be taken while an earlier one is held, never the other way.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table; one that a panicking task held is used as it is.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
