//! What the stand-ins' calls share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// State behind a lock; clones share it.
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
        // A panic elsewhere leaves plain data that is still whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets `target` where an update names a value.
pub fn set_if_given<T>(target: &mut T, value: Option<impl Into<T>>) {
    if let Some(value) = value {
        *target = value.into();
    }
}

/// A duration of an update, given in milliseconds.
pub fn from_ms(millis: Option<u64>) -> Option<Duration> {
    millis.map(Duration::from_millis)
}

/// A duration as switches show it, in milliseconds.
pub fn to_ms(duration: Duration) -> Option<u64> {
    Some(duration.as_millis() as u64)
}

/// Waits for `time`, without yielding where that is nothing.
pub async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
