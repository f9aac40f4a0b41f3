//! A client leaves the token counts out of its requests, or states no limit for the output
//! but the largest number. Its tenant gets no more than it has prepaid.

use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Plan;
use crate::record::Record;
use crate::site::Site;

/// Tokens that the tenant has prepaid.
const PREPAID: u64 = 8_000;
/// Tokens in an event.
const STRIDE: u64 = 5;
const TIME: Duration = Duration::from_secs(40);
const GAP: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(8);

/// What the client's requests are like.
#[derive(Debug, Clone, Copy)]
pub struct Requests {
    /// Tokens of each prompt, in two parts.
    prompt: u64,
    /// Events of each answer, and the pause between them.
    events: u32,
    pause: Duration,
    /// The most output tokens as stated; without it, no token counts are sent.
    stated: Option<u64>,
}

/// Requests without token counts.
pub const WITHOUT_COUNTS: Requests = Requests {
    prompt: 1_000,
    events: 16,
    pause: Duration::from_millis(20),
    stated: None,
};

/// Requests that state the largest number as their most output tokens.
pub const WITHOUT_LIMIT: Requests = Requests {
    prompt: 200,
    events: 160,
    pause: Duration::from_millis(4),
    stated: Some(u64::MAX),
};

impl Requests {
    /// The header with the token counts; the true ones unless there is trouble.
    fn counts(&self, trouble: bool) -> String {
        let true_output = u64::from(self.events) * STRIDE;
        let output = if trouble {
            self.stated
        } else {
            Some(true_output)
        };
        output.map_or(String::new(), |output| {
            format!("X-Poplarreel-Token-Counts: {},{output}\r\n", self.prompt)
        })
    }
}

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
pub fn run(record: Record, trouble: bool, requests: Requests) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration())?;
    let plan = Plan {
        service: "pool".into(),
        slots: 64,
        queue: 192,
        first: Duration::from_millis(100),
        events: requests.events,
        pause: requests.pause,
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
                let counts = requests.counts(trouble);
                let more = format!(
                    "X-Poplarreel-Model: m\r\n{counts}X-Poplarreel-Prompt-Prefix: \
                     5c1e07a2:{},e4{id}:{}\r\nContent-Length: 6\r\n\r\nprompt",
                    requests.prompt * 4 / 5,
                    requests.prompt / 5
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
        served * requests.prompt
    ));
    // The output alone, whatever an engine takes for the prompt.
    Ok(output <= PREPAID && (trouble || served * requests.prompt + output <= PREPAID))
}
