//! Servers that say in their answers that they leave, or that they want no requests
//! from a router for some time. Each router is a process of its own; the servers
//! count what reaches them.

use std::time::{Duration, Instant};

use http::StatusCode;

use crate::site::caller::ask_head;
use crate::site::chosen;
use crate::site::fleet::{Fleet, Outcome, SERVERS, is_refused, is_served};
use crate::site::limited::LimitedServer;
use crate::site::process::DRAIN_TIME;
use crate::site::{TestRelay, configured_store};
use crate::{ID, KEY, PREPAID};

/// `POPLAR_NOTICE_ROUTERS` replaces the number.
const ROUTERS: usize = 8;
/// Time in which each router has had an answer of each server.
const SPREAD_TIME: Duration = Duration::from_secs(2);
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Pause between the requests of one router.
const REQUEST_PERIOD: Duration = Duration::from_millis(100);
const PATHS: &[&str] = &["/read/x", "/once/x"];
/// A pause that servers ask for, and the time after which requests that were on
/// their way have arrived.
const PAUSE: Duration = Duration::from_secs(3);
const PAUSE_MARGIN: Duration = Duration::from_millis(500);
/// Requests that may reach a server in the rest of its pause, from each router.
const MAX_IN_PAUSE: usize = 2;
/// Longest time until a request that can't be served is refused, on a busy
/// machine.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

async fn open(run: u64) -> Fleet {
    let routers = chosen::number("POPLAR_NOTICE_ROUTERS", ROUTERS);
    let fleet = Fleet::open(run, routers).await;
    fleet.load_all(PATHS, REQUEST_PERIOD);
    fleet
}

fn assert_all(outcomes: &[Outcome], accept: impl Fn(&Outcome) -> bool) {
    assert!(!outcomes.is_empty());
    let other = outcomes.iter().find(|o| !accept(o));
    assert!(other.is_none(), "{other:?}");
}

/// Checks that a server gets no requests from some time on, whatever the list of
/// servers shows, and that the others serve all of them.
async fn check_left(fleet: &Fleet, server: usize) {
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    let late = fleet.servers[server].arrivals_since(from);
    assert_eq!(late, 0, "requests reached a server that left");
    assert_all(&fleet.outcomes(from), is_served);
}

/// Guards against requests to a server that says that it leaves, while its row says
/// that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_that_it_leaves_gets_no_more_requests() {
    let fleet = open(310).await;
    fleet.servers[0].set_leaving(true);
    tokio::time::sleep(SPREAD_TIME + DRAIN_TIME).await;
    check_left(&fleet, 0).await;
}

/// As above, while the store is out of reach, and when it returns with a row that
/// says that the server is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_stays_out_of_service_when_the_store_returns() {
    let fleet = open(311).await;
    fleet.store.set_down(true);
    fleet.servers[0].set_leaving(true);
    tokio::time::sleep(SPREAD_TIME + DRAIN_TIME).await;
    fleet.store.remove("servers", "", "plain-0");
    fleet.store.drop_history();
    fleet.servers[0].register("plain-0", 1, &fleet.store);
    fleet.store.set_down(false);
    check_left(&fleet, 0).await;
    // Another process under the id does not leave.
    fleet.servers[0].set_leaving(false);
    fleet.servers[0].register("plain-0", 2, &fleet.store);
    tokio::time::sleep(SPREAD_TIME).await;
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    assert!(fleet.servers[0].arrivals_since(from) > 0);
}

/// Guards against requests that fail, or wait until their deadline, because all
/// servers of a service leave.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_after_all_servers_left() {
    let fleet = open(312).await;
    for server in &fleet.servers {
        server.set_leaving(true);
    }
    tokio::time::sleep(SPREAD_TIME + DRAIN_TIME).await;
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    for server in &fleet.servers {
        assert_eq!(server.arrivals_since(from), 0);
    }
    let outcomes = fleet.outcomes(from);
    assert_all(&outcomes, |o| is_refused(o) && o.took < REFUSAL_TIME);
}

/// Guards against requests to servers that turned one away and said for how long, if
/// no other server is left.
#[tokio::test(flavor = "multi_thread")]
async fn servers_get_no_requests_from_a_router_while_they_want_none() {
    let fleet = open(313).await;
    let from = Instant::now();
    for server in &fleet.servers {
        server.set_pause(Some(&PAUSE.as_secs().to_string()));
    }
    tokio::time::sleep(PAUSE * 3).await;
    let at_once = |o: &Outcome| is_served(o) || is_refused(o) && o.took < REFUSAL_TIME;
    assert_all(&fleet.outcomes(from), at_once);
    for router in 0..fleet.routers.len() {
        for server in &fleet.servers {
            let arrivals = server.arrivals_by(router).into_iter();
            let arrivals: Vec<Instant> = arrivals.filter(|at| *at >= from).collect();
            assert!(!arrivals.is_empty(), "router {router} sent nothing");
            for at in &arrivals {
                let pause = *at + PAUSE_MARGIN..*at + PAUSE;
                let count = arrivals.iter().filter(|at| pause.contains(*at)).count();
                assert!(count <= MAX_IN_PAUSE, "router {router}: {count} in a pause");
            }
        }
    }
    // They get requests again after the pause.
    for server in &fleet.servers {
        server.set_pause(None);
    }
    tokio::time::sleep(PAUSE * 2).await;
    let from = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    assert_all(&fleet.outcomes(from), is_served);
}

/// Guards against callers that are told to come back too early, or wait, because all
/// servers want no requests for some time.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_when_the_first_server_wants_requests_again() {
    let store = configured_store(PREPAID);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let server = LimitedServer::open(&format!("plain-{n}"), StatusCode::OK, &store).await;
        server.set_pause(Some(if n == 0 { "20" } else { "30" }));
        servers.push(server);
    }
    let relay = TestRelay::open(store.open().await).await;
    let told = Instant::now();
    let mut n = 0;
    // Each attempt may ask several servers.
    while servers
        .iter()
        .any(|server| server.arrivals_since(told) == 0)
    {
        ask_head(relay.address, "/read/x", &format!("first-{n}")).await;
        n += 1;
    }
    let from = Instant::now();
    let answer = ask_head(relay.address, "/read/x", "later").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(from.elapsed() < REFUSAL_TIME);
    assert!(
        servers
            .iter()
            .all(|server| server.arrivals_since(from) == 0)
    );
    let wait = answer.headers["retry-after"].to_str().expect("text");
    let wait: f64 = wait.parse().expect("a number");
    assert!((15.0..=20.0).contains(&wait), "{wait}");
}

/// Guards against servers that get no requests because they say when to come back in
/// a way that can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_that_is_no_number_is_ignored() {
    for value in ["-1", "NaN", "1e309", "Sun, 06 Nov 1994 08:49:37 GMT"] {
        let store = configured_store(PREPAID);
        let server = LimitedServer::open("plain-0", StatusCode::OK, &store).await;
        let relay = TestRelay::open(store.open().await).await;
        server.set_pause(Some(value));
        let refused = relay.ask("/read/x", &[KEY, (ID, "a")]).await;
        assert_eq!(refused.expect("an answer").status, 503, "{value}");
        server.set_pause(None);
        let served = relay.ask("/read/x", &[KEY, (ID, "b")]).await;
        assert_eq!(served.expect("an answer").status, 200, "{value}");
    }
}
