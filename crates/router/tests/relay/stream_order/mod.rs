//! Streams at the size and load of whlt-scenes, with routers, engines and clients as
//! processes of their own. Engines are killed, freeze, and come back at once under
//! their id with another version of their software; routers are killed, stopped, cut
//! off and restarted, some in another build. Clients take streams up elsewhere, some
//! while the old router still sends. What they have in the end is judged.
//!
//! `POPLAR_ORDER_SEEDS`, as `1..50`, replaces the seeds. `POPLAR_ORDER_BUILDS` names
//! programs of routers, separated by commas, of which each process is one.

mod clients;
mod faults;
mod judge;

use std::net::{IpAddr, SocketAddr};
use std::path::{Path as FilePath, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::sync::Mutex;
use tokio::time::Instant;

use self::clients::{End, Stream};
use self::judge::Fault;
use crate::site::apart;
use crate::site::caller::{Seen, wait_until};
use crate::site::chosen;
use crate::site::cut::Way;
use crate::site::engine::{self, Engine, Habits};
use crate::site::process::{Router, address};
use crate::site::severed::ServerPath;
use crate::site::store::Store;

/// Routers and engines of whlt-scenes.
const ROUTERS: usize = 8;
const ENGINES: usize = 9;
/// Routers whose paths to the engines can be cut.
const SEVERED: usize = 2;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const ENGINE_PORT: u16 = 8400;
/// Number of the address of the engines, beside those of the routers.
const ENGINE_HOST: usize = 100;
/// How far the clocks of engines may differ from true time, in milliseconds.
const CLOCK_ERROR_MS: i64 = 5000;
/// How long faults come, and clients begin streams.
const FAULT_TIME: Duration = Duration::from_secs(20);
/// More than all streams can consume.
const PREPAID: u64 = 1_000_000_000_000;
/// Streams with events of two versions that the users allow on a day.
const MIXED_ALLOWED: usize = 2;
/// Least part of the streams that are whole, so that a run shows something.
const LEAST_WHOLE: f64 = 0.5;
const SEEDS: [u64; 2] = [1, 2];
/// The first runs of the two scenarios, whose addresses differ from those of the other
/// tests, and of each other for up to 50 seeds.
const SAME_ID_RUN: u64 = 20;
const NEW_ID_RUN: u64 = 120;

/// What engines do in a run.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Whether a process that starts again has the id of the one before.
    same_id: bool,
    habits: Habits,
}

/// Engines come back under their id, and say when they started.
const SAME_ID: Scenario = Scenario {
    same_id: true,
    habits: Habits {
        unframed: 3,
        state_start: true,
    },
};
/// Each process has an id of its own, as in whlt-scenes.
const NEW_ID: Scenario = Scenario {
    same_id: false,
    habits: Habits {
        unframed: 6,
        state_start: false,
    },
};

/// An engine and what becomes of it.
struct Place {
    engine: Engine,
    /// Processes under other ids that were at its address before.
    generation: usize,
    is_leaving: bool,
    /// When a new process writes its first entry.
    registers_at: Instant,
}

impl Place {
    /// Gives the next process an id of its own.
    fn rename(&mut self, engine: usize) {
        self.generation += 1;
        self.engine.id = format!("engine-{engine}-{}", self.generation);
    }
}

/// The processes of a run.
struct Site {
    seed: u64,
    scenario: Scenario,
    store: Arc<Store>,
    routers: Vec<Mutex<Router>>,
    /// The ways of the routers to the store.
    ways: Vec<Way>,
    /// The paths of some routers to all engines.
    paths: Vec<Mutex<Vec<ServerPath>>>,
    engines: Vec<Mutex<Place>>,
    builds: Vec<PathBuf>,
    began: Instant,
    ended: AtomicBool,
}

impl Site {
    fn faults_ended(&self) -> bool {
        self.began.elapsed() > FAULT_TIME
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Has an engine write its entry, if it is due.
    async fn register(&self, engine: usize) {
        let mut place = self.engines[engine].lock().await;
        if place.engine.runs() && !place.is_leaving && Instant::now() >= place.registers_at {
            place.engine.register("ready", &self.store);
        }
    }

    /// Chooses the program of a router's next process.
    fn choose_build(&self, router: &mut Router, random: &mut StdRng) {
        if let Some(build) = self.builds.choose(random) {
            router.set_program(build);
        }
    }

    /// Starts the processes of a run and waits until the routers serve.
    async fn open(scenario: Scenario, seed: u64, run: u64, folder: &FilePath) -> Arc<Self> {
        let mut random = StdRng::seed_from_u64(seed * 1000 + 400);
        let store = Store::new();
        store.set("op", "", "config", &configuration());
        let store_address = store.open().await;
        let engine_ip = address(run, ENGINE_HOST);
        let mut engines = Vec::new();
        for n in 0..ENGINES {
            let at = SocketAddr::new(engine_ip, ENGINE_PORT + n as u16);
            let clock = random.random_range(-CLOCK_ERROR_MS..=CLOCK_ERROR_MS);
            let log = folder.join(format!("engine-{n}.log"));
            let id = format!("engine-{n}");
            let mut engine = Engine::new(&id, at, clock, scenario.habits, log);
            engine.start(VERSIONS[n % 2]).await;
            engine.register("ready", &store);
            engines.push(Mutex::new(Place {
                engine,
                generation: 0,
                is_leaving: false,
                registers_at: Instant::now(),
            }));
        }
        let (mut routers, mut ways, mut paths) = (Vec::new(), Vec::new(), Vec::new());
        let mut site = Self {
            seed,
            scenario,
            builds: builds(),
            store: store.clone(),
            routers: Vec::new(),
            ways: Vec::new(),
            paths: Vec::new(),
            engines,
            began: Instant::now(),
            ended: AtomicBool::new(false),
        };
        for n in 0..ROUTERS {
            let ip = address(run, n);
            let mut view = store_address;
            if n < SEVERED {
                let near = address(run, ENGINE_HOST + 1 + n);
                view = store.open_view(near).await;
                paths.push(Mutex::new(open_paths(near, engine_ip).await));
            }
            let (way, near) = Way::open(view).await;
            ways.push(way);
            let mut router = Router::new(ip, near, folder);
            site.choose_build(&mut router, &mut random);
            router.start();
            routers.push(router);
        }
        for router in &routers {
            let is_answer = |seen| matches!(seen, Seen::Answer(200, _));
            wait_until(router.callers(), "/resume/1", is_answer).await;
        }
        site.routers = routers.into_iter().map(Mutex::new).collect();
        (site.ways, site.paths) = (ways, paths);
        site.began = Instant::now();
        Arc::new(site)
    }
}

/// Opens the paths of one router, which sees the engines at `near`.
async fn open_paths(near: IpAddr, far: IpAddr) -> Vec<ServerPath> {
    let mut paths = Vec::new();
    for n in 0..ENGINES {
        let port = ENGINE_PORT + n as u16;
        let at = |ip| SocketAddr::new(ip, port);
        paths.push(ServerPath::open(at(near), at(far)).await);
    }
    paths
}

/// The programs of routers that were chosen by hand.
fn builds() -> Vec<PathBuf> {
    let chosen = std::env::var("POPLAR_ORDER_BUILDS").unwrap_or_default();
    let names = chosen.split(',').filter(|name| !name.is_empty());
    names.map(PathBuf::from).collect()
}

/// The routes of streams as whlt-scenes has them.
fn configuration() -> String {
    let route = |name: &str, timeout_ms: u64, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "site.example", "path_prefix": format!("/{name}/"),
            "kind": "streaming", "timeout_ms": timeout_ms, "target_latency_ms": 600,
            "priority": 1, "service": "engines", "max_attempts": attempts,
            "resumable": resumable, "sticky": true, "gap_target_ms": 500,
        })
    };
    let config = json!({
        "version": 7,
        "routes": [route("stream", 10_000, 1, false), route("resume", 5000, 2, true)],
        "services": [{"name": "engines", "max_conns": 370,
                      "engine": {"slots": 64, "kv_capacity": 446_388, "stride": 5}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": ["key-1"], "prepaid": PREPAID}],
    });
    config.to_string()
}

/// Runs clients beside faults, and returns the streams that they have.
async fn run(scenario: Scenario, seed: u64, run: u64, folder: &FilePath) -> Vec<Stream> {
    let site = Site::open(scenario, seed, run, folder).await;
    let mut routers = Vec::new();
    for router in &site.routers {
        routers.push(router.lock().await.callers());
    }
    let record = folder.join("streams.jsonl");
    let mut clients = clients::spawn(&routers, seed, FAULT_TIME.as_secs(), &record);
    let faults = faults::spawn(&site);
    while matches!(clients.try_wait(), Ok(None)) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site.ended.store(true, Ordering::Release);
    for fault in faults {
        fault.await.expect("no panic");
    }
    clients::read(&record)
}

/// The attempts that engines ran, in order.
fn engine_runs(folder: &FilePath) -> Vec<String> {
    let logs = (0..ENGINES).map(|n| folder.join(format!("engine-{n}.log")));
    let logs = logs.map(|log| std::fs::read_to_string(log).expect("an engine's log"));
    let mut runs: Vec<String> = Vec::new();
    for log in logs {
        runs.extend(engine::runs(&log).map(str::to_owned));
    }
    runs.sort_unstable();
    runs
}

/// What is wrong with the streams of a run; prints its figures.
fn check(seed: u64, streams: &[Stream], runs: &[String]) -> Vec<String> {
    let faults = |stream| (stream, judge::faults(stream, runs));
    let judged: Vec<(&Stream, Vec<Fault>)> = streams.iter().map(faults).collect();
    let is_whole = |s: &&Stream| s.tries.last().is_some_and(|t| t.end == End::Whole);
    let whole = streams.iter().filter(is_whole).count();
    let count = |fault: Fault| judged.iter().filter(|(_, f)| f.contains(&fault)).count();
    let counts: Vec<String> = Fault::ALL
        .iter()
        .map(|fault| format!("{fault:?} {}", count(*fault)))
        .collect();
    println!(
        "seed {seed}: {} streams, {whole} whole, {} taken up; {}",
        streams.len(),
        streams.iter().filter(|s| taken_up(s)).count(),
        counts.join(", ")
    );
    let mut wrong = Vec::new();
    for (stream, faults) in judged.iter().filter(|(_, faults)| !faults.is_empty()) {
        println!("seed {seed}: {faults:?}: {}", describe(stream));
        if faults.iter().any(|fault| *fault != Fault::Versions) {
            wrong.push(format!("seed {seed}: {faults:?}: {}", describe(stream)));
        }
    }
    let mixed = count(Fault::Versions);
    if mixed > MIXED_ALLOWED {
        wrong.push(format!(
            "seed {seed}: {mixed} streams with events of two versions"
        ));
    }
    if (whole as f64) < streams.len() as f64 * LEAST_WHOLE {
        wrong.push(format!("seed {seed}: {whole} of {} whole", streams.len()));
    }
    wrong
}

/// Whether a client took a stream up that had begun.
fn taken_up(stream: &Stream) -> bool {
    let begun = stream.tries.iter().filter(|t| !t.events.is_empty());
    begun.count() > 1
}

/// The attempts of a stream, with the runs that made their events.
fn describe(stream: &Stream) -> String {
    let tries = stream.tries.iter().map(|tried| {
        let mut parts: Vec<(String, u64, u64)> = Vec::new();
        for event in &tried.events {
            let run = format!("{} {}", event.software, event.run);
            match parts.last_mut() {
                Some((last, _, to)) if *last == run => *to = event.number,
                _ => parts.push((run, event.number, event.number)),
            }
        }
        format!(
            "{} at {} ms, router {}: {parts:?} {:?}",
            tried.attempt, tried.sent_ms, tried.router, tried.end
        )
    });
    let tries: Vec<String> = tries.collect();
    format!("{} events: {}", stream.whole, tries.join("; "))
}

/// Plays a scenario with each seed.
async fn check_seeds(scenario: Scenario, first_run: u64) {
    let mut wrong = Vec::new();
    let seeds = chosen::seeds("POPLAR_ORDER_SEEDS", &SEEDS);
    for (n, seed) in seeds.into_iter().enumerate() {
        let run_number = first_run + n as u64;
        let name = format!("poplar-order-{}-{run_number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let streams = run(scenario, seed, run_number, &folder).await;
        let found = check(seed, &streams, &engine_runs(&folder));
        if found.is_empty() {
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            println!("seed {seed}: logs in {}", folder.display());
        }
        wrong.extend(found);
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against streams that reach a client with an event missing or twice, with
/// events of two runs or two software versions, or as complete before their end, where
/// engines come back at once under their id.
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_in_order_while_engines_come_back_under_their_id() {
    check_seeds(SAME_ID, SAME_ID_RUN).await;
}

/// Guards against the same where each process of an engine has an id of its own.
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_in_order_while_engines_and_routers_are_replaced() {
    check_seeds(NEW_ID, NEW_ID_RUN).await;
}

/// The program of the processes that the tests start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a process of another test"]
async fn process_of_its_own() {
    match apart::role().as_deref() {
        Some(engine::ROLE) => engine::run().await,
        Some(clients::ROLE) => clients::run().await,
        _ => {}
    }
}
