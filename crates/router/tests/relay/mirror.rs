//! The copy of a table that the store's feed keeps current.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::site::store::Store;
use poplar_platform::mirror::Mirror;
use poplar_platform::store::{SERVERS_TABLE, Store as Client};

const TIMEOUT: Duration = Duration::from_millis(500);

async fn opened() -> (Arc<Store>, Client, Mirror) {
    let store = Store::new();
    let client = Client::open(store.open().await);
    (store, client, Mirror::new(SERVERS_TABLE))
}

fn shown(mirror: &Mirror) -> Vec<(&str, &str)> {
    fn text(value: &[u8]) -> &str {
        std::str::from_utf8(value).unwrap()
    }
    let rows = mirror.rows();
    rows.map(|row| (&*row.key, text(&row.value))).collect()
}

#[tokio::test]
async fn changes_come_at_once_and_the_table_is_read_once() {
    let (store, client, mut mirror) = opened().await;
    store.set("servers", "", "a", "1");
    store.set("servers", "", "b", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(shown(&mirror), [("a", "1"), ("b", "1")]);
    store.set("servers", "", "b", "2");
    store.set("servers", "other", "c", "1");
    store.set("budgets", "", "d", "1");
    store.remove("servers", "", "a");
    let began = Instant::now();
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(shown(&mirror), [("b", "2")]);
    assert!(
        began.elapsed() < TIMEOUT,
        "waited though there was a change"
    );
    // Nothing new: the same again, with a newer version.
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(shown(&mirror), [("b", "2")]);
    assert_eq!(store.reads(), 1);
}

#[tokio::test]
async fn a_row_that_was_removed_and_written_again_is_there() {
    let (store, client, mut mirror) = opened().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.remove("servers", "", "a");
    store.set("servers", "", "a", "2");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(shown(&mirror), [("a", "2")]);
}

#[tokio::test]
async fn a_lost_history_is_made_good_by_a_whole_read() {
    let (store, client, mut mirror) = opened().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.remove("servers", "", "a");
    store.set("servers", "", "b", "1");
    store.forget();
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(shown(&mirror), [("b", "1")]);
    assert_eq!(store.reads(), 2);
}

#[tokio::test]
async fn a_whole_read_of_an_older_state_is_passed_over() {
    let (store, client, mut mirror) = opened().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.hold("servers");
    store.set("servers", "", "a", "2");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.set("servers", "", "a", "3");
    store.forget();
    // The history is lost, and the read is answered from before.
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(shown(&mirror), [("a", "2")]);
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(shown(&mirror), [("a", "3")]);
}

#[tokio::test]
async fn a_store_that_was_lost_answers_without_a_change() {
    let (store, client, mut mirror) = opened().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    let began = Instant::now();
    mirror
        .update(&client, Duration::ZERO, TIMEOUT)
        .await
        .unwrap();
    assert_eq!(shown(&mirror), [("a", "1")]);
    assert!(began.elapsed() < TIMEOUT, "waited for a change");
}
