//! Splits the bytes of a server-sent event stream into events.
//!
//! An event is kept as it was received, so that it can be forwarded unchanged.

use bytes::{Bytes, BytesMut};

/// An event as it was received, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its number from the `id` field; `None` if it has none.
    pub number: Option<u64>,
}

/// Collects the bytes of a stream until they make up a complete event.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
}

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
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let bytes = self.buffer.split_to(event_length(&self.buffer)?).freeze();
        let number = event_number(&bytes);
        Some(Event { bytes, number })
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}
