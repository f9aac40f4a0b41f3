//! One prepaid budget behind many routers, each of which has a few requests for it.
//! Each router is a process of its own; the backend server counts what it ran.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::PREPAID;
use crate::site::backend::{Backend, Behaviour};
use crate::site::caller::{Seen, ask_once, wait_until};
use crate::site::chosen;
use crate::site::configured_store;
use crate::site::process::{Router, start_routers};
use crate::site::store::Store;

/// More than a small fleet. `POPLAR_LEASE_ROUTERS` replaces the number.
const ROUTERS: usize = 20;
/// Tokens that each stream consumes: its prompt and four events.
const STREAM_TOKENS: u64 = 1_020;
/// Streams of which each is served at the router to which it comes, at once.
const STREAMS: usize = 70;
/// Time until all routers know of each other.
const JOIN_TIME: Duration = Duration::from_secs(4);
/// Attempts after the budget is spent.
const LATE_ATTEMPTS: usize = 100;

struct Fleet {
    routers: Vec<Router>,
    engine: Arc<Backend>,
    store: Arc<Store>,
    folder: PathBuf,
    sent: usize,
}

impl Fleet {
    async fn open(run: u64) -> Self {
        let store = configured_store(PREPAID);
        let (engine, address) = Backend::open(Behaviour::Answer).await;
        store.register("engine", "engines", address);
        let (plain, address) = Backend::open(Behaviour::Answer).await;
        store.register("plain", "plain", address);
        drop(plain);
        let address: SocketAddr = store.open().await;
        let name = format!("poplar-leases-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let count = chosen::number("POPLAR_LEASE_ROUTERS", ROUTERS);
        let routers = start_routers(run, count, address, &folder, true);
        for router in &routers {
            let is_answer = |seen| matches!(seen, Seen::Answer(200, _));
            wait_until(router.callers(), "/read/ready", is_answer).await;
        }
        tokio::time::sleep(JOIN_TIME).await;
        Self {
            routers,
            engine,
            store,
            folder,
            sent: 0,
        }
    }

    /// Sends a stream to the next router; returns whether it was served.
    async fn ask(&mut self) -> bool {
        let router = &self.routers[self.sent % self.routers.len()];
        self.sent += 1;
        let id = format!("stream-{}", self.sent);
        let seen = ask_once(router.callers(), "/stream/x", &id).await;
        seen == Some(Seen::Answer(200, true))
    }

    fn consumed(&self) -> u64 {
        self.engine.executed_requests().len() as u64 * STREAM_TOKENS
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Guards against requests that are refused while most of the budget is unspent, since
/// the part of the router to which they come does not cover one.
#[tokio::test(flavor = "multi_thread")]
async fn a_budget_is_served_at_any_of_many_routers() {
    let mut fleet = Fleet::open(320).await;
    let mut served = 0;
    for _ in 0..STREAMS {
        served += usize::from(fleet.ask().await);
    }
    assert_eq!(served, STREAMS);
    for _ in 0..LATE_ATTEMPTS {
        fleet.ask().await;
    }
    let consumed = fleet.consumed();
    println!("{consumed} of {PREPAID} tokens consumed");
    assert!(consumed <= PREPAID);
}

/// Guards against a budget that is overspent, or lost, because routers that hold it
/// are killed while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_are_killed_without_the_store_overspend_nothing() {
    let mut fleet = Fleet::open(321).await;
    for _ in 0..STREAMS / 4 {
        fleet.ask().await;
    }
    fleet.store.set_down(true);
    let mut served = 0;
    for n in 0..STREAMS / 2 {
        if n == STREAMS / 4 {
            for router in fleet.routers.iter_mut().step_by(3) {
                router.kill();
                router.start();
            }
        }
        served += usize::from(fleet.ask().await);
    }
    println!("{served} served while the store was away");
    fleet.store.set_down(false);
    tokio::time::sleep(JOIN_TIME).await;
    let before = fleet.engine.executed_requests().len();
    for _ in 0..LATE_ATTEMPTS * 2 {
        fleet.ask().await;
    }
    let after = fleet.engine.executed_requests().len() - before;
    let consumed = fleet.consumed();
    println!("{after} served after that; {consumed} of {PREPAID} tokens consumed");
    assert!(consumed <= PREPAID);
    assert!(after > 0);
}
