//! Times as routers exchange them: as ages, since they have no clock in common.

use std::time::{Duration, Instant};

/// The age of `at` in milliseconds.
pub(super) fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

/// The time at which something had this age; `now` if that is before the host
/// started.
pub(super) fn time_of(age_ms: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
