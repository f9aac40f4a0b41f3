//! Work left at servers and their paces, as a router learns them from answers.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::affinity::Query;
use poplar_core::deployment::{ColdNotice, Server};
use poplar_platform::headers::ServerLoad;
use poplar_router::relay::gossip::{LoadMessage, ServerWork};
use poplar_router::relay::servers::{Demand, InFlight, Requirement, Servers};

const MS: Duration = Duration::from_millis(1);
const DRAIN_TIME: Duration = Duration::from_secs(2);
const PEER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));
const STRIDE: u64 = 5;

fn servers(now: Instant) -> Arc<Servers> {
    let server = |id: &str| Server {
        id: id.into(),
        service: "engines".into(),
        address: "127.0.0.1:100".parse().expect("valid"),
        centre: "a".into(),
        software: "v1".into(),
        ready: true,
        started_ms: 1,
        cold: ColdNotice::default(),
        slots: 8,
    };
    let servers = Servers::new("a".into(), Ipv4Addr::LOCALHOST.into(), DRAIN_TIME);
    servers.update(vec![server("e-0"), server("e-1")], 1, now);
    servers
}

/// Chooses a server other than `not`, for a request with 200 output tokens.
fn choose(servers: &Arc<Servers>, not: &str, now: Instant) -> InFlight {
    let query = Query {
        prompt_id: 0,
        shared_tokens: 0,
        tried: &[not.into()],
        random: 0.0,
    };
    let demand = Demand {
        prompt_tokens: 530,
        output_tokens: 400,
        likely_output: 200,
        ..Demand::default()
    };
    let chosen = servers.choose(
        &"engines".into(),
        Requirement::default(),
        &query,
        demand,
        now,
    );
    chosen.expect("a server is listed")
}

fn state_figure(at: &InFlight, now: Instant) {
    let load = ServerLoad {
        running: 0,
        waiting: 0,
        work_time: Some(100),
    };
    at.record_load(load, now);
}

fn left_ms(servers: &Servers) -> u64 {
    servers
        .own_work(Instant::now())
        .iter()
        .map(|w| w.left_ms)
        .sum()
}

/// Guards against work that other routers count though it is done, or not though it is
/// left: the prompt until the first event, the output event by event, all until the end.
#[test]
fn work_left_falls_with_each_event_and_ends_with_the_request() {
    let now = Instant::now();
    let servers = servers(now);
    let mut request = choose(&servers, "e-1", now);
    // A server that is not chosen by it needs no bytes in datagrams.
    assert_eq!(left_ms(&servers), 0);
    state_figure(&request, now);
    // 10 ms of prompt, and an eighth of 200 steps of 5.2 ms.
    assert_eq!(left_ms(&servers), 140);
    request.record_event(STRIDE, true, now);
    assert_eq!(left_ms(&servers), 127);
    (0..19).for_each(|_| request.record_event(STRIDE, true, now));
    assert_eq!(left_ms(&servers), 65);
    (0..60).for_each(|_| request.record_event(STRIDE, true, now));
    // It is longer than expected, so that a quarter of that counts as left.
    assert_eq!(left_ms(&servers), 33);
    let other = choose(&servers, "e-1", now);
    drop(request);
    assert_eq!(left_ms(&servers), 140);
    drop(other);
    assert_eq!(left_ms(&servers), 0);
}

/// Guards against routers that send to a server which others have filled, and against
/// work of a router that counts though it has not sent for long or has ended it.
#[test]
fn work_of_other_routers_counts_until_their_next_message() {
    let now = Instant::now();
    let servers = servers(now);
    for id in ["e-0", "e-1"] {
        state_figure(
            &choose(&servers, if id == "e-0" { "e-1" } else { "e-0" }, now),
            now,
        );
    }
    let busy = |server: &str, left_ms| LoadMessage {
        work: vec![ServerWork {
            server: server.into(),
            requests: 1,
            prefill_tokens: 0,
            left_ms,
            held_tokens: 0,
        }],
        ..LoadMessage::default()
    };
    let chosen = |now| choose(&servers, "", now).server.id.to_string();
    for (full, free) in [("e-0", "e-1"), ("e-1", "e-0")] {
        servers.record_peer_message(PEER, busy(full, 5_000), now);
        assert_eq!(chosen(now), free);
    }
    // Requests of which the work left is not known count, too.
    let second = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 8));
    let mut unknown = busy("e-0", 0);
    unknown.work[0].requests = 200;
    servers.record_peer_message(second, unknown, now);
    assert_eq!(chosen(now), "e-1");
    let later = now + MS * 600;
    servers.record_peer_message(second, busy("e-1", 400), later);
    assert_eq!(chosen(later), "e-0");
    // Figures that no router has neither end the process nor stay.
    let huge = busy("e-0", u64::MAX);
    servers.record_peer_message(PEER, huge.clone(), later);
    servers.record_peer_message(second, huge, later);
    assert_eq!(chosen(later), "e-1");
}

/// Guards against a slow server that gets as many requests as a fast one.
#[test]
fn the_pace_of_a_server_is_learned_from_the_gaps_of_its_events() {
    let now = Instant::now();
    let servers = servers(now);
    for round in 0..12u32 {
        for (id, not, gap) in [("e-0", "e-1", 32), ("e-1", "e-0", 12)] {
            let mut request = choose(&servers, not, now);
            assert_eq!(&*request.server.id, id);
            state_figure(&request, now);
            for event in 0..9 {
                let at = now + MS * (round * 1_000 + event * gap);
                request.record_event(STRIDE, true, at);
            }
        }
    }
    let later = now + MS * 20_000;
    let request = choose(&servers, "", later);
    assert_eq!(&*request.server.id, "e-1");
    let (fast, slow) = (request.progress.pace, choose(&servers, "e-1", later));
    let ratio = fast / slow.progress.pace;
    assert!((2.0..3.2).contains(&ratio), "{ratio}");
    assert!(request.progress.completion_ms.is_some());
}

/// Guards against a server that counts as slow since clients read its events slowly.
#[test]
fn events_that_a_client_keeps_waiting_are_not_timed() {
    let now = Instant::now();
    let servers = servers(now);
    for round in 0..12u32 {
        for (not, waited) in [("e-1", false), ("e-0", true)] {
            let mut request = choose(&servers, not, now);
            for event in 0..17 {
                let gap = if waited { 20 } else { 400 };
                let at = now + MS * (round * 10_000 + event * gap);
                request.record_event(STRIDE, waited, at);
            }
        }
    }
    let read_slowly = choose(&servers, "e-1", now).progress.pace;
    assert!(read_slowly > 0.9, "{read_slowly}");
}
