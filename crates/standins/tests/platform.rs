//! Tests of the stand-in for the platform, of its parts and through the client
//! that the product uses.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Caller, HANG_TIMEOUT, LOOPBACK};
use poplar_base::http::Error as WebError;
use poplar_base::platform::wire::{CommitWire, HostWire, RowsWire};
use poplar_base::platform::{Commit, Error, Platform, client};
use poplar_standins::platform::counts::CountsWire;
use poplar_standins::platform::hosts::{Hosts, UnknownHost};
use poplar_standins::platform::limits::TokenBucket;
use poplar_standins::platform::state::{RateLimit, State};
use poplar_standins::platform::table::Table;
use poplar_standins::platform::{self, Settings};
use serde_json::{Value, json};

/// Time-out of calls that are expected to hang or to be slow.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

async fn start() -> (SocketAddr, Platform, Caller) {
    let settings = Settings {
        limits: false,
        ..Settings::default()
    };
    let server = platform::bind(LOOPBACK, &settings).await.unwrap();
    let platform = client::open(server.address, HANG_TIMEOUT);
    (server.address, platform, Caller::new(server.address))
}

async fn counts(caller: &Caller) -> CountsWire {
    caller.get("/control/counts").await
}

fn write(key: &str, value: Value) -> Commit {
    Commit::default().write(key, &value)
}

fn wire(commit: Commit) -> CommitWire {
    commit.into()
}

#[test]
fn a_commit_applies_all_writes_or_none() {
    let mut table = Table::new();
    let first = wire(write("a", json!(1)).write("b", &json!(1)).check("a", 0));
    assert_eq!(table.commit(first).unwrap(), 1);
    let second = wire(write("b", json!(2)).check("b", 1));
    assert_eq!(table.commit(second).unwrap(), 2);
    let stale = wire(write("a", json!(9)).check("a", 1).check("b", 1));
    let conflict = table.commit(stale).unwrap_err();
    let found: Vec<_> = conflict.rows.iter().map(|r| (&*r.key, r.version)).collect();
    assert_eq!(found, [("a", 1), ("b", 2)]);
    assert_eq!(
        (table.row("a").version, table.row("a").value),
        (1, json!(1))
    );
    let removed = wire(Commit::default().remove("a").check("a", 1));
    assert_eq!(table.commit(removed).unwrap(), 3);
    assert_eq!(
        (table.row("a").version, table.row("a").value),
        (0, Value::Null)
    );
}

#[test]
fn a_scan_returns_rows_with_the_prefix_sorted_by_key() {
    let mut table = Table::new();
    for key in ["b/2", "a", "b/1", "c", "b"] {
        table.commit(wire(write(key, json!(0)))).unwrap();
    }
    let keys = |prefix| table.scan(prefix).into_iter().map(|row| row.key);
    assert_eq!(keys("b/").collect::<Vec<_>>(), ["b/1", "b/2"]);
    assert_eq!(keys("").count(), 5);
}

#[test]
fn token_bucket_limits_the_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10, start);
    assert!(bucket.try_take(8, start));
    assert!(!bucket.try_take(3, start));
    assert!(bucket.try_take(2, start));
    let later = start + Duration::from_millis(500);
    assert!(bucket.try_take(5, later) && !bucket.try_take(1, later));
    // A cost above the capacity is allowed if the bucket is full and leaves its
    // level negative.
    let full = later + Duration::from_secs(1);
    assert!(bucket.try_take(20, full));
    assert!(!bucket.try_take(1, full + Duration::from_secs(1)));
    assert!(bucket.try_take(1, full + Duration::from_secs(2)));
    // The capacity is one second's tokens, however long the bucket is refilled.
    let idle = full + Duration::from_secs(60);
    assert!(bucket.try_take(10, idle) && !bucket.try_take(1, idle));
}

#[test]
fn usage_is_counted_by_router() {
    let now = Instant::now();
    let settings = Settings {
        write_rate: 2,
        ..Settings::default()
    };
    let mut state = State::new(&settings, now);
    let (one, two) = ("r1".into(), "r2".into());
    assert!(state.charge(&one, RateLimit::Write, 2, now));
    assert!(!state.charge(&two, RateLimit::Write, 1, now));
    assert!(state.charge(&two, RateLimit::Read, 1, now));
    state.switches.limits = false;
    assert!(state.charge(&two, RateLimit::Write, 7, now));
    let counts = state.counts_wire();
    let shares = counts.routers.iter().map(|r| (&*r.router, r.share));
    let shares = shares.map(|(router, s)| (router, s.reads, s.writes, s.refused));
    assert_eq!(
        shares.collect::<Vec<_>>(),
        [("r1", 0, 2, 0), ("r2", 1, 7, 1)]
    );
    assert_eq!((counts.totals.refused, counts.peak_writes), (1, 9));
}

#[test]
fn cost_of_a_transaction_follows_from_its_rows() {
    let settings = Settings {
        write_rows: 16,
        ..Settings::default()
    };
    let state = State::new(&settings, Instant::now());
    let costs = [1, 16, 17, 33].map(|rows| state.write_cost(rows));
    assert_eq!(costs, [1, 1, 2, 3]);
}

#[test]
fn broken_budget_invariants_are_recorded() {
    let mut state = State::new(&Settings::default(), Instant::now());
    let budget = |limit: u64, granted: u64| json!({"limit": limit, "granted": granted});
    let grant = |granted: u64| json!({"number": 1, "granted": granted});
    let valid = write("budget/w", budget(10, 7))
        .write("grant/r1.1/w", &grant(3))
        .write("grant/r2.1/w", &grant(4));
    state.commit(wire(valid)).unwrap();
    state.commit(wire(write("budget/v", budget(5, 0)))).unwrap();
    assert_eq!(state.counts_wire().violations, 0);
    let over_limit = write("budget/w", budget(6, 7));
    state.commit(wire(over_limit)).unwrap();
    let wrong_sum = write("budget/w", budget(10, 7)).write("grant/r2.1/w", &grant(5));
    state.commit(wire(wrong_sum)).unwrap();
    state.commit(wire(write("grant/r1.1/x", grant(1)))).unwrap();
    let counts = state.counts_wire();
    assert_eq!(counts.violations, 3);
    let reasons: Vec<_> = counts.violated.iter().map(|v| &*v.reason).collect();
    assert_eq!(
        reasons,
        [
            "granted 7 is above the limit 6",
            "grants add up to 8, not to 7",
            "grants add up to 1, not to 0",
        ]
    );
    assert_eq!(
        (counts.violated[1].version, counts.violated[1].rows.len()),
        (4, 3)
    );
}

fn host(name: &str) -> HostWire {
    HostWire {
        name: name.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        centre: "depot-north".into(),
        role: "engine".to_owned(),
        serves: "model".into(),
        state: "live".to_owned(),
        fenced: false,
    }
}

#[test]
fn changes_of_the_host_list_become_visible_after_the_lag() {
    let (mut hosts, now, lag) = (Hosts::new(), Instant::now(), Duration::from_secs(1));
    hosts.replace(vec![host("a"), host("b")], now, Duration::ZERO);
    hosts.set_state("a", "leaving", now, lag).unwrap();
    // A later change with a shorter lag does not become visible earlier.
    hosts.set_state("b", "gone", now, Duration::ZERO).unwrap();
    assert_eq!(hosts.set_state("b", "live", now, lag), Err(UnknownHost));
    let mut visible = |at| {
        hosts.advance(at);
        let lines = hosts
            .visible()
            .iter()
            .map(|h| format!("{} {}", h.name, h.state));
        lines.collect::<Vec<_>>()
    };
    assert_eq!(visible(now), ["a live", "b live"]);
    assert_eq!(visible(now + lag), ["a leaving"]);
}

#[test]
fn the_seed_determines_which_answers_are_lost() {
    let lost = |seed| {
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        let mut state = State::new(&settings, Instant::now());
        state.switches.lose_rate = 0.3;
        (0..100)
            .map(|_| state.draw_lost_answer())
            .collect::<Vec<_>>()
    };
    assert_eq!(lost(1), lost(1));
    assert_ne!(lost(1), lost(2));
    let count = lost(1).into_iter().filter(|lost| *lost).count();
    assert!((10..60).contains(&count), "{count}");
}

#[tokio::test]
async fn the_products_client_can_use_table_objects_and_hosts() {
    let (_, platform, caller) = start().await;
    let version = (platform.commit)(write("a", json!(1)).check("a", 0));
    assert_eq!(version.await.unwrap(), 1);
    let conflict = (platform.commit)(write("a", json!(2)).check("a", 0));
    let Err(Error::Conflict(rows)) = conflict.await else {
        panic!("the commit must end in a conflict");
    };
    assert_eq!((rows[0].version, &rows[0].value), (1, &json!(1)));
    let scanned = (platform.scan)("a".to_owned()).await.unwrap();
    assert_eq!((scanned.len(), scanned[0].version), (1, 1));
    assert_eq!(platform.row("none").await.unwrap().version, 0);
    let put = |body: &'static str| (platform.put)("bills/r/1".to_owned(), Bytes::from(body));
    put("one").await.unwrap();
    put("one").await.unwrap();
    assert_eq!(counts(&caller).await.totals.changed, 0);
    put("two").await.unwrap();
    let got = (platform.get)("bills/r/1".to_owned()).await.unwrap();
    assert_eq!(got.as_deref(), Some(&b"two"[..]));
    assert_eq!((platform.get)("bills/r/2".to_owned()).await.unwrap(), None);
    let listed: Value = caller.get("/v1/objects?prefix=bills/").await;
    assert_eq!(listed, json!({"names": ["bills/r/1"]}));
    assert!((platform.hosts)().await.unwrap().is_empty());
    let counts = counts(&caller).await.totals;
    assert_eq!((counts.commits, counts.conflicts, counts.writes), (1, 1, 1));
    assert_eq!((counts.puts, counts.changed, counts.reads), (3, 1, 2));
}

#[tokio::test]
async fn a_lost_answer_leaves_the_effect_in_place() {
    let (_, platform, caller) = start().await;
    caller.switch(json!({"lose_answers": 2})).await;
    // A conflict has no effect, so its answer is never lost.
    let conflict = (platform.commit)(write("a", json!(0)).check("a", 9)).await;
    assert!(matches!(conflict, Err(Error::Conflict(_))));
    let lost = (platform.commit)(write("a", json!(1))).await;
    assert!(matches!(lost, Err(Error::OutcomeUnknown(_))), "{lost:?}");
    let lost = (platform.put)("o".to_owned(), Bytes::from("x")).await;
    assert!(matches!(lost, Err(Error::OutcomeUnknown(_))), "{lost:?}");
    assert_eq!(platform.row("a").await.unwrap().version, 1);
    assert!((platform.get)("o".to_owned()).await.unwrap().is_some());
    assert_eq!((platform.commit)(write("a", json!(2))).await.unwrap(), 2);
    assert_eq!(counts(&caller).await.totals.lost, 2);
}

#[tokio::test]
async fn calls_during_an_outage_have_no_effect() {
    let (address, platform, caller) = start().await;
    caller.switch(json!({"table_down": true})).await;
    let down = (platform.commit)(write("a", json!(1))).await;
    assert!(matches!(down, Err(Error::Unavailable(_))), "{down:?}");
    (platform.put)("o".to_owned(), Bytes::new()).await.unwrap();
    caller
        .switch(json!({"table_down": "hang", "objects_down": true}))
        .await;
    let short_client = client::open(address, SHORT_TIMEOUT);
    let hung = (short_client.commit)(write("a", json!(1))).await;
    assert!(matches!(hung, Err(Error::OutcomeUnknown(_))), "{hung:?}");
    let down = (platform.get)("o".to_owned()).await;
    assert!(matches!(down, Err(Error::Unavailable(_))), "{down:?}");
    let rows: RowsWire = caller.get("/control/table").await;
    assert!(rows.rows.is_empty());
    caller
        .switch(json!({"table_down": false, "objects_down": false}))
        .await;
    assert_eq!((platform.commit)(write("a", json!(1))).await.unwrap(), 1);
    assert_eq!(counts(&caller).await.totals.down, 3);
}

#[tokio::test]
async fn a_delayed_write_takes_effect_after_its_caller_disconnected() {
    let (address, _, caller) = start().await;
    caller.switch(json!({"delay_ms": 400})).await;
    let short_client = client::open(address, SHORT_TIMEOUT);
    // The result is ignored: on a busy machine the call may still get its answer,
    // in which case this run does not test the case.
    let _ = (short_client.commit)(write("a", json!(1))).await;
    let committed = async {
        while counts(&caller).await.totals.commits == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let committed = tokio::time::timeout(HANG_TIMEOUT, committed).await;
    committed.expect("the write takes effect");
}

#[tokio::test]
async fn connections_of_the_configured_routers_are_cut() {
    let (_, _, caller) = start().await;
    caller.switch(json!({"cut": ["r1"]})).await;
    let mut answered = Vec::new();
    for router in ["r1", "r1.00ff", "r10", "r2", ""] {
        let headers = [("x-router", router)];
        let call = caller.post("/v1/table/scan", &headers, json!({"prefix": ""}));
        match call.await {
            Ok(_) => answered.push(router),
            Err(why) => assert!(matches!(why, WebError::Lost(_)), "{why:?}"),
        }
    }
    assert_eq!(answered, ["r10", "r2", ""]);
    assert_eq!(counts(&caller).await.totals.cut, 2);
}

#[tokio::test]
async fn hosts_can_be_replaced_and_changed_over_http() {
    let server = platform::bind(LOOPBACK, &Settings::default())
        .await
        .unwrap();
    let (address, caller): (SocketAddr, _) = (server.address, Caller::new(server.address));
    let platform = client::open(address, HANG_TIMEOUT);
    let web = poplar_base::http::Client::open();
    let listed = json!({"hosts": [host("a"), host("b")]}).to_string();
    let url = format!("http://{address}/v1/hosts");
    web.put(&url, Bytes::from(listed), HANG_TIMEOUT)
        .await
        .unwrap();
    for (name, state) in [("a", "leaving"), ("b", "gone")] {
        let path = format!("/v1/hosts/{name}");
        let set = caller.post(&path, &[], json!({"state": state})).await;
        assert_eq!(set.unwrap().status, 200);
    }
    let hosts = (platform.hosts)().await.unwrap();
    assert_eq!(hosts.len(), 1);
    assert_eq!((&*hosts[0].name, hosts[0].leaving), ("a", true));
    let missing = caller
        .post("/v1/hosts/c", &[], json!({"state": "live"}))
        .await;
    assert_eq!(missing.unwrap().status, 404);
    let wrong = caller
        .post("/v1/hosts/a", &[], json!({"state": "off"}))
        .await;
    assert_eq!(wrong.unwrap().status, 400);
}
