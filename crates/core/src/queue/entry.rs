//! Queue entries, and the tickets that identify them.

use std::time::{Duration, Instant};

use crate::id::Name;

/// A queued request, identified by the router's number of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The router's number of the request; the router keeps the request itself.
    pub id: u64,
    /// The workspace that sent it.
    pub workspace: Name,
    /// Priority of its class; 0 is the most urgent.
    pub priority: u8,
    /// Expected number of tokens, prompt and output.
    pub cost: u32,
    /// When it was queued.
    pub queued_at: Instant,
    /// When it has to be sent at the latest to finish on time.
    pub send_by: Instant,
}

impl Entry {
    /// Returns the elapsed fraction of the time it can wait, from 0 to 1.
    pub fn wait_fraction(&self, now: Instant) -> f64 {
        let allowed = self.send_by.saturating_duration_since(self.queued_at);
        if allowed.is_zero() {
            return 1.0;
        }
        let elapsed = now.saturating_duration_since(self.queued_at);
        (elapsed.as_secs_f64() / allowed.as_secs_f64()).min(1.0)
    }
}

/// Identifies a queued entry.
///
/// A ticket is not reused after its entry has left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    index: u32,
    generation: u32,
}

/// Storage of entries by ticket, in slots that are reused.
#[derive(Debug, Clone, Default)]
pub(super) struct Slab {
    slots: Vec<(u32, Option<Entry>)>,
    free: Vec<u32>,
}

impl Slab {
    /// Stores `entry` and returns its ticket.
    pub(super) fn insert(&mut self, entry: Entry) -> Ticket {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            (self.slots.len() - 1) as u32
        });
        let (generation, slot) = &mut self.slots[index as usize];
        *generation = generation.wrapping_add(1);
        *slot = Some(entry);
        Ticket {
            index,
            generation: *generation,
        }
    }

    /// Returns the entry of `ticket`, unless it was removed.
    pub(super) fn get(&self, ticket: Ticket) -> Option<&Entry> {
        let (generation, slot) = self.slots.get(ticket.index as usize)?;
        slot.as_ref().filter(|_| *generation == ticket.generation)
    }

    /// Removes and returns the entry of `ticket`.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        self.get(ticket)?;
        self.free.push(ticket.index);
        self.slots[ticket.index as usize].1.take()
    }
}

/// Upper bounds of the targets of priorities 0 to 8, in ms; above is priority 9.
const PRIORITY_TARGETS_MS: [u64; 9] = [300, 600, 1000, 2000, 4000, 8000, 15_000, 30_000, 60_000];

/// Returns the priority of a class from its target: the time to the first token,
/// or to the whole answer if it doesn't stream.
pub fn priority_for_target(target: Duration) -> u8 {
    let ms = target.as_millis() as u64;
    PRIORITY_TARGETS_MS.partition_point(|target| *target < ms) as u8
}
