//! Limits for clients that send much and finish little.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use poplar_core::client_limits::bodies::{self, Reader};
use poplar_core::client_limits::connections::{self, Connection, Phase};
use poplar_core::client_limits::{ClientShares, LogPace};

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, last).into()
}

/// Guards against shares that together exceed what the smallest host has, and against
/// limits where the settings name none.
#[test]
fn shares_fit_the_smallest_host() {
    let memory = 88 << 20;
    let shares = ClientShares::new(Some(memory), Some(3075));
    let (bodies, responses) = (shares.bodies.unwrap(), shares.responses.unwrap());
    let connections = shares.connections.unwrap();
    assert!(bodies + responses + connections * (28 << 10) < memory as usize * 9 / 10);
    assert!(connections * 2 + 200 <= 3075);
    // Each caller's request has a connection to a server, and each tunnel two.
    let shares = ClientShares::new(None, Some(3075));
    let sockets = shares.connections.unwrap() * 2 + shares.tunnels.unwrap() * 2;
    assert!(sockets + 200 <= 3075 * 9 / 10, "{sockets}");
    assert!(bodies::can_fit(bodies, 4 << 20));
    assert_eq!(ClientShares::new(None, None), ClientShares::default());
    assert_eq!(ClientShares::new(None, Some(600)).connections, Some(150));
    // A host with fewer descriptors than files need still serves a few connections.
    assert_eq!(ClientShares::new(None, Some(1)).connections, Some(32));
}

/// Guards against an ordinary client that loses its connection to a crowd at another
/// address, and against the end of a request that is being served.
#[test]
fn the_address_with_the_most_connections_yields() {
    let now = Instant::now();
    let connection = |last, phase, age_ms| Connection {
        address: address(last),
        phase,
        since: now - Duration::from_millis(age_ms),
    };
    let crowd = [
        connection(1, Phase::Idle, 9000),
        connection(2, Phase::Head, 2000),
        connection(2, Phase::Head, 2500),
        connection(2, Phase::Idle, 10),
        connection(2, Phase::Busy, 9000),
    ];
    assert_eq!(connections::victim(&crowd), Some(3));
    assert_eq!(connections::victim(&crowd[..3]), Some(2));
    assert_eq!(connections::victim(&crowd[4..]), None);
    assert_eq!(connections::victim(&[]), None);
}

/// Guards against heads and readers that take for ever, and against idle connections that
/// end before their own time-out.
#[test]
fn only_unfinished_heads_and_blocked_readers_are_overdue() {
    let now = Instant::now();
    let overdue = |phase, age_ms, is_full| {
        let connection = Connection {
            address: address(1),
            phase,
            since: now - Duration::from_millis(age_ms),
        };
        connection.overdue(Duration::from_secs(3), is_full, now)
    };
    assert_eq!(overdue(Phase::Head, 2999, true), None);
    assert_eq!(overdue(Phase::Head, 3001, false), Some("head too slow"));
    assert_eq!(overdue(Phase::Blocked, 9000, false), None);
    assert_eq!(overdue(Phase::Blocked, 9000, true), Some("answer not read"));
    assert_eq!(overdue(Phase::Idle, 60_000, true), None);
    assert_eq!(overdue(Phase::Busy, 60_000, true), None);
}

/// Guards against a body that is ended while it makes progress, and against one that
/// seems to because single bytes come.
#[test]
fn the_body_that_holds_the_most_without_progress_yields() {
    let start = Instant::now();
    let reader = |last, reserved| {
        let mut reader = Reader::new(address(last), start);
        reader.reserved = reserved;
        reader
    };
    let mut readers = [reader(1, 900), reader(2, 500), reader(2, 600)];
    let victim =
        |readers: &[Reader], ms| bodies::victim(readers, start + Duration::from_millis(ms));
    assert_eq!(victim(&readers, 100), None);
    assert_eq!(victim(&readers, 1000), Some(2));
    readers[2].record(20_000, start + Duration::from_millis(900));
    assert_eq!(victim(&readers, 1000), Some(0));
    readers[0].record(1, start + Duration::from_millis(900));
    assert_eq!(victim(&readers, 1000), Some(0));
}

/// Guards against large bodies that leave no room for small ones.
#[test]
fn small_bodies_have_room_that_large_ones_have_not() {
    assert!(bodies::has_room(75_000, 100_000, 1000, 1000));
    assert!(!bodies::has_room(75_000, 100_000, 1000, 50_000));
    assert!(!bodies::has_room(100_000, 100_000, 1000, 1000));
    assert!(!bodies::has_room(5, 100_000, usize::MAX, usize::MAX));
}

/// Guards against a log line for each client of a crowd.
#[test]
fn one_line_a_second_is_logged() {
    let start = Instant::now();
    let mut pace = LogPace::default();
    assert_eq!(pace.record(start), Some(1));
    assert_eq!(pace.record(start + Duration::from_millis(500)), None);
    assert_eq!(pace.record(start + Duration::from_millis(1100)), Some(2));
}
