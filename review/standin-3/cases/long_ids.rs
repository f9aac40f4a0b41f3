//! Clients name their attempts by ids that nearly fill the head that they may send, and
//! leave after the first event of a stream. Each router stays within its memory.

use std::io::{self, BufRead, BufReader};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Plan;
use crate::http;
use crate::record::{Record, short};
use crate::site::{MEMORY_MB, Site};

/// Length of an id; a head may have 16,384 bytes.
const LONG: usize = 15_600;
const SHORT: usize = 16;
/// Requests a second, and for how long.
const RATE: usize = 150;
const TIME: Duration = Duration::from_secs(75);
const THREADS: usize = 16;
const DEADLINE: Duration = Duration::from_secs(8);

/// A resumable route to engines, and a tenant without a budget.
pub fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-plan\",\"host\":\"ficu95.example\",\
     \"path_prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
     \"target_latency_ms\":800,\"priority\":1,\"service\":\"pool\",\"max_attempts\":2,\
     \"resumable\":true,\"gap_target_ms\":500}],\
     \"services\":[{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":370,\
     \"engine\":{\"slots\":64,\"kv_capacity\":446388,\"stride\":5}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"other\",\"api_keys\":[\"key-other\"]}]}"
        .into()
}

/// Begins a stream and leaves after its first event; returns whether there was one.
fn begin(site: &Site, length: usize) -> bool {
    let number = site.next_id("");
    let id = format!("{number:a>length$}");
    let line = format!("POST /lohu930/{number}");
    let more = "X-Poplarreel-Model: m\r\nX-Poplarreel-Token-Counts: 10,40\r\n\
                X-Poplarreel-Prompt-Prefix: e1:10\r\nContent-Length: 2\r\n\r\nhi";
    let head = site.head(&line, &id, "key-other", DEADLINE, more);
    let Ok(stream) = http::send(site.routers[0].front(), head.as_bytes(), DEADLINE) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut lines = BufReader::new(stream).lines();
    let has_begun = lines.any(|line| line.is_ok_and(|line| line.starts_with("data:")));
    let answer = if has_begun {
        "with an event"
    } else {
        "without one"
    };
    site.record.line(format!(
        "request {} answered {answer}; its client leaves",
        short(&id)
    ));
    has_begun
}

/// Runs the case; returns whether the memory was kept.
pub fn run(record: Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration())?;
    let plan = Plan {
        service: "pool".into(),
        slots: 64,
        queue: 192,
        first: Duration::from_millis(5),
        events: 8,
        pause: Duration::from_millis(100),
        deadly: None,
        down: Duration::from_secs(2),
        brittle: None,
    };
    site.add_servers(6, &plan)?;
    site.start_routers(2)?;
    let limit = MEMORY_MB << 20;
    let length = if trouble { LONG } else { SHORT };
    let (begun, ended, is_over) = (
        AtomicUsize::new(0),
        AtomicBool::new(false),
        AtomicBool::new(false),
    );
    let started = Instant::now();
    thread::scope(|scope| {
        let (site, begun, ended) = (&site, &begun, &ended);
        for n in 0..THREADS {
            scope.spawn(move || {
                let gap = Duration::from_secs(1) * THREADS as u32 / RATE as u32;
                let mut next = started + gap * n as u32 / THREADS as u32;
                while !ended.load(Ordering::SeqCst) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += gap;
                    begun.fetch_add(usize::from(begin(site, length)), Ordering::SeqCst);
                }
            });
        }
        let mut told = 0;
        while started.elapsed() < TIME {
            thread::sleep(Duration::from_millis(500));
            let memory = site.routers[0].memory();
            let second = started.elapsed().as_secs();
            if second / 5 > told {
                told = second / 5;
                let begun = begun.load(Ordering::SeqCst);
                site.record
                    .say(format!("{begun} streams begun, {} MB", memory >> 20));
            }
            if memory > limit {
                is_over.store(true, Ordering::SeqCst);
                site.record
                    .say(format!("{} MB are more than {MEMORY_MB} MB", memory >> 20));
                break;
            }
        }
        ended.store(true, Ordering::SeqCst);
    });
    if begun.load(Ordering::SeqCst) == 0 {
        return Err(io::Error::other("no stream begins"));
    }
    let memory = site.routers[0].memory() >> 20;
    site.record.say(format!(
        "{} streams begun, {memory} MB at the end",
        begun.load(Ordering::SeqCst)
    ));
    Ok(!is_over.load(Ordering::SeqCst) && site.routers.iter_mut().all(|r| r.lives()))
}
