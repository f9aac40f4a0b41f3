//! Admission by the capacity of a host.
//!
//! The load: the clients of one large workspace meet at a host of 10 Mbit/s, which gets
//! 190 requests a second of 6 KB in the mean, beside 10 of other workspaces, while their
//! answers take 2.4 KB each. The link carries about 150 of them.

use std::time::{Duration, Instant};

use poplar_core::capacity::{Capacity, Transfer, Verdict};
use poplar_core::id::Name;

/// Bytes a second of the link.
const LINK: f64 = 1_250_000.0;
const SECOND: Duration = Duration::from_secs(1);
/// Requests of the large workspace and of the others in a second.
const LARGE_RATE: u32 = 190;
const OTHER_RATE: u32 = 10;
/// Bytes of their bodies in turn, as the kinds of requests have them.
const BODIES: [f64; 8] = [
    17_000.0, 9_200.0, 1_500.0, 600.0, 9_200.0, 1_500.0, 600.0, 1_500.0,
];
const HEAD: f64 = 1_000.0;
const ANSWER: f64 = 2_400.0;

/// What became of the requests of a second.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    admitted: [u32; 2],
    refused: [u32; 2],
    bytes: f64,
    /// Longest time that a request would have waited on the link.
    wait: Duration,
}

/// A link that carries bytes in order.
struct Link {
    free: Instant,
}

impl Link {
    fn carry(&mut self, bytes: f64, now: Instant) -> Duration {
        let begin = self.free.max(now);
        self.free = begin + Duration::from_secs_f64(bytes / LINK);
        self.free - now
    }
}

fn transfer(n: u32) -> Transfer {
    Transfer {
        request: HEAD + BODIES[n as usize % BODIES.len()],
        answer: ANSWER,
    }
}

/// Plays a second of the load, each request followed by what `connect` says that a
/// connection takes.
fn play(
    capacity: &mut Capacity,
    link: &mut Link,
    rates: [u32; 2],
    start: Instant,
    connect: impl Fn(Duration) -> Duration,
) -> Tally {
    let workspaces: [Name; 2] = ["large".into(), "small".into()];
    let mut tally = Tally::default();
    let total = rates[0] + rates[1];
    for n in 0..total {
        let now = start + SECOND * n / total;
        let which = usize::from(rates[1] > 0 && n % (total / rates[1]) == 0);
        match capacity.admit(Some(&workspaces[which]), transfer(n), now) {
            Verdict::Admitted => {
                let bytes = transfer(n).request + transfer(n).answer;
                let wait = link.carry(bytes, now);
                capacity.congestion.record_connection(connect(wait), now);
                tally.admitted[which] += 1;
                tally.bytes += bytes;
                tally.wait = tally.wait.max(wait);
            }
            Verdict::Refused { .. } => tally.refused[which] += 1,
        }
    }
    tally
}

/// The time of a connection of which both packets wait in the link.
fn queued(wait: Duration) -> Duration {
    wait + Duration::from_millis(3)
}

/// Guards against a host that takes on more than its link carries, so that all requests
/// wait for seconds and none ends in time, and against one that carries less than it
/// could.
#[test]
fn a_host_with_too_many_clients_carries_what_its_link_can_and_refuses_the_rest() {
    let start = Instant::now();
    let mut capacity = Capacity::new(Some(LINK), start);
    let mut link = Link { free: start };
    for second in 0..20 {
        let rates = [LARGE_RATE, OTHER_RATE];
        let tally = play(
            &mut capacity,
            &mut link,
            rates,
            start + SECOND * second,
            queued,
        );
        println!("second {second}: {tally:?}");
        assert!(tally.wait < Duration::from_millis(300), "{tally:?}");
        assert!(tally.bytes > 0.65 * LINK, "{tally:?}");
        assert!(tally.refused[0] > 0);
    }
}

/// Guards against a collapse that feeds itself after the load has ended.
#[test]
fn two_seconds_after_an_overload_all_requests_are_admitted() {
    let start = Instant::now();
    let mut capacity = Capacity::new(Some(LINK), start);
    let mut link = Link { free: start };
    for second in 0..5 {
        let rates = [4 * LARGE_RATE, OTHER_RATE];
        play(
            &mut capacity,
            &mut link,
            rates,
            start + SECOND * second,
            |_| SECOND / 10,
        );
    }
    let calm = [60, 10];
    for second in 5..7 {
        play(
            &mut capacity,
            &mut link,
            calm,
            start + SECOND * second,
            queued,
        );
    }
    let tally = play(&mut capacity, &mut link, calm, start + SECOND * 7, queued);
    assert_eq!(tally.refused, [0, 0], "{tally:?}");
    assert!(!capacity.is_late(start + SECOND * 8));
}

/// Guards against a crowd of one workspace that pushes out the requests of the others.
#[test]
fn the_workspace_that_fills_the_host_is_refused_first() {
    let start = Instant::now();
    let mut capacity = Capacity::new(Some(LINK), start);
    let mut link = Link { free: start };
    let mut sum = Tally::default();
    for second in 0..10 {
        let rates = [LARGE_RATE, 20];
        let tally = play(
            &mut capacity,
            &mut link,
            rates,
            start + SECOND * second,
            queued,
        );
        for which in 0..2 {
            sum.admitted[which] += tally.admitted[which];
            sum.refused[which] += tally.refused[which];
        }
    }
    let refused = |which: usize| {
        let all = sum.admitted[which] + sum.refused[which];
        f64::from(sum.refused[which]) / f64::from(all)
    };
    assert!(refused(1) < refused(0) / 4.0, "{sum:?}");
}

/// Guards against a request that is never served because it is larger than what the link
/// carries within the limit.
#[test]
fn one_request_of_any_size_is_admitted_on_an_idle_host() {
    let now = Instant::now();
    let mut capacity = Capacity::new(Some(LINK), now);
    let huge = Transfer {
        request: 4e6,
        answer: 0.0,
    };
    assert_eq!(capacity.admit(None, huge, now), Verdict::Admitted);
    let later = now + SECOND * 6;
    assert_eq!(capacity.admit(None, huge, later), Verdict::Admitted);
}

/// Guards against refusals on a host whose settings state no link.
#[test]
fn a_host_with_an_unknown_link_admits_all() {
    let now = Instant::now();
    let mut capacity = Capacity::new(None, now);
    for n in 0..10_000 {
        assert_eq!(capacity.admit(None, transfer(n), now), Verdict::Admitted);
    }
    assert!(!capacity.is_late(now));
}

/// Guards against servers that are slow to accept connections, or a single late timer,
/// that are taken for a delay of this host.
#[test]
fn a_host_is_late_only_if_even_its_fastest_connection_is() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let mut capacity = Capacity::new(Some(LINK), start);
    for n in 0..40 {
        let now = start + ms(25) * n;
        let delay = if n % 4 == 0 { ms(2) } else { ms(250) };
        capacity.congestion.record_connection(delay, now);
    }
    let now = start + SECOND;
    assert!(!capacity.is_late(now));
    for n in 0..40 {
        let now = now + ms(25) * n;
        capacity.congestion.record_connection(ms(90), now);
    }
    assert!(capacity.is_late(now + SECOND));
    assert!(capacity.congestion.factor() < 0.7);
}
