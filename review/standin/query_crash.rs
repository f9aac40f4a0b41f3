//! A request that crashes servers comes again and again, beside sound ones that differ
//! from it only in the query.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::CRASHING;
use crate::load::{Load, Outcomes, Tenant, configuration};
use crate::record::Record;
use crate::site::{Query, Site};

const ROUTERS: u8 = 8;
/// Time of sound requests before the first that crashes servers.
const WARM_UP: Duration = Duration::from_secs(13);
/// Time between two that crash servers, and how many come.
const CRASH_PERIOD: Duration = Duration::from_secs(3);
const CRASH_COUNT: u32 = 14;
/// `contact_ms`.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;

const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let tenants = [Tenant {
        name: "hule930",
        keys: &[KEY],
        prepaid: 50_000_000,
    }];
    let config = configuration(7, "plain-a", &tenants);
    let mut site = Site::open(record, folder, ROUTERS, &config)?;
    for _ in 0..4 {
        site.add_engine("plain-a", false)?;
    }
    site.add_engine("engines", true)?;
    if !site.fleet.start(Duration::from_secs(20))? {
        record.say("a router is not ready");
        return Ok(Verdict::NotRun);
    }
    let site = Arc::new(site);
    let outcomes: Outcomes = Arc::new(Mutex::new(Vec::new()));
    // SAME_PATH=0 sends the sound requests to another path.
    let path = match std::env::var("SAME_PATH").as_deref() {
        Ok("0") => "/read/2?pole=7",
        _ => "/read/1?pole=7",
    };
    let sound = Query {
        method: "GET",
        path,
        key: KEY,
        tokens: None,
        deadline_ms: 1500,
        is_own: false,
    };
    let crashing = Query {
        path: "/read/1?pole=13",
        ..sound
    };
    let load = Load::start(&site, 8, Duration::from_secs(1), sound, &outcomes);
    std::thread::sleep(WARM_UP);
    for _ in 0..CRASH_COUNT {
        if trouble {
            let (attempt, answer) = site.ask_at(&site.fleet.next(), crashing);
            record.add(format!(
                "{attempt} crashes servers, answered {}",
                answer.status
            ));
        }
        std::thread::sleep(CRASH_PERIOD);
    }
    load.stop();
    let runs = site.runs.lock().unwrap_or_else(|e| e.into_inner());
    let crashes: Vec<Instant> = runs
        .iter()
        .filter(|run| run.path.ends_with(CRASHING))
        .map(|run| run.at)
        .collect();
    let third = crashes.get(2);
    let late = crashes
        .iter()
        .filter(|at| third.is_some_and(|third| **at > *third + CONTACT));
    let late = late.count();
    let outcomes = outcomes.lock().unwrap_or_else(|e| e.into_inner());
    let served = outcomes.iter().filter(|o| o.answer.status == 200).count();
    record.say(format!(
        "{} servers crashed, {late} of them later than {} ms after the third ({ALLOWED} \
         allowed); {served} of {} sound requests served",
        crashes.len(),
        CONTACT.as_millis(),
        outcomes.len()
    ));
    if served == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
