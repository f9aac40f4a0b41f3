//! The servers of a service are brittle while many users come at once.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Brittle, Plan};
use crate::record::Record;
use crate::site::Site;

const SERVERS: usize = 4;
const ROUTERS: usize = 3;
/// What a brittle server bears, in refusals a second.
const BEARS: usize = 10;
const CONTACT: Duration = Duration::from_millis(3000);
/// Requests a second in calm and in the rush.
const CALM_RATE: f64 = 330.0;
const RUSH: f64 = 1.7;
/// When the servers begin to be brittle, when the rush begins, and its length.
const BRITTLE_AT: Duration = Duration::from_secs(4);
const RUSH_AT: Duration = Duration::from_secs(8);
const RUSH_TIME: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_millis(1500);

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-push\",\"host\":\"ficu95.example\",\
     \"path_prefix\":\"/puxa403/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\
     \"target_latency_ms\":300,\"priority\":1,\"service\":\"gateway\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"gateway\",\"health_path\":\"/health\",\"max_conns\":110}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"usual\",\"api_keys\":[\"key-usual\"]}]}"
        .into()
}

/// Runs the case; returns whether the rule held.
pub fn run(record: Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration())?;
    let plan = Plan {
        service: "gateway".into(),
        slots: 6,
        queue: 24,
        first: Duration::from_millis(60),
        events: 0,
        pause: Duration::ZERO,
        deadly: None,
        down: Duration::from_secs(3),
        brittle: Some(Brittle {
            bears: BEARS,
            queue: 6,
            notice: CONTACT,
        }),
    };
    site.add_servers(SERVERS, &plan)?;
    site.start_routers(ROUTERS)?;
    let site = site;
    let started = Instant::now();
    let end = RUSH_AT + RUSH_TIME + AFTER;
    let (sent, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        let (site, sent, served) = (&site, &sent, &served);
        let mut next = started;
        let mut is_brittle = !trouble;
        for n in 0.. {
            let since = started.elapsed();
            if since >= end {
                break;
            }
            if !is_brittle && since >= BRITTLE_AT {
                is_brittle = true;
                *site.brittle_since.lock().unwrap() = Some(Instant::now());
                site.record
                    .say(format!("servers begin to say Server-Brittle: {BEARS}"));
            }
            let is_rush = since >= RUSH_AT && since < RUSH_AT + RUSH_TIME;
            let rate = if is_rush { CALM_RATE * RUSH } else { CALM_RATE };
            scope.spawn(move || {
                let id = site.next_id("a");
                let line = format!("POST /puxa403/{id}");
                let head = site.head(
                    &line,
                    &id,
                    "key-usual",
                    DEADLINE,
                    "Content-Length: 2\r\n\r\nhi",
                );
                let to = site.routers[n % ROUTERS].front();
                sent.fetch_add(1, Ordering::SeqCst);
                let answer = site.ask(to, &id, head.as_bytes(), DEADLINE);
                served.fetch_add(usize::from(answer.is_served()), Ordering::SeqCst);
            });
            next += Duration::from_secs_f64(1.0 / rate);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    });
    let falls = site.seen.lock().unwrap().crashes.len();
    let allowed = 2.0 + SERVERS as f64 / 10.0;
    site.record.say(format!(
        "{} of {} requests served, {falls} falls of {SERVERS} servers (allowed: {allowed})",
        served.load(Ordering::SeqCst),
        sent.load(Ordering::SeqCst)
    ));
    Ok(falls as f64 <= allowed)
}
