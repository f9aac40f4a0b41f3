//! Bodies of requests that are being read: which one is ended for another one.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::sorted::SortedVec;

/// Bytes that count as progress of a body.
const PROGRESS: usize = 16 << 10;
/// Time without progress after which a body may be ended for another one.
const MIN_STALL: Duration = Duration::from_millis(250);
/// Size up to which a body may also use the last quarter of the memory.
const SMALL_BYTES: usize = 16 << 10;

/// A body that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reader {
    /// Address of the client.
    pub address: IpAddr,
    /// Memory that is reserved for it, in bytes.
    pub reserved: usize,
    /// When it last made progress.
    progressed: Instant,
    /// Bytes received since then.
    received: usize,
}

impl Reader {
    /// A body that begins.
    pub fn new(address: IpAddr, now: Instant) -> Self {
        Self {
            address,
            reserved: 0,
            progressed: now,
            received: 0,
        }
    }

    /// Records that bytes came. Few bytes at a time are no progress until they add up.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.received += bytes;
        if self.received >= PROGRESS {
            self.received = 0;
            self.progressed = now;
        }
    }

    fn stall(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progressed)
    }
}

/// Whether a body may grow by `bytes` to `size`, if `used` of `limit` bytes are in use.
/// Small bodies have a quarter of the memory for themselves, so that ordinary requests
/// are still served.
pub fn has_room(used: usize, limit: usize, bytes: usize, size: usize) -> bool {
    let limit = match size <= SMALL_BYTES {
        true => limit,
        false => limit / 4 * 3,
    };
    used.saturating_add(bytes) <= limit
}

/// Whether a body of this size can be read at all, however little else is in use.
pub fn can_fit(limit: usize, size: usize) -> bool {
    has_room(0, limit, size, size)
}

/// The body to end for another one: of those that make no progress, the one that holds
/// the most for the longest, of the address whose bodies hold the most. `None` if all
/// make progress.
pub fn victim(readers: &[Reader], now: Instant) -> Option<usize> {
    let mut held: SortedVec<IpAddr, usize> = SortedVec::new();
    let may_end = |reader: &Reader| reader.reserved > 0 && reader.stall(now) >= MIN_STALL;
    for reader in readers.iter().filter(|r| may_end(r)) {
        *held.get_or_insert_with(reader.address, || 0) += reader.reserved;
    }
    let most = held.iter().map(|(_, bytes)| *bytes).max()?;
    let candidates = readers
        .iter()
        .enumerate()
        .filter(|(_, reader)| may_end(reader) && held.get(&reader.address) == Some(&most));
    let cost = |reader: &Reader| reader.reserved as u128 * reader.stall(now).as_millis();
    let worst = candidates.max_by_key(|(_, reader)| cost(reader));
    worst.map(|(at, _)| at)
}
