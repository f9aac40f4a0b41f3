//! Limits the number of scenarios that run concurrently.

use std::sync::{Condvar, Mutex};

/// Limit on concurrent scenarios.
const MAX_CONCURRENT: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static FREED: Condvar = Condvar::new();

/// Permission to run a scenario; dropping it lets the next one start.
#[derive(Debug)]
pub struct Permit(());

/// Blocks until a scenario may run.
pub fn acquire() -> Permit {
    let running = RUNNING.lock().unwrap_or_else(|e| e.into_inner());
    let waited = FREED.wait_while(running, |n| *n >= MAX_CONCURRENT);
    *waited.unwrap_or_else(|e| e.into_inner()) += 1;
    Permit(())
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(|e| e.into_inner()) -= 1;
        FREED.notify_one();
    }
}
