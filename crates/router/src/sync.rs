//! Locks of the shared tables.
//!
//! Order: `config`, `bank`, `roster`, `dispatch`, `claims`, `journal`. A lock
//! is held for one decision, never across an await, and a later one may be
//! taken while an earlier one is held, never the other way.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table; one that a panicking task held is used as it is.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
