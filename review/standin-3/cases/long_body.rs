//! A client announces a body far over the limit. Ordinary requests are served afterwards.

use std::io;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Plan;
use crate::http;
use crate::record::Record;
use crate::site::Site;

/// The length that the client announces: 64 GiB. The limit is 4 MiB.
const LENGTH: u64 = 64 << 30;
/// Bytes of it that the client sends.
const SENT: usize = 1000;
/// Wait after it, and time in which ordinary requests are sent then.
const PAUSE: Duration = Duration::from_secs(5);
const TIME: Duration = Duration::from_secs(60);
/// Time between two ordinary requests.
const GAP: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1500);

/// A route to a plain service, and two tenants.
pub fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-push\",\"host\":\"ficu95.example\",\
     \"path_prefix\":\"/puxa403/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\
     \"target_latency_ms\":300,\"priority\":1,\"service\":\"gateway\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"gateway\",\"health_path\":\"/health\",\"max_conns\":110}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"usual\",\"api_keys\":[\"key-usual\"]},\
     {\"name\":\"other\",\"api_keys\":[\"key-other\"]}]}"
        .into()
}

/// An ordinary request: the client tries up to three routers within its deadline, as the
/// answers tell it to.
pub fn is_served(site: &Site, first: usize) -> bool {
    let until = Instant::now() + DEADLINE;
    for attempt in 0..3 {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let router = &site.routers[(first + attempt) % site.routers.len()];
        let id = site.next_id("a");
        let line = "POST /puxa403/2f";
        let head = site.head(
            line,
            &id,
            "key-usual",
            left,
            "Content-Length: 5\r\n\r\nhello",
        );
        let answer = site.ask(router.front(), &id, head.as_bytes(), left);
        if answer.is_served() {
            return true;
        }
        let wait = answer.retry_after().unwrap_or(Duration::from_millis(100));
        thread::sleep(wait.min(left / 3));
    }
    false
}

/// Sends ordinary requests for a time; returns how many there were, and how many were
/// served.
fn send_ordinary(site: &Site, time: Duration) -> (usize, usize) {
    let results = Mutex::new(Vec::new());
    let until = Instant::now() + time;
    thread::scope(|scope| {
        for n in 0.. {
            if Instant::now() >= until {
                break;
            }
            let results = &results;
            scope.spawn(move || {
                let served = is_served(site, n);
                results.lock().unwrap().push(served);
            });
            thread::sleep(GAP);
        }
    });
    let results = results.into_inner().unwrap();
    (
        results.len(),
        results.iter().filter(|served| **served).count(),
    )
}

/// A plain server as on the sheet.
pub fn plan() -> Plan {
    Plan {
        service: "gateway".into(),
        slots: 6,
        queue: 24,
        first: Duration::from_millis(60),
        events: 0,
        pause: Duration::ZERO,
        deadly: None,
        down: Duration::from_secs(2),
        brittle: None,
    }
}

/// Runs the case; returns whether ordinary clients are served afterwards.
pub fn run(record: Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration())?;
    site.add_servers(4, &plan())?;
    site.start_routers(3)?;
    let (sent, served) = send_ordinary(&site, Duration::from_secs(5));
    site.record.say(format!(
        "before: {served} of {sent} ordinary requests served"
    ));
    if served * 4 < sent * 3 {
        return Err(io::Error::other("ordinary requests are not served in calm"));
    }
    if trouble {
        for router in &site.routers {
            let id = site.next_id("b");
            let more = format!("Content-Length: {LENGTH}\r\n\r\n{}", "x".repeat(SENT));
            let line = "POST /puxa403/2f";
            let head = site.head(line, &id, "key-other", DEADLINE, &more);
            site.record.say(format!(
                "one request announces {LENGTH} bytes at {}",
                router.ip
            ));
            let answer = site.ask(router.front(), &id, head.as_bytes(), DEADLINE);
            site.record.say(format!("it is answered {}", answer.status));
        }
    }
    thread::sleep(PAUSE);
    let (sent, served) = send_ordinary(&site, TIME);
    site.record.say(format!(
        "afterwards: {served} of {sent} ordinary requests served"
    ));
    for router in &mut site.routers {
        if !router.lives() {
            site.record
                .say(format!("the process at {} has ended", router.ip));
        }
    }
    let ready = site.routers.iter().filter(|r| {
        let head = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let to = std::net::SocketAddr::new(r.ip, 8220);
        let stream = http::send(to, head, DEADLINE);
        stream.is_ok_and(|s| http::read_answer(s, Instant::now() + DEADLINE).status == 200)
    });
    site.record.say(format!(
        "routers that say they are ready: {}",
        ready.count()
    ));
    site.record_logs(&["host full"], 3);
    Ok(served * 4 >= sent)
}
