//! Servers that are cold after their start and crash under many requests. Each router is
//! a process of its own; the servers count what reaches them.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::PREPAID;
use crate::site::configuration;
use crate::site::fleet::{Fleet, is_refused, is_served};

const ROUTERS: usize = 4;
/// Pause between the requests of one router.
const PAUSE: Duration = Duration::from_millis(50);
/// Requests a second that a cold server takes, and the most that may reach it in one.
const PER_S: f64 = 8.1;
const MOST: usize = 12;
/// Time until all routers know of a server that is cold.
const SPREAD_TIME: Duration = Duration::from_secs(2);
/// How long servers are cold, and how long that is watched.
const COLD_MS: u64 = 12_000;
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Longest time until a request that can't be served is refused, on a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// A fleet whose plain servers may be cold.
async fn open(run: u64) -> Fleet {
    let site = Fleet::open(run, ROUTERS).await;
    let text = configuration(8, PREPAID, 0);
    let mut config: Value = serde_json::from_str(&text).expect("a configuration");
    config["services"][1]["cold_per_s"] = json!(PER_S);
    config["services"][1]["cold_start_s"] = json!(3.0);
    site.store.set("op", "", "config", &config.to_string());
    sleep(SPREAD_TIME).await;
    site
}

/// Checks what a server got in each second since `from`.
fn check(site: &Fleet, server: usize, from: Instant) {
    let arrivals = site.servers[server].arrivals();
    let times: Vec<Instant> = arrivals.into_iter().map(|(at, _)| at).collect();
    let counted: Vec<Instant> = times.into_iter().filter(|at| *at >= from).collect();
    let in_window = |n: usize| {
        let end = counted[n] + Duration::from_secs(1);
        counted[n..].iter().take_while(|at| **at < end).count()
    };
    let most = (0..counted.len()).map(in_window).max().unwrap_or(0);
    println!(
        "server {server}: {} requests, at most {most} in a second",
        counted.len()
    );
    assert!(most <= MOST, "server {server}: {most} in a second");
    assert!(counted.len() > 6, "server {server}: {}", counted.len());
}

/// Guards against routers that send to a server that has just started as to any other,
/// and against load that does not return to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_gets_no_more_than_its_rate() {
    let site = open(144).await;
    site.load_all(&["/read/x", "/once/x"], PAUSE);
    site.servers[0].register_cold("plain-0", 2, 3_000, &site.store);
    site.servers[1].register_cold("plain-1", 2, COLD_MS, &site.store);
    sleep(SPREAD_TIME).await;
    let from = Instant::now();
    sleep(LOAD_TIME).await;
    check(&site, 1, from);
    let outcomes = site.outcomes(from);
    let failed = outcomes.iter().find(|o| !is_served(o));
    assert!(failed.is_none(), "{failed:?}");
    // The first one has been warm for more than a second by now.
    let from = Instant::now();
    sleep(LOAD_TIME / 2).await;
    let (warm, all) = (
        site.servers[0].arrivals_since(from),
        site.outcomes(from).len(),
    );
    assert!(warm * 5 > all, "{warm} of {all} requests");
}

/// Guards against routers that learn that a server is cold only by the store, and against
/// requests that wait because all servers are cold.
#[tokio::test(flavor = "multi_thread")]
async fn routers_without_the_store_keep_to_the_rate_of_cold_servers() {
    let site = open(145).await;
    site.store.set_down(true);
    for server in &site.servers {
        server.set_cold(Some(COLD_MS));
    }
    site.load_all(&["/read/x", "/once/x"], PAUSE);
    sleep(SPREAD_TIME).await;
    let from = Instant::now();
    sleep(LOAD_TIME).await;
    (0..site.servers.len()).for_each(|server| check(&site, server, from));
    let outcomes = site.outcomes(from);
    let late = outcomes
        .iter()
        .find(|o| !(is_served(o) || is_refused(o) && o.took < REFUSAL_TIME));
    assert!(late.is_none(), "{late:?}");
}
