//! Keeps the number of scenarios that run at once small.

use std::sync::{Condvar, Mutex};

/// Scenarios that run at once.
const MOST: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static FREED: Condvar = Condvar::new();

/// A place among the running scenarios; dropped at the end of one.
#[derive(Debug)]
pub struct Place(());

/// Waits for a place.
pub fn enter() -> Place {
    let running = RUNNING.lock().unwrap_or_else(|e| e.into_inner());
    let waited = FREED.wait_while(running, |n| *n >= MOST);
    *waited.unwrap_or_else(|e| e.into_inner()) += 1;
    Place(())
}

impl Drop for Place {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(|e| e.into_inner()) -= 1;
        FREED.notify_one();
    }
}
