//! Waits for conditions by polling; the time-out only ends tests that hang.

use std::time::{Duration, Instant};

use crate::error::{Error, Result};

/// Time-out of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(45);
/// Pause between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until `check` returns a value.
///
/// # Errors
/// If it returns none within [`TIMEOUT`]; `what` is named in the message.
pub async fn until<T>(
    what: impl std::fmt::Display,
    mut check: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let start = Instant::now();
    loop {
        if let Some(found) = check().await {
            return Ok(found);
        }
        if start.elapsed() > TIMEOUT {
            return Err(Error(format!("timed out waiting for {what}")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
