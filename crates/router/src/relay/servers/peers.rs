//! The requests that the other routers have at servers, as they last reported.
//!
//! The sums by server are updated with each message, so that a choice reads one entry
//! for each server instead of all messages.

use std::net::IpAddr;
use std::time::Instant;

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

use super::MESSAGE_LIFETIME;
use crate::relay::gossip::ServerWork;

/// Largest figure of a message that counts, so that sums don't overflow.
const MAX_FIGURE: u64 = 1 << 30;

/// What other routers have at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PeerWork {
    /// Number of requests.
    pub(super) requests: u32,
    /// Prompt tokens of those without a first event.
    pub(super) prefill_tokens: u64,
    /// Work left of those of which it is known, in milliseconds.
    pub(super) left_ms: u64,
    /// Requests of which it is not.
    pub(super) unknown: u32,
    /// Prompt tokens of these without a first event.
    pub(super) unknown_tokens: u64,
}

impl PeerWork {
    fn of(work: &ServerWork) -> Self {
        let requests = u64::from(work.requests).min(MAX_FIGURE / 1024) as u32;
        let prefill_tokens = work.prefill_tokens.min(MAX_FIGURE);
        let is_unknown = work.left_ms == 0;
        Self {
            requests,
            prefill_tokens,
            left_ms: work.left_ms.min(MAX_FIGURE),
            unknown: if is_unknown { requests } else { 0 },
            unknown_tokens: if is_unknown { prefill_tokens } else { 0 },
        }
    }

    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prefill_tokens += other.prefill_tokens;
        self.left_ms += other.left_ms;
        self.unknown = self.unknown.saturating_add(other.unknown);
        self.unknown_tokens += other.unknown_tokens;
    }

    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.left_ms = self.left_ms.saturating_sub(other.left_ms);
        self.unknown = self.unknown.saturating_sub(other.unknown);
        self.unknown_tokens = self.unknown_tokens.saturating_sub(other.unknown_tokens);
    }
}

/// The last message of each other router, and when it came.
#[derive(Debug, Default)]
pub(super) struct Peers {
    messages: SortedVec<IpAddr, (Instant, Vec<ServerWork>)>,
    sums: SortedVec<Name, PeerWork>,
}

impl Peers {
    /// Records a message of a router, which replaces its previous one.
    pub(super) fn record(&mut self, from: IpAddr, work: Vec<ServerWork>, now: Instant) {
        self.expire(now);
        self.remove(from);
        for at in &work {
            let sum = self
                .sums
                .get_or_insert_with(at.server.clone(), PeerWork::default);
            sum.add(&PeerWork::of(at));
        }
        self.messages.insert(from, (now, work));
    }

    /// Removes messages that no longer count.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_old = |(_, (at, _)): &(&IpAddr, &(Instant, _))| now >= *at + MESSAGE_LIFETIME;
        let old = self.messages.iter().filter(is_old);
        let old: Vec<IpAddr> = old.map(|(from, _)| *from).collect();
        old.into_iter().for_each(|from| self.remove(from));
    }

    /// What other routers have at a server, by messages that have not been removed.
    pub(super) fn at(&self, server: &str) -> PeerWork {
        self.sums.get(server).copied().unwrap_or_default()
    }

    fn remove(&mut self, from: IpAddr) {
        let Some((_, work)) = self.messages.remove(&from) else {
            return;
        };
        for at in &work {
            if let Some(sum) = self.sums.get_mut(&*at.server) {
                sum.subtract(&PeerWork::of(at));
                if *sum == PeerWork::default() {
                    self.sums.remove(&*at.server);
                }
            }
        }
    }
}
