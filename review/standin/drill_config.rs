//! A drill of the store, and then a change of the configuration.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::load::{Load, Outcomes, Tenant, configuration};
use crate::record::Record;
use crate::site::{Query, Site};

const ROUTERS: u8 = 8;
/// How old the copy is from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(5);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// From the return of the store to the change: longer than `contact_ms`.
const CHANGE_AFTER: Duration = Duration::from_millis(3500);
/// From the acknowledgement of the change to the first request that is judged:
/// `config_apply_ms` and `stretch_ms` together, and half a second more. It is longer
/// than `revoke_ms`, too.
const JUDGED_AFTER: Duration = Duration::from_millis(7500);
/// Time of the judged requests.
const JUDGED_FOR: Duration = Duration::from_secs(5);
/// Most time after that in which the routers are asked until all follow the change.
const FOLLOWED_FOR: Duration = Duration::from_secs(45);

const KEPT: &str = "n2ctnfzs989anu6wsjnb";
const DROPPED: &str = "anfqasnmgkcuyj8pjbvk";

fn read(key: &'static str) -> Query<'static> {
    Query {
        method: "GET",
        path: "/read/1",
        key,
        tokens: None,
        deadline_ms: 1500,
        is_own: false,
    }
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let before = [Tenant {
        name: "hule930",
        keys: &[KEPT, DROPPED],
        prepaid: 50_000_000,
    }];
    let after = [Tenant {
        keys: &[KEPT],
        ..before[0]
    }];
    let config = configuration(7, "plain-a", &before);
    let mut site = Site::open(record, folder, ROUTERS, &config)?;
    for _ in 0..6 {
        site.add_engine("engines", true)?;
    }
    for service in ["plain-a", "plain-b"] {
        for _ in 0..3 {
            site.add_engine(service, false)?;
        }
    }
    if !site.fleet.start(Duration::from_secs(20))? {
        record.say("a router is not ready");
        return Ok(Verdict::NotRun);
    }
    let site = Arc::new(site);
    let outcomes: Outcomes = Arc::new(Mutex::new(Vec::new()));
    let plan = Query {
        method: "POST",
        path: "/plan/1",
        key: KEPT,
        tokens: Some((1460, 80)),
        deadline_ms: 8000,
        is_own: false,
    };
    let streams = Load::start(&site, 12, Duration::from_millis(300), plan, &outcomes);
    let reads = Load::start(&site, 6, Duration::from_millis(300), read(KEPT), &outcomes);
    std::thread::sleep(Duration::from_secs(5));
    if !all_serve(&site, record, DROPPED) {
        record.say("the key that is dropped later is not served before");
        return Ok(Verdict::NotRun);
    }
    site.store.make_copy();
    std::thread::sleep(COPY_AGE);
    if trouble {
        record.say("the store is away");
        site.store.go_away();
        std::thread::sleep(AWAY);
        let (old, new) = site.store.come_back();
        record.say(format!("the store is back, at version {new} after {old}"));
    }
    std::thread::sleep(CHANGE_AFTER);
    let changed = configuration(9, "plain-b", &after);
    if !site.store.write("op", "config", Some(&changed)) {
        return Ok(Verdict::NotRun);
    }
    let acknowledged = Instant::now();
    record.say("configuration 9 is acknowledged: a key dropped, a route at another service");
    std::thread::sleep(JUDGED_AFTER);
    let mut broken = 0;
    let mut judged = 0;
    while acknowledged.elapsed() < JUDGED_AFTER + JUDGED_FOR {
        for n in 0..site.fleet.routers.len() {
            let (total, stale) = check(&site, n, acknowledged);
            judged += total;
            broken += stale;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record.say(format!(
        "{broken} of {judged} judged requests handled by the old version"
    ));
    if judged == 0 {
        return Ok(Verdict::NotRun);
    }
    // For the record only: how long the routers take.
    let until = Instant::now() + FOLLOWED_FOR;
    loop {
        let stale = (0..site.fleet.routers.len())
            .filter(|n| check(&site, *n, acknowledged).1 > 0)
            .count();
        let since = acknowledged.elapsed().as_secs_f64();
        if stale == 0 {
            record.say(format!("all routers follow the change after {since:.1} s"));
            break;
        }
        if Instant::now() > until {
            record.say(format!(
                "{stale} routers don't follow it after {since:.1} s"
            ));
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    streams.stop();
    reads.stop();
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Whether every router serves a key.
fn all_serve(site: &Site, record: &Record, key: &'static str) -> bool {
    site.fleet.routers.iter().all(|router| {
        let (_, answer) = site.ask_at(router, read(key));
        if answer.status != 200 {
            record.add(format!("{} answers {}", router.ip, answer.status));
        }
        answer.status == 200
    })
}

/// Sends a router a request with the dropped key and one on the moved route; returns how
/// many were sent and how many were handled as only the old version allows.
fn check(site: &Site, router: usize, acknowledged: Instant) -> (u32, u32) {
    let router = &site.fleet.routers[router];
    let mut stale = 0;
    for key in [DROPPED, KEPT] {
        let since = acknowledged.elapsed().as_millis();
        let (attempt, answer) = site.ask_at(router, read(key));
        let runs = site.runs.lock().unwrap_or_else(|e| e.into_inner());
        let ran: Vec<&str> = runs
            .iter()
            .filter(|run| run.attempt == attempt)
            .map(|run| &*run.service)
            .collect();
        let is_stale = match key {
            DROPPED => !ran.is_empty(),
            _ => ran.contains(&"plain-a"),
        };
        if is_stale {
            stale += 1;
            site.record.add(format!(
                "BROKEN {attempt}: sent {since} ms after the acknowledgement, key {}, \
                 run by {ran:?}, status {}",
                if key == DROPPED { "dropped" } else { "kept" },
                answer.status
            ));
        }
    }
    (2, stale)
}
