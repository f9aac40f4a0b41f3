//! The local copy of a table, which the store's change feed keeps up to date.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::site::store::Store;
use poplar_platform::mirror::Mirror;
use poplar_platform::store::{SERVERS_TABLE, Store as Client};

const TIMEOUT: Duration = Duration::from_millis(500);

async fn start() -> (Arc<Store>, Client, Mirror) {
    let store = Store::new();
    let client = Client::open(store.open().await);
    (store, client, Mirror::new(SERVERS_TABLE))
}

fn contents(mirror: &Mirror) -> Vec<(&str, &str)> {
    fn text(value: &[u8]) -> &str {
        std::str::from_utf8(value).unwrap()
    }
    let rows = mirror.rows();
    rows.map(|row| (&*row.key, text(&row.value))).collect()
}

#[tokio::test]
async fn changes_arrive_at_once_and_the_table_is_read_once() {
    let (store, client, mut mirror) = start().await;
    store.set("servers", "", "a", "1");
    store.set("servers", "", "b", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("a", "1"), ("b", "1")]);
    store.set("servers", "", "b", "2");
    store.set("servers", "other", "c", "1");
    store.set("budgets", "", "d", "1");
    store.remove("servers", "", "a");
    let began = Instant::now();
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("b", "2")]);
    assert!(
        began.elapsed() < TIMEOUT,
        "waited although there was a change"
    );
    // No change: the rows stay the same, and the version is newer.
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("b", "2")]);
    assert_eq!(store.reads(), 1);
}

#[tokio::test]
async fn a_row_that_is_removed_and_written_again_is_kept() {
    let (store, client, mut mirror) = start().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.remove("servers", "", "a");
    store.set("servers", "", "a", "2");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("a", "2")]);
}

#[tokio::test]
async fn lost_history_leads_to_a_full_read() {
    let (store, client, mut mirror) = start().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.remove("servers", "", "a");
    store.set("servers", "", "b", "1");
    store.drop_history();
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("b", "1")]);
    assert_eq!(store.reads(), 2);
}

#[tokio::test]
async fn a_full_read_of_an_older_state_is_ignored() {
    let (store, client, mut mirror) = start().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.hold_read("servers");
    store.set("servers", "", "a", "2");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    store.set("servers", "", "a", "3");
    store.drop_history();
    // The history is lost, and the full read returns the earlier state.
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("a", "2")]);
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("a", "3")]);
}

#[tokio::test]
async fn an_update_without_wait_returns_at_once() {
    let (store, client, mut mirror) = start().await;
    store.set("servers", "", "a", "1");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    let began = Instant::now();
    mirror
        .update(&client, Duration::ZERO, TIMEOUT)
        .await
        .unwrap();
    assert_eq!(contents(&mirror), [("a", "1")]);
    assert!(began.elapsed() < TIMEOUT, "waited for a change");
}

/// Guards against a change that is never seen because it was made to rows that
/// had been read while later pages of the table were still to be read.
#[tokio::test]
async fn a_change_between_two_pages_of_a_full_read_is_not_missed() {
    let (store, client, mut mirror) = start().await;
    for key in ["a", "b", "c"] {
        store.set("servers", "", key, "1");
    }
    store.set_page_rows(2);
    store.write_after_read("servers", "", "a", "2");
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    mirror.update(&client, TIMEOUT, TIMEOUT).await.unwrap();
    assert_eq!(contents(&mirror), [("a", "2"), ("b", "1"), ("c", "1")]);
}
