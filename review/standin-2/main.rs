//! Runs one case of the review: `standin CASE RECORD`. The environment variable `TROUBLE`
//! with the value 0 leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod crowd;
mod http;
mod json;
mod router;
mod server;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use server::{Brittle, Plan};
use site::{Record, Site, Tenant, configuration};

/// Memory of a machine on the sheet of the light scenes.
const MEMORY_MB: u64 = 110;
/// Figures of a process's memory.
const RESIDENT: &str = "VmRSS:";
const OWN: &str = "RssAnon:";
fn seconds(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Nine engines and four plain servers, as at the sheet of the light scenes.
fn usual_servers() -> Vec<Plan> {
    let engine = |n| Plan {
        id: format!("engine-{n}"),
        service: "engines",
        is_engine: true,
        slots: 64,
        queue: 192,
        work: Duration::from_millis(8),
    };
    let plain = |n| Plan {
        id: format!("gateway-{n}"),
        service: "gateway",
        is_engine: false,
        slots: 6,
        queue: 24,
        work: Duration::from_millis(60),
    };
    (1..=9).map(engine).chain((1..=4).map(plain)).collect()
}

/// All machines are lost for good, and as many are added at new addresses. Without the
/// trouble, the same machines come back.
fn machines_replaced(record: Record, trouble: bool) -> Option<bool> {
    const PREPAID: u64 = 2_000_000;
    const SIZE: (u64, u64) = (1000, 200);
    const ROUTERS: usize = 3;
    const RECOVERY: f64 = 12.0;
    let tenants = [Tenant {
        name: "acme",
        keys: vec!["key-acme"],
        prepaid: PREPAID,
    }];
    let config = configuration(7, &tenants, &[]);
    let mut site = Site::open(
        usual_servers(),
        (ROUTERS, ROUTERS),
        MEMORY_MB,
        &config,
        record.clone(),
    )?;
    seconds(3.0);
    let began = Instant::now();
    let traffic = site.send_streams("key-acme", 20, SIZE);
    seconds(10.0);
    let (sent, served) = traffic.count(began, 200);
    record.say(&format!(
        "before the loss: {served} of {sent} ended streams were served"
    ));
    let was_served = served * 4 >= sent;
    record.say("all machines lose power");
    site.routers[..ROUTERS]
        .iter_mut()
        .for_each(router::Router::kill);
    seconds(2.0);
    let added = if trouble {
        ROUTERS..2 * ROUTERS
    } else {
        0..ROUTERS
    };
    for router in &mut site.routers[added] {
        router.start().ok()?;
        record.say(&format!("a machine starts at {}", router.ip));
    }
    seconds(1.5);
    if !site.wait_ready(ROUTERS) {
        return None;
    }
    record.say("all are ready");
    let back = Instant::now();
    seconds(RECOVERY + 30.0);
    traffic.end();
    site.note_arrivals();
    let from = back + Duration::from_secs_f64(RECOVERY);
    let (sent, served) = traffic.count(from, 200);
    let (_, refused) = traffic.count(from, 503);
    let (_, spent) = traffic.count(from, 402);
    record.say(&format!(
        "later than {RECOVERY} s after that: {served} of {sent} streams served, {refused} \
         refused with 503, {spent} with 402"
    ));
    let (_, whole) = traffic.count(began, 200);
    let consumed = whole as u64 * (SIZE.0 + SIZE.1);
    record.say(&format!(
        "{whole} streams came whole: {consumed} tokens of {PREPAID} prepaid"
    ));
    was_served.then_some(served * 4 < sent)
}

/// Servers of a service are brittle for a time, while callers need most of what they can do.
fn brittle_servers(record: Record, trouble: bool) -> Option<bool> {
    const SERVERS: usize = 4;
    const PER_S: u64 = 380;
    let brittle = Brittle {
        most: 10,
        queue: 4,
        after: Duration::from_millis(3000),
        back: Duration::from_millis(3000),
    };
    let tenants = [Tenant {
        name: "acme",
        keys: vec!["key-acme"],
        prepaid: 1_000_000,
    }];
    let config = configuration(7, &tenants, &[]);
    let site = Site::open(usual_servers(), (3, 0), MEMORY_MB, &config, record.clone())?;
    let gateways: Vec<_> = site
        .servers
        .iter()
        .filter(|s| s.plan.service == "gateway")
        .collect();
    for server in &gateways {
        server.recover(&site.store, brittle.back);
    }
    seconds(3.0);
    let traffic = site.send_plain("/push/", "key-acme", PER_S);
    seconds(3.0);
    if trouble {
        record.say("the plain servers are brittle from now on");
        gateways.iter().for_each(|s| s.set_brittle(Some(brittle)));
    }
    seconds(20.0);
    gateways.iter().for_each(|s| s.set_brittle(None));
    traffic.end();
    site.note_arrivals();
    let mut falls = 0;
    for server in &gateways {
        let arrivals = server.arrivals();
        let rejected = arrivals.iter().filter(|a| !a.ran).count();
        record.say(&format!(
            "{}: {} requests reached it, {rejected} were turned away; it fell over {} times with {} requests",
            server.plan.id,
            arrivals.len(),
            server.falls().len(),
            server.cut()
        ));
        falls += server.falls().len();
    }
    let began = Instant::now() - Duration::from_secs(3600);
    for status in [200, 502, 503, 504] {
        let (sent, with) = traffic.count(began, status);
        record.say(&format!(
            "{with} of {sent} requests were answered with {status}"
        ));
    }
    let allowed = 2.0 + SERVERS as f64 / 10.0;
    record.say(&format!(
        "the servers fell over {falls} times; {allowed} are allowed"
    ));
    Some(falls as f64 > allowed)
}

/// A client announces a body far over the limit at each router, sends a little of it and
/// leaves. Ordinary requests come all the while.
fn announced_body(record: Record, trouble: bool) -> Option<bool> {
    const ROUTERS: usize = 3;
    const ANNOUNCED: u64 = 1 << 40;
    const RECOVERY: f64 = 12.0;
    let tenants = [Tenant {
        name: "acme",
        keys: vec!["key-acme"],
        prepaid: 1_000_000,
    }];
    let config = configuration(7, &tenants, &[]);
    let site = Site::open(
        usual_servers(),
        (ROUTERS, 0),
        MEMORY_MB,
        &config,
        record.clone(),
    )?;
    seconds(3.0);
    let began = Instant::now();
    let traffic = site.send_plain("/push/", "key-acme", 30);
    seconds(6.0);
    let (sent, served) = traffic.count(began, 200);
    record.say(&format!(
        "before: {served} of {sent} ended requests were served"
    ));
    let was_served = served * 4 >= sent;
    if trouble {
        for (number, router) in site.routers.iter().enumerate() {
            let id = format!("large-{number}");
            let seen = crowd::announce(router.callers(), "key-acme", &id, ANNOUNCED);
            record.say(&format!(
                "{id} announces {ANNOUNCED} bytes to {}: {seen}",
                router.ip
            ));
        }
    }
    record.say("no such client is left");
    let left = Instant::now();
    seconds(RECOVERY + 30.0);
    traffic.end();
    site.note_arrivals();
    let from = left + Duration::from_secs_f64(RECOVERY);
    let (sent, served) = traffic.count(from, 200);
    let (_, refused) = traffic.count(from, 503);
    record.say(&format!(
        "later than {RECOVERY} s after that: {served} of {sent} requests served, {refused} refused with 503"
    ));
    for router in &site.routers {
        let seen = http::ask(
            router.ready(),
            "GET",
            "/api/readiness",
            &[],
            b"",
            Duration::from_secs(1),
        );
        record.say(&format!(
            "{} answers the readiness check with {}",
            router.ip,
            seen.text()
        ));
    }
    was_served.then_some(served * 4 < sent)
}

/// Clients that nobody controls come in a crowd. Each of their requests is legal in size:
/// some stop just short of the end of a small body after a head of many fields, and some
/// just short of the end of the largest body. Ordinary requests come all the while.
fn crowd_of_clients(record: Record, trouble: bool) -> Option<bool> {
    const CLIENTS: usize = 2000;
    const LARGE_EACH: usize = 7;
    const LENGTH: Duration = Duration::from_secs(40);
    let tenants = [Tenant {
        name: "acme",
        keys: vec!["key-acme"],
        prepaid: 1_000_000,
    }];
    let config = configuration(7, &tenants, &[]);
    let mut site = Site::open(usual_servers(), (1, 0), MEMORY_MB, &config, record.clone())?;
    let (process, at) = (site.routers[0].id()?, site.routers[0].callers());
    seconds(1.0);
    let traffic = site.send_plain("/push/", "key-acme", 10);
    let crowd = crowd::Crowd::default();
    if trouble {
        record.say(&format!("a crowd of {CLIENTS} clients comes"));
        for number in 0..CLIENTS {
            let is_large = number % LARGE_EACH == LARGE_EACH - 1;
            crowd.send(at, "key-acme", number, is_large);
        }
    }
    let began = Instant::now();
    let (mut said, mut most, mut is_ended) = (began, 0, false);
    while began.elapsed() < LENGTH && !is_ended {
        seconds(0.1);
        let memory = memory_kb(process, OWN);
        most = most.max(memory);
        is_ended = memory == 0;
        if memory > MEMORY_MB << 10 {
            record.say(&format!(
                "{memory} KB are over {MEMORY_MB} MB: the platform kills it"
            ));
            site.routers[0].kill();
            is_ended = true;
        }
        if said.elapsed() > Duration::from_secs(5) || is_ended {
            said = Instant::now();
            record.say(&format!("{memory} KB; {}", crowd.text()));
        }
    }
    crowd.end();
    traffic.end();
    site.note_arrivals();
    let (sent, served) = traffic.count(began - Duration::from_secs(1), 200);
    record.say(&format!(
        "at most {most} KB; {served} of {sent} ordinary requests were served"
    ));
    Some(is_ended)
}

/// A figure of a process's memory in KB: all that is resident, or what it has for itself
/// without the pages of its program. 0 if it has ended.
fn memory_kb(process: u32, figure: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(figure));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// A router serves for long while nobody fetches its metrics. Without the trouble they are
/// fetched every five seconds, as while an incident is examined.
fn long_service(record: Record, trouble: bool) -> Option<bool> {
    const MEMORY_MB: u64 = 88;
    const CLIENTS: usize = 780;
    const FETCH: Duration = Duration::from_secs(5);
    const LENGTH: Duration = Duration::from_secs(114);
    let tenants = [Tenant {
        name: "acme",
        keys: vec!["key-acme"],
        prepaid: 1_000_000,
    }];
    let config = configuration(7, &tenants, &["idle"]);
    let mut site = Site::open(usual_servers(), (1, 0), MEMORY_MB, &config, record.clone())?;
    let (process, at) = (site.routers[0].id()?, site.routers[0].callers());
    record.say(&format!(
        "before the first request: {} KB",
        memory_kb(process, RESIDENT)
    ));
    let load = site::Load::open(at, "/idle/x", "key-acme", CLIENTS);
    let began = Instant::now();
    let (mut fetched, mut said) = (began, began);
    let mut is_ended = false;
    while began.elapsed() < LENGTH && !is_ended {
        seconds(0.25);
        let memory = memory_kb(process, RESIDENT);
        is_ended = memory == 0;
        if memory > MEMORY_MB << 10 {
            record.say(&format!(
                "{memory} KB are over {MEMORY_MB} MB: the platform kills it"
            ));
            site.routers[0].kill();
            is_ended = true;
        }
        if !trouble && fetched.elapsed() >= FETCH {
            fetched = Instant::now();
            let metrics = std::net::SocketAddr::new(at.ip(), 9464);
            let seen = http::ask(metrics, "GET", "/metrics", &[], b"", Duration::from_secs(2));
            if !seen.is_success() {
                return None;
            }
        }
        if said.elapsed() >= FETCH || is_ended {
            said = Instant::now();
            let (answered, refused) = load.answered();
            record.say(&format!(
                "{memory} KB; {answered} requests sent, {refused} refused as not run"
            ));
        }
    }
    load.end();
    // The case says nothing if the router did not get through enough requests.
    let (answered, _) = load.answered();
    (is_ended || !trouble || answered > 4_500_000).then_some(is_ended)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::open(Path::new(&path)) else {
        return ExitCode::from(2);
    };
    record.say(&format!("case {case}, disruption: {trouble}"));
    let broken = match case.as_str() {
        "long-service" => long_service(record.clone(), trouble),
        "machines-replaced" => machines_replaced(record.clone(), trouble),
        "announced-body" => announced_body(record.clone(), trouble),
        "crowd-of-clients" => crowd_of_clients(record.clone(), trouble),
        "brittle-servers" => brittle_servers(record.clone(), trouble),
        _ => None,
    };
    match broken {
        Some(true) => record.say("the rule was broken"),
        Some(false) => record.say("the rule held"),
        None => record.say("the case couldn't run"),
    }
    ExitCode::from(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    })
}
