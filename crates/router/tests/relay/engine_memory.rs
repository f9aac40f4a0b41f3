//! Engines that would crash if the requests that they hold exceeded their memory.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Request;
use http::header::RETRY_AFTER;
use http_body_util::{BodyExt, Full};
use poplar_core::affinity::Query;
use poplar_core::deployment::{ColdNotice, Server};
use poplar_router::relay::gossip::{LoadMessage, ServerWork};
use poplar_router::relay::servers::{Demand, InFlight, Requirement, Servers, Unavailable};

use crate::site::caller::connect;
use crate::site::silent::SilentServer;
use crate::site::store::Store;
use crate::site::{TestRelay, configuration};
use crate::{ID, KEY};

/// Tokens of a request, of which an engine holds two with the margin: its memory of
/// 90,000 tokens less a tenth.
const HALF: &str = "30000,3000";
/// Tokens of a request that one engine alone can't hold.
const TOO_LARGE: &str = "80000,20000";
const ENGINES: usize = 2;
/// Time until a request has reached its engine.
const SENT_TIME: Duration = Duration::from_millis(500);
/// Longest time until a request that can't be served is refused, on a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(700);
const CAPACITY: u64 = 100_000;
/// Identity of a shared prompt.
const SHARED: u64 = 7;
/// Address of the router whose servers a test chooses.
const HERE: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 5));

async fn open_site(lines: &str) -> (TestRelay, Vec<Arc<SilentServer>>) {
    let store = Store::new();
    let config = configuration(7, 0, 0);
    let mut config: serde_json::Value = serde_json::from_str(&config).expect("valid JSON");
    // Without a budget, every refusal is due to the engines.
    config["tenants"][0]["prepaid"] = serde_json::Value::Null;
    store.set("op", "", "config", &config.to_string());
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let (engine, address) = SilentServer::open().await;
        store.register(&format!("engine-{n}"), "engines", address);
        engine.set_silent(true);
        engines.push(engine);
    }
    let relay = TestRelay::open_with(store.open().await, lines).await;
    (relay, engines)
}

/// Sends a request and waits for its complete answer; returns its status, and whether it
/// says when to try again.
async fn ask(router: SocketAddr, id: String, tokens: &str) -> (u16, bool) {
    ask_hinted(
        router,
        id,
        tokens,
        tokens.split(',').next_back().expect("a number"),
    )
    .await
}

/// The same with this hint of the output's length.
async fn ask_hinted(router: SocketAddr, id: String, tokens: &str, hint: &str) -> (u16, bool) {
    let mut sender = connect(router).await.expect("a connection");
    let request = Request::post("/stream/x")
        .header("host", "site.example")
        .header(KEY.0, KEY.1)
        .header(ID, id)
        .header("x-poplarreel-token-counts", tokens)
        .header("x-poplarreel-length-hint", hint)
        .body(Full::from("a body"));
    let answer = sender.send_request(request.expect("a request")).await;
    let (head, body) = answer.expect("an answer").into_parts();
    let _ = body.collect().await;
    let names_time = head.headers.contains_key(RETRY_AFTER);
    (head.status.as_u16(), names_time)
}

fn runs(engines: &[Arc<SilentServer>]) -> Vec<usize> {
    engines.iter().map(|engine| engine.runs()).collect()
}

/// Guards against engines that get more than they can hold, and against requests that
/// wait in vain or are refused in a way that lets their clients try again for ever.
#[tokio::test(flavor = "multi_thread")]
async fn engines_get_no_more_than_their_memory_holds() {
    let (relay, engines) = open_site("contracts=sequences,pressure\n").await;
    let placed: Vec<_> = (0..2 * ENGINES)
        .map(|n| tokio::spawn(ask(relay.address, format!("a{n}"), HALF)))
        .collect();
    tokio::time::sleep(SENT_TIME).await;
    assert_eq!(runs(&engines), [2, 2]);
    let asked = Instant::now();
    let refused = ask(relay.address, "b".to_owned(), HALF).await;
    assert_eq!(refused.0, 503);
    assert!(refused.1 && asked.elapsed() < REFUSAL_TIME);
    let too_large = ask(relay.address, "c".to_owned(), TOO_LARGE).await;
    assert_eq!(too_large, (502, false));
    assert_eq!(runs(&engines), [2, 2]);
    engines.iter().for_each(|engine| engine.set_silent(false));
    join_all(placed).await;
    // Nothing is expected of its output, so that each event counts when it comes.
    tokio::spawn(ask_hinted(relay.address, "d".to_owned(), HALF, "0"));
    tokio::time::sleep(SENT_TIME).await;
    let (held, _) = relay.state.servers.held_tokens(Instant::now());
    assert!((30_001..33_000).contains(&held), "{held}");
    assert_eq!(runs(&engines).iter().sum::<usize>(), 2 * ENGINES + 1);
}

/// Guards against refusals where the settings don't ask for them.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_contract_every_request_is_sent() {
    let (relay, engines) = open_site("contracts=sequences\n").await;
    for (n, tokens) in [HALF, HALF, HALF, HALF, HALF, TOO_LARGE]
        .into_iter()
        .enumerate()
    {
        tokio::spawn(ask(relay.address, format!("a{n}"), tokens));
    }
    tokio::time::sleep(SENT_TIME).await;
    assert_eq!(runs(&engines).iter().sum::<usize>(), 6);
}

fn list(count: usize, started_ms: u64) -> Vec<Server> {
    let server = |n: usize| Server {
        id: format!("engine-{n:02}").into(),
        service: "engines".into(),
        address: format!("127.0.0.1:{}", 100 + n).parse().expect("valid"),
        centre: "a".into(),
        software: "v1".into(),
        ready: true,
        started_ms,
        cold: ColdNotice::default(),
        slots: 8,
    };
    (0..count).map(server).collect()
}

fn open_servers(count: usize, now: Instant) -> Arc<Servers> {
    let servers = Servers::new("a".into(), HERE, Duration::from_secs(2));
    servers.update(list(count, 1), 1, now);
    servers
}

fn choose(
    servers: &Arc<Servers>,
    prompt: u64,
    kv_capacity: u64,
    now: Instant,
) -> Result<InFlight, Unavailable> {
    choose_shared(servers, prompt, 0, kv_capacity, now)
}

/// Chooses a server for a request of whose prompt this many tokens are shared.
fn choose_shared(
    servers: &Arc<Servers>,
    prompt: u64,
    shared_tokens: u64,
    kv_capacity: u64,
    now: Instant,
) -> Result<InFlight, Unavailable> {
    let query = Query {
        prompt_id: SHARED,
        shared_tokens,
        tried: &[],
        random: 0.0,
    };
    let demand = Demand {
        prompt_tokens: prompt,
        kv_capacity,
        ..Demand::default()
    };
    let requirement = Requirement::default();
    servers.choose(&"engines".into(), requirement, &query, demand, now)
}

/// A message of another router that has requests at the first server.
fn message(held_tokens: u64, requests: u32) -> LoadMessage {
    LoadMessage {
        work: vec![ServerWork {
            server: "engine-00".into(),
            requests,
            prefill_tokens: 0,
            left_ms: 0,
            held_tokens,
        }],
        ..LoadMessage::default()
    }
}

/// Guards against requests that exceed an engine's memory together with those of other
/// routers, and against figures that stay when the requests have ended.
#[test]
fn the_other_routers_requests_count() {
    let now = Instant::now();
    let peer = Ipv4Addr::new(10, 0, 0, 1).into();
    let servers = open_servers(1, now);
    let fits = |at| choose(&servers, 20_000, CAPACITY, at).is_ok();
    for (message, expected) in [
        (message(75_000, 3), false),
        // Requests without tokens: the router does not know how many they hold.
        (message(0, 3), false),
        (message(70_000, 2), true),
        (message(75_000, 3), false),
        (message(0, 0), true),
        (message(75_000, 3), false),
        (LoadMessage::default(), true),
    ] {
        let encoded = message.encode(now);
        let decoded = LoadMessage::decode(&encoded, now).expect("a message");
        servers.record_peer_message(peer, decoded, now);
        assert_eq!(fits(now), expected);
    }
    servers.record_peer_message(peer, message(75_000, 3), now);
    assert!(!fits(now + Duration::from_secs(2)));
    assert!(fits(now + Duration::from_secs(13)));
}

/// Guards against an engine that gets no requests after it started again because of what
/// the process before it held.
#[test]
fn an_engine_that_started_again_has_room() {
    let now = Instant::now();
    let servers = open_servers(1, now);
    let peer = Ipv4Addr::new(10, 0, 0, 1).into();
    servers.record_peer_message(peer, message(95_000, 3), now);
    let fits = || choose(&servers, 20_000, CAPACITY, now).is_ok();
    assert!(!fits());
    servers.update(list(1, 2), 2, now);
    assert!(fits());
}

/// Guards against a shared prompt that each router counts, so that an engine that holds
/// it once looks full, and against one that none counts.
#[test]
fn the_router_with_the_lowest_address_counts_a_shared_prompt() {
    let now = Instant::now();
    for (last, expected) in [(1, 1_000), (9, 14_000)] {
        let servers = open_servers(1, now);
        let placed = choose_shared(&servers, 14_000, 13_000, CAPACITY, now);
        let mut announcement = message(2_000, 1);
        announcement.holders = vec![(SHARED, "engine-00".into())];
        servers.record_peer_message(Ipv4Addr::new(10, 0, 0, last).into(), announcement, now);
        assert_eq!(servers.own_work(now)[0].held_tokens, expected);
        drop(placed);
    }
}

/// Guards against a choice and messages that change where engines have no limit of
/// memory: as many requests as come are placed, and as evenly.
#[test]
fn without_a_limit_the_choice_and_the_messages_are_as_before() {
    let now = Instant::now();
    let servers = open_servers(20, now);
    let peer = Ipv4Addr::new(10, 0, 0, 1).into();
    servers.record_peer_message(peer, message(u64::MAX, 1), now);
    let placed: Vec<InFlight> = (0..40)
        .map(|n| choose(&servers, 1_000_000 + n, 0, now).expect("a server"))
        .collect();
    // The first server has one request more, as the other router says; each of the
    // others gets one before any gets two.
    let early: Vec<&str> = placed[..20].iter().map(|p| &*p.server.id).collect();
    assert!((1..20).all(|n| early.contains(&&*format!("engine-{n:02}"))));
    let work = servers.own_work(now);
    assert!(work.iter().all(|w| w.held_tokens == 0));
    let mut told = work;
    told.sort_by_key(|w| std::cmp::Reverse(w.prefill_tokens));
    told.truncate(16);
    assert_eq!(servers.work_to_tell(16, 100, now), told);
}

/// Guards against messages that grow so long that a fleet can't repeat them in time, and
/// against engines of which the others never hear.
#[test]
fn messages_stay_short_and_name_each_engine_in_turn() {
    const BYTES: usize = 540;
    let now = Instant::now();
    let servers = open_servers(60, now);
    let mut placed: Vec<InFlight> = (0..60)
        .map(|n| choose(&servers, 5_000 + n, CAPACITY, now).expect("a server"))
        .collect();
    placed.iter_mut().for_each(InFlight::record_first_token);
    let mut named = Vec::new();
    let tell = |at: Instant| {
        let work = servers.work_to_tell(16, BYTES, at);
        let message = LoadMessage {
            work: work.clone(),
            ..LoadMessage::default()
        };
        assert!(message.encode(at).len() <= BYTES);
        work.into_iter().map(|w| w.server)
    };
    for n in 0..12 {
        named.extend(tell(now + Duration::from_millis(550) * n));
    }
    named.sort();
    named.dedup();
    assert_eq!(named.len(), 60);
    let ended = placed.remove(59).server.id.clone();
    let mut next = tell(now + Duration::from_secs(7));
    assert!(next.any(|server| server == ended));
}
