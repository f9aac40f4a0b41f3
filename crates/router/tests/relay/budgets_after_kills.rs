//! Prepaid budgets of routers that are all killed around an outage of the store. What
//! was not spent before must be served after. Each router is a process of its own, with
//! its own way to the store; the backend server counts what it ran.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::site::backend::{Backend, Behaviour};
use crate::site::caller::{Seen, ask_once, wait_until};
use crate::site::cut::Way;
use crate::site::process::{Router, address};
use crate::site::store::Store;
use crate::site::{TestRelay, configured_store};

/// Routers of a small and of a large fleet.
const SMALL: usize = 8;
const LARGE: usize = 60;
/// Tokens that each stream consumes: its prompt and four events.
const STREAM_TOKENS: u64 = 1_020;
/// A budget that lasts for some minutes of the load, and one for some seconds of it.
const LARGE_BUDGET: u64 = 200_000;
const SCARCE_BUDGET: u64 = 60_000;
/// Time until all routers know of each other.
const JOIN_TIME: Duration = Duration::from_secs(4);
/// Time of the load before an outage.
const WARM_UP: Duration = Duration::from_secs(2);
/// Outage after which a holding may be spent, however small the demand was.
const OUTAGE: Duration = Duration::from_secs(10);
/// Time between two streams of the load.
const PAUSE: Duration = Duration::from_millis(400);
/// Time after the routers are back, in which the load goes on.
const RECOVERY: Duration = Duration::from_secs(6);
/// Places of fields in the allocation of a holder row.
const GRANTED: usize = 0;
const BURST: usize = 2;
const ID: (&str, &str) = ("x-poplarreel-attempt-id", "a");
/// Grace period of a planned stop.
const GRACE: Duration = Duration::from_secs(8);

struct Fleet {
    routers: Vec<Router>,
    ways: Vec<Way>,
    engine: Arc<Backend>,
    store: Arc<Store>,
    folder: PathBuf,
    prepaid: u64,
    sent: usize,
}

impl Fleet {
    async fn open(run: u64, count: usize, prepaid: u64) -> Self {
        let store = configured_store(prepaid);
        let (engine, server) = Backend::open(Behaviour::Answer).await;
        store.register("engine", "engines", server);
        store.register("plain", "plain", server);
        let target = store.open().await;
        let name = format!("poplar-kills-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let (mut routers, mut ways) = (Vec::new(), Vec::new());
        for n in 0..count {
            let (way, near) = Way::open(target).await;
            let mut router = Router::new(address(run, n), near, &folder);
            router.start();
            routers.push(router);
            ways.push(way);
        }
        let fleet = Self {
            routers,
            ways,
            engine,
            store,
            folder,
            prepaid,
            sent: 0,
        };
        fleet.wait_ready().await;
        sleep(JOIN_TIME).await;
        fleet
    }

    /// Starts routers with some load, of which the store is then away.
    async fn open_in_outage(run: u64, count: usize, prepaid: u64) -> Self {
        let mut fleet = Self::open(run, count, prepaid).await;
        fleet.load(WARM_UP).await;
        fleet.store.set_down(true);
        fleet
    }

    async fn wait_ready(&self) {
        for router in &self.routers {
            let is_answer = |seen| matches!(seen, Seen::Answer(200, _));
            wait_until(router.callers(), "/read/ready", is_answer).await;
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

    /// Sends a stream now and then.
    async fn load(&mut self, time: Duration) {
        let ends = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < ends {
            self.ask().await;
            sleep(PAUSE).await;
        }
    }

    /// Consumes all but some of the budget.
    async fn spend_all_but(&mut self, streams: u64) {
        for _ in 0..(self.prepaid / STREAM_TOKENS).saturating_sub(streams) {
            self.ask().await;
        }
    }

    fn kill_all(&mut self) {
        self.routers.iter_mut().for_each(Router::kill);
    }

    fn start_all(&mut self) {
        self.routers.iter_mut().for_each(Router::start);
    }

    fn cut(&self, routers: std::ops::Range<usize>, is_cut: bool) {
        self.ways[routers]
            .iter()
            .for_each(|way| way.set_cut(is_cut));
    }

    fn consumed(&self) -> u64 {
        let requests = self.engine.executed_requests();
        let streams = requests.iter().filter(|r| r.id.starts_with("stream-"));
        streams.count() as u64 * STREAM_TOKENS
    }

    /// Starts the routers, and checks that at least a quarter of the streams for which
    /// there are tokens are served, and that nothing is overspent.
    async fn check_recovery(&mut self) {
        self.check_recovery_of(1, 4).await;
    }

    /// The same with at least `part` of each `whole` streams.
    async fn check_recovery_of(&mut self, part: u64, whole: u64) {
        let unspent = self.prepaid - self.consumed().min(self.prepaid);
        let wanted = unspent / STREAM_TOKENS;
        assert!(wanted >= 4, "{unspent} tokens unspent");
        self.start_all();
        self.wait_ready().await;
        sleep(RECOVERY).await;
        let before = self.consumed();
        for _ in 0..wanted {
            self.ask().await;
        }
        let served = (self.consumed() - before) / STREAM_TOKENS;
        println!("{served} of {wanted} streams served after the kill");
        for _ in 0..wanted {
            self.ask().await;
        }
        let consumed = self.consumed();
        println!("{consumed} of {} tokens consumed", self.prepaid);
        assert!(consumed <= self.prepaid);
        assert!(
            served * whole >= wanted * part,
            "{served} of {wanted} served"
        );
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Guards against a budget that counts as spent since its holders were killed late in an
/// outage of the store.
async fn check_kill_in_an_outage(run: u64, count: usize, prepaid: u64) {
    let mut fleet = Fleet::open_in_outage(run, count, prepaid).await;
    fleet.load(OUTAGE).await;
    fleet.kill_all();
    fleet.store.set_down(false);
    fleet.check_recovery().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_kills_in_an_outage() {
    check_kill_in_an_outage(330, SMALL, LARGE_BUDGET).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_kills_in_an_outage_at_many_routers() {
    check_kill_in_an_outage(331, LARGE, LARGE_BUDGET).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_kills_in_an_outage_if_nearly_spent() {
    let mut fleet = Fleet::open(332, SMALL, SCARCE_BUDGET).await;
    fleet.spend_all_but(30).await;
    fleet.store.set_down(true);
    fleet.load(OUTAGE / 2).await;
    fleet.kill_all();
    fleet.store.set_down(false);
    fleet.check_recovery().await;
}

/// Guards against a budget that counts as spent since an outage went on after its
/// holders were killed: a process spends nothing once it has ended. At least `part` of
/// each `whole` streams have to be served.
async fn check_kill_before_an_outage(run: u64, outage: Duration, part: u64, whole: u64) {
    let mut fleet = Fleet::open_in_outage(run, SMALL, LARGE_BUDGET).await;
    fleet.kill_all();
    fleet.start_all();
    sleep(outage).await;
    fleet.store.set_down(false);
    fleet.check_recovery_of(part, whole).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_kills_before_an_outage() {
    check_kill_before_an_outage(333, OUTAGE, 1, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_kills_before_a_long_outage() {
    check_kill_before_an_outage(337, OUTAGE * 3, 3, 4).await;
}

/// Guards against the same where processes are killed again and again in the outage.
#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_kills_in_series() {
    let mut fleet = Fleet::open_in_outage(334, SMALL, LARGE_BUDGET).await;
    for _ in 0..3 {
        fleet.load(OUTAGE / 3).await;
        fleet.kill_all();
        fleet.start_all();
    }
    fleet.store.set_down(false);
    fleet.wait_ready().await;
    fleet.store.set_down(true);
    fleet.load(OUTAGE / 2).await;
    fleet.kill_all();
    fleet.store.set_down(false);
    fleet.check_recovery().await;
}

/// Guards against the same where some routers had lost their path to the store before
/// the outage, and are killed as it ends, as in the report.
#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_kills_of_routers_that_were_cut_off() {
    let mut fleet = Fleet::open(335, SMALL, LARGE_BUDGET).await;
    fleet.load(WARM_UP).await;
    fleet.cut(0..SMALL * 3 / 4, true);
    fleet.load(OUTAGE).await;
    fleet.cut(0..SMALL, true);
    fleet.load(OUTAGE / 2).await;
    fleet.cut(0..SMALL, false);
    fleet.kill_all();
    fleet.check_recovery().await;
}

/// Guards against the same where the routers stop as planned while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_stops_in_an_outage() {
    let mut fleet = Fleet::open_in_outage(336, SMALL, LARGE_BUDGET).await;
    for router in &mut fleet.routers {
        router.signal("TERM");
    }
    for router in &mut fleet.routers {
        router.wait_end(GRACE).await;
    }
    fleet.store.set_down(false);
    fleet.check_recovery().await;
}

/// Guards against tokens that a kill right after an outage loses, since the first
/// checkpoint provides for requests that were refused long before.
#[tokio::test(flavor = "multi_thread")]
async fn budgets_after_an_outage_do_not_provide_for_refused_requests() {
    const LARGE_REQUEST: (&str, &str) = ("x-poplarreel-token-counts", "60000,20");
    const KEY: (&str, &str) = ("api-key", "key-1");
    let store = configured_store(SCARCE_BUDGET * 2);
    let (_engine, server) = Backend::open(Behaviour::Answer).await;
    store.register("engine", "engines", server);
    let relay = TestRelay::open(store.open().await).await;
    let row = |field: usize| {
        let row = store.value("budgets", "all", "holder/127.0.0.1");
        row.and_then(|row| row["terms"][0][1][field].as_u64())
            .unwrap_or(0)
    };
    let small = [KEY, ("x-poplarreel-token-counts", "1000,20"), ID];
    while row(GRANTED) == 0 {
        let _ = relay.ask("/stream/x", &small).await;
    }
    store.set_down(true);
    for _ in 0..10 {
        let answer = relay.ask("/stream/x", &[KEY, LARGE_REQUEST, ID]).await;
        assert_eq!(answer.expect("a refusal").status.as_u16(), 503);
    }
    let version = || {
        store
            .value("budgets", "all", "holder/127.0.0.1")
            .map(|row| row["number"].clone())
    };
    let before = version();
    store.set_down(false);
    while version() == before {
        sleep(Duration::from_millis(2)).await;
    }
    assert!(row(BURST) <= SCARCE_BUDGET * 2 / 3, "{}", row(BURST));
}

/// Guards against tokens that a kill loses right after an outage, since the router still
/// waits for the answer to a checkpoint that it sent in the outage.
#[tokio::test(flavor = "multi_thread")]
async fn checkpoints_after_an_outage_do_not_wait_for_lost_answers() {
    const OUTAGES: usize = 4;
    const FAILED: &str = "checkpoint failed";
    const REGAINED: &str = "store regained";
    let mut fleet = Fleet::open(338, 1, LARGE_BUDGET).await;
    for n in 0..OUTAGES {
        fleet.cut(0..1, true);
        fleet.load(OUTAGE / 2).await;
        let before = fleet.routers[0].log_text().len();
        fleet.ways[0].silence();
        fleet.cut(0..1, false);
        let log = loop {
            let log = fleet.routers[0].log_text()[before..].to_owned();
            if log.contains("checkpoints succeed again") {
                break log;
            }
            sleep(Duration::from_millis(20)).await;
        };
        let regained = log.find(REGAINED).unwrap_or(log.len());
        assert!(!log[regained..].contains(FAILED), "outage {n}: {log}");
    }
}
