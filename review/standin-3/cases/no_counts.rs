//! A client leaves the token counts out of its requests. Its tenant gets no more than it
//! has prepaid.

use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Plan;
use crate::record::Record;
use crate::site::Site;

/// Tokens that the tenant has prepaid.
const PREPAID: u64 = 8_000;
/// Tokens of each prompt, in two parts.
const PROMPT: u64 = 1_000;
/// Events of each answer, and tokens in one.
const EVENTS: u32 = 16;
const STRIDE: u64 = 5;
const TIME: Duration = Duration::from_secs(40);
const GAP: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(8);

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-plan\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":800,\"priority\":1,\"service\":\"pool\",\"max_attempts\":1,\
         \"sticky\":true,\"resumable\":false,\"gap_target_ms\":500}}],\
         \"services\":[{{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":370,\
         \"engine\":{{\"slots\":64,\"kv_capacity\":446388,\"stride\":{STRIDE}}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"other\",\"api_keys\":[\"key-other\"],\
         \"prepaid\":{PREPAID}}}]}}"
    )
}

/// Runs the case; returns whether the tenant got no more than it has prepaid.
pub fn run(record: Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration())?;
    let plan = Plan {
        service: "pool".into(),
        slots: 64,
        queue: 192,
        first: Duration::from_millis(100),
        events: EVENTS,
        pause: Duration::from_millis(20),
        deadly: None,
        down: Duration::from_secs(2),
        brittle: None,
    };
    site.add_servers(4, &plan)?;
    site.start_routers(3)?;
    let site = site;
    let (sent, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let events = AtomicU64::new(0);
    let until = Instant::now() + TIME;
    thread::scope(|scope| {
        let (site, sent, served, events) = (&site, &sent, &served, &events);
        for n in 0.. {
            if Instant::now() >= until {
                break;
            }
            scope.spawn(move || {
                let id = site.next_id("a");
                let counts = match trouble {
                    true => String::new(),
                    false => format!(
                        "X-Poplarreel-Token-Counts: {PROMPT},{}\r\n",
                        u64::from(EVENTS) * STRIDE
                    ),
                };
                let more = format!(
                    "X-Poplarreel-Model: m\r\n{counts}X-Poplarreel-Prompt-Prefix: \
                     5c1e07a2:800,e4{id}:200\r\nContent-Length: 6\r\n\r\nprompt"
                );
                let line = format!("POST /lohu930/{id}");
                let head = site.head(&line, &id, "key-other", DEADLINE, &more);
                let to = site.routers[n % site.routers.len()].front();
                sent.fetch_add(1, Ordering::SeqCst);
                let answer = site.ask(to, &id, head.as_bytes(), DEADLINE);
                if answer.status == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                    let body = String::from_utf8_lossy(&answer.body);
                    let count = body.matches("data:").count() as u64;
                    events.fetch_add(count, Ordering::SeqCst);
                }
            });
            thread::sleep(GAP);
        }
    });
    let served = served.load(Ordering::SeqCst) as u64;
    let output = events.load(Ordering::SeqCst) * STRIDE;
    site.record.say(format!(
        "{served} of {} requests served: {} tokens in, {output} tokens out delivered, {PREPAID} \
         prepaid",
        sent.load(Ordering::SeqCst),
        served * PROMPT
    ));
    // The output alone, whatever an engine takes for the prompt.
    Ok(output <= PREPAID && (trouble || served * PROMPT + output <= PREPAID))
}
