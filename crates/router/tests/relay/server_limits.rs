//! Servers that name a limit of requests a second, which holds for all routers
//! together. Each router is a process of its own; the servers count what reaches
//! them.

use std::time::{Duration, Instant};

use http::StatusCode;

use crate::site::chosen;
use crate::site::fleet::{Fleet, SERVERS, is_refused, is_served};

/// Time after which a limit that one router was told binds all of them.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// How long requests come after that.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Longest time until a request that can't be served is refused, on a busy
/// machine.
const REFUSAL_TIME: Duration = Duration::from_millis(700);
/// Least part of the limits that is used if enough requests come.
const MIN_USED: f64 = 0.6;
const ROUTERS: usize = 4;
/// With one request of each in a window the limit of 1 a second is exceeded.
/// `POPLAR_LIMIT_ROUTERS` replaces the number.
const MANY_ROUTERS: usize = 24;

fn many_routers() -> usize {
    chosen::number("POPLAR_LIMIT_ROUTERS", MANY_ROUTERS)
}

/// Has one server of several name a limit, and checks it and that the others
/// serve what it does not take.
async fn check_one_limited(site: &Fleet, paths: &'static [&'static str], pause: Duration) {
    site.load_all(paths, pause);
    site.servers[0].set_limit(Some(1.0));
    tokio::time::sleep(SPREAD_TIME).await;
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    site.check_limit(0, from, 1.0);
    let outcomes = site.outcomes(from);
    let failed = outcomes.iter().find(|o| !is_served(o));
    assert!(failed.is_none(), "{failed:?}");
}

/// Guards against routers that don't act on a limit, so that the server gets as
/// many requests as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_more_requests_than_its_limit() {
    let site = Fleet::open(301, ROUTERS).await;
    check_one_limited(&site, &["/read/x"], Duration::from_millis(50)).await;
}

/// As above, for requests that may run only once.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_more_calls_than_its_limit() {
    let site = Fleet::open(302, ROUTERS).await;
    check_one_limited(&site, &["/once/x"], Duration::from_millis(50)).await;
}

/// Guards against limits that each router keeps, and all together exceed since
/// one request from each is too many.
#[tokio::test(flavor = "multi_thread")]
async fn many_routers_keep_a_limit_together() {
    let site = Fleet::open(303, many_routers()).await;
    check_one_limited(&site, &["/read/x"], Duration::from_millis(300)).await;
}

/// Guards against routers that learn of a limit only by datagrams, or only by
/// the store.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_get_no_datagrams_keep_a_limit() {
    let statuses = [StatusCode::OK; SERVERS];
    let site = Fleet::open_with(304, many_routers(), false, &statuses).await;
    check_one_limited(&site, &["/read/x"], Duration::from_millis(300)).await;
}

/// As above, while the store is out of reach.
#[tokio::test(flavor = "multi_thread")]
async fn routers_without_the_store_keep_a_limit() {
    let site = Fleet::open(305, many_routers()).await;
    site.store.set_down(true);
    check_one_limited(&site, &["/read/x"], Duration::from_millis(300)).await;
}

/// Guards against repeats that exceed a limit which first sends keep.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_keep_a_limit() {
    let statuses = [StatusCode::OK, StatusCode::INTERNAL_SERVER_ERROR];
    let site = Fleet::open_with(306, ROUTERS, true, &statuses).await;
    site.load_all(&["/read/x"], Duration::from_millis(100));
    site.servers[0].set_limit(Some(1.0));
    tokio::time::sleep(SPREAD_TIME).await;
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    site.check_limit(0, from, 1.0);
}

/// Guards against limits that are exceeded by routers that restart or join, and
/// by the others because of them.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_restart_or_join_keep_a_limit() {
    let mut site = Fleet::open(307, ROUTERS).await;
    let paths = &["/read/x", "/once/x"];
    let pause = Duration::from_millis(50);
    site.load_all(paths, pause);
    site.servers[0].set_limit(Some(1.0));
    tokio::time::sleep(SPREAD_TIME).await;
    let from = Instant::now();
    site.routers[0].kill();
    site.routers[1].signal("STOP");
    for _ in 0..3 {
        site.add_router(true);
        let router = site.routers.len() - 1;
        site.wait_until_served(router).await;
        site.load(router, paths, pause);
    }
    site.routers[0].start();
    tokio::time::sleep(LOAD_TIME / 2).await;
    site.routers[1].signal("CONT");
    tokio::time::sleep(LOAD_TIME / 2).await;
    site.check_limit(0, from, 1.0);
}

/// Guards against limits that stay in force after the server has named another
/// one, or none.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_changes_or_ends_is_followed() {
    let site = Fleet::open(308, ROUTERS).await;
    site.load_all(&["/read/x"], Duration::from_millis(50));
    for limit in [8.0, 1.0] {
        site.servers[0].set_limit(Some(limit));
        tokio::time::sleep(SPREAD_TIME).await;
        let from = Instant::now();
        tokio::time::sleep(LOAD_TIME / 2).await;
        site.check_limit(0, from, limit);
    }
    site.servers[0].set_limit(None);
    tokio::time::sleep(SPREAD_TIME).await;
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME / 2).await;
    let got = site.servers[0].arrivals_since(from);
    let all = site.outcomes(from).len();
    assert!(got * SERVERS * 2 > all, "{got} of {all} requests");
}

/// Guards against limits that are kept by serving next to nothing, requests that
/// wait in vain, and kinds of request that get nothing of what is allowed. Only
/// half of the routers have callers.
#[tokio::test(flavor = "multi_thread")]
async fn what_limits_allow_is_used_and_the_rest_refused_at_once() {
    const LIMIT: f64 = 3.0;
    let site = Fleet::open(309, ROUTERS).await;
    for router in 0..ROUTERS / 2 {
        site.load(router, &["/read/x", "/once/x"], Duration::from_millis(50));
    }
    for server in &site.servers {
        server.set_limit(Some(LIMIT));
    }
    tokio::time::sleep(SPREAD_TIME).await;
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    (0..SERVERS).for_each(|server| site.check_limit(server, from, LIMIT));
    let outcomes = site.outcomes(from);
    let served = |path: &str| {
        let served = outcomes.iter().filter(|o| is_served(o) && o.path == path);
        served.count() as f64
    };
    let (reads, calls) = (served("/read/x"), served("/once/x"));
    let allowed = LIMIT * SERVERS as f64 * LOAD_TIME.as_secs_f64();
    println!("{reads} reads and {calls} calls served, allowed {allowed}");
    assert!(reads + calls > MIN_USED * allowed);
    assert!(reads.min(calls) > 0.25 * reads.max(calls));
    let late = outcomes
        .iter()
        .find(|o| !(is_served(o) || is_refused(o) && o.took < REFUSAL_TIME));
    assert!(late.is_none(), "{late:?}");
}
