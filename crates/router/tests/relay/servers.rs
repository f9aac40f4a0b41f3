//! What a router knows of backend servers that restart under their ids.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::affinity::{Query, home_server};
use poplar_core::deployment::{ColdNotice, Server};
use poplar_core::id::Name;
use poplar_router::relay::servers::{Demand, InFlight, Listing, Requirement, Servers};

/// Failures in a row that eject a server, of three.
const FAILURES: usize = 3;
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn server(id: &str, started_ms: u64) -> Server {
    Server {
        id: id.into(),
        service: "engines".into(),
        address: format!("127.0.0.1:{}", 100 + id.len())
            .parse()
            .expect("valid"),
        centre: "a".into(),
        software: "v1".into(),
        ready: true,
        started_ms,
        slots: 8,
        cold: ColdNotice::default(),
    }
}

/// Servers "e", "ee" and "eee", of which the first started at `started_ms`.
fn list(started_ms: u64) -> Vec<Server> {
    vec![server("e", started_ms), server("ee", 1), server("eee", 1)]
}

fn open_servers() -> Arc<Servers> {
    Servers::new("a".into(), Ipv4Addr::LOCALHOST.into(), DRAIN_TIME)
}

fn choose(servers: &Arc<Servers>, prompt_id: u64, tried: &[Name], now: Instant) -> InFlight {
    let query = Query {
        prompt_id,
        shared_tokens: if prompt_id == 0 { 0 } else { 5_000 },
        tried,
        random: 0.0,
    };
    let chosen = servers.choose(
        &"engines".into(),
        Requirement::default(),
        &query,
        Demand {
            prompt_tokens: 5_000,
            ..Demand::default()
        },
        now,
    );
    chosen.expect("a server is listed")
}

/// Guards against a server that gets no requests after its restart because the
/// process before it failed.
#[test]
fn a_restarted_server_is_not_ejected_for_failures_of_the_process_before() {
    let now = Instant::now();
    let servers = open_servers();
    servers.update(list(1), 1, now);
    let others = ["ee".into(), "eee".into()];
    for _ in 0..FAILURES {
        choose(&servers, 0, &others, now).record_outcome(false, now);
    }
    // The others have a request each.
    let _busy = [
        choose(&servers, 0, &["e".into(), "ee".into()], now),
        choose(&servers, 0, &["e".into(), "eee".into()], now),
    ];
    let late: Vec<InFlight> = (0..FAILURES)
        .map(|_| choose(&servers, 0, &others, now))
        .collect();
    assert_ne!(&*choose(&servers, 0, &[], now).server.id, "e");
    let gone = servers.update(list(2), 2, now);
    assert_eq!(gone, [(server("e", 1), Listing::Restarted)]);
    for in_flight in late {
        in_flight.record_outcome(false, now);
    }
    assert_eq!(&*choose(&servers, 0, &[], now).server.id, "e");
}

/// Guards against prompts that are fetched from a server whose process, and
/// cache with it, has ended.
#[test]
fn a_restarted_server_holds_no_prompts() {
    let now = Instant::now();
    let servers = open_servers();
    servers.update(list(1), 1, now);
    let ids: [Name; 3] = ["e".into(), "ee".into(), "eee".into()];
    let prompt = (1..).find(|prompt| home_server(*prompt, &ids) == Some(&ids[1]));
    let prompt = prompt.expect("one of the prompts");
    let elsewhere = [ids[1].clone(), ids[2].clone()];
    choose(&servers, prompt, &elsewhere, now).record_first_token();
    let at_home = choose(&servers, prompt, &ids[..1], now);
    assert_eq!(at_home.fetch_from, Some(server("e", 1).address));
    drop(at_home);
    servers.update(list(2), 2, now + Duration::from_secs(1));
    let at_home = choose(&servers, prompt, &ids[..1], now);
    assert_eq!((&*at_home.server.id, at_home.fetch_from), ("ee", None));
}
