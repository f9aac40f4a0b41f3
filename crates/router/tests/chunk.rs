//! Chunks reach the caller once, in order, and only those of its request.

use poplar_router::flow::chunk::{Chunk, ChunkSequence, StreamError};

fn token(id: &str, seq: u64) -> Vec<u8> {
    let choice = r#"{"delta":{"content":"t"},"finish_reason":null}"#;
    format!(r#"{{"id":"{id}","seq":{seq},"choices":[{choice}]}}"#).into_bytes()
}

fn taken(sequence: &mut ChunkSequence, events: &[Vec<u8>]) -> Result<usize, StreamError> {
    let mut out = Vec::new();
    for event in events {
        sequence.accept(event, &mut out)?;
    }
    Ok(out.len())
}

#[test]
fn late_doubled_and_foreign_chunks_change_nothing() {
    let mut sequence = ChunkSequence::new("a", 0);
    let events = [
        token("a", 1),
        token("b", 0),
        token("a", 0),
        token("a", 0),
        token("a", 1),
        token("a", 2),
    ];
    assert_eq!(taken(&mut sequence, &events), Ok(3));
    assert_eq!(sequence.dropped, 3);
}

#[test]
fn a_resumed_stream_goes_on_at_its_offset() {
    let mut sequence = ChunkSequence::new("a", 5);
    let events = [token("a", 4), token("a", 5), token("a", 6)];
    assert_eq!(taken(&mut sequence, &events), Ok(2));
}

#[test]
fn usage_does_not_pass_a_chunk_that_is_missing() {
    let mut sequence = ChunkSequence::new("a", 0);
    let usage = br#"{"id":"a","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}}"#;
    let mut out = Vec::new();
    sequence.accept(&token("a", 1), &mut out).unwrap();
    assert!(sequence.accept(usage, &mut out).is_err());
    assert_eq!(out, Vec::<Chunk>::new());
}

#[test]
fn too_many_early_chunks_are_a_fault() {
    let mut sequence = ChunkSequence::new("a", 0);
    let events: Vec<_> = (1..200).map(|seq| token("a", seq)).collect();
    assert!(taken(&mut sequence, &events).is_err());
}
