//! Limits that servers name, kept by many simulated routers that exchange
//! messages, some of which are lost.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::server_limit::{Allowance, Limits, Report};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
/// Time from the first answer with a limit until all routers keep it.
const SPREAD_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const SERVER: &str = "e0";
const PROCESS: u64 = 7;

/// A run of routers that send to one server as many requests as it allows.
struct Setup {
    routers: usize,
    /// The limit, by the time of the run.
    rate: fn(Duration) -> Option<f64>,
    /// Requests a second that each router has.
    demand: fn(usize) -> f64,
    /// Part of the messages that are lost.
    loss: f64,
    /// Largest difference between clocks.
    skew: Duration,
    length: Duration,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            routers: 8,
            rate: |_| Some(1.0),
            demand: |_| 10.0,
            loss: 0.02,
            skew: Duration::from_millis(100),
            length: Duration::from_secs(30),
        }
    }
}

struct Router {
    ip: IpAddr,
    limits: Limits,
    /// When it starts.
    from: Duration,
}

impl Router {
    fn new(n: usize, from: Duration) -> Self {
        let ip = Ipv4Addr::new(10, 1, 0, n as u8).into();
        Self {
            ip,
            limits: Limits::new(ip),
            from,
        }
    }
}

/// Plays a run; returns when requests reached the server.
fn play(setup: &Setup, mut routers: Vec<Router>) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(setup.routers as u64);
    let service: Name = "plain".into();
    let began = Instant::now();
    // Messages are as many as their bandwidth allows, at 60 ms the most.
    let period = Duration::from_millis(60.max(3 * setup.routers as u64));
    let mut arrivals = Vec::new();
    // What the routers have stored; one that starts reads it first.
    let mut stored: Vec<Report> = Vec::new();
    let mut time = Duration::ZERO;
    while time < setup.length {
        let now = began + time;
        let live: Vec<usize> = (0..routers.len())
            .filter(|n| time >= routers[*n].from)
            .collect();
        let addresses: Vec<IpAddr> = live.iter().map(|n| routers[*n].ip).collect();
        for n in live.iter().copied() {
            let router = &mut routers[n];
            let own = router.ip;
            if time == router.from {
                for report in &stored {
                    router.limits.merge(report.clone());
                }
            }
            // Each learns somewhat late who is live, and what time it is.
            if random.random_bool(0.02) || time == router.from {
                let others = addresses.iter().copied().filter(|ip| *ip != own);
                router.limits.set_routers(others.collect());
                let skew = setup.skew.mul_f64(n as f64 / setup.routers as f64);
                let clock = Duration::from_secs(1_000_000) + time - skew.min(time);
                router.limits.set_clock(clock.as_millis() as u64, now);
            }
            if !random.random_bool(((setup.demand)(n) * STEP.as_secs_f64()).min(1.0)) {
                continue;
            }
            let limits = &mut router.limits;
            limits.record_request(&service, now);
            match limits.allowance(SERVER, PROCESS, &service, now) {
                Allowance::Exhausted => continue,
                Allowance::Permit => limits.take_permit(SERVER),
                Allowance::Unlimited => {}
            }
            arrivals.push(time);
            limits.observe(Report {
                server: SERVER.into(),
                process: PROCESS,
                rate: (setup.rate)(time),
                at: now,
            });
        }
        for n in live.iter().copied() {
            let phase = period.mul_f64(n as f64 / setup.routers as f64);
            if (time + phase).as_millis() % period.as_millis() >= STEP.as_millis() {
                continue;
            }
            let unstored = routers[n].limits.unstored();
            routers[n].limits.record_stored(&unstored);
            stored.extend(unstored);
            let reports = routers[n].limits.take_reports();
            let services = (!reports.is_empty()).then(|| service.clone());
            let yields = routers[n].limits.take_yields(services.into_iter(), now);
            let ip = routers[n].ip;
            for to in live.iter().copied().filter(|to| *to != n) {
                if random.random_bool(setup.loss) {
                    continue;
                }
                for report in &reports {
                    routers[to].limits.merge(report.clone());
                }
                for offer in &yields {
                    routers[to].limits.merge_yield(ip, offer.clone());
                }
            }
        }
        time += STEP;
    }
    arrivals
}

fn routers(setup: &Setup) -> Vec<Router> {
    (0..setup.routers)
        .map(|n| Router::new(n, Duration::ZERO))
        .collect()
}

/// Checks every window since `from`, and returns the requests a second.
fn check(arrivals: &[Duration], from: Duration, to: Duration, rate: f64, what: &str) -> f64 {
    let counted: Vec<Duration> = arrivals
        .iter()
        .copied()
        .filter(|at| (from..to).contains(at))
        .collect();
    let in_window = |start: usize| {
        let end = counted[start] + WINDOW;
        counted[start..].iter().take_while(|at| **at < end).count()
    };
    let most = (0..counted.len()).map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
    assert!(
        most as f64 <= allowed,
        "{what}: {most} in a window, allowed {allowed}"
    );
    counted.len() as f64 / (to - from).as_secs_f64()
}

/// Guards against limits that many routers together exceed, and against permits
/// that are lost between routers that all have requests.
#[test]
fn any_number_of_routers_keeps_and_uses_a_limit() {
    let rates: [fn(Duration) -> Option<f64>; 5] = [
        |_| Some(0.0),
        |_| Some(1.0),
        |_| Some(1.4),
        |_| Some(6.5),
        |_| Some(40.0),
    ];
    for routers_count in [1, 2, 8, 80] {
        for rate in rates {
            for loss in [0.0, 0.3, 1.0] {
                let setup = Setup {
                    routers: routers_count,
                    rate,
                    loss,
                    demand: |_| 60.0,
                    ..Setup::default()
                };
                let limit = rate(Duration::ZERO).expect("a limit");
                let what = format!("{routers_count} routers, limit {limit}, loss {loss}");
                let arrivals = play(&setup, routers(&setup));
                let got = check(&arrivals, SPREAD_TIME, setup.length, limit, &what);
                assert!(got >= 0.85 * limit, "{what}: {got} a second");
            }
        }
    }
}

/// Guards against permits that are lost since most routers have no requests.
#[test]
fn permits_of_idle_routers_are_used_by_others() {
    for (routers_count, least) in [(8, 0.8), (80, 0.6)] {
        let setup = Setup {
            routers: routers_count,
            rate: |_| Some(5.0),
            demand: |n| if n < 2 { 60.0 } else { 0.0 },
            ..Setup::default()
        };
        let what = format!("{routers_count} routers");
        let arrivals = play(&setup, routers(&setup));
        let got = check(&arrivals, SPREAD_TIME, setup.length, 5.0, &what);
        assert!(got >= least * 5.0, "{what}: {got} a second");
    }
}

/// Guards against routers that have requests now and then, whose promises not to
/// use permits others rely on.
#[test]
fn routers_with_few_requests_keep_a_limit() {
    for demand in [|_: usize| 0.2, |_: usize| 0.7, |_: usize| 2.0] {
        let setup = Setup {
            routers: 80,
            demand,
            loss: 0.4,
            length: Duration::from_secs(60),
            ..Setup::default()
        };
        let arrivals = play(&setup, routers(&setup));
        check(&arrivals, SPREAD_TIME, setup.length, 1.0, "few requests");
    }
}

/// Guards against routers that join and use permits that the others use, too.
#[test]
fn routers_that_join_keep_a_limit() {
    let setup = Setup {
        routers: 80,
        loss: 0.3,
        ..Setup::default()
    };
    let join = |n: usize| Duration::from_millis(if n < 8 { 0 } else { 5_000 + 100 * n as u64 });
    let joining = (0..setup.routers)
        .map(|n| Router::new(n, join(n)))
        .collect();
    let arrivals = play(&setup, joining);
    check(&arrivals, SPREAD_TIME, setup.length, 1.0, "joining routers");
}

/// Guards against a limit that is kept after it has changed or ended.
#[test]
fn a_changed_limit_is_followed_and_one_that_ended_forgotten() {
    for routers_count in [8, 80] {
        let setup = Setup {
            routers: routers_count,
            rate: |time| match time.as_secs() {
                0..10 => Some(2.0),
                10..20 => Some(12.0),
                20..30 => Some(1.0),
                _ => None,
            },
            demand: |_| 10.0,
            length: Duration::from_secs(40),
            ..Setup::default()
        };
        let arrivals = play(&setup, routers(&setup));
        let second = Duration::from_secs;
        check(&arrivals, second(3), second(10), 2.0, "first");
        let got = check(&arrivals, second(13), second(20), 12.0, "raised");
        assert!(got > 0.8 * 12.0, "{got} a second");
        check(&arrivals, second(23), second(30), 1.0, "lowered");
        let ended = arrivals.iter().filter(|at| **at >= second(35)).count();
        assert!(ended > 5 * 5 * routers_count, "{ended} requests in 5 s");
    }
}

/// Guards against a limit of a process that has ended, and against news that
/// come late.
#[test]
fn a_limit_belongs_to_a_process_and_the_newest_report_counts() {
    let mut limits = Limits::new(Ipv4Addr::LOCALHOST.into());
    let now = Instant::now();
    let report = |process, rate, at| Report {
        server: SERVER.into(),
        process,
        rate,
        at,
    };
    assert!(limits.observe(report(1, Some(2.0), now)));
    assert_eq!(limits.rate(SERVER, 1), Some(2.0));
    assert_eq!(limits.rate(SERVER, 2), None, "another process");
    assert!(!limits.merge(report(1, Some(9.0), now)), "not newer");
    assert!(limits.merge(report(1, None, now + STEP)));
    assert!(!limits.merge(report(1, Some(2.0), now)), "older");
    assert_eq!(limits.rate(SERVER, 1), None);
    assert!(limits.merge(report(2, Some(3.0), now)), "a newer process");
    assert!(
        !limits.observe(report(1, None, now + STEP)),
        "the process before"
    );
    assert_eq!(limits.rate(SERVER, 2), Some(3.0));
}

/// A router among others that knows of a limit since `now`, at second 1,000 of the
/// shared clock.
fn told_router(n: usize, others: usize, rate: f64, now: Instant) -> Limits {
    let mut router = Router::new(n, Duration::ZERO);
    let addresses = (0..others).filter(|other| *other != n);
    let addresses = addresses.map(|other| Router::new(other, Duration::ZERO).ip);
    router.limits.set_routers(addresses.collect());
    router.limits.set_clock(1_000_000, now);
    router.limits.merge(Report {
        server: SERVER.into(),
        process: PROCESS,
        rate: Some(rate),
        at: now,
    });
    router.limits
}

/// Uses all permits that a router has at `now`; returns their number.
fn take_all(limits: &mut Limits, now: Instant) -> usize {
    let service: Name = "plain".into();
    let mut taken = 0;
    while limits.allowance(SERVER, PROCESS, &service, now) == Allowance::Permit {
        limits.take_permit(SERVER);
        taken += 1;
    }
    taken
}

/// Guards against permits that routers collect while their requests go to other
/// servers, and then use at once.
#[test]
fn permits_that_were_not_used_expire() {
    const ROUTERS: usize = 80;
    let began = Instant::now();
    let service: Name = "plain".into();
    let mut routers: Vec<Limits> = (0..ROUTERS)
        .map(|n| told_router(n, ROUTERS, 1.0, began))
        .collect();
    let mut now = began;
    for _ in 0..600 {
        now += Duration::from_millis(100);
        for limits in &mut routers {
            limits.allowance(SERVER, PROCESS, &service, now);
        }
    }
    let taken: usize = routers.iter_mut().map(|limits| take_all(limits, now)).sum();
    assert!(taken <= 2, "{taken} permits of one a second");
}

/// Guards against a router that yields permits which it may have used, since its
/// clock is ahead of the others'.
#[test]
fn permits_that_may_have_been_used_are_not_yielded() {
    const RATE: f64 = 200.0;
    const AHEAD_MS: u64 = 900;
    let at = |ms| Instant::now() + Duration::from_millis(ms);
    let service: Name = "plain".into();
    let began = at(0);
    let mut ahead = told_router(0, 2, RATE, began);
    let mut other = told_router(1, 2, RATE, began);
    ahead.set_clock(1_000_000 + AHEAD_MS, began);
    ahead.record_request(&service, at(1_000));
    let mut used = take_all(&mut ahead, at(1_000));
    let services = || std::iter::once(service.clone());
    assert!(
        ahead.take_yields(services(), at(1_500)).is_empty(),
        "not idle yet"
    );
    for offer in ahead.take_yields(services(), at(2_050)) {
        other.merge_yield(Ipv4Addr::new(10, 1, 0, 0).into(), offer);
    }
    used += take_all(&mut other, at(2_060));
    // The first used those of the second before 1,900 ms, the other one those of
    // the second before 2,060 ms.
    let given = RATE * 1.16;
    assert!(
        used as f64 <= given + 20.0,
        "{used} permits used, {given} given"
    );
}

/// Guards against permits that don't come since the shared clock was set back, as
/// by a store that was restarted.
#[test]
fn permits_come_after_the_clock_was_set_back() {
    let began = Instant::now();
    let mut limits = told_router(0, 1, 10.0, began);
    let now = began + Duration::from_secs(2);
    assert!(take_all(&mut limits, now) > 5);
    limits.set_clock(5_000, now);
    take_all(&mut limits, now);
    let later = now + Duration::from_secs(2);
    let taken = take_all(&mut limits, later);
    assert!(
        (8..=12).contains(&taken),
        "{taken} permits of the last second"
    );
}

/// Guards against a router that is busy counting the permits of an absurd limit.
#[test]
fn a_very_high_limit_is_none() {
    let began = Instant::now();
    let service: Name = "plain".into();
    let mut limits = told_router(0, 8, 1e300, began);
    let allowance = limits.allowance(SERVER, PROCESS, &service, began);
    assert_eq!(allowance, Allowance::Unlimited);
}
