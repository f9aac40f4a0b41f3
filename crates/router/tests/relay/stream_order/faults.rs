//! Faults of engines, routers and the store, from a seed, in series that overlap.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Place, Site, VERSIONS};
use crate::site::process::DRAIN_TIME;
use crate::site::severed::Path;

/// How often an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Silence of an engine after which its entry is removed.
const EXPIRY: Duration = Duration::from_millis(3600);
/// Longest time for a process to end after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Pause between two engines that are replaced together.
const WAVE_STEP: Duration = Duration::from_millis(20);

async fn pause(random: &mut StdRng, from_ms: u64, to_ms: u64) {
    let pause = random.random_range(from_ms..to_ms);
    sleep(Duration::from_millis(pause)).await;
}

/// A version of the software that differs from this one.
fn other_version(random: &mut StdRng, software: &str) -> &'static str {
    let others = VERSIONS.iter().filter(|version| **version != software);
    let others: Vec<&&str> = others.collect();
    others.choose(random).expect("several versions")
}

/// Starts all faults of a run; they end with its time.
pub(super) fn spawn(site: &Arc<Site>) -> Vec<tokio::task::JoinHandle<()>> {
    let mut faults = Vec::new();
    for router in 0..site.routers.len() {
        faults.push(tokio::spawn(routers(site.clone(), router)));
    }
    for engine in 0..site.engines.len() {
        faults.push(tokio::spawn(heartbeats(site.clone(), engine)));
    }
    faults.push(tokio::spawn(engines(site.clone())));
    faults.push(tokio::spawn(store(site.clone())));
    faults.push(tokio::spawn(ways(site.clone())));
    faults
}

/// Writes the entry of an engine while it runs.
async fn heartbeats(site: Arc<Site>, engine: usize) {
    while !site.has_ended() {
        site.register(engine).await;
        sleep(HEARTBEAT).await;
    }
}

/// Crashes, restarts and replacements of engines.
async fn engines(site: Arc<Site>) {
    let mut random = StdRng::seed_from_u64(site.seed * 1000 + 700);
    while !site.faults_ended() {
        pause(&mut random, 200, 1200).await;
        let count = site.engines.len();
        let engine = random.random_range(0..count);
        let lag = Duration::from_millis(random.random_range(0..HEARTBEAT.as_millis() as u64));
        match random.random_range(0..10) {
            // Back at once with another version.
            0..=3 => restart(&site, engine, lag, &mut random).await,
            // Several of them, one right after the other.
            4 => {
                for engine in (0..count).filter(|n| n % 2 == engine % 2) {
                    restart(&site, engine, lag, &mut random).await;
                    sleep(WAVE_STEP).await;
                }
            }
            // Down for a while, and back as it was.
            5 | 6 => {
                let down = Duration::from_millis(random.random_range(300..2500));
                tokio::spawn(crash(site.clone(), engine, down, lag));
            }
            // Frozen.
            7 => {
                let frozen = Duration::from_millis(random.random_range(300..3000));
                let site = site.clone();
                tokio::spawn(async move {
                    site.engines[engine].lock().await.engine.signal("STOP");
                    sleep(frozen).await;
                    site.engines[engine].lock().await.engine.signal("CONT");
                });
            }
            // It leaves, and another one with another version takes its place.
            _ => {
                let mut place = site.engines[engine].lock().await;
                if place.is_leaving || !place.engine.runs() {
                    continue;
                }
                place.is_leaving = true;
                let next = other_version(&mut random, place.engine.software());
                drop(place);
                tokio::spawn(replace(site.clone(), engine, next));
            }
        }
    }
}

/// Kills an engine and starts it at once with another version; its entry shows that
/// some time later.
async fn restart(site: &Arc<Site>, engine: usize, lag: Duration, random: &mut StdRng) {
    let mut place = site.engines[engine].lock().await;
    if place.is_leaving {
        return;
    }
    let next = other_version(random, place.engine.software());
    place.registers_at = Instant::now() + lag;
    if !site.scenario.same_id {
        place.engine.kill();
        retire(site, &mut place, engine);
    }
    place.engine.start(next).await;
    drop(place);
    let site = site.clone();
    tokio::spawn(async move {
        sleep(lag).await;
        site.register(engine).await;
    });
}

/// Gives the next process of an engine an id of its own; the entry of the one before
/// expires.
fn retire(site: &Site, place: &mut Place, engine: usize) {
    let (store, id) = (site.store.clone(), place.engine.id.clone());
    tokio::spawn(async move {
        sleep(EXPIRY).await;
        store.remove("servers", "", &id);
    });
    place.rename(engine);
}

/// Kills an engine, which is back with the same version after some time.
async fn crash(site: Arc<Site>, engine: usize, down: Duration, lag: Duration) {
    let software = {
        let mut place = site.engines[engine].lock().await;
        if place.is_leaving || !place.engine.runs() {
            return;
        }
        place.engine.kill();
        place.engine.software().to_owned()
    };
    sleep(down.min(EXPIRY)).await;
    let mut place = site.engines[engine].lock().await;
    if !place.engine.runs() {
        place.registers_at = Instant::now() + lag;
        if !site.scenario.same_id {
            retire(&site, &mut place, engine);
        }
        place.engine.start(&software).await;
    }
}

/// Has an engine drain and end, and starts another one in its place.
async fn replace(site: Arc<Site>, engine: usize, software: &'static str) {
    {
        let mut place = site.engines[engine].lock().await;
        place.engine.register("draining", &site.store);
    }
    sleep(DRAIN_TIME).await;
    let mut place = site.engines[engine].lock().await;
    place.engine.unregister(&site.store);
    place.engine.kill();
    place.rename(engine);
    place.engine.start(software).await;
    place.is_leaving = false;
    place.registers_at = Instant::now();
}

/// Signals and restarts of a router.
async fn routers(site: Arc<Site>, router: usize) {
    let mut random = StdRng::seed_from_u64(site.seed * 1000 + 500 + router as u64);
    loop {
        pause(&mut random, 1000, 7000).await;
        if site.faults_ended() {
            return;
        }
        let mut process = site.routers[router].lock().await;
        match random.random_range(0..4) {
            0 => {
                process.kill();
                pause(&mut random, 0, 600).await;
                site.choose_build(&mut process, &mut random);
                process.start();
            }
            1 => {
                process.signal("TERM");
                process.wait_end(STOP_LIMIT).await;
                site.choose_build(&mut process, &mut random);
                process.start();
            }
            _ => {
                process.signal("STOP");
                pause(&mut random, 50, 3000).await;
                process.signal("CONT");
            }
        }
    }
}

/// Outages of the store.
async fn store(site: Arc<Site>) {
    let mut random = StdRng::seed_from_u64(site.seed * 1000 + 701);
    while !site.faults_ended() {
        pause(&mut random, 1500, 5000).await;
        match random.random_range(0..3) {
            0 => {
                site.store.set_down(true);
                pause(&mut random, 200, 2500).await;
                site.store.set_down(false);
            }
            1 => {
                site.store.set_unreachable(&["servers"]);
                pause(&mut random, 200, 2500).await;
                site.store.set_unreachable(&[]);
            }
            _ => site.store.drop_history(),
        }
    }
}

/// Cuts between single routers and the store, and between some routers and all engines.
async fn ways(site: Arc<Site>) {
    let mut random = StdRng::seed_from_u64(site.seed * 1000 + 702);
    while !site.faults_ended() {
        pause(&mut random, 500, 3000).await;
        let until = Instant::now() + Duration::from_millis(random.random_range(500..4000));
        if random.random_bool(0.5) {
            let way = &site.ways[random.random_range(0..site.ways.len())];
            way.set_cut(true);
            sleep_until(until).await;
            way.set_cut(false);
            continue;
        }
        let states = [Path::Silent, Path::Reset, Path::OpenOnly];
        let state = *states.choose(&mut random).expect("a state");
        let router = random.random_range(0..site.paths.len());
        let mut paths = site.paths[router].lock().await;
        for path in paths.iter_mut() {
            path.set(state).await;
        }
        sleep_until(until).await;
        for path in paths.iter_mut() {
            path.set(Path::Open).await;
        }
    }
}
