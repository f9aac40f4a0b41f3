//! Connections of clients: which are closed after a time, and which for a new one.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::sorted::SortedVec;

/// Longest time in which a client takes less than [`READER_PROGRESS`] of an answer that
/// waits for it: the usual time-out of idle connections.
const READER_TIMEOUT: Duration = Duration::from_secs(15);
/// The same while the memory for answers is nearly used up.
const READER_TIMEOUT_IF_FULL: Duration = Duration::from_secs(2);
/// Bytes of an answer that count as progress of a reader.
pub const READER_PROGRESS: usize = 16 << 10;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A head has begun and is not complete.
    Head,
    /// The client does not take the answer.
    Blocked,
    /// A request is read or served, or its answer is written.
    Busy,
}

/// A connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// Address of the client.
    pub address: IpAddr,
    /// What it does.
    pub phase: Phase,
    /// Since when.
    pub since: Instant,
}

impl Connection {
    /// Why the connection is closed; `None` if it stays. `is_full` tells whether the
    /// memory for answers is nearly used up.
    pub fn overdue(
        &self,
        head_timeout: Duration,
        is_full: bool,
        now: Instant,
    ) -> Option<&'static str> {
        let reader_timeout = match is_full {
            true => READER_TIMEOUT_IF_FULL,
            false => READER_TIMEOUT,
        };
        let (timeout, reason) = match self.phase {
            Phase::Head => (head_timeout, "head too slow"),
            Phase::Blocked => (reader_timeout, "answer not read"),
            Phase::Idle | Phase::Busy => return None,
        };
        (now.saturating_duration_since(self.since) > timeout).then_some(reason)
    }
}

/// The connection to close for a new one: an idle one, or one whose head is not complete,
/// of the address that has the most of them, for the longest time. `None` if all are busy.
pub fn victim(connections: &[Connection]) -> Option<usize> {
    let mut counts: SortedVec<IpAddr, usize> = SortedVec::new();
    let may_close = |connection: &Connection| connection.phase <= Phase::Head;
    for connection in connections.iter().filter(|c| may_close(c)) {
        *counts.get_or_insert_with(connection.address, || 0) += 1;
    }
    let most = counts.iter().map(|(_, count)| *count).max()?;
    let candidates = connections.iter().enumerate().filter(|(_, connection)| {
        may_close(connection) && counts.get(&connection.address) == Some(&most)
    });
    let oldest = candidates.min_by_key(|(_, connection)| (connection.phase, connection.since));
    oldest.map(|(at, _)| at)
}
