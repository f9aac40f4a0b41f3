//! Routers that have no path to any backend server, while callers, the store and the other
//! routers reach them. Each router is a process of its own; the servers count what they
//! run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::site::backend::{Backend, Behaviour};
use crate::site::caller::{Seen, ask, ask_once, connect, wait_until};
use crate::site::configured_store;
use crate::site::process::{Router, address};
use crate::site::severed::{Path, ServerPath};

/// Routers of a small and of a large fleet.
const SMALL: usize = 8;
const LARGE: usize = 60;
/// Servers of each service.
const SERVERS: usize = 3;
const PREPAID: u64 = 50_000_000;
/// Time until all routers know of each other.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Time from the loss of a path after which requests have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of each kind to each router.
const REQUESTS: usize = 6;
const KINDS: [&str; 4] = ["/once/x", "/read/x", "/stream/x", "/resume/x"];
/// The kinds that the plain service and the engines serve.
const PLAIN: Range<usize> = 0..2;
const ENGINES: Range<usize> = 2..4;

struct Fleet {
    routers: Vec<Router>,
    /// The paths of each router, to the servers of the plain service and the engines.
    paths: Vec<Vec<ServerPath>>,
    servers: Vec<Arc<Backend>>,
    folder: PathBuf,
    sent: usize,
}

impl Fleet {
    async fn open(run: u64, count: usize) -> Self {
        let store = configured_store(PREPAID);
        let (mut servers, mut addresses) = (Vec::new(), Vec::new());
        for service in ["plain", "engines"] {
            for n in 0..SERVERS {
                let (server, at) = Backend::open(Behaviour::Answer).await;
                store.register(&format!("{service}-{n}"), service, at);
                servers.push(server);
                addresses.push(at);
            }
        }
        let name = format!("poplar-paths-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let (mut routers, mut paths) = (Vec::new(), Vec::new());
        for n in 0..count {
            let ip = address(run, n);
            let view = view_of(ip);
            let mut own = Vec::new();
            for far in &addresses {
                let near = SocketAddr::new(view, far.port());
                own.push(ServerPath::open(near, *far).await);
            }
            paths.push(own);
            let mut router = Router::new(ip, store.open_view(view).await, &folder);
            router.start();
            routers.push(router);
        }
        for router in &routers {
            let is_answer = |seen| matches!(seen, Seen::Answer(200, _));
            wait_until(router.callers(), "/read/ready", is_answer).await;
        }
        sleep(JOIN_TIME).await;
        Self {
            routers,
            paths,
            servers,
            folder,
            sent: 0,
        }
    }

    /// Changes the paths of some routers to some servers.
    async fn set(&mut self, routers: Range<usize>, servers: Range<usize>, state: Path) {
        for paths in &mut self.paths[routers] {
            for path in &mut paths[servers.clone()] {
                path.set(state).await;
            }
        }
    }

    /// Sends requests of these kinds to some routers, half of them on a connection that
    /// is kept; returns how many were served, and how many there were.
    async fn ask(&mut self, routers: Range<usize>, kinds: Range<usize>) -> (usize, usize) {
        let mut asked = Vec::new();
        for router in &self.routers[routers] {
            let (at, first) = (router.callers(), self.sent);
            let kinds = KINDS[kinds.clone()].to_vec();
            self.sent += REQUESTS * kinds.len();
            asked.push(tokio::spawn(
                async move { ask_router(at, &kinds, first).await },
            ));
        }
        let (mut served, mut sent) = (0, 0);
        for router in asked {
            let (some, all) = router.await.expect("no panic");
            served += some;
            sent += all;
        }
        (served, sent)
    }

    /// Checks that routers without a path serve at least two thirds as often as the
    /// others, and that few of all requests fail there.
    async fn check(&mut self, severed: usize, kinds: Range<usize>) {
        let (served, sent) = self.ask(0..severed, kinds.clone()).await;
        let (others, all) = self.ask(severed..self.routers.len(), kinds).await;
        println!("{served} of {sent} served without a path, {others} of {all} with one");
        assert!(others * 50 >= all * 49, "{others} of {all}");
        assert!(served * all * 3 >= others * sent * 2, "{served} of {sent}");
        let allowed = 10 + (sent + all) / 50;
        assert!(sent - served <= allowed, "{served} of {sent}");
    }

    /// Checks that requests that run at most once did.
    fn check_once(&self) {
        let all = self.servers.iter().flat_map(|s| s.executed_requests());
        let mut ids: Vec<String> = all.map(|r| r.id).filter(|id| id.contains("once")).collect();
        let runs = ids.len();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), runs, "a request ran twice");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The host at which a router sees the servers.
fn view_of(ip: IpAddr) -> IpAddr {
    let IpAddr::V4(ip) = ip else {
        panic!("not an IPv4 address");
    };
    let [_, b, c, d] = ip.octets();
    Ipv4Addr::new(127, b, c, 100 + d).into()
}

async fn ask_router(at: SocketAddr, kinds: &[&'static str], first: usize) -> (usize, usize) {
    let mut kept = connect(at).await.expect("a connection");
    let (mut served, mut sent) = (0, 0);
    for n in 0..REQUESTS {
        for kind in kinds {
            let id = format!("{}-{}", &kind[1..], first + sent);
            sent += 1;
            let seen = if n % 2 == 0 {
                ask(&mut kept, kind, &id).await
            } else {
                ask_once(at, kind, &id).await.unwrap_or(Seen::Broken)
            };
            if seen == Seen::Broken {
                kept = connect(at).await.expect("a connection");
            }
            served += usize::from(seen == Seen::Answer(200, true));
        }
    }
    (served, sent)
}

/// Loses the paths of `severed` routers, gives them back, and loses them again.
async fn check_loss(run: u64, routers: usize, severed: usize, state: Path) {
    let mut fleet = Fleet::open(run, routers).await;
    let all = 0..SERVERS * 2;
    for _ in 0..2 {
        fleet.set(0..severed, all.clone(), state).await;
        // Requests come all the while.
        fleet.ask(0..routers, 0..KINDS.len()).await;
        sleep(CONTACT_TIME).await;
        fleet.check(severed, 0..KINDS.len()).await;
        fleet.set(0..severed, all.clone(), Path::Open).await;
        sleep(CONTACT_TIME).await;
        let before: usize = fleet.paths[0].iter().map(ServerPath::accepted).sum();
        fleet.check(severed, 0..KINDS.len()).await;
        let after: usize = fleet.paths[0].iter().map(ServerPath::accepted).sum();
        assert!(after > before, "the path is not used again");
    }
    fleet.check_once();
}

/// Guards against callers who are not served by a router that has no path to servers,
/// while others have one.
#[tokio::test(flavor = "multi_thread")]
async fn lost_paths_of_one_router_are_silent() {
    check_loss(340, SMALL, 1, Path::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_paths_of_most_routers_are_silent() {
    check_loss(341, SMALL, 6, Path::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_paths_of_most_routers_are_reset() {
    check_loss(342, SMALL, 6, Path::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_paths_of_most_routers_keep_open_connections() {
    check_loss(343, SMALL, 6, Path::OpenOnly).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_paths_of_many_routers() {
    check_loss(344, LARGE, 40, Path::Silent).await;
}

/// Guards against the same where only one service can't be reached.
#[tokio::test(flavor = "multi_thread")]
async fn lost_paths_to_one_service() {
    let mut fleet = Fleet::open(345, SMALL).await;
    fleet.set(0..5, SERVERS..SERVERS * 2, Path::Silent).await;
    fleet.ask(0..5, ENGINES).await;
    sleep(CONTACT_TIME).await;
    fleet.check(5, ENGINES).await;
    fleet.check(5, PLAIN).await;
}
