//! Events of a stream, which arrive in pieces of any size.

use poplar_router::relay::sse::Parser;

/// Guards against ends of events that are missed since they come in two pieces,
/// and against events that are joined.
#[test]
fn events_are_found_however_their_bytes_are_split() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\r\n\ndata: d\n\n";
    let ends = [15, 33, 44, 53];
    for size in 1..text.len() {
        let mut parser = Parser::default();
        let mut found = Vec::new();
        let mut length = 0;
        for piece in text.chunks(size) {
            assert!(parser.push(piece));
            while let Some(event) = parser.next_event() {
                length += event.bytes.len();
                found.push((length, event.number));
            }
        }
        let numbers = [Some(1), Some(2), None, None];
        let expected: Vec<_> = ends.into_iter().zip(numbers).collect();
        assert_eq!(found, expected, "pieces of {size} bytes");
        assert!(parser.take_rest().is_empty());
    }
}

/// Guards against an event without end that is kept in memory.
#[test]
fn an_event_that_is_too_long_is_refused() {
    let mut parser = Parser::default();
    let pushed = (0..100).take_while(|_| parser.push(&[b'a'; 8192])).count();
    assert_eq!(pushed, 16, "128 KB of an incomplete event");
    assert!(parser.next_event().is_none());
}
