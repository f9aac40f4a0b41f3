//! Permits of servers with a limit, and the order in which routers get them.
//!
//! Time is divided into slots that are numbered by the clock that all routers
//! share. The number of permits in a slot follows from the limit, and the order
//! of routers for each permit from a hash of both. Routers whose clocks differ
//! use a permit at different times, but none uses a permit of another one.

use std::net::IpAddr;
use std::time::Duration;

/// Length of a slot.
pub const SLOT: Duration = Duration::from_millis(50);

/// One request that a server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    seed: u64,
}

impl Permit {
    /// The rank of a router; the one with the highest rank gets the permit.
    pub fn rank(&self, router: IpAddr) -> (u64, IpAddr) {
        let hash = match router {
            IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), self.seed),
            IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), self.seed),
        };
        (hash, router)
    }
}

/// The permits of a server with this limit, in requests a second, in a slot.
pub fn permits(server: &str, rate: f64, slot: u64) -> impl Iterator<Item = Permit> {
    let server = xxhash_rust::xxh3::xxh3_64(server.as_bytes());
    // Servers with the same limit don't all have their permits at once.
    let phase = (server >> 32) as f64 / f64::from(u32::MAX);
    let until = |slot: u64| (slot as f64 * SLOT.as_secs_f64() * rate + phase).floor();
    let count = (until(slot + 1) - until(slot)) as u64;
    (0..count).map(move |n| {
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(&slot.to_le_bytes(), server ^ n);
        Permit { seed }
    })
}
