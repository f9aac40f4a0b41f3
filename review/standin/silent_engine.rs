//! Servers fall silent for a second or so, while the routers are restarted in turn.

use std::io;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::GRACE;
use crate::load::{Load, Outcome, Outcomes, Tenant, configuration};
use crate::record::Record;
use crate::site::{Query, Site};

const ROUTERS: u8 = 8;
const ENGINES: u8 = 6;
/// Time before the first restart, longer than `retry_window_s`.
const WARM_UP: Duration = Duration::from_secs(13);
/// Time between two restarts.
const RESTART_GAP: Duration = Duration::from_millis(1300);
/// How long a server is silent, and when the next one is.
const SILENCE: Duration = Duration::from_millis(1300);
const SILENCE_PERIOD: Duration = Duration::from_millis(1200);
/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(100);
/// Prompt and output tokens: 30 events.
const TOKENS: (u64, u64) = (1460, 150);
const DEADLINE: Duration = Duration::from_secs(6);

const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let tenants = [Tenant {
        name: "hule930",
        keys: &[KEY],
        prepaid: 50_000_000,
    }];
    let mut site = Site::open(
        record,
        folder,
        ROUTERS,
        &configuration(7, "plain-a", &tenants),
    )?;
    for _ in 0..ENGINES {
        site.add_engine("engines", true)?.set_event_time(EVENT_TIME);
    }
    site.add_engine("plain-a", false)?;
    if !site.fleet.start(Duration::from_secs(20))? {
        record.say("a router is not ready");
        return Ok(Verdict::NotRun);
    }
    let site = Arc::new(site);
    let outcomes: Outcomes = Arc::new(Mutex::new(Vec::new()));
    let review = Query {
        method: "POST",
        path: "/review/1",
        key: KEY,
        tokens: Some(TOKENS),
        deadline_ms: DEADLINE.as_millis() as u64,
        is_own: false,
    };
    let plan = Query {
        path: "/plan/1",
        tokens: Some((1460, 40)),
        deadline_ms: 8000,
        ..review
    };
    // 10.8 resumable streams a second, as in the small deployment.
    let reviews = Load::start(&site, 54, Duration::from_millis(5000), review, &outcomes);
    let plans = Load::start(&site, 30, Duration::from_millis(1000), plan, &outcomes);
    std::thread::sleep(WARM_UP);
    let ended = Arc::new(AtomicBool::new(false));
    let silences = trouble.then(|| {
        let (site, ended) = (site.clone(), ended.clone());
        std::thread::spawn(move || {
            for n in 0.. {
                if ended.load(Ordering::Acquire) {
                    break;
                }
                site.engines[n % usize::from(ENGINES)].fall_silent(SILENCE);
                std::thread::sleep(SILENCE_PERIOD);
            }
        })
    });
    let mut terms: Vec<(Ipv4Addr, Instant)> = Vec::new();
    let mut restarts = Vec::new();
    for router in &site.fleet.routers {
        record.add(format!("SIGTERM to {}", router.ip));
        terms.push((router.ip, Instant::now()));
        let router = router.clone();
        restarts.push(std::thread::spawn(move || router.restart()));
        std::thread::sleep(RESTART_GAP);
    }
    for restart in restarts {
        let _ = restart.join();
    }
    std::thread::sleep(GRACE);
    ended.store(true, Ordering::Release);
    if let Some(silences) = silences {
        let _ = silences.join();
    }
    reviews.stop();
    plans.stop();
    let outcomes = outcomes.lock().unwrap_or_else(|e| e.into_inner());
    let around = |o: &&Outcome| {
        let term = terms.iter().find(|(ip, _)| *ip == o.router);
        term.is_some_and(|(_, at)| o.sent >= *at && o.ended <= *at + GRACE + Duration::from_secs(1))
    };
    let mut broken = 0;
    let (mut judged, mut complete) = (0, 0);
    for outcome in outcomes.iter().filter(around) {
        judged += 1;
        if outcome.answer.whole && outcome.answer.status == 200 {
            complete += 1;
        }
        let Some((_, term)) = terms.iter().find(|(ip, _)| *ip == outcome.router) else {
            continue;
        };
        let (sent, end) = (outcome.sent - *term, outcome.ended - *term);
        let is_excused = sent <= Duration::from_secs(3) && end >= GRACE.mul_f64(5.0 / 6.0);
        // The servers never break off, and the deadline is the route's time-out.
        let is_early = outcome.ended < outcome.sent + DEADLINE - Duration::from_millis(500);
        let is_cut = outcome.answer.status == 200 && !outcome.answer.whole;
        if is_cut && is_early && !is_excused {
            broken += 1;
            record.say(format!(
                "BROKEN {} {}: sent {:.2} s after the SIGTERM of {}, cut {:.2} s after it \
                 with {} events",
                outcome.path,
                outcome.attempt,
                sent.as_secs_f64(),
                outcome.router,
                end.as_secs_f64(),
                outcome.answer.events()
            ));
        }
    }
    let cut = |o: &&Outcome| o.answer.status == 200 && !o.answer.whole;
    record.say(format!(
        "{broken} of {judged} streams around a restart cut, {complete} complete; {} of {} cut \
         in all",
        outcomes.iter().filter(cut).count(),
        outcomes.len()
    ));
    if judged == 0 || complete == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
