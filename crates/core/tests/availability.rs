//! Servers that say in their answers that they leave or want no requests: stores that
//! are away, lists that are older than an answer, processes that follow each other.

use std::time::{Duration, Instant};

use poplar_core::availability::{Availability, Heard, MAX_PAUSE, News, Notices, Reason, Signals};
use poplar_core::deployment::{ColdNotice, Server, ServerList};
use poplar_core::evacuation::Intake;
use poplar_core::id::Name;
use poplar_core::route::server::HealthState;
use poplar_core::server_limit::Allowance;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DRAIN_TIME: Duration = Duration::from_secs(4);
const MILLISECOND: Duration = Duration::from_millis(1);
const OPEN: Signals = Signals {
    ready: true,
    intake: Intake::Full,
    draw: 0.0,
    limit: Allowance::Unlimited,
    cold: Allowance::Unlimited,
    health: HealthState::Healthy,
};
const LEAVING: Heard = Heard {
    leaving: true,
    pause: None,
};

fn pause(seconds: f64) -> Heard {
    Heard {
        leaving: false,
        pause: Some(Duration::from_secs_f64(seconds)),
    }
}

fn reason(notices: &Notices, process: u64, signals: Signals, now: Instant) -> Option<Reason> {
    notices.availability("a", process, signals, now).reason()
}

fn is_closed(notices: &Notices, process: u64, now: Instant) -> bool {
    let availability = notices.availability("a", process, OPEN, now);
    matches!(availability, Availability::Closed { .. })
}

/// Guards against requests to a server that leaves, later than it serves them.
#[test]
fn a_leaving_server_is_a_last_resort_and_closed_before_it_is_drained() {
    let now = Instant::now();
    let mut notices = Notices::new(DRAIN_TIME);
    let news = notices.observe(&"a".into(), 1, LEAVING, now);
    assert!(news.leaves);
    assert_eq!(
        notices.availability("a", 1, OPEN, now),
        Availability::LastResort(Reason::Leaving)
    );
    // Later answers say the same, or nothing.
    let later = now + DRAIN_TIME / 4;
    assert_eq!(
        notices.observe(&"a".into(), 1, LEAVING, later),
        News::default()
    );
    notices.observe(&"a".into(), 1, Heard::default(), later);
    assert!(is_closed(&notices, 1, now + DRAIN_TIME.mul_f64(0.75)));
    assert!(is_closed(&notices, 1, now + DRAIN_TIME * 100));
    assert!(!is_closed(&notices, 2, now + DRAIN_TIME * 100));
}

/// Guards against a router that takes a server out of service for all others.
#[test]
fn what_another_router_was_told_makes_a_server_a_last_resort_only() {
    let now = Instant::now();
    let mut sender = Notices::new(DRAIN_TIME);
    let mut receiver = Notices::new(DRAIN_TIME);
    sender.observe(&"a".into(), 1, LEAVING, now);
    let reports = sender.take_reports();
    assert_eq!(reports, [(Name::from("a"), 1)]);
    for (server, process) in reports {
        assert!(receiver.merge(&server, process, now));
        assert!(!receiver.merge(&server, process, now));
    }
    let late = now + DRAIN_TIME * 100;
    assert!(!is_closed(&receiver, 1, late));
    assert_eq!(reason(&receiver, 1, OPEN, late), Some(Reason::Leaving));
    // What is only reported is not passed on.
    assert_eq!(receiver.take_reports(), []);
}

/// Guards against a pause that ends with an answer that crosses the one that began
/// it.
#[test]
fn each_pause_holds_for_its_own_time() {
    let now = Instant::now();
    let mut notices = Notices::new(DRAIN_TIME);
    notices.observe(&"a".into(), 1, pause(5.0), now);
    notices.observe(&"a".into(), 1, pause(1.0), now + MILLISECOND);
    notices.observe(&"a".into(), 1, Heard::default(), now + MILLISECOND);
    let at = now + Duration::from_secs(4);
    let wait = Some(Duration::from_secs(1));
    assert_eq!(
        notices.availability("a", 1, OPEN, at),
        Availability::Closed {
            reason: Reason::Paused,
            wait
        }
    );
    notices.observe(&"a".into(), 1, pause(3.0), at);
    assert!(is_closed(&notices, 1, now + Duration::from_millis(6900)));
    assert!(!is_closed(&notices, 1, now + Duration::from_secs(7)));
    assert!(!is_closed(&notices, 2, at));
}

/// Guards against a server that gets no requests for days because of a faulty value.
#[test]
fn a_pause_without_end_is_shortened() {
    let now = Instant::now();
    let mut notices = Notices::new(DRAIN_TIME);
    let heard = Heard {
        leaving: false,
        pause: Some(Duration::MAX),
    };
    let news = notices.observe(&"a".into(), 1, heard, now);
    assert_eq!(news.paused, Some(MAX_PAUSE));
    assert!(is_closed(&notices, 1, now + MAX_PAUSE - MILLISECOND));
    assert!(!is_closed(&notices, 1, now + MAX_PAUSE));
}

/// Guards against reasons that hide each other.
#[test]
fn any_reason_closes_a_server() {
    let now = Instant::now();
    let mut notices = Notices::new(DRAIN_TIME);
    let draining = Signals {
        ready: false,
        ..OPEN
    };
    let limited = Signals {
        limit: Allowance::Exhausted,
        ..OPEN
    };
    let ejected = Signals {
        health: HealthState::Ejected,
        ..OPEN
    };
    assert_eq!(reason(&notices, 1, OPEN, now), None);
    assert_eq!(reason(&notices, 1, draining, now), Some(Reason::Draining));
    assert_eq!(reason(&notices, 1, limited, now), Some(Reason::Limited));
    assert_eq!(reason(&notices, 1, ejected, now), Some(Reason::Ejected));
    notices.observe(&"a".into(), 1, LEAVING, now);
    // Leaving is a last resort at first, which does not lift the limit.
    assert_eq!(reason(&notices, 1, limited, now), Some(Reason::Limited));
    assert_eq!(reason(&notices, 1, ejected, now), Some(Reason::Leaving));
    notices.observe(&"a".into(), 1, pause(9.0), now);
    assert_eq!(reason(&notices, 1, limited, now), Some(Reason::Paused));
}

/// A server in a seeded run, as it is, not as the router knows it.
struct World {
    process: u64,
    address: u8,
    /// When this router was first told that the process leaves.
    told: Option<Instant>,
    /// Ends of the pauses that the process asked this router for.
    paused_until: Option<Instant>,
}

fn listed(process: u64, address: u8, ready: bool) -> Server {
    Server {
        id: "a".into(),
        service: "s".into(),
        address: format!("10.0.0.{address}:80").parse().expect("valid"),
        centre: "a".into(),
        software: "v1".into(),
        ready,
        started_ms: process,
        slots: 8,
        cold: ColdNotice::default(),
    }
}

/// Guards against requests to a process that left or paused, in any order of notices,
/// outages of the store, full reads of older rows, restarts of the server and of the
/// router, and other servers at the address.
#[test]
fn no_order_of_events_sends_requests_to_a_server_that_left_or_paused() {
    let mut sent = 0;
    for seed in 0..400 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut notices = Notices::new(DRAIN_TIME);
        let mut list = ServerList::default();
        let mut version = 1;
        let mut world = World {
            process: 1,
            address: 1,
            told: None,
            paused_until: None,
        };
        let mut away = false;
        for _ in 0..120 {
            now += MILLISECOND * random.random_range(1..700);
            match random.random_range(0..9) {
                0 => away = !away,
                1 => {
                    world = World {
                        process: world.process + 1,
                        address: world.address + random.random_range(0..2),
                        told: None,
                        paused_until: None,
                    };
                }
                2 => {
                    // The router restarts, which excuses it.
                    notices = Notices::new(DRAIN_TIME);
                    (world.told, world.paused_until) = (None, None);
                }
                3 if !away => {
                    version += 1;
                    let old = random.random_bool(0.2);
                    let process = world.process - u64::from(old && world.process > 1);
                    let entries = if random.random_bool(0.8) {
                        vec![listed(process, world.address, random.random_bool(0.9))]
                    } else {
                        Vec::new()
                    };
                    list.update(entries, version, now);
                }
                3 => list.record_failed_read(),
                4 => notices.expire(|id| list.all().any(|s| *s.id == *id), now),
                _ => {
                    let Some(server) = list.ready_servers("s", now).next() else {
                        continue;
                    };
                    let signals = Signals {
                        ready: server.ready,
                        ..OPEN
                    };
                    let process = server.started_ms;
                    let availability = notices.availability(&server.id, process, signals, now);
                    if matches!(availability, Availability::Closed { .. }) {
                        continue;
                    }
                    if server.address != listed(0, world.address, true).address {
                        // Another server is there, which refuses with 421.
                        continue;
                    }
                    sent += 1;
                    let late = world.told.is_some_and(|at| now > at + DRAIN_TIME);
                    assert!(!late, "seed {seed}: sent to a process that left");
                    let paused = world.paused_until.is_some_and(|until| now < until);
                    assert!(!paused, "seed {seed}: sent to a process that paused");
                    // The answer is of the process that runs, under the id of the one
                    // that was chosen. Only what is heard of that one binds.
                    if process != world.process {
                        continue;
                    }
                    let heard = Heard {
                        leaving: random.random_bool(0.1),
                        pause: random
                            .random_bool(0.1)
                            .then(|| MILLISECOND * random.random_range(0..5000)),
                    };
                    notices.observe(&server.id, process, heard, now);
                    if heard.leaving {
                        world.told.get_or_insert(now);
                    }
                    if let Some(pause) = heard.pause {
                        world.paused_until = world.paused_until.max(Some(now + pause));
                    }
                }
            }
        }
    }
    assert!(sent > 1000, "{sent} requests");
}
