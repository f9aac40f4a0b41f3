//! Many clients send requests at once that are legal in every size, and wait for their
//! answers. The router stays within its memory.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::long_ids::configuration;
use crate::engine::Plan;
use crate::record::Record;
use crate::site::{MEMORY_MB, Site};

/// Clients of the crowd, all at one router, and how many there are without it.
const CROWD: usize = 1000;
const FEW: usize = 50;
/// Bytes of a header that fills the head up to about 16,000 bytes, and of a body.
const PADDING: usize = 15_600;
const BODY: usize = 36_000;
const TIME: Duration = Duration::from_secs(25);
const DEADLINE: Duration = Duration::from_secs(12);
/// Servers as on the sheet.
const SERVERS: usize = 9;

/// Runs the case; returns whether the memory was kept.
pub fn run(record: Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration())?;
    let plan = Plan {
        service: "pool".into(),
        slots: 64,
        queue: 192,
        first: Duration::from_millis(800),
        events: 24,
        pause: Duration::from_millis(200),
        deadly: None,
        down: Duration::from_secs(2),
        brittle: None,
    };
    site.add_servers(SERVERS, &plan)?;
    site.start_routers(2)?;
    let clients = if trouble { CROWD } else { FEW };
    let (ended, served, sent) = (
        AtomicBool::new(false),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let mut most = 0;
    let started = Instant::now();
    thread::scope(|scope| {
        let (site, ended, served, sent) = (&site, &ended, &served, &sent);
        for _ in 0..clients {
            scope.spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let id = site.next_id("b");
                    let more = format!(
                        "X-Poplarreel-Model: m\r\nX-Poplarreel-Token-Counts: 10,120\r\n\
                         X-Poplarreel-Prompt-Prefix: e1:10\r\nX-Note: {}\r\n\
                         Content-Length: {BODY}\r\n\r\n{}",
                        "n".repeat(PADDING),
                        "b".repeat(BODY)
                    );
                    let line = format!("POST /lohu930/{id}");
                    let head = site.head(&line, &id, "key-other", DEADLINE, &more);
                    let to = site.routers[0].front();
                    sent.fetch_add(1, Ordering::SeqCst);
                    let answer = site.ask(to, &id, head.as_bytes(), DEADLINE);
                    served.fetch_add(usize::from(answer.is_served()), Ordering::SeqCst);
                    let wait = answer.retry_after().unwrap_or(Duration::from_millis(100));
                    thread::sleep(wait.min(Duration::from_secs(1)));
                }
            });
        }
        while started.elapsed() < TIME {
            thread::sleep(Duration::from_millis(250));
            let memory = site.routers[0].memory();
            if memory > most {
                most = memory;
                site.record.line(format!("{} MB", memory >> 20));
            }
        }
        ended.store(true, Ordering::SeqCst);
    });
    let lives = site.routers.iter_mut().all(|router| router.lives());
    site.record.say(format!(
        "{clients} clients, {} of {} requests served, {} MB at most of {MEMORY_MB} MB{}",
        served.load(Ordering::SeqCst),
        sent.load(Ordering::SeqCst),
        most >> 20,
        if lives { "" } else { ", a process has ended" }
    ));
    Ok(lives && most <= MEMORY_MB << 20)
}
