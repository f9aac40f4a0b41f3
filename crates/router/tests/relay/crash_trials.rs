//! Trials of requests that can't be told apart from one that crashes servers, as
//! two routers share them through the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::id::Incarnation;
use poplar_core::poison::{EXPIRY, Fingerprint};
use poplar_platform::store::Store as Client;
use poplar_router::relay::crashes::Crashes;
use poplar_router::relay::crashes::trial::Trial;

use crate::site::store::{CommitOutcome, Store};

/// Time that a request on trial takes at most.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// A router that read the store's clock as `clock` just now.
fn router(name: &str, clock: u64) -> Arc<Crashes> {
    let crashes = Crashes::open(Incarnation::new(name, 1));
    crashes.merge_rows(std::iter::empty(), clock, Instant::now());
    crashes
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::new(name, b"")
}

/// Guards against trials that run beside each other, or again and again, so that
/// they tell nothing or crash more servers.
#[tokio::test]
async fn one_trial_runs_at_a_time_and_each_request_gets_one() {
    let store = Store::new();
    let client = Client::open(store.open().await);
    let clock = 5_000;
    let (a, b) = (router("a", clock), router("b", clock));
    let first = a.begin_trial(&client, request("first"), TIME_LEFT).await;
    assert_eq!(first, Trial::Granted);
    let busy = b.begin_trial(&client, request("second"), TIME_LEFT).await;
    assert!(
        matches!(busy, Trial::Busy(wait) if wait <= TIME_LEFT),
        "{busy:?}"
    );
    let later = clock + TIME_LEFT.as_millis() as u64;
    let b = router("b", later);
    for (name, trial) in [("first", Trial::Denied), ("second", Trial::Granted)] {
        let found = b.begin_trial(&client, request(name), TIME_LEFT).await;
        assert_eq!(found, trial, "{name}");
    }
    let b = router("b", later + EXPIRY.as_millis() as u64);
    let again = b.begin_trial(&client, request("first"), TIME_LEFT).await;
    assert_eq!(again, Trial::Granted, "it has expired");
}

/// Guards against a trial whose claim may have been lost, or that no other router
/// can know of.
#[tokio::test]
async fn no_trial_begins_without_an_answer_of_the_store() {
    let store = Store::new();
    let client = Client::open(store.open().await);
    let a = router("a", 5_000);
    store.set_next_commit(CommitOutcome::LoseAnswer);
    let lost = a.begin_trial(&client, request("lost"), TIME_LEFT).await;
    assert_eq!(lost, Trial::Denied);
    store.set_down(true);
    let away = a.begin_trial(&client, request("away"), TIME_LEFT).await;
    assert_eq!(away, Trial::Denied);
    let unread = Crashes::open(Incarnation::new("b", 1));
    store.set_down(false);
    let unread = unread
        .begin_trial(&client, request("unread"), TIME_LEFT)
        .await;
    assert_eq!(unread, Trial::Denied, "the store's clock is not known");
}

/// Guards against a call to the store at each arrival of a request that was on
/// trial before.
#[tokio::test]
async fn the_store_is_not_asked_again_for_what_is_known_of_trials() {
    let store = Store::new();
    let client = Client::open(store.open().await);
    let (a, b) = (router("a", 5_000), router("b", 5_000));
    let first = a.begin_trial(&client, request("first"), TIME_LEFT).await;
    assert_eq!(first, Trial::Granted);
    let busy = b.begin_trial(&client, request("second"), TIME_LEFT).await;
    assert!(matches!(busy, Trial::Busy(_)), "{busy:?}");
    store.set_down(true);
    for router in [&a, &b] {
        let tried = router.begin_trial(&client, request("first"), TIME_LEFT);
        assert_eq!(tried.await, Trial::Denied);
        let busy = router.begin_trial(&client, request("second"), TIME_LEFT);
        let busy = busy.await;
        assert!(matches!(busy, Trial::Busy(_)), "{busy:?}");
    }
}
