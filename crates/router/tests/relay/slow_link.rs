//! Tables that are large for the link to the store, or change faster than it
//! carries them.

use std::time::{Duration, Instant};

use crate::site::backend::Behaviour;
use crate::site::store::Store;
use crate::site::{TestRelay, configuration};
use crate::{PREPAID, start};
use poplar_platform::mirror::Mirror;
use poplar_platform::store::{OPERATOR_TABLE, Store as Client};

/// Routes that make a configuration of several hundred kilobytes.
const MANY_ROUTES: u32 = 1200;
/// Ends a test that hangs.
const HANG_LIMIT: Duration = Duration::from_secs(20);
/// Time-out of a read in tests that are not about it.
const LONG: Duration = Duration::from_secs(20);

/// Size of the answer to a read of a table whose only row is this
/// configuration.
fn read_bytes(configuration: &str) -> u64 {
    configuration.len() as u64 * 4 / 3
}

/// Sends requests to `path` until its route is known.
async fn wait_for_route(relay: &TestRelay, path: &str) {
    let began = Instant::now();
    for n in 0.. {
        let id = format!("w{n}");
        let headers = [("api-key", "key-1"), ("x-poplarreel-attempt-id", &id)];
        let answer = relay.ask(path, &headers).await.expect("an answer");
        if answer.status == 200 {
            return;
        }
        assert!(
            began.elapsed() < HANG_LIMIT,
            "the route is not in force: {}",
            answer.status
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a configuration that never comes into force because the link
/// takes longer for it than one read may take in total.
#[tokio::test]
async fn a_configuration_that_the_link_carries_slowly_comes_into_force() {
    let (relay, _, store) = start("plain", &[Behaviour::Answer]).await;
    let large = configuration(8, PREPAID, MANY_ROUTES);
    // It takes three seconds.
    store.link.set_bandwidth(read_bytes(&large) / 3);
    store.set("op", "", "config", &large);
    wait_for_route(&relay, &format!("/added-{MANY_ROUTES}/x")).await;
}

/// Guards against reads that grow with the changes missed in an outage, so that
/// a router that fell behind can't catch up over a small link.
#[tokio::test]
async fn a_router_that_missed_changes_reads_only_the_last_one() {
    let (relay, _, store) = start("plain", &[Behaviour::Answer]).await;
    store.set_unreachable(&["op", "servers"]);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut large = String::new();
    for version in 8..24 {
        large = configuration(version, PREPAID, MANY_ROUTES);
        store.set("op", "", "config", &large);
    }
    store.link.set_bandwidth(4 * read_bytes(&large));
    let before = store.link.sent();
    store.set_unreachable(&[]);
    wait_for_route(&relay, &format!("/added-{MANY_ROUTES}/x")).await;
    let sent = store.link.sent() - before;
    assert!(
        sent < 2 * read_bytes(&large),
        "{sent} bytes for a configuration of {}",
        read_bytes(&large)
    );
}

/// Guards against a copy that falls further behind with each read because the
/// change feed returns all versions that came during the last one.
#[tokio::test]
async fn a_copy_keeps_up_with_changes_that_come_faster_than_the_link_carries_them() {
    const UPDATES: u64 = 6;
    let store = Store::new();
    let large = configuration(1, PREPAID, MANY_ROUTES);
    store.set("op", "", "config", &large);
    let client = Client::open(store.open().await);
    let mut mirror = Mirror::new(OPERATOR_TABLE);
    mirror.update(&client, LONG, LONG).await.expect("a read");
    store.link.set_bandwidth(5 * read_bytes(&large));
    let before = store.link.sent();
    let operator = tokio::spawn({
        let (store, large) = (store.clone(), large.clone());
        async move {
            loop {
                store.set("op", "", "config", &large);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    });
    for _ in 0..UPDATES {
        mirror.update(&client, LONG, LONG).await.expect("a read");
    }
    operator.abort();
    let sent = store.link.sent() - before;
    assert!(
        sent < 2 * UPDATES * read_bytes(&large),
        "{sent} bytes in {UPDATES} updates of {} each",
        read_bytes(&large)
    );
}

/// Guards against a read that waits forever for an answer that stopped midway.
#[tokio::test]
async fn an_answer_that_stops_midway_is_given_up_and_read_again() {
    let (relay, _, store) = start("plain", &[Behaviour::Answer]).await;
    let large = configuration(8, PREPAID, MANY_ROUTES);
    store.link.stall_after(large.len() / 2);
    store.set("op", "", "config", &large);
    wait_for_route(&relay, &format!("/added-{MANY_ROUTES}/x")).await;
}
