//! Whether a host has a path to the servers of a service.
//!
//! A server that accepts no connection may have ended, or the path to it may be lost. The
//! path is lost once several servers in a row accept none. The host then connects by way
//! of another one, and tries a server itself now and then until one accepts.

use std::time::{Duration, Instant};

use crate::id::Name;

/// Servers in a row that accept no connection from which on the path counts as lost. A
/// single one has rather ended.
const LOST_SERVERS: usize = 2;
/// Time between two connections that try the lost path.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// The path to the servers of one service.
#[derive(Debug, Clone, Default)]
pub struct Path {
    /// Servers that accepted no connection since one last did, as far as they count.
    failed: Vec<Name>,
    connected: Option<Instant>,
    probed: Option<Instant>,
}

impl Path {
    /// Records that a server accepted a connection; returns whether the path was lost.
    pub fn record_connected(&mut self, now: Instant) -> bool {
        let was_lost = self.is_lost();
        self.failed.clear();
        self.connected = Some(now);
        was_lost
    }

    /// Records that a server accepted none; returns whether the path is lost by that.
    pub fn record_failed(&mut self, server: &Name) -> bool {
        if self.is_lost() || self.failed.contains(server) {
            return false;
        }
        self.failed.push(server.clone());
        self.is_lost()
    }

    /// Whether no server seems to accept connections of this host.
    pub fn is_lost(&self) -> bool {
        self.failed.len() >= LOST_SERVERS
    }

    /// Time since a server last accepted a connection; `None` if none has.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.connected;
        at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether to try the lost path now.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        let is_due = self.probed.is_none_or(|at| now >= at + PROBE_PERIOD);
        if is_due {
            self.probed = Some(now);
        }
        self.is_lost() && is_due
    }
}
