//! A router's estimate of the clock that all routers share.

use std::time::{Duration, Instant};

use super::schedule::SLOT;

/// Difference from which on the clock has been set anew, as by a store that was
/// restarted, rather than read late.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// What the shared clock showed at some time of this process.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SharedClock {
    reading: Option<(u64, Instant)>,
}

impl SharedClock {
    /// Records a reading, which may have been on its way for a while. The one
    /// with the least delay is the one that shows the latest time.
    pub(super) fn record(&mut self, clock_ms: u64, now: Instant) {
        let is_better = self.at(now).is_none_or(|estimate| {
            clock_ms >= estimate || estimate - clock_ms > MAX_DELAY.as_millis() as u64
        });
        if is_better {
            self.reading = Some((clock_ms, now));
        }
    }

    /// The clock in milliseconds; `None` before the first reading.
    pub(super) fn at(&self, now: Instant) -> Option<u64> {
        let (clock_ms, read_at) = self.reading?;
        Some(clock_ms + now.saturating_duration_since(read_at).as_millis() as u64)
    }

    /// The number of the slot at `now`.
    pub(super) fn slot(&self, now: Instant) -> Option<u64> {
        Some(self.at(now)? / SLOT.as_millis() as u64)
    }
}
