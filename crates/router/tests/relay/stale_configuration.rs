//! Refusals by a configuration that may be out of date.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::site::TestRelay;
use crate::site::backend::Behaviour;
use crate::site::configuration;
use crate::{ID, PREPAID, start};

/// Ends a test that hangs.
const HANG_LIMIT: Duration = Duration::from_secs(20);

/// A request, and the status with which the first configuration refuses it.
struct Case {
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    refused: u16,
}

/// Requests that only the second configuration allows.
const CASES: [Case; 3] = [
    Case {
        path: "/added-1/x",
        headers: &[("api-key", "key-1"), (ID, "a")],
        refused: 404,
    },
    Case {
        path: "/once/x",
        headers: &[("api-key", "key-2"), (ID, "b")],
        refused: 401,
    },
    Case {
        path: "/stream/x",
        headers: &[
            ("api-key", "key-1"),
            (ID, "c"),
            ("x-poplarreel-token-counts", "150000,20"),
        ],
        refused: 402,
    },
];

impl Case {
    async fn status(&self, relay: &TestRelay) -> u16 {
        let answer = relay.ask(self.path, self.headers).await;
        answer.expect("an answer").status.as_u16()
    }

    /// Sends the request until the status is `expected`; before that it may be
    /// one of `before`.
    async fn wait_for(&self, relay: &TestRelay, expected: u16, before: &[u16]) {
        let began = Instant::now();
        loop {
            let status = self.status(relay).await;
            if status == expected {
                return;
            }
            assert!(
                before.contains(&status) && began.elapsed() < HANG_LIMIT,
                "{}: {status} instead of {expected}",
                self.path
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against requests that a router refuses for good by a configuration
/// that it has not been able to read for longer than a change may take.
#[tokio::test]
async fn a_stale_configuration_refuses_nothing_for_good() {
    let (relay, _, store) = start("plain", &[Behaviour::Answer]).await;
    for case in &CASES {
        // The tokens of the budget are known only after a summary was read.
        case.wait_for(&relay, case.refused, &[503]).await;
    }
    store.set_unreachable(&["op"]);
    let next = configuration(8, 2 * PREPAID, 1).replace("\"key-1\"", "\"key-1\",\"key-2\"");
    store.set("op", "", "config", &next);
    for case in &CASES {
        case.wait_for(&relay, 503, &[case.refused]).await;
    }
    store.set_unreachable(&[]);
    CASES[0].wait_for(&relay, 200, &[503]).await;
    CASES[1].wait_for(&relay, 200, &[503]).await;
    let unknown = Case {
        path: "/nowhere/x",
        headers: &[("api-key", "key-1"), (ID, "d")],
        refused: 404,
    };
    assert_eq!(unknown.status(&relay).await, unknown.refused);
}

/// Guards against a request that is refused for good by the configuration of
/// its arrival because a newer one was read while its body arrived.
#[tokio::test]
async fn a_configuration_that_was_stale_on_arrival_refuses_nothing_for_good() {
    let (relay, _, store) = start("plain", &[Behaviour::Answer]).await;
    let case = &CASES[0];
    store.set_unreachable(&["op"]);
    store.set("op", "", "config", &configuration(8, PREPAID, 1));
    case.wait_for(&relay, 503, &[case.refused]).await;
    let mut stream = TcpStream::connect(relay.address).await.expect("connects");
    let head = "POST /added-1/x HTTP/1.1\r\nhost: site.example\r\napi-key: key-1\r\n\
                x-poplarreel-attempt-id: slow\r\ncontent-length: 2\r\n\r\na";
    stream.write_all(head.as_bytes()).await.expect("is sent");
    // Time in which the head arrives before the next configuration.
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.set_unreachable(&[]);
    case.wait_for(&relay, 200, &[503]).await;
    stream.write_all(b"b").await.expect("is sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("is answered");
    assert_eq!(&answer, b"HTTP/1.1 503");
}
