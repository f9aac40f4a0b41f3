//! Datagrams of load between routers of this build and of the ones before.

use std::time::{Duration, Instant};

use poplar_core::cold::Report;
use poplar_router::relay::gossip::{LoadMessage, ServerWork, encode_in_time, period};
use poplar_router::relay::servers::MESSAGE_LIFETIME;

fn work(left_ms: u64, held_tokens: u64) -> ServerWork {
    ServerWork {
        server: "i-1".into(),
        requests: 2,
        prefill_tokens: 900,
        left_ms,
        held_tokens,
    }
}

fn message(work: ServerWork) -> LoadMessage {
    LoadMessage {
        work: vec![work],
        ..LoadMessage::default()
    }
}

/// Guards against a datagram of the build before, which does not state what is ahead,
/// that is not understood.
#[test]
fn a_message_of_the_build_before_is_understood() {
    let now = Instant::now();
    let datagram = br#"{"work":[["i-1",2,900]],"held":[]}"#;
    let decoded = LoadMessage::decode(datagram, now).expect("a message");
    assert_eq!(decoded, message(work(0, 0)));
}

/// Guards against a datagram that the build before does not understand: what it reads
/// keeps its place, and what it does not know has a field of its own.
#[test]
fn a_message_keeps_the_fields_that_the_build_before_reads() {
    let now = Instant::now();
    let datagram = message(work(340, 5_000)).encode(now);
    let value: serde_json::Value = serde_json::from_slice(&datagram).expect("valid JSON");
    assert_eq!(value["work"], serde_json::json!([["i-1", 2, 900]]));
    assert_eq!(value["ahead"], serde_json::json!([["i-1", 340, 5_000]]));
    let decoded = LoadMessage::decode(&datagram, now).expect("a message");
    assert_eq!(decoded, message(work(340, 5_000)));
    let unknown = message(work(0, 0)).encode(now);
    let value: serde_json::Value = serde_json::from_slice(&unknown).expect("valid JSON");
    assert!(value.get("ahead").is_none());
}

/// Guards against messages of a large fleet that expire before the next one comes since
/// they state more of each server.
#[test]
fn a_message_is_short_enough_to_come_before_it_expires() {
    let now = Instant::now();
    let mut full = LoadMessage::default();
    for at in 0..16 {
        let mut entry = work(340, 5_000);
        entry.server = format!("engine-east-{at:02}").into();
        full.work.push(entry);
    }
    for peers in [3, 61, 71] {
        let datagram = encode_in_time(full.clone(), peers, now);
        assert!(period(datagram.len(), peers, false) <= MESSAGE_LIFETIME);
        let kept = LoadMessage::decode(&datagram, now).expect("a message").work;
        assert!(!kept.is_empty() && kept == full.work[..kept.len()]);
        assert_eq!(kept.len() == 16, peers == 3);
    }
    let all = encode_in_time(full.clone(), 1_700, now);
    assert_eq!(LoadMessage::decode(&all, now).expect("a message"), full);
    // A deployment that states nothing of what is ahead sends the same as before.
    for entry in &mut full.work {
        (entry.left_ms, entry.held_tokens) = (0, 0);
    }
    let same = encode_in_time(full.clone(), 200, now);
    assert_eq!(same, full.encode(now));
}

/// Guards against cold servers that are lost on the way between routers, and against a
/// field that builds before this one do not expect where there are none.
#[test]
fn cold_servers_are_an_optional_part_of_a_message() {
    let now = Instant::now();
    let sent = LoadMessage {
        cold: vec![Report {
            server: "i-1".into(),
            process: 7,
            left: Duration::from_millis(2_900),
        }],
        ..message(work(0, 0))
    };
    let datagram = sent.clone().encode(now);
    let value: serde_json::Value = serde_json::from_slice(&datagram).expect("valid JSON");
    assert_eq!(value["cold"], serde_json::json!([["i-1", 7, 2_900]]));
    assert_eq!(value["work"], serde_json::json!([["i-1", 2, 900]]));
    assert_eq!(LoadMessage::decode(&datagram, now).expect("valid"), sent);
    let without = message(work(0, 0)).encode(now);
    let value: serde_json::Value = serde_json::from_slice(&without).expect("valid JSON");
    assert!(value.get("cold").is_none());
}
