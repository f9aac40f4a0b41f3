//! Servers that send bytes without end, in the head or the body of an answer.

use std::time::{Duration, Instant};

use futures::future::join_all;

use crate::PREPAID;
use crate::silent_servers::{ask_within, patient_store};
use crate::site::backend::{Backend, Behaviour};
use crate::site::caller::{Seen, ask_once, wait_until};
use crate::site::configured_store;
use crate::site::endless::{Endless, EndlessServer};
use crate::site::process::{Router, address};

/// Requests that are open at the same time.
const REQUESTS: usize = 40;
/// Requests of which each has an unfinished event.
const MANY_REQUESTS: usize = 500;
/// Their deadline.
const PATIENT_DEADLINE: Duration = Duration::from_secs(8);
/// Deadline of the requests, and time after it until which an answer is in time,
/// on a busy machine.
const DEADLINE: Duration = Duration::from_secs(2);
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Memory of the smallest host.
const MEMORY_KB: u64 = 110 << 10;
/// Time after the answer until the connection to the server is closed.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// Requests of which most are served once another server is there.
const LATER_REQUESTS: usize = 20;
/// Requests that a server gets until it counts as failing, with some that are
/// sent to it later to see whether it still fails.
const MOST_SENT: usize = 8;

/// Has requests of `path` answered by a server that sends this without end, and
/// by a sound one beside it later.
async fn check(run: u64, kind: Endless, path: &'static str) {
    let service = if path == "/once/x" {
        "plain"
    } else {
        "engines"
    };
    let store = configured_store(PREPAID * 100);
    let (server, server_address) = EndlessServer::open(kind).await;
    store.register("endless", service, server_address);
    let store_address = store.open().await;
    let folder = std::env::temp_dir().join(format!("poplar-endless-{}-{run}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut router = Router::new(address(run, 0), store_address, &folder);
    router.start();
    let callers = router.callers();
    let is_unknown = |seen| seen == Seen::Answer(404, true);
    wait_until(callers, "/nowhere/x", is_unknown).await;

    let requests = (0..REQUESTS).map(|n| async move {
        let began = Instant::now();
        let seen = ask_once(callers, path, &format!("first-{n}")).await;
        (seen, began.elapsed())
    });
    for (seen, took) in join_all(requests).await {
        // It may have run, so that it is not refused as not run. A stream that
        // has begun is broken off.
        let is_right = match seen {
            Some(Seen::Answer(502 | 504, _)) => true,
            Some(Seen::Broken) => kind == Endless::Events,
            _ => false,
        };
        assert!(is_right, "{seen:?}");
        assert!(took < DEADLINE + ANSWER_MARGIN, "answered after {took:?}");
    }
    tokio::time::sleep(CLOSE_TIME).await;
    assert_eq!(server.open_connections(), 0, "connections are still open");
    let peak = router.peak_memory_kb();
    println!("{kind:?}: peak memory {peak} KB");
    assert!(peak < MEMORY_KB, "peak memory {peak} KB");

    let (_, sound_address) = Backend::open(Behaviour::Answer).await;
    store.register("sound", service, sound_address);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = server.requests();
    let mut served = 0;
    for n in 0..LATER_REQUESTS {
        let seen = ask_once(callers, path, &format!("later-{n}")).await;
        served += usize::from(seen == Some(Seen::Answer(200, true)));
    }
    let sent = server.requests() - before;
    println!("{kind:?}: {served} of {LATER_REQUESTS} served, {sent} sent to the server");
    assert!(
        sent <= MOST_SENT,
        "{sent} requests sent to a failing server"
    );
    assert!(served >= LATER_REQUESTS - MOST_SENT, "{served} served");
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a head that is read until memory is used up, since it is none.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_in_place_of_a_head_ends_the_attempt() {
    check(601, Endless::Garbage, "/once/x").await;
}

/// As above, for one long field.
#[tokio::test(flavor = "multi_thread")]
async fn a_field_without_end_ends_the_attempt() {
    check(602, Endless::HeadField, "/once/x").await;
}

/// As above, for many fields.
#[tokio::test(flavor = "multi_thread")]
async fn fields_without_end_end_the_attempt() {
    check(603, Endless::HeadFields, "/once/x").await;
}

/// Guards against requests that wait for the final answer behind others.
#[tokio::test(flavor = "multi_thread")]
async fn informational_answers_without_end_end_the_attempt() {
    check(604, Endless::Informational, "/once/x").await;
}

/// Guards against a head that comes so slowly that each wait for it is short.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_head_without_end_ends_the_attempt() {
    check(605, Endless::SlowHead, "/once/x").await;
}

/// Guards against bodies that are collected until memory is used up.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_ends_the_attempt() {
    check(606, Endless::Body, "/once/x").await;
}

/// As above, for a body in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_without_end_ends_the_attempt() {
    check(607, Endless::ChunkedBody, "/once/x").await;
}

/// Guards against a body that comes so slowly that it never becomes too large.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_body_without_end_ends_the_attempt() {
    check(608, Endless::SlowBody, "/once/x").await;
}

/// As above, for the extension of a chunk.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_extension_without_end_ends_the_attempt() {
    check(612, Endless::ChunkExtension, "/once/x").await;
}

/// As above, for the trailers of a body.
#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_end_end_the_attempt() {
    check(613, Endless::Trailers, "/once/x").await;
}

/// Guards against memory that is used up by many streams of which each keeps a part of
/// an event.
#[tokio::test(flavor = "multi_thread")]
async fn many_streams_with_unfinished_events_share_a_limit() {
    let store = patient_store();
    let (server, server_address) = EndlessServer::open(Endless::HalfEvent).await;
    store.register("half", "engines", server_address);
    let store_address = store.open().await;
    let name = format!("poplar-half-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut router = Router::new(address(614, 0), store_address, &folder);
    router.start();
    let callers = router.callers();
    let is_unknown = |seen| seen == Seen::Answer(404, true);
    wait_until(callers, "/nowhere/x", is_unknown).await;
    let requests = (0..MANY_REQUESTS)
        .map(|n| ask_within(callers, "/stream/x", format!("half-{n}"), PATIENT_DEADLINE));
    for answer in join_all(requests).await {
        assert!(matches!(answer.status, Some(502..=504)), "{answer:?}");
    }
    let peak = router.peak_memory_kb();
    let sent = server.requests();
    println!("{sent} unfinished events: peak memory {peak} KB");
    assert!(peak < MEMORY_KB, "peak memory {peak} KB");
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against an event that is collected until memory is used up.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_ends_the_attempt() {
    check(609, Endless::Event, "/stream/x").await;
}

/// Guards against an event that comes so slowly that each wait for it is short.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_event_without_end_ends_the_attempt() {
    check(610, Endless::SlowEvent, "/stream/x").await;
}

/// Guards against a stream that goes on after its deadline since there is always
/// a next event.
#[tokio::test(flavor = "multi_thread")]
async fn events_without_end_are_broken_off_at_the_deadline() {
    check(611, Endless::Events, "/stream/x").await;
}
