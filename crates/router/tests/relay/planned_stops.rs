//! Requests that come late in a planned stop of their router, or are open at its end:
//! what can't end in time isn't taken, and the rest is answered. Each router is a process
//! of its own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::time::sleep;

use crate::silent_servers::{DEADLINE, Site, ask_within, patient_store};
use crate::site::caller::{Seen, wait_until};
use crate::site::process::{Router, address};
use crate::site::severed::{Path, ServerPath};
use crate::site::silent::SilentServer;

/// Time from the signal to a request that comes late.
const LATE: Duration = Duration::from_millis(3300);
/// A deadline within what is left of the stop then.
const SHORT: Duration = Duration::from_secs(2);
/// Time until a request has reached its server.
const SENT_TIME: Duration = Duration::from_millis(300);
/// Longer than a router that has no open request takes to stop.
const IDLE_STOP: Duration = Duration::from_millis(4500);

/// Sends a call and a read with this deadline late in a stop of their router, whose
/// server is silent until then, or for good; returns what became of each.
async fn ask_late(site: &mut Site, deadline: Duration, goes_on: bool) -> Vec<Option<u16>> {
    // A request that stays open keeps the router from ending early.
    let at = site.routers[0].callers();
    site.set_silent(true);
    let open = tokio::spawn(ask_within(at, "/once/x", "open".into(), DEADLINE));
    sleep(SENT_TIME).await;
    site.routers[0].signal("TERM");
    sleep(LATE).await;
    let late = ["/once/x", "/read/x"].map(|path| {
        let id = format!("late-{path}");
        tokio::spawn(ask_within(at, path, id, deadline))
    });
    sleep(SENT_TIME).await;
    site.set_silent(!goes_on);
    let mut seen = Vec::new();
    for request in late {
        seen.push(request.await.expect("no panic").status);
    }
    let expected = if goes_on { 200 } else { 504 };
    assert_eq!(open.await.expect("no panic").status, Some(expected));
    seen
}

/// Guards against requests that are taken late in a stop, passed on and cut at its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_that_may_not_end_in_a_stop_is_refused() {
    let mut site = Site::open(497, "plain", 1).await;
    let before = site.servers[0].runs();
    let seen = ask_late(&mut site, DEADLINE, false).await;
    assert_eq!(seen, [Some(503), Some(503)]);
    assert_eq!(site.servers[0].runs(), before + 1);
}

/// Guards against refusals of requests that can still be served in a stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_that_ends_in_a_stop_is_served() {
    let mut site = Site::open(498, "plain", 1).await;
    let seen = ask_late(&mut site, SHORT, true).await;
    assert_eq!(seen, [Some(200), Some(200)]);
}

/// Guards against requests that are cut without an answer when their router ends.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_open_at_the_end_of_a_stop_are_answered() {
    let mut site = Site::open(499, "plain", 1).await;
    site.set_silent(true);
    let at = site.routers[0].callers();
    let open = ["/once/x", "/read/x"].map(|path| {
        let id = format!("open-{path}");
        tokio::spawn(ask_within(at, path, id, 2 * DEADLINE))
    });
    sleep(SENT_TIME).await;
    site.routers[0].signal("TERM");
    for request in open {
        // It may have run, so that it is not refused as not run.
        let answer = request.await.expect("no panic");
        assert_eq!(answer.status, Some(504), "{answer:?}");
    }
}

/// Guards against a stop that cuts the requests of another router, which go by way of
/// this one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_for_requests_by_way_of_this_router() {
    let store = patient_store();
    let (server, far) = SilentServer::open().await;
    store.register("server-0", "plain", far);
    let folder = std::env::temp_dir().join(format!("poplar-stops-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (mut routers, mut paths) = (Vec::new(), Vec::new());
    for n in 0..2 {
        let ip = address(500, n);
        let IpAddr::V4(v4) = ip else {
            panic!("not an IPv4 address");
        };
        let [_, b, c, d] = v4.octets();
        let view = IpAddr::from(Ipv4Addr::new(127, b, c, 100 + d));
        paths.push(ServerPath::open(SocketAddr::new(view, far.port()), far).await);
        let mut router = Router::new(ip, store.open_view(view).await, &folder);
        router.start();
        routers.push(router);
    }
    for router in &routers {
        let is_served = |seen| seen == Seen::Answer(200, true);
        wait_until(router.callers(), "/read/ready", is_served).await;
    }
    // Time until the routers know of each other.
    sleep(Duration::from_secs(3)).await;
    paths[0].set(Path::OpenOnly).await;
    server.set_silent(true);
    let at = routers[0].callers();
    let before = server.runs();
    let open = tokio::spawn(ask_within(at, "/once/x", "by-way".into(), DEADLINE));
    while server.runs() == before {
        sleep(Duration::from_millis(20)).await;
    }
    routers[1].signal("TERM");
    sleep(IDLE_STOP).await;
    server.set_silent(false);
    let answer = open.await.expect("no panic");
    let _ = std::fs::remove_dir_all(&folder);
    assert!(answer.whole, "{answer:?}");
}
