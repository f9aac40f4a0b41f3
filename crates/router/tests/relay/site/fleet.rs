//! Several routers as processes, with servers of a plain service that say how many
//! requests they want, and a load of requests.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::StatusCode;

use super::caller::{Seen, ask_once, wait_until};
use super::configured_store;
use super::limited::LimitedServer;
use super::process::{Router, address};
use super::store::Store;
use crate::PREPAID;

/// Servers of a fleet unless a test says otherwise.
pub(crate) const SERVERS: usize = 4;

/// A request and what came of it.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) path: &'static str,
    pub(crate) seen: Option<Seen>,
    pub(crate) took: Duration,
    pub(crate) at: Instant,
}

/// Routers and servers of one test.
pub(crate) struct Fleet {
    run: u64,
    pub(crate) store: Arc<Store>,
    store_address: std::net::SocketAddr,
    pub(crate) routers: Vec<Router>,
    pub(crate) servers: Vec<Arc<LimitedServer>>,
    folder: PathBuf,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    ended: Arc<AtomicBool>,
}

impl Fleet {
    pub(crate) async fn open(run: u64, routers: usize) -> Self {
        Self::open_with(run, routers, true, &[StatusCode::OK; SERVERS]).await
    }

    /// Starts a server for each status and the routers, and waits until these
    /// serve requests. Without `datagrams`, none between the routers arrive.
    pub(crate) async fn open_with(
        run: u64,
        routers: usize,
        datagrams: bool,
        statuses: &[StatusCode],
    ) -> Self {
        let store = configured_store(PREPAID);
        let mut servers = Vec::new();
        for (n, status) in statuses.iter().enumerate() {
            servers.push(LimitedServer::open(&format!("plain-{n}"), *status, &store).await);
        }
        let store_address = store.open().await;
        let name = format!("poplar-limits-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut site = Self {
            run,
            store,
            store_address,
            routers: Vec::new(),
            servers,
            folder,
            outcomes: Arc::default(),
            ended: Arc::default(),
        };
        for _ in 0..routers {
            site.add_router(datagrams);
        }
        for router in 0..routers {
            site.wait_until_served(router).await;
        }
        // Time in which each router learns of the others.
        tokio::time::sleep(Duration::from_secs(1)).await;
        site
    }

    pub(crate) fn add_router(&mut self, datagrams: bool) {
        let n = self.routers.len();
        let mut router = Router::new(address(self.run, n), self.store_address, &self.folder);
        if !datagrams {
            router.isolate_datagrams(7340 + n as u16);
        }
        router.start();
        self.routers.push(router);
    }

    pub(crate) async fn wait_until_served(&self, router: usize) {
        let is_answer = |seen| matches!(seen, Seen::Answer(200 | 500, _));
        wait_until(self.routers[router].callers(), "/read/ready", is_answer).await;
    }

    /// Sends requests of these paths in turn to a router, `pause` apart, until
    /// the test ends.
    pub(crate) fn load(&self, router: usize, paths: &'static [&'static str], pause: Duration) {
        let address = self.routers[router].callers();
        let (outcomes, ended) = (self.outcomes.clone(), self.ended.clone());
        tokio::spawn(async move {
            for n in 0.. {
                if ended.load(Ordering::Acquire) {
                    return;
                }
                let path = paths[n % paths.len()];
                let outcomes = outcomes.clone();
                tokio::spawn(async move {
                    let at = Instant::now();
                    let seen = ask_once(address, path, &format!("{router}-{n}")).await;
                    outcomes.lock().expect("no panic").push(Outcome {
                        path,
                        seen,
                        took: at.elapsed(),
                        at,
                    });
                });
                tokio::time::sleep(pause).await;
            }
        });
    }

    pub(crate) fn load_all(&self, paths: &'static [&'static str], pause: Duration) {
        (0..self.routers.len()).for_each(|router| self.load(router, paths, pause));
    }

    /// Outcomes of the requests sent since `from`.
    pub(crate) fn outcomes(&self, from: Instant) -> Vec<Outcome> {
        let outcomes = self.outcomes.lock().expect("no panic");
        outcomes.iter().filter(|o| o.at >= from).cloned().collect()
    }

    /// Checks what a server got since `from` against the limit that it named.
    pub(crate) fn check_limit(&self, server: usize, from: Instant, limit: f64) {
        let (most, allowed) = self.servers[server].busiest_window(from, limit);
        println!("server {server}: at most {most} requests in a window, allowed {allowed}");
        assert!(most <= allowed, "server {server}: {most} of {allowed}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Release);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Whether it was answered completely.
pub(crate) fn is_served(outcome: &Outcome) -> bool {
    outcome.seen == Some(Seen::Answer(200, true))
}

/// Whether it was refused as not run.
pub(crate) fn is_refused(outcome: &Outcome) -> bool {
    matches!(outcome.seen, Some(Seen::Answer(503, _)))
}
