//! The door on the users' platform, between stand-ins.

mod mirror;
mod site;

use std::sync::Arc;
use std::time::Duration;

use poplar_base::http::Answer;
use site::backend::{Backend, Deed};
use site::store::{Fate, Store};
use site::{Door, configured};

const KEY: (&str, &str) = ("api-key", "key-1");
const ID: &str = "x-poplarreel-attempt-id";
/// Tries of a client that is told to come back.
const RETRIES: usize = 40;
/// Requests that a budget of 100,000 tokens serves before it is nearly spent.
const NEARLY: usize = 85;
const TOKENS: (&str, &str) = ("x-poplarreel-token-counts", "1000,20");

/// A door before backend servers that each do one deed.
async fn door(service: &str, deeds: &[Deed]) -> (Door, Vec<Arc<Backend>>, Arc<Store>) {
    let store = configured(100_000);
    let mut backends = Vec::new();
    for (at, deed) in deeds.iter().enumerate() {
        let (backend, address) = Backend::open(*deed).await;
        store.register(&format!("server-{at}"), service, address);
        backends.push(backend);
    }
    let door = Door::open(store.open().await).await;
    (door, backends, store)
}

fn runs(backends: &[Arc<Backend>]) -> usize {
    backends.iter().map(|b| b.seen().len()).sum()
}

fn text(answer: &Answer) -> &str {
    std::str::from_utf8(&answer.body).expect("text")
}

#[tokio::test]
async fn each_kind_is_served_whole() {
    let (door, backends, _) = door("plain", &[Deed::Whole]).await;
    for path in ["/once/x", "/read/x"] {
        let answer = door.ask(path, &[KEY, (ID, path)]).await.expect("whole");
        assert_eq!((answer.status.as_u16(), text(&answer)), (200, "an answer"));
    }
    let seen = &backends[0].seen()[0];
    assert_eq!(
        (seen.id.as_str(), &seen.body[..]),
        ("/once/x", &b"a body"[..])
    );
    assert_eq!(seen.headers["x-poplarreel-tenant"], "acme");
    assert_eq!(seen.headers["x-poplarreel-expect-instance"], "server-0");
    assert!(!seen.headers.contains_key("api-key"));
}

#[tokio::test]
async fn a_stream_is_passed_on_and_settled() {
    let (door, _, store) = door("engines", &[Deed::Whole]).await;
    let answer = door.ask("/stream/x", &[KEY, TOKENS, (ID, "a")]).await;
    let answer = answer.expect("whole");
    let events: String = (1..=4)
        .map(|n| format!("id: {n}\ndata: e{n}\n\n"))
        .collect();
    assert_eq!(text(&answer), events);
    // 1,000 of the prompt and four events of five tokens.
    let spent = || {
        let row = store.value("budgets", "all", "holder/127.0.0.1");
        row.and_then(|row| row["terms"][0][1][1].as_u64())
    };
    while spent() != Some(1_020) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_call_that_may_have_run_is_not_sent_again() {
    let (door, backends, _) = door("plain", &[Deed::Cut, Deed::Cut]).await;
    let answer = door
        .ask("/once/x", &[KEY, (ID, "a")])
        .await
        .expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&backends), 1);
}

#[tokio::test]
async fn an_idempotent_call_is_sent_again_as_often_as_its_route_allows() {
    let (door, backends, _) = door("plain", &[Deed::Cut, Deed::Cut, Deed::Cut]).await;
    let answer = door
        .ask("/read/x", &[KEY, (ID, "a")])
        .await
        .expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&backends), 2);
}

#[tokio::test]
async fn what_servers_shed_is_refused_as_not_run() {
    let (door, backends, _) = door("plain", &[Deed::Shed, Deed::Shed]).await;
    let answer = door
        .ask("/once/x", &[KEY, (ID, "a")])
        .await
        .expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(runs(&backends), 0);
}

#[tokio::test]
async fn a_servers_own_failure_is_passed_on() {
    let (door, backends, _) = door("plain", &[Deed::Fault]).await;
    let answer = door
        .ask("/once/x", &[KEY, (ID, "a")])
        .await
        .expect("an answer");
    assert_eq!((answer.status.as_u16(), text(&answer)), (500, "an answer"));
    assert_eq!(runs(&backends), 1);
}

#[tokio::test]
async fn an_answer_to_another_request_reaches_nobody() {
    let (door, _, _) = door("plain", &[Deed::Foreign]).await;
    let answer = door
        .ask("/once/x", &[KEY, (ID, "a")])
        .await
        .expect("an answer");
    assert_eq!(answer.status, 502);
}

#[tokio::test]
async fn a_broken_stream_ends_visibly_broken() {
    let (door, _, _) = door("engines", &[Deed::Break(2)]).await;
    let answer = door.ask("/stream/x", &[KEY, TOKENS, (ID, "a")]).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn a_resumable_stream_goes_on_after_its_last_event() {
    let (door, backends, _) = door("engines", &[Deed::Break(2), Deed::Whole]).await;
    // Until the server that breaks off was the first one.
    for id in 0..50 {
        let id = format!("r{id}");
        let answer = door.ask("/resume/x", &[KEY, TOKENS, (ID, &id)]).await;
        let answer = answer.expect("whole");
        let events: String = (1..=4)
            .map(|n| format!("id: {n}\ndata: e{n}\n\n"))
            .collect();
        assert_eq!(text(&answer), events);
        let resumed = backends[1].seen();
        if resumed
            .iter()
            .any(|s| s.headers.contains_key("last-event-id"))
        {
            return;
        }
    }
    panic!("no stream was resumed");
}

#[tokio::test]
async fn malformed_heads_run_nothing() {
    let (door, backends, _) = door("plain", &[Deed::Whole]).await;
    let cases: [(&[(&str, &str)], u16); 5] = [
        (&[KEY], 400),
        (&[KEY, (ID, "a"), (ID, "b")], 400),
        (
            &[KEY, (ID, "a"), ("x-poplarreel-token-counts", "many")],
            400,
        ),
        (&[("api-key", "unknown"), (ID, "a")], 401),
        (&[(ID, "a")], 401),
    ];
    for (headers, status) in cases {
        let answer = door.ask("/once/x", headers).await.expect("an answer");
        assert_eq!(answer.status.as_u16(), status, "{headers:?}");
    }
    let answer = door.ask("/nowhere/x", &[KEY, (ID, "a")]).await;
    assert_eq!(answer.expect("an answer").status, 404);
    assert_eq!(runs(&backends), 0);
}

#[tokio::test]
async fn headers_of_the_system_are_not_taken_from_clients() {
    let (door, backends, _) = door("plain", &[Deed::Whole]).await;
    let forged = [
        ("x-poplarreel-tenant", "other"),
        ("x-poplarreel-hold", "h"),
        ("x-poplarreel-pin-ms", "100"),
        ("kv-from", "1.2.3.4:5/6"),
    ];
    let mut headers = vec![KEY, (ID, "a")];
    headers.extend(forged);
    let answer = door.ask("/once/x", &headers).await.expect("an answer");
    assert_eq!(answer.status, 200);
    let seen = &backends[0].seen()[0];
    assert_eq!(seen.headers["x-poplarreel-tenant"], "acme");
    assert!(
        forged[1..]
            .iter()
            .all(|(name, _)| !seen.headers.contains_key(*name))
    );
}

#[tokio::test]
async fn an_entry_that_cannot_be_read_stops_no_other() {
    let (door, _, store) = door("plain", &[Deed::Whole]).await;
    store.set("servers", "", "bad-1", "{\"service\": 5}");
    store.set("servers", "", "bad-2", "not json");
    tokio::time::sleep(Duration::from_millis(900)).await;
    let answer = door
        .ask("/once/x", &[KEY, (ID, "a")])
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_budget_is_not_overspent_though_answers_of_the_store_are_lost() {
    let (door, backends, store) = door("engines", &[Deed::Whole]).await;
    for n in 0..150 {
        store.fate(match n % 6 {
            1 => Fate::Lose,
            4 => Fate::Refuse,
            _ => Fate::Answer,
        });
        for retry in 0..RETRIES {
            let id = format!("b{n}.{retry}");
            let answer = door.ask("/stream/x", &[KEY, TOKENS, (ID, &id)]).await;
            let status = answer.expect("an answer").status.as_u16();
            assert!([200, 402, 503].contains(&status), "{status}");
            if status != 503 || runs(&backends) >= NEARLY {
                break;
            }
            // A machine with other work misses the store's pace now and then.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    // Each consumes 1,020 of 100,000.
    let ran = runs(&backends);
    assert!((NEARLY..=98).contains(&ran), "{ran}");
}
