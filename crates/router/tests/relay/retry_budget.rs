//! The budget of repeats, which all routers of a deployment share: routers as
//! separate processes, in real time, that are killed, frozen and cut off from the
//! store while servers fail. Repeats are counted as they reach the servers.
//!
//! `POPLAR_RETRY_SEEDS`, as `1..20`, replaces the seeds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Mutex;

use crate::site::caller::{ask_once, is_stream};
use crate::site::chosen;
use crate::site::configured_store;
use crate::site::cut::Way;
use crate::site::failing::{FailingServer, Failures, RetryLimit, Traffic};
use crate::site::process::{Router, address};

/// Time in which faults come.
const FAULT_TIME: Duration = Duration::from_secs(32);
/// Time until the routers have started and know each other.
const START_TIME: Duration = Duration::from_secs(4);
/// Seeds of a short run.
const SEEDS: [u64; 1] = [1];
const SERVERS: usize = 4;
/// More than the streams of a run can consume.
const PREPAID: u64 = 1_000_000_000;
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);

/// A deployment, as far as repeats depend on it.
struct Deployment {
    routers: usize,
    slack: u32,
    /// Kinds of request and how many come a second.
    rates: [(&'static str, f64); 4],
}

const WHLT_SCENES: Deployment = Deployment {
    routers: 8,
    slack: 56,
    rates: [
        ("/stream/x", 35.7),
        ("/resume/x", 6.5),
        ("/once/x", 10.6),
        ("/read/x", 8.0),
    ],
};

const RVSEC_ENTRIES: Deployment = Deployment {
    routers: 9,
    slack: 58,
    rates: [
        ("/stream/x", 55.0),
        ("/resume/x", 10.8),
        ("/once/x", 16.5),
        ("/read/x", 8.0),
    ],
};

/// A router and its way to the store.
struct Host {
    router: Mutex<Router>,
    way: Way,
}

/// What goes wrong with the routers of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Single routers are killed, frozen or cut off.
    Single,
    /// Most routers are killed at once, again and again.
    Herd,
}

/// Kills, freezes or cuts off routers until the end.
async fn play_faults(hosts: Arc<Vec<Host>>, kind: Fault, seed: u64, end: Instant) {
    let mut random = StdRng::seed_from_u64(seed);
    while Instant::now() < end {
        let pause = random.random_range(200..1500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let host = random.random_range(0..hosts.len());
        if kind == Fault::Herd {
            let killed: Vec<&Host> = hosts.iter().filter(|_| random.random_bool(0.8)).collect();
            for host in &killed {
                host.router.lock().await.kill();
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(0..800))).await;
            for host in &killed {
                host.router.lock().await.start();
            }
            tokio::time::sleep(Duration::from_secs(3)).await;
            continue;
        }
        let mut router = hosts[host].router.lock().await;
        match random.random_range(0..4) {
            0 => {
                router.signal("STOP");
                tokio::time::sleep(Duration::from_millis(random.random_range(500..4000))).await;
                router.signal("CONT");
            }
            1 => {
                hosts[host].way.set_cut(true);
                tokio::time::sleep(Duration::from_millis(random.random_range(500..8000))).await;
                hosts[host].way.set_cut(false);
            }
            _ => {
                router.kill();
                tokio::time::sleep(Duration::from_millis(random.random_range(0..500))).await;
                router.start();
            }
        }
    }
}

/// Sends requests of one kind to all routers in turn until the end.
async fn send(
    hosts: Arc<Vec<Host>>,
    traffic: Arc<Traffic>,
    path: &'static str,
    rate: f64,
    end: Instant,
) {
    let mut addresses = Vec::new();
    for host in hosts.iter() {
        addresses.push(host.router.lock().await.callers());
    }
    let mut sent = 0;
    while Instant::now() < end {
        sent += 1;
        let address = addresses[sent % addresses.len()];
        traffic.record_sent();
        tokio::spawn(async move { ask_once(address, path, &format!("{path}-{sent}")).await });
        tokio::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
    }
}

/// Changes how the servers fail every few seconds until the end.
async fn change_failures(servers: Vec<Arc<FailingServer>>, seed: u64, end: Instant) {
    let mut random = StdRng::seed_from_u64(seed);
    while Instant::now() < end {
        for server in &servers {
            let failures = match random.random_range(0..4) {
                0 => Failures {
                    refused: 900,
                    ..Failures::default()
                },
                1 => Failures {
                    errors: 600,
                    cut: 300,
                    ..Failures::default()
                },
                2 => Failures {
                    refused: 400,
                    hung: 100,
                    errors: 300,
                    cut: 100,
                },
                _ => Failures {
                    errors: 500,
                    ..Failures::default()
                },
            };
            server.set_failures(failures);
        }
        let pause = random.random_range(2000..6000);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Plays a deployment; returns what was wrong.
async fn play(deployment: &Deployment, kind: Fault, seed: u64) -> Vec<String> {
    let store = configured_store(PREPAID);
    let services = [("engines", Arc::default()), ("plain", Arc::default())];
    let mut servers = Vec::new();
    for (service, traffic) in &services {
        for n in 0..SERVERS {
            let (server, address) = FailingServer::open(traffic).await;
            store.register(&format!("{service}-{n}"), service, address);
            servers.push(server);
        }
    }
    let store_address = store.open().await;
    let run = 400 + seed * 4 + u64::from(kind == Fault::Herd) * 2 + deployment.routers as u64 % 2;
    let folder = std::env::temp_dir().join(format!("poplar-repeats-{}-{run}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut hosts = Vec::new();
    for n in 0..deployment.routers {
        let (way, way_address) = Way::open(store_address).await;
        let mut router = Router::new(address(run, n), way_address, &folder);
        router.change_settings(deployment.slack);
        router.start();
        let router = Mutex::new(router);
        hosts.push(Host { router, way });
    }
    let hosts = Arc::new(hosts);
    tokio::time::sleep(START_TIME).await;
    let end = Instant::now() + FAULT_TIME;
    let mut tasks = Vec::new();
    for (path, rate) in deployment.rates {
        let traffic = services[usize::from(!is_stream(path))].1.clone();
        tasks.push(tokio::spawn(send(hosts.clone(), traffic, path, rate, end)));
    }
    tasks.push(tokio::spawn(change_failures(servers, seed, end)));
    let players = if kind == Fault::Herd { 1 } else { 3 };
    for player in 0..players {
        let seed = seed * 10 + player;
        tasks.push(tokio::spawn(play_faults(hosts.clone(), kind, seed, end)));
    }
    for task in tasks {
        task.await.expect("no panic");
    }
    let limit = RetryLimit {
        ratio: RATIO,
        slack: f64::from(deployment.slack),
        window: WINDOW,
    };
    let mut wrong = Vec::new();
    for (service, traffic) in &services {
        let (found, allowed) = traffic.worst_window(&limit);
        let (sent, repeats) = traffic.totals();
        let figures = format!(
            "{} routers, {kind:?}, seed {seed}, {service}: {sent} requests, {repeats} repeats, \
             {found} in the worst window, allowed {allowed:.1}",
            deployment.routers
        );
        println!("{figures}");
        if found as f64 > allowed {
            wrong.push(figures);
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
    wrong
}

async fn check(deployment: &Deployment, kind: Fault) {
    let mut wrong = Vec::new();
    for seed in chosen::seeds("POPLAR_RETRY_SEEDS", &SEEDS) {
        wrong.extend(play(deployment, kind, seed).await);
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against routers that take a fresh share of the repeats when they
/// restart, are cut off or see fewer other routers.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_of_whlt_scenes() {
    check(&WHLT_SCENES, Fault::Single).await;
}

/// As above, for another deployment.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_of_rvsec_entries() {
    check(&RVSEC_ENTRIES, Fault::Single).await;
}

/// As above, if most routers are killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_of_whlt_scenes_after_herd_kills() {
    check(&WHLT_SCENES, Fault::Herd).await;
}

/// As above, for another deployment.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_of_rvsec_entries_after_herd_kills() {
    check(&RVSEC_ENTRIES, Fault::Herd).await;
}
