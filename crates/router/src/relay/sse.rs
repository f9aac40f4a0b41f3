//! Events of a stream, cut out of its bytes.

use bytes::{Bytes, BytesMut};

/// An event as it came, with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its number, where it has one.
    pub number: Option<u64>,
}

/// Bytes of a stream that are not a whole event yet.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
}

/// Length of the first event in `bytes` with its blank line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let crlf = crlf.map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn number(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|b| *b == b'\n');
    let mut found = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(found.next()?).ok()?.trim().parse().ok()
}

impl Parser {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let bytes = self.buffer.split_to(event_length(&self.buffer)?).freeze();
        let number = number(&bytes);
        Some(Event { bytes, number })
    }

    /// Bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}
