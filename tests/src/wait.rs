//! Waits for conditions by polling; the bounds only end a hang.

use std::time::{Duration, Instant};

use crate::fault::{Fault, Result};

/// Bound on every wait.
pub const LONGEST: Duration = Duration::from_secs(45);
/// Time between two looks.
pub const POLL: Duration = Duration::from_millis(20);

/// Polls until `look` finds something.
///
/// # Errors
/// Where it finds nothing for too long.
pub async fn until<T>(
    what: impl std::fmt::Display,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let start = Instant::now();
    loop {
        if let Some(found) = look().await {
            return Ok(found);
        }
        if start.elapsed() > LONGEST {
            return Err(Fault(format!("waited too long for {what}")));
        }
        tokio::time::sleep(POLL).await;
    }
}
