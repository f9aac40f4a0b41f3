//! Answers of backend servers that have neither a length nor chunks and end with
//! their connection.

use std::time::Duration;

use poplar_base::http::Answer;

use crate::site::backend::{Backend, Behaviour};
use crate::site::store::Store;
use crate::site::unframed::{self, End};
use crate::site::{TestRelay, configured_store};
use crate::{ID, KEY, PREPAID, TOKENS, text};

const WHOLE: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n";
const INSIDE_EVENT: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda";
/// Requests until each of two servers was chosen first.
const REQUESTS: usize = 30;

/// A relay with a server whose answers consist of this body.
async fn start(service: &str, body: &'static str, end: End) -> (TestRelay, std::sync::Arc<Store>) {
    let store = configured_store(PREPAID);
    let address = unframed::open(body, end).await;
    store.register_started("unframed", service, address, unframed::BORN);
    (TestRelay::open(store.open().await).await, store)
}

/// Asks for an answer; `None` if it breaks off.
async fn ask(relay: &TestRelay, path: &str, id: &str) -> Option<Answer> {
    relay.ask(path, &[KEY, TOKENS, (ID, id)]).await.ok()
}

/// Checks that streams of a server whose answers end before their last event go on at
/// another one.
async fn check_goes_on_elsewhere(body: &'static str, end: End) {
    let (relay, store) = start("engines", body, end).await;
    let (backend, address) = Backend::open(Behaviour::Answer).await;
    store.register("whole", "engines", address);
    // Requests before that would use up the repeats.
    while !relay.state.servers.is_listed("whole") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for n in 0..REQUESTS {
        let answer = ask(&relay, "/resume/x", &format!("{n}")).await;
        assert_eq!(text(&answer.expect("a whole stream")), WHOLE);
    }
    let resumed = backend.executed_requests().into_iter();
    let resumed = resumed.filter(|run| run.headers.contains_key("last-event-id"));
    assert!(resumed.count() > 0, "no stream was resumed");
}

/// Guards against answers that are taken for broken since nothing but the end of the
/// connection ends them.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let (relay, _store) = start("plain", "an answer", End::Close).await;
    for path in ["/once/x", "/read/x"] {
        let answer = ask(&relay, path, path).await.expect("a whole answer");
        assert_eq!((answer.status.as_u16(), text(&answer)), (200, "an answer"));
    }
}

/// Guards against a part of an answer that looks like all of it.
#[tokio::test]
async fn an_answer_whose_connection_is_reset_is_not_whole() {
    let (relay, _store) = start("plain", "an ans", End::Reset).await;
    for path in ["/once/x", "/read/x"] {
        let answer = ask(&relay, path, path).await.expect("an answer");
        assert_eq!(answer.status, 502, "{path}");
    }
}

/// Guards against streams that are taken for broken since nothing but the end of the
/// connection ends them.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_whole() {
    let (relay, _store) = start("engines", WHOLE, End::Close).await;
    for path in ["/stream/x", "/resume/x"] {
        let answer = ask(&relay, path, path).await.expect("a whole stream");
        assert_eq!((answer.status.as_u16(), text(&answer)), (200, WHOLE));
    }
}

/// Guards against a stream that looks complete though its last event is broken, and
/// against a broken event that reaches the client.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_an_error_for_the_client() {
    for end in [End::Close, End::Reset] {
        let (relay, _store) = start("engines", INSIDE_EVENT, end).await;
        for path in ["/stream/x", "/resume/x"] {
            assert!(ask(&relay, path, path).await.is_none(), "{path}, {end:?}");
        }
    }
}

/// Guards against a stream whose connection is reset between two events and that
/// looks complete.
#[tokio::test]
async fn a_stream_whose_connection_is_reset_is_an_error_for_the_client() {
    let events = &WHOLE[..WHOLE.len() / 2];
    let (relay, _store) = start("engines", events, End::Reset).await;
    assert!(ask(&relay, "/stream/x", "a").await.is_none());
}

/// Guards against a part of an answer that looks like all of it because the system ends
/// the connections of a process that was killed in order.
#[tokio::test]
async fn an_answer_that_ends_with_its_killed_server_is_not_whole() {
    for path in ["/once/x", "/read/x"] {
        let (relay, _store) = start("plain", "an ans", End::Killed).await;
        let answer = ask(&relay, path, path).await.expect("an answer");
        assert_eq!(answer.status, 502, "{path}");
    }
}

/// Guards against a part of a stream that looks like all of it because the system ends
/// the connections of an engine that was killed in order, also if it is back at once.
#[tokio::test]
async fn a_stream_that_ends_with_its_killed_engine_is_not_whole() {
    for end in [End::Killed, End::Restarted] {
        for path in ["/stream/x", "/resume/x"] {
            let (relay, _store) = start("engines", &WHOLE[..WHOLE.len() / 2], end).await;
            assert!(ask(&relay, path, path).await.is_none(), "{path}, {end:?}");
        }
    }
}

/// Guards against a resumable stream of a killed engine that isn't continued since it
/// looks complete.
#[tokio::test]
async fn a_resumable_stream_of_a_killed_engine_goes_on_elsewhere() {
    check_goes_on_elsewhere(&WHOLE[..WHOLE.len() / 2], End::Restarted).await;
}

/// Guards against a resumable stream that isn't continued since its broken event
/// looks like its end.
#[tokio::test]
async fn a_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere() {
    check_goes_on_elsewhere(INSIDE_EVENT, End::Close).await;
}

/// Guards against a head that breaks off and is passed on as an answer without a body.
#[tokio::test]
async fn an_answer_that_ends_inside_its_head_is_none() {
    for (service, paths) in [
        ("plain", ["/once/x", "/read/x"]),
        ("engines", ["/stream/x", "/resume/x"]),
    ] {
        let (relay, _store) = start(service, "", End::InHead).await;
        for path in paths {
            let answer = ask(&relay, path, path).await.expect("an answer");
            assert_eq!(answer.status, 502, "{path}");
        }
    }
}

/// Guards against the answer of a server that refuses to go on with a stream, in the
/// middle of that stream or in place of its end.
#[tokio::test]
async fn an_error_in_place_of_the_rest_of_a_stream_is_not_passed_on() {
    for next in [
        Behaviour::ServerError,
        Behaviour::WrongAttemptId,
        Behaviour::Cut,
    ] {
        let store = configured_store(PREPAID);
        let mut backends = Vec::new();
        for (n, behaviour) in [Behaviour::BreakAfter(2), next].into_iter().enumerate() {
            let (backend, address) = Backend::open(behaviour).await;
            store.register(&format!("engine-{n}"), "engines", address);
            backends.push(backend);
        }
        let relay = TestRelay::open(store.open().await).await;
        for n in 0..REQUESTS {
            let id = format!("resume-{n}");
            // A stream that began may only break off; none is complete.
            if let Some(answer) = ask(&relay, "/resume/x", &id).await {
                assert!(!answer.status.is_success(), "{next:?}: {}", text(&answer));
            }
        }
        let all = backends[1].executed_requests();
        let resumed = all
            .iter()
            .filter(|r| r.headers.contains_key("last-event-id"));
        assert!(resumed.count() > 0, "{next:?}: no stream was resumed");
    }
}
