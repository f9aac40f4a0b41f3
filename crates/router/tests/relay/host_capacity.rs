//! A host that gets more requests than its link carries.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplar_core::deployment::{ColdNotice, Server};
use poplar_platform::store::Store as Client;
use poplar_router::relay::budgets::Budgets;
use poplar_router::relay::capacity::HostCapacity;
use poplar_router::relay::paths::Paths;

use crate::PREPAID;
use crate::site::backend::{Backend, Behaviour};
use crate::site::caller::{Seen, ask_once, wait_until};
use crate::site::configured_store;
use crate::site::process::{Router, address};
use crate::site::severed::{Path, ServerPath};

/// Requests that come at once, and the bandwidth that carries a few of them in the time
/// that a request may wait.
const CROWD: usize = 60;
const SMALL_LINK_MBPS: f64 = 0.5;

struct Host {
    router: Router,
    server: Arc<Backend>,
}

impl Host {
    async fn open(run: u64, link_mbps: Option<f64>) -> Self {
        let store = configured_store(PREPAID);
        let (server, at) = Backend::open(Behaviour::Answer).await;
        store.register("plain-0", "plain", at);
        let name = format!("poplar-capacity-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut router = Router::new(address(run, 0), store.open().await, &folder);
        if let Some(mbps) = link_mbps {
            router.state_link(mbps);
        }
        router.start();
        let is_answer = |seen| matches!(seen, Seen::Answer(200, _));
        wait_until(router.callers(), "/read/ready", is_answer).await;
        Self { router, server }
    }

    /// Sends the crowd; returns how many were served and how many refused.
    async fn crowd(&self) -> (usize, usize) {
        let at = self.router.callers();
        let ids: Vec<String> = (0..CROWD).map(|n| format!("crowd-{n}")).collect();
        let requests = ids.iter().map(|id| ask_once(at, "/once/x", id));
        let seen = join_all(requests).await;
        let count = |status| {
            let is_status =
                |s: &&Option<Seen>| matches!(s, Some(Seen::Answer(got, _)) if *got == status);
            seen.iter().filter(is_status).count()
        };
        (count(200), count(503))
    }

    fn runs_of_crowd(&self) -> usize {
        let runs = self.server.executed_requests();
        runs.iter()
            .filter(|run| run.id.starts_with("crowd"))
            .count()
    }
}

/// Guards against a host that takes on all requests of a crowd, of which none then ends
/// in time, and against refusals of requests that have run or run later.
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_beyond_the_link_is_refused_as_not_run() {
    let host = Host::open(190, Some(SMALL_LINK_MBPS)).await;
    let (served, refused) = host.crowd().await;
    println!("{served} served, {refused} refused");
    assert!(served > 0 && refused > 0);
    assert_eq!(served + refused, CROWD);
    let is_answer = |seen| matches!(seen, Seen::Answer(200, _));
    wait_until(host.router.callers(), "/once/after", is_answer).await;
    assert_eq!(host.runs_of_crowd(), served);
    assert!(host.router.log_text().contains("host full"));
}

/// Guards against refusals on hosts whose settings state no link.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_stated_link_takes_the_crowd() {
    let host = Host::open(191, None).await;
    assert_eq!(host.crowd().await, (CROWD, 0));
}

fn server(id: &str, address: SocketAddr) -> Server {
    Server {
        id: id.into(),
        service: "plain".into(),
        address,
        centre: "a".into(),
        software: "v1".into(),
        ready: true,
        started_ms: 1,
        cold: ColdNotice::default(),
        slots: 8,
    }
}

/// A host that has seen connections that took this long each.
fn capacity(delay: Duration) -> Arc<HostCapacity> {
    let capacity = HostCapacity::new(Some(1e6));
    let now = Instant::now();
    for n in 0..40 {
        capacity.record_connection(delay, now + Duration::from_millis(25) * n);
    }
    capacity
}

/// Guards against a host that takes its own full link for a lost path to the servers, and
/// then sends each request by way of another router, over the same link.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_late_does_not_count_time_outs_as_a_lost_path() {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let mut servers = Vec::new();
    let mut severed = Vec::new();
    for (n, id) in ["plain-0", "plain-1"].iter().enumerate() {
        let (_server, far) = Backend::open(Behaviour::Answer).await;
        let near = SocketAddr::new(address(192, n), far.port());
        let mut path = ServerPath::open(near, far).await;
        path.set(Path::Silent).await;
        severed.push(path);
        servers.push(server(id, near));
    }
    for (delay, lost) in [(90, 0), (2, 1)] {
        let store = Client::open(SocketAddr::new(ip, 0));
        let budgets = Budgets::new(store, ip, 1);
        let paths = Paths::new(ip, 0, budgets, capacity(Duration::from_millis(delay)));
        for server in &servers {
            assert!(paths.probe(server).await.is_err());
        }
        assert_eq!(paths.lost_count(), lost, "{delay} ms");
    }
}
