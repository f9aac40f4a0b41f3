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
    store.register("unframed", service, unframed::open(body, end).await);
    (TestRelay::open(store.open().await).await, store)
}

/// Asks for an answer; `None` if it breaks off.
async fn ask(relay: &TestRelay, path: &str, id: &str) -> Option<Answer> {
    relay.ask(path, &[KEY, TOKENS, (ID, id)]).await.ok()
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

/// Guards against a resumable stream that isn't continued since its broken event
/// looks like its end.
#[tokio::test]
async fn a_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere() {
    let (relay, store) = start("engines", INSIDE_EVENT, End::Close).await;
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
