//! The chunks of a request reach its caller once and in order, without those of
//! other requests.

use poplar_router::flow::chunk::{Chunk, ChunkSequence, StreamError};

fn token(id: &str, seq: u64) -> Vec<u8> {
    let choice = r#"{"delta":{"content":"t"},"finish_reason":null}"#;
    format!(r#"{{"id":"{id}","seq":{seq},"choices":[{choice}]}}"#).into_bytes()
}

fn count_accepted(sequence: &mut ChunkSequence, events: &[Vec<u8>]) -> Result<usize, StreamError> {
    let mut out = Vec::new();
    for event in events {
        sequence.accept(event, &mut out)?;
    }
    Ok(out.len())
}

#[test]
fn reordered_duplicate_and_foreign_chunks_do_not_change_the_answer() {
    let mut sequence = ChunkSequence::new("a", 0);
    let events = [
        token("a", 1),
        token("b", 0),
        token("a", 0),
        token("a", 0),
        token("a", 1),
        token("a", 2),
    ];
    assert_eq!(count_accepted(&mut sequence, &events), Ok(3));
    assert_eq!(sequence.dropped, 3);
}

#[test]
fn a_resumed_stream_starts_at_its_offset() {
    let mut sequence = ChunkSequence::new("a", 5);
    let events = [token("a", 4), token("a", 5), token("a", 6)];
    assert_eq!(count_accepted(&mut sequence, &events), Ok(2));
}

#[test]
fn usage_before_a_missing_chunk_is_an_error() {
    let mut sequence = ChunkSequence::new("a", 0);
    let usage = br#"{"id":"a","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}}"#;
    let mut out = Vec::new();
    sequence.accept(&token("a", 1), &mut out).unwrap();
    assert!(sequence.accept(usage, &mut out).is_err());
    assert_eq!(out, Vec::<Chunk>::new());
}

#[test]
fn too_many_buffered_chunks_are_an_error() {
    let mut sequence = ChunkSequence::new("a", 0);
    let events: Vec<_> = (1..200).map(|seq| token("a", seq)).collect();
    assert!(count_accepted(&mut sequence, &events).is_err());
}
