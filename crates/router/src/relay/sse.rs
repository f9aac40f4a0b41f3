//! Splits the bytes of a server-sent event stream into events.
//!
//! An event is kept as it was received, so that it can be forwarded unchanged.

use bytes::{Bytes, BytesMut};

/// Most bytes that are kept until an event is complete.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// An event as it was received, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its number from the `id` field; `None` if it has none.
    pub number: Option<u64>,
}

/// How an event follows the last one that a client has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// It is the next one, or has no number.
    Next,
    /// The client has it.
    Repeated,
    /// One before it is missing.
    Gap,
}

impl Event {
    /// How the event follows the one numbered `last`.
    pub fn order_after(&self, last: Option<u64>) -> Order {
        match (last, self.number) {
            (Some(last), Some(number)) if number <= last => Order::Repeated,
            (Some(last), Some(number)) if number > last + 1 => Order::Gap,
            _ => Order::Next,
        }
    }
}

/// Collects the bytes of a stream until they make up a complete event.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event ends.
    searched: usize,
}

/// Length of the longest end of an event.
const END_BYTES: usize = 4;

/// Length of the first complete event in `bytes`, including its blank line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let crlf = crlf.map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_number(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}

impl Parser {
    /// Appends received bytes; false if these and the ones before are more than
    /// an event may have.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Bytes of memory that are kept.
    pub fn kept(&self) -> usize {
        self.buffer.capacity()
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        // The end may begin in bytes that were searched before.
        let from = self.searched.saturating_sub(END_BYTES - 1);
        let Some(length) = event_length(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + length).freeze();
        let number = event_number(&bytes);
        Some(Event { bytes, number })
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}
