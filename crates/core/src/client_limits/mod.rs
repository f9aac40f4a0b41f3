//! Limits for clients that send much and finish little: very many connections, heads and
//! bodies that stop halfway, and answers that are not read.
//!
//! [`ClientShares`] divides the memory and the file descriptors of a host among what clients
//! can occupy. When a share is used up, [`connections`] and [`bodies`] name the one that
//! holds the most for the least progress, of the address that holds the most. It is ended
//! in favour of the next one.

pub mod bodies;
pub mod connections;

use std::time::{Duration, Instant};

/// File descriptors of a host that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the memory for the bodies of requests.
const BODY_MEMORY: f64 = 0.35;
/// Part of the memory for the connections of callers.
const CONNECTION_MEMORY: f64 = 0.25;
/// Part of the memory for answers that are not forwarded yet.
const RESPONSE_MEMORY: f64 = 0.2;
/// Memory of a connection, in bytes: 3,000 heads that stop at 12 KB took 82 MB, and 2,000
/// heads of 95 fields 44 MB.
const CONNECTION_BYTES: f64 = 28.0 * 1024.0;
/// The least number of connections of callers, however small the host is.
const MIN_CONNECTIONS: usize = 32;
/// The least number of tunnels.
const MIN_TUNNELS: usize = 8;
/// Time between two log lines with the same reason.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// What clients may occupy at a host; `None` where the host has no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClientShares {
    /// Bytes of bodies of requests.
    pub bodies: Option<usize>,
    /// Bytes of answers that are not forwarded yet.
    pub responses: Option<usize>,
    /// Connections of callers.
    pub connections: Option<usize>,
    /// Connections to servers for other routers.
    pub tunnels: Option<usize>,
}

impl ClientShares {
    /// Divides the memory in bytes and the file descriptors of a host.
    ///
    /// The rest of the memory is left for the process itself, the store, and messages
    /// between routers. Of the descriptors that are not for files, three eighths are for
    /// callers, as many for the servers of their requests, and an eighth for tunnels, of
    /// which each has two. The rest is left for the store, other routers and the other
    /// listeners.
    pub fn new(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let part = |ratio: f64| memory.map(|memory| (memory as f64 * ratio) as usize);
        let by_memory = part(CONNECTION_MEMORY).map(|bytes| bytes as f64 / CONNECTION_BYTES);
        let sockets = descriptors.map(|count| count.saturating_sub(FILE_DESCRIPTORS));
        let sockets = sockets.map(|count| usize::try_from(count).unwrap_or(usize::MAX));
        let connections = [
            by_memory.map(|count| count as usize),
            sockets.map(|count| count / 8 * 3),
        ];
        let connections = connections.into_iter().flatten().min();
        Self {
            bodies: part(BODY_MEMORY),
            responses: part(RESPONSE_MEMORY),
            connections: connections.map(|count| count.max(MIN_CONNECTIONS)),
            tunnels: sockets.map(|count| (count / 16).max(MIN_TUNNELS)),
        }
    }
}

/// Limits the log lines of one reason.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogPace {
    logged: Option<Instant>,
    unlogged: u64,
}

impl LogPace {
    /// Records an event; returns the number of events since the last line if one is due.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        self.unlogged += 1;
        if self.logged.is_some_and(|at| now < at + LOG_PERIOD) {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}
