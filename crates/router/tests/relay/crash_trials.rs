//! Trials of requests that can't be told apart from one that crashes servers, as
//! two routers share them through the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::poison::{CrashId, EXPIRY, Fingerprint, Report, Sighting};
use poplar_platform::store::Store as Client;
use poplar_router::relay::crashes::trial::Trial;
use poplar_router::relay::crashes::{Crashes, Source};

use crate::site::crashes_of;
use crate::site::store::{CommitOutcome, Store};

/// Time that a request on trial takes at most.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// A router that read the store's clock as `clock` just now.
fn router(name: &str, clock: u64) -> Arc<Crashes> {
    let crashes = crashes_of(name);
    crashes.merge_rows(std::iter::empty(), clock, Instant::now());
    crashes
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::new(name, b"")
}

/// Asks a router for a trial of a request because of its content.
async fn begin_trial(router: &Crashes, client: &Client, name: &str) -> Trial {
    let causes = [request(name)];
    router.begin_trial(client, &causes, false, TIME_LEFT).await
}

/// Asks a router for a trial of a request because of these parts.
async fn begin_parts_trial(router: &Crashes, client: &Client, names: &[&str]) -> Trial {
    let causes: Vec<Fingerprint> = names.iter().map(|name| request(name)).collect();
    router.begin_trial(client, &causes, true, TIME_LEFT).await
}

/// Guards against trials that run beside each other, or again and again, so that
/// they tell nothing or crash more servers.
#[tokio::test]
async fn one_trial_runs_at_a_time_and_each_request_gets_one() {
    let store = Store::new();
    let client = Client::open(store.open().await);
    let clock = 5_000;
    let (a, b) = (router("a", clock), router("b", clock));
    let first = begin_trial(&a, &client, "first").await;
    assert_eq!(first, Trial::Granted);
    let busy = begin_trial(&b, &client, "second").await;
    assert!(
        matches!(busy, Trial::Busy(wait) if wait <= TIME_LEFT),
        "{busy:?}"
    );
    let later = clock + TIME_LEFT.as_millis() as u64;
    let b = router("b", later);
    for (name, trial) in [("first", Trial::Denied), ("second", Trial::Granted)] {
        let found = begin_trial(&b, &client, name).await;
        assert_eq!(found, trial, "{name}");
    }
    let b = router("b", later + EXPIRY.as_millis() as u64);
    let again = begin_trial(&b, &client, "first").await;
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
    let lost = begin_trial(&a, &client, "lost").await;
    assert_eq!(lost, Trial::Denied);
    store.set_down(true);
    let away = begin_trial(&a, &client, "away").await;
    assert_eq!(away, Trial::Denied);
    let unread = crashes_of("b");
    store.set_down(false);
    let unread = begin_trial(&unread, &client, "unread").await;
    assert_eq!(unread, Trial::Denied, "the store's clock is not known");
}

/// Guards against a call to the store at each arrival of a request that was on
/// trial before.
#[tokio::test]
async fn the_store_is_not_asked_again_for_what_is_known_of_trials() {
    let store = Store::new();
    let client = Client::open(store.open().await);
    let (a, b) = (router("a", 5_000), router("b", 5_000));
    let first = begin_trial(&a, &client, "first").await;
    assert_eq!(first, Trial::Granted);
    let busy = begin_trial(&b, &client, "second").await;
    assert!(matches!(busy, Trial::Busy(_)), "{busy:?}");
    store.set_down(true);
    for router in [&a, &b] {
        let tried = begin_trial(router, &client, "first");
        assert_eq!(tried.await, Trial::Denied);
        let busy = begin_trial(router, &client, "second");
        let busy = busy.await;
        assert!(matches!(busy, Trial::Busy(_)), "{busy:?}");
    }
}

/// Guards against a part that ends one server after the other on trial, and against
/// a sound part that is refused since a trial of both was spent on the other one.
#[tokio::test]
async fn parts_are_on_trial_until_one_crashes_a_server() {
    let store = Store::new();
    let client = Client::open(store.open().await);
    let clock = 5_000;
    let a = router("a", clock);
    let both = ["cause", "beside"];
    assert_eq!(begin_parts_trial(&a, &client, &both).await, Trial::Granted);
    // It ended without a result, so that another one may follow.
    let later = clock + TIME_LEFT.as_millis() as u64;
    let b = router("b", later);
    assert_eq!(begin_parts_trial(&b, &client, &both).await, Trial::Granted);
    let at = Instant::now() + TIME_LEFT;
    let crash = |name| Sighting {
        fingerprint: request(name),
        server: "server".into(),
        id: CrashId::Process(1),
        at,
    };
    let reports = both.map(|name| Report::Crash(crash(name)));
    let c = router("c", later + TIME_LEFT.as_millis() as u64);
    c.merge(reports.to_vec(), Source::Peer, at);
    for (names, trial) in [
        (&both[..], Trial::Denied),
        (&["cause", "beside", "third"], Trial::Denied),
        (&["beside"], Trial::Granted),
    ] {
        let found = begin_parts_trial(&c, &client, names).await;
        assert_eq!(found, trial, "{names:?}");
    }
}
