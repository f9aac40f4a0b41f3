//! Queued requests and the tickets that name them.

use std::time::{Duration, Instant};

use crate::id::Name;

/// A request in the queue; the router keeps the request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The router's number of the request.
    pub id: u64,
    /// Whose it is.
    pub workspace: Name,
    /// Its class's priority; 0 is the most urgent.
    pub priority: u8,
    /// Tokens that it is expected to take.
    pub cost: u32,
    /// When it was queued.
    pub queued_at: Instant,
    /// When it has to be sent at the latest to finish on time.
    pub send_by: Instant,
}

impl Entry {
    /// Part of the time it can wait that has gone by, 0 to 1.
    pub fn wait_fraction(&self, now: Instant) -> f64 {
        let whole = self.send_by.saturating_duration_since(self.queued_at);
        if whole.is_zero() {
            return 1.0;
        }
        let gone = now.saturating_duration_since(self.queued_at);
        (gone.as_secs_f64() / whole.as_secs_f64()).min(1.0)
    }
}

/// Names a queued entry; it stays unique after the entry has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    at: u32,
    turn: u32,
}

/// Entries by ticket, in places that are used again.
#[derive(Debug, Clone, Default)]
pub(super) struct Slab {
    places: Vec<(u32, Option<Entry>)>,
    free: Vec<u32>,
}

impl Slab {
    /// Keeps `entry`.
    pub(super) fn insert(&mut self, entry: Entry) -> Ticket {
        let at = self.free.pop().unwrap_or_else(|| {
            self.places.push((0, None));
            (self.places.len() - 1) as u32
        });
        let (turn, place) = &mut self.places[at as usize];
        *turn = turn.wrapping_add(1);
        *place = Some(entry);
        Ticket { at, turn: *turn }
    }

    /// The entry of `ticket`, unless it has gone.
    pub(super) fn get(&self, ticket: Ticket) -> Option<&Entry> {
        let (turn, place) = self.places.get(ticket.at as usize)?;
        place.as_ref().filter(|_| *turn == ticket.turn)
    }

    /// Takes the entry of `ticket` out.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        self.get(ticket)?;
        self.free.push(ticket.at);
        self.places[ticket.at as usize].1.take()
    }
}

/// Targets of the priorities 0 to 8, in ms; what is slower has 9.
const TARGETS_MS: [u64; 9] = [300, 600, 1000, 2000, 4000, 8000, 15_000, 30_000, 60_000];

/// Priority of a class by how soon its answers have to start, or have to be
/// whole where they don't stream.
pub fn priority_for_target(target: Duration) -> u8 {
    let ms = target.as_millis() as u64;
    TARGETS_MS.partition_point(|most| *most < ms) as u8
}
