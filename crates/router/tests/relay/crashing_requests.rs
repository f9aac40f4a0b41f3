//! Requests that crash the servers that run them, sent to several routers, each
//! a process of its own. The servers count what reaches them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::PREPAID;
use crate::site::caller::{Seen, ask_once, wait_until};
use crate::site::configured_store;
use crate::site::crashing::{CrashKind, CrashPlan, CrashingServer};
use crate::site::process::{Router, start_routers};
use crate::site::store::Store;

/// Time after the third crash from which on no server may get the request.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Servers that a request may have crashed before all routers refuse it.
const CRASHES_ALLOWED: usize = 3;
/// How often it may still reach a server after that.
const RETRIES_ALLOWED: usize = 3;
/// Time in which a server that crashed is away.
const DOWN_TIME: Duration = Duration::from_millis(700);
/// How long an ordinary request runs.
const RUN_TIME: Duration = Duration::from_millis(120);
const ROUTERS: usize = 4;
const SERVERS: usize = 5;

/// Routers and servers of one test.
struct Site {
    store: Arc<Store>,
    routers: Vec<Router>,
    servers: Vec<Arc<CrashingServer>>,
    folder: PathBuf,
    sent: usize,
}

/// What a test varies.
struct Setup {
    /// Tells the tests apart.
    run: u64,
    service: &'static str,
    kind: CrashKind,
    down_time: Duration,
    /// Whether datagrams between the routers arrive.
    datagrams: bool,
    servers: usize,
}

impl Setup {
    fn new(run: u64, service: &'static str, kind: CrashKind) -> Self {
        Self {
            run,
            service,
            kind,
            down_time: DOWN_TIME,
            datagrams: true,
            servers: SERVERS,
        }
    }

    /// Starts the site and waits until each router serves requests.
    async fn open(self) -> Site {
        let store = configured_store(PREPAID);
        let plan = CrashPlan {
            kind: self.kind,
            down_time: self.down_time,
            run_time: RUN_TIME,
        };
        let mut servers = Vec::new();
        for n in 0..self.servers {
            let id = format!("{}-{n}", self.service);
            servers.push(CrashingServer::open(&id, self.service, &store, plan).await);
        }
        let store_address = store.open().await;
        let name = format!("poplar-crashes-{}-{}", std::process::id(), self.run);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let routers = start_routers(self.run, ROUTERS, store_address, &folder, self.datagrams);
        let site = Site {
            store,
            routers,
            servers,
            folder,
            sent: 0,
        };
        let path = if self.service == "plain" {
            "/read/ready"
        } else {
            "/resume/ready"
        };
        for router in 0..ROUTERS {
            site.wait_until_served(router, path).await;
        }
        // Time in which each router learns of the others.
        tokio::time::sleep(Duration::from_secs(1)).await;
        site
    }
}

impl Site {
    /// Sends a request to a router.
    async fn ask(&mut self, router: usize, path: &str) -> Option<Seen> {
        self.sent += 1;
        let id = format!("test-{}", self.sent);
        ask_once(self.routers[router].callers(), path, &id).await
    }

    async fn wait_until_served(&self, router: usize, path: &str) {
        let is_served = |seen| seen == Seen::Answer(200, true);
        wait_until(self.routers[router].callers(), path, is_served).await;
    }

    /// Servers that have ended so far.
    fn crashes(&self) -> usize {
        self.servers.iter().map(|server| server.crashes()).sum()
    }

    /// How often the servers ran a request.
    fn runs(&self, path: &str) -> usize {
        self.servers.iter().map(|server| server.runs(path)).sum()
    }

    /// Sends a request to these routers in turn until it has crashed as many
    /// servers as it may.
    async fn crash_servers(&mut self, routers: &[usize], path: &str) {
        for n in 0..30 {
            if self.crashes() >= CRASHES_ALLOWED {
                return;
            }
            self.ask(routers[n % routers.len()], path).await;
        }
    }

    /// Sends the request to each router again and checks that no server gets it.
    async fn check_refused(&mut self, path: &str) {
        let before = self.runs(path);
        for _ in 0..2 {
            for router in 0..ROUTERS {
                let seen = self.ask(router, path).await;
                assert_eq!(seen, Some(Seen::CrashRefusal), "router {router}");
            }
        }
        assert_eq!(self.runs(path), before, "runs of the request");
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Crashes servers by way of all routers, and checks that all refuse the
/// request afterwards.
async fn check_spread(setup: Setup, path: &str) {
    let mut site = setup.open().await;
    site.crash_servers(&[0, 1, 2, 3], path).await;
    tokio::time::sleep(SPREAD_TIME).await;
    site.check_refused(path).await;
}

/// Guards against a request that each router sends on until it has crashed
/// servers there, however many it has crashed by way of the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_servers_elsewhere_is_refused() {
    let setup = Setup::new(201, "plain", CrashKind::Reset);
    check_spread(setup, "/read/crash").await;
}

/// As above, for a request that may not be sent again, so that each crash is
/// seen by another router.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashed_servers_elsewhere_is_refused() {
    let setup = Setup::new(202, "plain", CrashKind::Reset);
    check_spread(setup, "/once/crash").await;
}

/// Guards against crashes that don't count because the stream had begun.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_in_the_middle_of_streams_is_refused() {
    let setup = Setup::new(203, "engines", CrashKind::MidStream);
    check_spread(setup, "/resume/crash").await;
}

/// Guards against crashes that don't count because the connection to the server
/// stays open and silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_silently_is_refused() {
    let setup = Setup::new(204, "plain", CrashKind::Silence);
    check_spread(setup, "/read/crash").await;
}

/// Guards against crashes that don't count because the caller has left before
/// the router noticed the silence of the server.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_callers_leave_after_silent_crashes_is_refused() {
    let mut site = Setup::new(205, "engines", CrashKind::Silence).open().await;
    for n in 0..12 {
        if site.crashes() >= CRASHES_ALLOWED {
            break;
        }
        let asked = site.ask(n % ROUTERS, "/stream/crash");
        let _ = tokio::time::timeout(Duration::from_millis(1500), asked).await;
    }
    tokio::time::sleep(SPREAD_TIME).await;
    site.check_refused("/stream/crash").await;
}

/// Guards against errors of a server being taken for answers, which show that
/// the request is harmless.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_or_fails_is_refused() {
    let setup = Setup::new(212, "plain", CrashKind::ResetOrError);
    check_spread(setup, "/read/crash").await;
}

/// Guards against crashes that don't count because the server was back, under
/// its id, before a connection to it was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_that_are_back_at_once_is_refused() {
    let setup = Setup {
        down_time: Duration::ZERO,
        ..Setup::new(206, "plain", CrashKind::Reset)
    };
    check_spread(setup, "/once/crash").await;
}

/// Guards against what routers know of a request being lost with datagrams.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_get_no_datagrams_refuse_a_request_that_crashes_servers() {
    let setup = Setup {
        datagrams: false,
        ..Setup::new(207, "plain", CrashKind::Reset)
    };
    check_spread(setup, "/read/crash").await;
}

/// Guards against what routers know of a request being lost with the store.
#[tokio::test(flavor = "multi_thread")]
async fn routers_without_the_store_refuse_a_request_that_crashes_servers() {
    let mut site = Setup::new(208, "plain", CrashKind::Reset).open().await;
    site.store.set_down(true);
    site.crash_servers(&[0, 1, 2, 3], "/read/crash").await;
    tokio::time::sleep(SPREAD_TIME).await;
    site.check_refused("/read/crash").await;
}

/// Guards against reports that are lost because neither the other routers nor
/// the store could be reached when they were made.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_were_cut_off_learn_of_crashes_afterwards() {
    let setup = Setup {
        datagrams: false,
        ..Setup::new(213, "plain", CrashKind::Reset)
    };
    let mut site = setup.open().await;
    site.store.set_down(true);
    site.crash_servers(&[0, 1], "/read/crash").await;
    // Time in which writes fail.
    tokio::time::sleep(SPREAD_TIME).await;
    site.store.set_down(false);
    tokio::time::sleep(SPREAD_TIME).await;
    site.check_refused("/read/crash").await;
}

/// Guards against routers that don't know, since they were just started, what
/// all the others knew before they ended.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_refuse_a_request_that_crashed_servers_before() {
    let mut site = Setup::new(209, "plain", CrashKind::Reset).open().await;
    site.crash_servers(&[0, 1, 2, 3], "/read/crash").await;
    tokio::time::sleep(SPREAD_TIME).await;
    site.routers.iter_mut().for_each(Router::kill);
    site.routers.iter_mut().for_each(Router::start);
    for router in 0..ROUTERS {
        site.wait_until_served(router, "/read/ready").await;
    }
    site.check_refused("/read/crash").await;
}

/// Guards against a router that misses what the others learn while it is
/// frozen.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_was_frozen_refuses_a_request_that_crashed_servers() {
    let mut site = Setup::new(210, "plain", CrashKind::Reset).open().await;
    site.routers[3].signal("STOP");
    site.crash_servers(&[0, 1, 2], "/read/crash").await;
    tokio::time::sleep(SPREAD_TIME).await;
    site.routers[3].signal("CONT");
    tokio::time::sleep(SPREAD_TIME).await;
    site.check_refused("/read/crash").await;
}

/// Sends a request to a router again and again until `ended`.
async fn keep_asking(router: SocketAddr, path: String, ended: Arc<AtomicBool>) {
    let mut sent = 0;
    while !ended.load(Ordering::Acquire) {
        sent += 1;
        ask_once(router, &path, &format!("{path}-{sent}")).await;
    }
}

/// Guards against refusals of requests that only ran beside the one that
/// crashes the servers: others of the same time, and one that is sent so often
/// that it is on most servers at any time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_servers_that_another_one_crashes_are_served() {
    let mut site = Setup::new(211, "plain", CrashKind::Reset).open().await;
    let ended = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for n in 0..24 {
        let router = site.routers[n % ROUTERS].callers();
        let name = if n % 3 == 0 {
            "popular".to_owned()
        } else {
            format!("beside-{n}")
        };
        let path = format!("/read/{name}");
        callers.push(tokio::spawn(keep_asking(router, path, ended.clone())));
    }
    for _ in 0..4 {
        for router in 0..ROUTERS {
            site.ask(router, "/read/crash").await;
        }
        tokio::time::sleep(2 * DOWN_TIME).await;
    }
    ended.store(true, Ordering::Release);
    for caller in callers {
        caller.await.expect("no panic");
    }
    tokio::time::sleep(2 * DOWN_TIME).await;
    for router in 0..ROUTERS {
        for n in 0..24 {
            site.wait_until_served(router, &format!("/read/beside-{n}"))
                .await;
        }
        site.wait_until_served(router, "/read/popular").await;
    }
    site.check_refused("/read/crash").await;
}

/// Guards against a request that is never refused, since sound ones that differ from it
/// only in their query are answered between its crashes.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_beside_sound_ones_with_another_query() {
    let mut site = Setup::new(216, "plain", CrashKind::Reset).open().await;
    let mut sound = Vec::new();
    for n in 0..30 {
        if site.crashes() >= CRASHES_ALLOWED {
            break;
        }
        site.ask(n % ROUTERS, "/read/item?name=crash").await;
        // While servers are away, requests may be refused for that.
        tokio::time::sleep(2 * DOWN_TIME).await;
        for router in 0..ROUTERS {
            let seen = site.ask(router, &format!("/read/item?name={n}")).await;
            sound.push(seen);
        }
    }
    let is_served = |seen: &&Option<Seen>| **seen == Some(Seen::Answer(200, true));
    let served = sound.iter().filter(is_served).count();
    assert!(served * 10 >= sound.len() * 9, "{sound:?}");
    tokio::time::sleep(SPREAD_TIME).await;
    for router in 0..ROUTERS {
        site.wait_until_served(router, "/read/item?name=sound")
            .await;
    }
    site.check_refused("/read/item?name=crash").await;
}

/// Guards against sound requests that are refused for one that differs from them only
/// in its query, when none of them was answered between its crashes.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_do_not_pay_for_one_with_another_query() {
    let mut site = Setup::new(217, "plain", CrashKind::Reset).open().await;
    site.crash_servers(&[0, 1, 2, 3], "/read/item?name=crash")
        .await;
    tokio::time::sleep(SPREAD_TIME).await;
    for router in 0..ROUTERS {
        let seen = site.ask(router, &format!("/read/item?name={router}")).await;
        assert_eq!(seen, Some(Seen::Answer(200, true)), "router {router}");
    }
    site.check_refused("/read/item?name=crash").await;
}

/// Guards against a request that escapes by a detail that it changes each time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_changes_its_query_is_refused() {
    let mut site = Setup::new(218, "plain", CrashKind::Reset).open().await;
    for n in 0..30 {
        if site.crashes() >= CRASHES_ALLOWED {
            break;
        }
        site.ask(n % ROUTERS, &format!("/read/item?crash={n}"))
            .await;
    }
    tokio::time::sleep(SPREAD_TIME).await;
    let before = site.crashes();
    for n in 0..6 * ROUTERS {
        site.ask(n % ROUTERS, &format!("/read/item?crash=again-{n}"))
            .await;
    }
    let crashes = site.crashes() - before;
    assert!(crashes <= RETRIES_ALLOWED, "{crashes} crashes afterwards");
}

/// Guards against a request that escapes by another spelling of its query, beside
/// sound ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_spelled_otherwise_is_refused() {
    let mut site = Setup::new(219, "plain", CrashKind::Reset).open().await;
    for n in 0..30 {
        if site.crashes() >= CRASHES_ALLOWED {
            break;
        }
        let query = ["name=crash", "%6eame=crash", "n%61me=crash"][n % 3];
        site.ask(n % ROUTERS, &format!("/read/item?{query}")).await;
        site.ask(n % ROUTERS, &format!("/read/item?name={n}")).await;
    }
    tokio::time::sleep(SPREAD_TIME).await;
    site.check_refused("/read/item?name=crash").await;
}

/// The site after a request has crashed its only server several times, each
/// time with another request on it.
async fn site_with_shared_crashes(run: u64) -> Site {
    let setup = Setup {
        servers: 1,
        ..Setup::new(run, "plain", CrashKind::Reset)
    };
    let site = setup.open().await;
    for n in 0..12 {
        if site.crashes() >= CRASHES_ALLOWED {
            break;
        }
        let router = site.routers[n % ROUTERS].callers();
        let ids = [format!("beside-{n}"), format!("crash-{n}")];
        tokio::join!(
            ask_once(router, "/once/beside", &ids[0]),
            ask_once(router, "/once/crash", &ids[1]),
        );
        tokio::time::sleep(2 * DOWN_TIME).await;
    }
    assert_eq!(site.crashes(), CRASHES_ALLOWED);
    tokio::time::sleep(SPREAD_TIME).await;
    site
}

/// Guards against refusals of a request that was on each server that another
/// one crashed, so that nothing tells the two apart.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_the_same_crashes_as_their_cause_is_served() {
    let mut site = site_with_shared_crashes(214).await;
    for router in 0..ROUTERS {
        site.wait_until_served(router, "/once/beside").await;
    }
    site.check_refused("/once/crash").await;
    assert_eq!(site.crashes(), CRASHES_ALLOWED);
}

/// As above, if the cause of the crashes comes again first.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_the_same_crashes_is_served_after_their_cause_came_again() {
    let mut site = site_with_shared_crashes(215).await;
    for n in 0..3 * ROUTERS {
        site.ask(n % ROUTERS, "/once/crash").await;
    }
    assert!(site.crashes() <= CRASHES_ALLOWED + RETRIES_ALLOWED);
    for router in 0..ROUTERS {
        site.wait_until_served(router, "/once/beside").await;
    }
    site.check_refused("/once/crash").await;
}
