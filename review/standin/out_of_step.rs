//! Engines of a new software version join while a router is cut off from the store and
//! from the other routers. Half of the connections of another router are reset, and the
//! streams on them are taken up at the other routers in turn.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::load::{Tenant, configuration};
use crate::record::Record;
use crate::site::{Query, Site};

const ROUTERS: u8 = 4;
/// Time from the start of the routers to the cut, in which they repeat a few requests.
const BEFORE: Duration = Duration::from_secs(2);
/// Longest time of the cut.
const CUT: Duration = Duration::from_millis(5500);
/// Time until all other routers have the new engines.
const LISTED: Duration = Duration::from_millis(1500);
/// Streams that are begun, and how many of them the rule lets be mixed.
const STREAMS: usize = 90;
const ALLOWED: usize = 2;
/// Events that a client has when its connection breaks, and those of a whole stream.
const EVENTS_BEFORE: u64 = 5;
const EVENTS: u64 = 20;
const EVENT_TIME: Duration = Duration::from_millis(20);

const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let tenants = [Tenant {
        name: "hule930",
        keys: &[KEY],
        prepaid: 50_000_000,
    }];
    let config = configuration(7, "plain-a", &tenants);
    let apart = trouble || std::env::var("APART").is_ok();
    let (mut site, way) = Site::open_with(record, folder, ROUTERS, &config, apart)?;
    for _ in 0..2 {
        site.add_engine_of("v1", "engines", true)?
            .set_event_time(EVENT_TIME);
    }
    site.add_engine("plain-a", false)?;
    if !site.fleet.start(Duration::from_secs(20))? {
        record.say("a router is not ready");
        return Ok(Verdict::NotRun);
    }
    let review = Query {
        method: "POST",
        path: "/review/1",
        key: KEY,
        tokens: Some((1460, EVENTS * crate::engine::STRIDE)),
        deadline_ms: 6000,
        is_own: true,
    };
    std::thread::sleep(BEFORE);
    let routers = site.fleet.routers.clone();
    for router in &routers {
        let (_, answer) = site.ask_at(router, review);
        if !answer.whole {
            record.say(format!("{} does not serve", router.ip));
            return Ok(Verdict::NotRun);
        }
    }
    let began = Instant::now();
    if trouble {
        record.say(format!(
            "{} is cut off from the store and the others",
            routers[0].ip
        ));
        way.set_cut(true);
    }
    for _ in 0..2 {
        site.add_engine_of("v2", "engines", true)?
            .set_event_time(EVENT_TIME);
    }
    std::thread::sleep(LISTED);
    // All begin at one router, of which every second connection is reset.
    let begin = |n: usize| {
        let events = if n % 2 == 0 { EVENTS_BEFORE } else { u64::MAX };
        let (attempt, answer) = site.ask_until(&routers[1], review, events, None);
        (attempt, versions(&answer.body), answer.whole)
    };
    let mut streams = in_parallel((0..STREAMS).collect(), begin);
    streams.retain(|(_, events, whole)| !whole && !events.is_empty());
    let new = streams.iter().filter(|(_, events, _)| events[0] == "v2");
    record.say(format!(
        "{} streams break, {} of the new version",
        streams.len(),
        new.count()
    ));
    let others = [&routers[0], &routers[2], &routers[3]];
    let streams: Vec<_> = streams.into_iter().enumerate().collect();
    let take_up = |(n, (first, mut events, _)): (usize, (String, Vec<String>, bool))| {
        let taken_up = Some((&*first, events.len() as u64));
        let (attempt, answer) =
            site.ask_until(others[n % others.len()], review, u64::MAX, taken_up);
        events.extend(versions(&answer.body));
        (first, attempt, answer.status, events)
    };
    let (mut mixed, mut whole, mut refused) = (0, 0, 0);
    for (first, attempt, status, events) in in_parallel(streams, take_up) {
        refused += u32::from(status == 503);
        whole += u32::from(events.len() as u64 == EVENTS);
        if events.iter().any(|version| *version != events[0]) {
            mixed += 1;
            record.say(format!(
                "MIXED {first}, taken up as {attempt}: {}",
                events.join(" ")
            ));
        }
    }
    let cut = began.elapsed();
    way.set_cut(false);
    record.say(format!(
        "{mixed} streams hold events of two versions ({ALLOWED} allowed), {whole} are whole, \
         {refused} were refused; cut for {:.1} s",
        cut.as_secs_f64()
    ));
    if cut > CUT {
        record.say("it took longer than a cut may last");
        return Ok(Verdict::NotRun);
    }
    if mixed + whole as usize + refused as usize == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if mixed > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Does something with each item, all at the same time.
fn in_parallel<T: Send, U: Send>(items: Vec<T>, work: impl Fn(T) -> U + Sync) -> Vec<U> {
    std::thread::scope(|scope| {
        let work = &work;
        let all: Vec<_> = items
            .into_iter()
            .map(|item| scope.spawn(move || work(item)))
            .collect();
        all.into_iter().filter_map(|one| one.join().ok()).collect()
    })
}

/// The versions that the events of a stream name.
fn versions(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    let events = text
        .split("\n\n")
        .filter_map(|event| event.split("data: ").nth(1));
    let version = |data: &str| data.split(' ').next().unwrap_or_default().to_owned();
    events.map(version).collect()
}
