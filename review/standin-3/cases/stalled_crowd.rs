//! A crowd of clients begins chunked bodies and sends nothing of them. Ordinary callers
//! are served beside it.

use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::long_body::{configuration, is_served, plan};
use crate::http;
use crate::record::Record;
use crate::site::Site;

/// Descriptors of a router's machine: 75 places for callers.
const MAX_FDS: u32 = 400;
/// Clients of the crowd, over three routers: two for each place.
const CROWD: usize = 450;
/// Pause of such a client before it comes again.
const AGAIN: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(1500);
const HELD: Duration = Duration::from_secs(5);
/// Time in which the crowd gathers, and in which ordinary requests are sent then.
const GATHER: Duration = Duration::from_secs(4);
const TIME: Duration = Duration::from_secs(30);
const GAP: Duration = Duration::from_millis(500);

/// Runs the case; returns whether ordinary callers are served.
pub fn run(record: Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration())?;
    site.max_fds = MAX_FDS;
    site.add_servers(4, &plan())?;
    site.start_routers(3)?;
    let site = site;
    let results = Mutex::new(Vec::new());
    let (ended, held) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        let (site, ended, held) = (&site, &ended, &held);
        for n in 0..if trouble { CROWD } else { 0 } {
            let to = site.routers[n % site.routers.len()].front();
            scope.spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let id = site.next_id("b");
                    let more = "Transfer-Encoding: chunked\r\n\r\n";
                    let head = site.head("POST /puxa403/2f", &id, "key-other", DEADLINE, more);
                    if let Ok(stream) = http::send(to, head.as_bytes(), DEADLINE) {
                        let answer = http::read_answer(stream, Instant::now() + HELD);
                        held.fetch_add(usize::from(answer.status == 408), Ordering::SeqCst);
                    }
                    thread::sleep(AGAIN);
                }
            });
        }
        thread::sleep(GATHER);
        let until = Instant::now() + TIME;
        thread::scope(|ordinary| {
            for n in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let results = &results;
                ordinary.spawn(move || {
                    let served = is_served(site, n);
                    results.lock().unwrap().push(served);
                });
                thread::sleep(GAP);
            }
        });
        ended.store(true, Ordering::SeqCst);
    });
    let results = results.into_inner().unwrap();
    let served = results.iter().filter(|served| **served).count();
    site.record.say(format!(
        "{served} of {} ordinary requests served, {} bodies of the crowd ended with 408",
        results.len(),
        held.load(Ordering::SeqCst)
    ));
    Ok(served * 4 >= results.len())
}
