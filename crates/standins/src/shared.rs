//! Helpers shared by the stand-ins: locked state, partial updates and delays.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// State behind a lock. Clones share the same state.
#[derive(Debug)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Shared<T> {
    /// Puts `state` behind a lock.
    pub fn new(state: T) -> Self {
        Self(Arc::new(Mutex::new(state)))
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        // A lock poisoned by a panic is used anyway: the state is plain data and
        // stays usable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets `target` if an update has a value for it.
pub fn set_if_given<T>(target: &mut T, value: Option<impl Into<T>>) {
    if let Some(value) = value {
        *target = value.into();
    }
}

/// Converts the milliseconds of an update to a duration.
pub fn from_ms(millis: Option<u64>) -> Option<Duration> {
    millis.map(Duration::from_millis)
}

/// Converts a duration to the milliseconds shown for a switch.
pub fn to_ms(duration: Duration) -> Option<u64> {
    Some(duration.as_millis() as u64)
}

/// Sleeps for `time`; returns without yielding if it is zero.
pub async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
