//! The host list, whose changes become visible after a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplar_base::platform::wire::HostWire;

/// A new host list and when it becomes visible.
#[derive(Debug, Clone)]
struct PendingList {
    due: Instant,
    hosts: Vec<HostWire>,
}

/// The visible host list and the pending ones.
#[derive(Debug, Clone, Default)]
pub struct Hosts {
    visible: Vec<HostWire>,
    pending: VecDeque<PendingList>,
}

/// There is no host with this name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownHost;

impl Hosts {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list, which becomes visible `lag` after `now`.
    pub fn replace(&mut self, hosts: Vec<HostWire>, now: Instant, lag: Duration) {
        let due = now + lag;
        self.pending.push_back(PendingList { due, hosts });
    }

    /// Sets the state of one host. The state `gone` removes it from the list.
    ///
    /// # Errors
    /// Returns [`UnknownHost`] if there is no such host.
    pub fn set_state(
        &mut self,
        name: &str,
        state: &str,
        now: Instant,
        lag: Duration,
    ) -> Result<(), UnknownHost> {
        let newest = self
            .pending
            .back()
            .map_or(&self.visible, |list| &list.hosts);
        let mut hosts = newest.clone();
        let at = hosts.iter().position(|h| &*h.name == name);
        let at = at.ok_or(UnknownHost)?;
        if state == "gone" {
            hosts.remove(at);
        } else {
            hosts[at].state = state.to_owned();
        }
        self.replace(hosts, now, lag);
        Ok(())
    }

    /// Makes due changes visible, in the order in which they were made.
    pub fn advance(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|list| list.due <= now) {
            if let Some(list) = self.pending.pop_front() {
                self.visible = list.hosts;
            }
        }
    }

    /// The visible list.
    pub fn visible(&self) -> &[HostWire] {
        &self.visible
    }
}
