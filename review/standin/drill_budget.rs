//! A drill of the store after a tenant has used what its budget was raised by, and then
//! restarts of the routers in turn.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::load::{Load, Outcomes, Tenant, configuration};
use crate::record::Record;
use crate::site::{Query, Site};

const ROUTERS: u8 = 8;
/// Time in which the tenant uses what is prepaid at first.
const FIRST: Duration = Duration::from_secs(6);
/// How old the copy is from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(5);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// From the return of the store to the first restart, in which the routers can write
/// again what they know.
const RESTART_AFTER: Duration = Duration::from_secs(10);
/// Time between two restarts.
const RESTART_GAP: Duration = Duration::from_millis(1300);
/// Time of the last requests.
const LAST: Duration = Duration::from_secs(10);

const SMALL: &str = "n2ctnfzs989anu6wsjnb";
const LARGE: &str = "anfqasnmgkcuyj8pjbvk";
/// What is prepaid at first, and after the operator has raised it.
const PREPAID_FIRST: u64 = 30_000;
const PREPAID: u64 = 100_000;

fn plan(key: &'static str) -> Query<'static> {
    Query {
        method: "POST",
        path: "/plan/1",
        key,
        tokens: Some((1460, 80)),
        deadline_ms: 8000,
        is_own: false,
    }
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let tenants = |prepaid| {
        [
            Tenant {
                name: "hule930",
                keys: &[SMALL],
                prepaid,
            },
            Tenant {
                name: "gono77",
                keys: &[LARGE],
                prepaid: 50_000_000,
            },
        ]
    };
    let config = configuration(7, "plain-a", &tenants(PREPAID_FIRST));
    let mut site = Site::open(record, folder, ROUTERS, &config)?;
    for _ in 0..6 {
        site.add_engine("engines", true)?;
    }
    for service in ["plain-a", "plain-b"] {
        site.add_engine(service, false)?;
    }
    if !site.fleet.start(Duration::from_secs(20))? {
        record.say("a router is not ready");
        return Ok(Verdict::NotRun);
    }
    let site = Arc::new(site);
    let outcomes: Outcomes = Arc::new(Mutex::new(Vec::new()));
    let period = Duration::from_millis(500);
    let others = Load::start(&site, 4, period, plan(LARGE), &outcomes);
    let rush = Load::start(&site, 8, period, plan(SMALL), &outcomes);
    std::thread::sleep(FIRST);
    site.store.make_copy();
    report(&site, &outcomes, "when the copy is made");
    let raised = configuration(8, "plain-a", &tenants(PREPAID));
    if !site.store.write("op", "config", Some(&raised)) {
        return Ok(Verdict::NotRun);
    }
    std::thread::sleep(COPY_AGE);
    if trouble {
        record.say("the store is away");
        site.store.go_away();
        std::thread::sleep(AWAY);
        let (old, new) = site.store.come_back();
        record.say(format!("the store is back, at version {new} after {old}"));
    }
    report(&site, &outcomes, "after the drill");
    rush.stop();
    let some = Load::start(&site, 2, period, plan(SMALL), &outcomes);
    std::thread::sleep(RESTART_AFTER);
    report(&site, &outcomes, "before the restarts");
    let mut restarts = Vec::new();
    for router in &site.fleet.routers {
        record.add(format!("SIGTERM to {}", router.ip));
        let router = router.clone();
        restarts.push(std::thread::spawn(move || router.restart()));
        std::thread::sleep(RESTART_GAP);
    }
    for restart in restarts {
        let _ = restart.join();
    }
    report(&site, &outcomes, "after the restarts");
    some.stop();
    let last = Load::start(&site, 8, period, plan(SMALL), &outcomes);
    std::thread::sleep(LAST);
    last.stop();
    others.stop();
    let used = report(&site, &outcomes, "at the end");
    record.say(format!("prepaid {PREPAID}, got {used}"));
    if used == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if used > PREPAID {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Tokens that the small tenant got so far: the prompt of each request that ran, once,
/// and the output that reached the client.
fn report(site: &Site, outcomes: &Outcomes, when: &str) -> u64 {
    let ran: Vec<String> = {
        let runs = site.runs.lock().unwrap_or_else(|e| e.into_inner());
        runs.iter().map(|run| run.attempt.clone()).collect()
    };
    let outcomes = outcomes.lock().unwrap_or_else(|e| e.into_inner());
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    let mut used = 0;
    for outcome in outcomes.iter().filter(|o| o.key == SMALL) {
        *statuses.entry(outcome.answer.status).or_default() += 1;
        let (prompt, _) = outcome.tokens.unwrap_or_default();
        if ran.contains(&outcome.attempt) {
            used += prompt + outcome.answer.events() * crate::engine::STRIDE;
        }
    }
    let row = site.store.value("budgets", "all", "total/hule930");
    let (version, commits, conflicts) = site.store.counts();
    site.record.say(format!(
        "{when}: the tenant got {used} tokens of {PREPAID}; answers {statuses:?}; the \
         routers' row says {}; store version {version}, {commits} transactions, \
         {conflicts} conflicts",
        row.unwrap_or_default()
    ));
    used
}
