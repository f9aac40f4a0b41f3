//! Cold servers, limited by many simulated routers that exchange no messages.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use poplar_core::cold::{ColdLimit, ColdServers, Excess, MAX_COLD, Report, STEP_TIME, STEPS};
use poplar_core::id::Name;
use poplar_core::server_limit::{Allowance, Limits};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const LIMIT: ColdLimit = ColdLimit {
    per_s: 8.1,
    start: Duration::from_secs(3),
};
const EXCESS: Excess = Excess {
    factor: 1.5,
    slack: 5.0,
};
const SERVER: &str = "e0";
const PROCESS: u64 = 7;
/// How long the server is cold, and how long it is watched after that.
const COLD_TIME: Duration = Duration::from_secs(10);
const WATCHED: Duration = Duration::from_secs(5);

fn report(process: u64, left: Duration) -> Report {
    Report {
        server: SERVER.into(),
        process,
        left,
    }
}

/// Plays routers with different clocks, each of which sends 20 requests a second if it
/// may; returns when they reach the server, up to 200 ms later.
fn play(routers: usize, skew: Duration, excess: Excess) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(routers as u64);
    let service: Name = "engines".into();
    let began = Instant::now();
    let ip = |n: usize| IpAddr::from(Ipv4Addr::new(10, 1, 0, n as u8));
    let all: Vec<IpAddr> = (0..routers).map(ip).collect();
    let mut fleet: Vec<(Limits, ColdServers)> = Vec::new();
    for own in &all {
        let mut limits = Limits::new(*own);
        limits.set_routers(all.iter().copied().filter(|ip| ip != own).collect());
        let clock = Duration::from_secs(1_000_000) + skew * fleet.len() as u32 / routers as u32;
        limits.set_clock(clock.as_millis() as u64, began);
        let mut cold = ColdServers::default();
        cold.record(&report(PROCESS, COLD_TIME), began);
        fleet.push((limits, cold));
    }
    let mut arrivals = Vec::new();
    let mut time = Duration::ZERO;
    while time < COLD_TIME + WATCHED {
        let now = began + time;
        for (limits, cold) in &mut fleet {
            if !random.random_bool(0.2) {
                continue;
            }
            let rate = cold.rate(SERVER, PROCESS, LIMIT.rate(excess), now);
            let allowance = rate.map_or(Allowance::Unlimited, |rate| {
                limits.cold_allowance(&SERVER.into(), PROCESS, rate, &service, now)
            });
            if allowance != Allowance::Exhausted {
                limits.take_permit(SERVER);
                arrivals.push(time + Duration::from_millis(random.random_range(0..200)));
            }
        }
        time += STEP;
    }
    arrivals.sort();
    arrivals
}

/// Most arrivals in a second that begins in this range.
fn busiest(arrivals: &[Duration], from: Duration, to: Duration) -> usize {
    let counted: Vec<Duration> = arrivals.iter().copied().filter(|t| *t < to).collect();
    let begins = counted.iter().enumerate().filter(|(_, t)| **t >= from);
    let in_window = |start: usize, at: Duration| {
        let end = at + Duration::from_secs(1);
        counted[start..].iter().take_while(|t| **t < end).count()
    };
    begins.map(|(n, at)| in_window(n, *at)).max().unwrap_or(0)
}

/// Guards against routers that keep the rate each by itself and exceed it together, and
/// against cold servers that get next to nothing.
#[test]
fn all_routers_together_keep_to_the_rate_of_a_cold_server() {
    for routers in [1, 4, 73] {
        for (skew, excess) in [(0, EXCESS), (300, EXCESS), (100, Excess::default())] {
            let skew = Duration::from_millis(skew);
            let arrivals = play(routers, skew, excess);
            let most = busiest(&arrivals, Duration::ZERO, COLD_TIME);
            let allowed = LIMIT.per_s * excess.factor + excess.slack;
            assert!(
                most as f64 <= allowed,
                "{routers} routers, {skew:?}: {most} in a second, allowed {allowed}"
            );
            let all = arrivals.iter().filter(|t| **t < COLD_TIME).count() as f64;
            let least = 0.5 * LIMIT.per_s * COLD_TIME.as_secs_f64();
            assert!(all > least, "{routers} routers: {all} requests");
        }
    }
}

/// Guards against all load at once after a cold start, and against a limit that stays.
#[test]
fn load_rises_in_steps_after_a_cold_start() {
    let arrivals = play(8, Duration::ZERO, EXCESS);
    let in_step = |n: u32| {
        let from = COLD_TIME + STEP_TIME * n;
        let within = arrivals.iter().filter(|t| **t >= from);
        within.filter(|t| **t < from + STEP_TIME).count()
    };
    let counts: Vec<usize> = (0..=STEPS.len() as u32).map(in_step).collect();
    assert!(counts.is_sorted(), "{counts:?}");
    // 8 routers send 160 requests a second without a limit.
    assert!(counts[0] < 20 && counts[STEPS.len()] > 100, "{counts:?}");
}

/// Guards against statements that are counted again with each read of a row, that another
/// process inherits, that have no end, or that go back and forth between routers.
#[test]
fn a_statement_holds_once_and_for_its_process() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut cold = ColdServers::default();
    assert!(cold.record_row(&report(7, second * 3), 5, now));
    assert!(!cold.record_row(&report(7, second * 3), 5, now + second * 2));
    assert_eq!(cold.rate(SERVER, 7, 8.0, now + second), Some(8.0));
    let ended = now + second * 3 + STEP_TIME * STEPS.len() as u32;
    assert_eq!(cold.rate(SERVER, 7, 8.0, ended), None);
    assert_eq!(cold.rate(SERVER, 8, 8.0, now), None);
    // A list that shows an earlier process is older.
    assert_eq!(cold.rate(SERVER, 6, 8.0, now), Some(8.0));
    // It may become cold again at any moment; an earlier process is out of date.
    assert!(cold.record_row(&report(7, second * 3), 6, ended));
    assert_eq!(cold.rate(SERVER, 7, 8.0, ended), Some(8.0));
    assert!(!cold.record(&report(6, second * 3), ended));
    assert!(cold.record(&report(9, Duration::MAX), ended));
    let last = ended + MAX_COLD + STEP_TIME * STEPS.len() as u32;
    assert_eq!(cold.rate(SERVER, 9, 8.0, last), None);
    // What another router says is not passed on.
    let mut peer = ColdServers::default();
    let reports = cold.take_reports(ended);
    assert_eq!(reports.len(), 1);
    assert!(peer.merge(&reports[0], ended));
    assert_eq!(peer.take_reports(ended), []);
}

/// Guards against rates that are no numbers or negative, from settings that allow less
/// than one request.
#[test]
fn a_rate_is_never_negative() {
    for (factor, slack) in [(0.0, 0.0), (1e300, 1e300), (1e-9, 0.5)] {
        let rate = LIMIT.rate(Excess { factor, slack });
        assert!((0.0..=LIMIT.per_s).contains(&rate), "{rate}");
    }
}
