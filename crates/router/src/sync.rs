//! Locks of the shared tables, and their order.
//!
//! A lock is held for one decision and never across an await. While one is held,
//! only a lock further down this list may be taken:
//!
//! 1. the configuration,
//! 2. the tables of the budget manager,
//! 3. the queue of bills, then its recorded losses,
//! 4. the table of peers, then the copies of bills kept for them,
//! 5. the dispatcher's pools,
//! 6. the registry of claims, then the table of open claims,
//! 7. the trace of requests,
//! 8. the burn counts.
//!
//! On the users' platform the locks are those of the configuration, the state of
//! the servers, the costs of requests, the paths to servers, the state of the budgets,
//! the crashes, the streams, the retry shares, the connections of clients, each of these
//! connections, and the bodies that are read. There, none is taken while another is held.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table, ignoring poisoning: data left by a panicked task is used as it
/// is.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
