//! Restarts of the routers in turn while a tenant has used most of its budget.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::STRIDE;
use crate::fleet::GRACE;
use crate::load::{Load, Outcome, Outcomes, Tenant, configuration};
use crate::record::Record;
use crate::site::{Query, Site};

const ROUTERS: u8 = 8;
/// Time before the first restart, in which most of the budget is used.
const BEFORE: Duration = Duration::from_secs(10);
/// Time between two restarts.
const RESTART_GAP: Duration = Duration::from_millis(1300);
/// From the last restart to the small requests: longer than `contact_ms`.
const SETTLE: Duration = Duration::from_secs(5);
/// Time of the small requests, which use what is left.
const LAST: Duration = Duration::from_secs(10);
/// Time of the large requests after that.
const AGAIN: Duration = Duration::from_secs(5);
/// `settle_ms`: requests that ended less than this before count at their most.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// `contact_ms`.
const CONTACT: Duration = Duration::from_secs(3);
/// Part of the budget that is owed.
const OWED: f64 = 0.97;
/// Events of a stream, fewer than its request allows.
const EVENTS: u64 = 8;
const EVENT_TIME: Duration = Duration::from_millis(100);

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const PREPAID: u64 = 120_000;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let tenants = [Tenant {
        name: "hule930",
        keys: &[KEY],
        prepaid: PREPAID,
    }];
    let config = configuration(7, "plain-a", &tenants);
    let mut site = Site::open(record, folder, ROUTERS, &config)?;
    for _ in 0..6 {
        let engine = site.add_engine("engines", true)?;
        engine.set_event_time(EVENT_TIME);
        engine.set_max_events(EVENTS);
    }
    site.add_engine("plain-a", false)?;
    if !site.fleet.start(Duration::from_secs(20))? {
        record.say("a router is not ready");
        return Ok(Verdict::NotRun);
    }
    let site = Arc::new(site);
    let outcomes: Outcomes = Arc::new(Mutex::new(Vec::new()));
    let large = Query {
        method: "POST",
        path: "/plan/1",
        key: KEY,
        tokens: Some((110, 1000)),
        deadline_ms: 8000,
        is_own: false,
    };
    let small = Query {
        tokens: Some((40, 20)),
        ..large
    };
    let rush = Load::start(&site, 60, Duration::from_secs(1), large, &outcomes);
    std::thread::sleep(BEFORE);
    report(&site, &outcomes, "before the restarts");
    let mut terms: Vec<(Ipv4Addr, Instant)> = Vec::new();
    let mut restarts = Vec::new();
    for router in &site.fleet.routers {
        if trouble {
            record.add(format!("SIGTERM to {}", router.ip));
            terms.push((router.ip, Instant::now()));
            let router = router.clone();
            restarts.push(std::thread::spawn(move || router.restart()));
        }
        std::thread::sleep(RESTART_GAP);
    }
    for restart in restarts {
        let _ = restart.join();
    }
    report(&site, &outcomes, "after the restarts");
    std::thread::sleep(SETTLE);
    rush.stop();
    let last = Load::start(&site, 16, Duration::from_millis(300), small, &outcomes);
    std::thread::sleep(LAST);
    last.stop();
    std::thread::sleep(SETTLE_TIME + Duration::from_millis(500));
    let again = Load::start(&site, 16, Duration::from_millis(300), large, &outcomes);
    std::thread::sleep(AGAIN);
    again.stop();
    let used = report(&site, &outcomes, "at the end");
    record.say(format!("prepaid {PREPAID}, got {used}"));
    let outcomes = outcomes.lock().unwrap_or_else(|e| e.into_inner());
    let ran = ran(&site);
    let is_402 = |o: &&Outcome| o.answer.status == 402;
    let in_touch = |o: &&Outcome| {
        let term = terms.iter().find(|(ip, _)| *ip == o.router);
        term.is_none_or(|(_, at)| o.ended < *at || o.sent > *at + GRACE + CONTACT)
    };
    let mut denied = 0;
    for refused in outcomes.iter().filter(is_402).filter(in_touch) {
        let most = at_most(refused);
        let others = outcomes.iter().filter(|o| o.attempt != refused.attempt);
        let taken: u64 = others.map(|o| counted(o, refused, &ran)).sum();
        if (taken + most) as f64 <= OWED * PREPAID as f64 {
            denied += 1;
            record.add(format!(
                "DENIED {}: 402 by {}, for {most} tokens at most, while others had taken \
                 {taken} of {PREPAID} at most",
                refused.attempt, refused.router
            ));
        }
    }
    let allowed = 5.0 + outcomes.len() as f64 / 500.0;
    record.say(format!(
        "{denied} of {} requests answered 402 by machines in touch though the balance covers \
         them; {allowed:.1} allowed",
        outcomes.len()
    ));
    if used == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if f64::from(denied) > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn ran(site: &Site) -> HashSet<String> {
    let runs = site.runs.lock().unwrap_or_else(|e| e.into_inner());
    runs.iter().map(|run| run.attempt.clone()).collect()
}

/// Tokens that a request can consume.
fn at_most(outcome: &Outcome) -> u64 {
    let (prompt, output) = outcome.tokens.unwrap_or_default();
    prompt + output
}

/// Tokens that a request has consumed.
fn consumed(outcome: &Outcome, ran: &HashSet<String>) -> u64 {
    if !ran.contains(&outcome.attempt) {
        return 0;
    }
    let (prompt, _) = outcome.tokens.unwrap_or_default();
    prompt + outcome.answer.events() * STRIDE
}

/// Tokens of a request that count when another one was refused.
fn counted(outcome: &Outcome, refused: &Outcome, ran: &HashSet<String>) -> u64 {
    if outcome.sent > refused.ended {
        0
    } else if outcome.ended + SETTLE_TIME < refused.sent {
        consumed(outcome, ran)
    } else {
        at_most(outcome)
    }
}

/// Records what the tenant got so far.
fn report(site: &Site, outcomes: &Outcomes, when: &str) -> u64 {
    let ran = ran(site);
    let outcomes = outcomes.lock().unwrap_or_else(|e| e.into_inner());
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    for outcome in outcomes.iter() {
        *statuses.entry(outcome.answer.status).or_default() += 1;
    }
    let used = outcomes.iter().map(|o| consumed(o, &ran)).sum();
    let row = site.store.value("budgets", "all", "total/hule930");
    site.record.say(format!(
        "{when}: the tenant got {used} tokens of {PREPAID}; answers {statuses:?}; the \
         routers' row says {}",
        row.unwrap_or_default()
    ));
    used
}
