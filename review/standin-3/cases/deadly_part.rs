//! One part of prompts crashes each engine that begins to answer it. The requests with
//! it come at all routers, no two alike; sound requests share their other parts.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Plan;
use crate::record::Record;
use crate::site::Site;

/// The bound of the rule, from which on after the fifth crash requests are counted.
const CONTACT: Duration = Duration::from_millis(3000);
/// Requests with the part that may reach engines after that.
const ALLOWED: usize = 3;
const CRASHES: usize = 5;
/// The part.
const PART: &str = "dead01";
const DEADLINE: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(3);

/// What the case varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Many requests with it come at the same moment, and some time later a few.
    Burst,
    /// A few have it, after many parts that all requests share.
    Far,
    /// A few have it, and the operator moves their route to another service.
    Moved,
}

impl Kind {
    /// Requests with the part that come at the same moment, at the beginning.
    fn at_once(self) -> usize {
        match self {
            Self::Burst => 48,
            Self::Far => 0,
            Self::Moved => 8,
        }
    }

    /// Time between two requests with the part.
    fn gap(self) -> Duration {
        match self {
            Self::Burst | Self::Far => Duration::from_millis(500),
            Self::Moved => Duration::from_millis(125),
        }
    }

    fn time(self) -> Duration {
        match self {
            Self::Burst => Duration::from_secs(50),
            Self::Far | Self::Moved => Duration::from_secs(40),
        }
    }
}

/// Pause after the requests that come at the same moment, if many do.
const QUIET: Duration = Duration::from_secs(8);
/// Parts before it in long prompts.
const MANY: usize = 1060;
/// When the operator moves the route.
const MOVED_AFTER: Duration = Duration::from_secs(15);
/// Time between two sound requests.
const SOUND_GAP: Duration = Duration::from_millis(150);

fn configuration(version: u32, service: &str) -> String {
    let engine = "\"engine\":{\"slots\":64,\"kv_capacity\":446388,\"stride\":5}";
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-plan\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":800,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":500}}],\
         \"services\":[{{\"name\":\"first\",\"health_path\":\"/health\",\"max_conns\":370,{engine}}},\
         {{\"name\":\"second\",\"health_path\":\"/health\",\"max_conns\":370,{engine}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"usual\",\"api_keys\":[\"key-usual\"]}}]}}"
    )
}

/// Sends a request whose prompt has this part.
fn send(site: &Site, router: usize, mark: &str, part: &str, before: &str) -> bool {
    let id = site.next_id(mark);
    let number = &id[1..];
    let body = format!("prompt {number}");
    let more = format!(
        "X-Poplarreel-Model: m\r\nX-Poplarreel-Token-Counts: 1460,80\r\n\
         X-Poplarreel-Prompt-Prefix: 5c1e07a2:800,{before}{part}:410,e44{number}:250\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let line = format!("POST /lohu930/{number}");
    let head = site.head(&line, &id, "key-usual", DEADLINE, &more);
    let to = site.routers[router % site.routers.len()].front();
    site.ask(to, &id, head.as_bytes(), DEADLINE).is_served()
}

/// Runs the case; returns whether the rule held.
pub fn run(record: Record, trouble: bool, kind: Kind) -> io::Result<bool> {
    let mut site = Site::open(record, &configuration(7, "first"))?;
    let plan = Plan {
        service: "first".into(),
        slots: 64,
        queue: 192,
        first: Duration::from_millis(400),
        events: 10,
        pause: Duration::from_millis(30),
        deadly: trouble.then(|| PART.to_owned()),
        down: Duration::from_secs(2),
        brittle: None,
    };
    match kind {
        Kind::Burst => site.add_servers(24, &plan)?,
        Kind::Far => site.add_servers(12, &plan)?,
        Kind::Moved => {
            site.add_servers(9, &plan)?;
            let service = "second".into();
            site.add_servers(9, &Plan { service, ..plan })?;
        }
    }
    site.start_routers(4)?;
    let site = site;
    let (sound, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let many = (0..MANY).map(|n| format!("{:x}:1,", 0x1000 + n));
    let before: String = match kind {
        Kind::Far => many.collect(),
        _ => String::new(),
    };
    let before = before.as_str();
    let until = Instant::now() + CALM + kind.time();
    thread::scope(|scope| {
        let (site, sound, served) = (&site, &sound, &served);
        scope.spawn(move || {
            for n in 0.. {
                if Instant::now() >= until {
                    break;
                }
                scope.spawn(move || {
                    let part = ["b1", "b2", "b3"][n % 3];
                    sound.fetch_add(1, Ordering::SeqCst);
                    served.fetch_add(
                        usize::from(send(site, n, "c", part, before)),
                        Ordering::SeqCst,
                    );
                });
                thread::sleep(SOUND_GAP);
            }
        });
        thread::sleep(CALM);
        site.record.say("requests with the part begin");
        let began = Instant::now();
        for n in 0..kind.at_once() {
            scope.spawn(move || send(site, n, "d", PART, before));
        }
        if kind == Kind::Burst {
            thread::sleep(QUIET);
        }
        let mut is_moved = kind != Kind::Moved;
        for n in 0.. {
            let now = Instant::now();
            if now >= until {
                break;
            }
            if !is_moved && now >= began + MOVED_AFTER {
                is_moved = true;
                site.store.put("op", "config", &configuration(12, "second"));
                site.record
                    .say("the operator moves the route to the other service");
            }
            scope.spawn(move || send(site, n, "d", PART, before));
            thread::sleep(kind.gap());
        }
    });
    let seen = site.seen.lock().unwrap();
    let part = format!("{PART}:");
    let with_part = seen.arrivals.iter().filter(|a| a.parts.contains(&part));
    let with_part: Vec<Instant> = with_part.map(|a| a.at).collect();
    site.record.say(format!(
        "{} crashes, {} requests with the part reached engines, {} of {} sound ones served",
        seen.crashes.len(),
        with_part.len(),
        served.load(Ordering::SeqCst),
        sound.load(Ordering::SeqCst)
    ));
    let Some((fifth, _)) = seen.crashes.get(CRASHES - 1) else {
        site.record.say("fewer than five crashes: nothing to count");
        return Ok(true);
    };
    let late: Vec<&Instant> = with_part
        .iter()
        .filter(|at| **at > *fifth + CONTACT)
        .collect();
    let times: Vec<String> = late
        .iter()
        .map(|at| format!("{:.2}", site.record.at(**at)))
        .collect();
    site.record.say(format!(
        "fifth crash at {:.2} s; {} requests with the part reached engines later than {} ms \
         after it (allowed: {ALLOWED}), at {}",
        site.record.at(*fifth),
        late.len(),
        CONTACT.as_millis(),
        times.join(" ")
    ));
    site.record_logs(&["crashing request on trial"], 40);
    Ok(late.len() <= ALLOWED)
}
