//! The permits of one server that a router has not used yet.

use std::collections::VecDeque;
use std::net::IpAddr;

use super::schedule::{self, Permit};

/// Permits, by the slots in which they were counted.
#[derive(Debug, Clone, Default)]
pub(super) struct Counter {
    /// Last slot whose permits have been counted.
    pub(super) counted: u64,
    /// Slots of the permits that were not used yet.
    pub(super) permits: VecDeque<u64>,
}

/// Which permits are a router's.
pub(super) struct Shares<'a, F> {
    pub(super) own: IpAddr,
    /// The other live routers.
    pub(super) routers: &'a [IpAddr],
    /// Slots that the router has yielded.
    pub(super) own_yield: Option<(u64, u64)>,
    /// Whether another router has yielded a slot.
    pub(super) has_yielded: F,
}

impl Counter {
    /// Counts the permits up to `slot` of a server with this rate, each of which expires
    /// after `lifetime` slots; returns whether one is left.
    pub(super) fn count<F: Fn(&IpAddr, u64) -> bool>(
        &mut self,
        server: &str,
        rate: f64,
        slot: u64,
        lifetime: u64,
        shares: &Shares<'_, F>,
    ) -> bool {
        if self.counted > slot + lifetime {
            // The shared clock was set back.
            self.counted = slot;
            self.permits.clear();
        }
        let oldest = slot.saturating_sub(lifetime);
        for slot in (self.counted + 1).max(oldest)..=slot {
            if shares.own_yield.is_some_and(|range| contains(range, slot)) {
                continue;
            }
            for permit in schedule::permits(server, rate, slot) {
                if shares.is_first(&permit, slot) {
                    self.permits.push_back(slot);
                }
            }
        }
        self.counted = self.counted.max(slot);
        self.permits.retain(|permit| *permit >= oldest);
        !self.permits.is_empty()
    }
}

impl<F: Fn(&IpAddr, u64) -> bool> Shares<'_, F> {
    /// Whether a permit is this router's: all routers before it have yielded it.
    fn is_first(&self, permit: &Permit, slot: u64) -> bool {
        let own_rank = permit.rank(self.own);
        let mut before = self
            .routers
            .iter()
            .filter(|router| permit.rank(**router) > own_rank);
        before.all(|router| (self.has_yielded)(router, slot))
    }
}

/// Whether a range of slots contains one.
pub(super) fn contains((from, until): (u64, u64), slot: u64) -> bool {
    from <= slot && slot <= until
}
