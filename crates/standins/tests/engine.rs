//! Tests of the stand-in for an engine over HTTP.

mod common;

use std::time::Duration;

use common::{Caller, HANG_TIMEOUT, LOOPBACK, chat, code, content, events, read};
use poplar_standins::engine::counts::{CountsWire, RequestCount};
use poplar_standins::engine::text::{self, Message, Prompt};
use poplar_standins::engine::{self, Settings};
use poplar_standins::load::LoadWire;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";

async fn start(settings: Settings) -> Caller {
    let settings = Settings {
        step_time: Duration::from_millis(1),
        ..settings
    };
    Caller::new(
        engine::bind(LOOPBACK, settings)
            .await
            .unwrap()
            .server
            .address,
    )
}

fn prompt(content: &str) -> Prompt {
    let message = Message {
        role: "user".to_owned(),
        content: content.to_owned(),
    };
    Prompt::from([message].as_slice())
}

fn seqs(events: &[Value]) -> Vec<u64> {
    events.iter().map(|e| e["seq"].as_u64().unwrap()).collect()
}

/// Requests a streamed answer, reads it to its end and returns its events.
async fn complete(engine: &Caller, id: &str, content: &str) -> Vec<Value> {
    let headers = [("x-request-id", id), ("x-workspace", "w")];
    let answer = engine.post(CHAT, &headers, chat(content)).await.unwrap();
    let (events, done) = events(&answer.body);
    assert!(done);
    events
}

#[tokio::test]
async fn streams_a_whole_answer() {
    let engine = start(Settings::default()).await;
    let events = complete(&engine, "a", "light the park [tokens=3]").await;
    assert_eq!(seqs(&events), [0, 1, 2, 3, 4]);
    assert!(events.iter().all(|e| e["id"] == "a"));
    let expected = text::answer(prompt("light the park [tokens=3]").hash, 3);
    assert_eq!(content(&events), expected);
    assert_eq!(events[3]["choices"][0]["finish_reason"], "stop");
    let usage = json!({"prompt_tokens": 7, "completion_tokens": 3, "total_tokens": 10});
    assert_eq!(events[4]["usage"], usage);
    let counts: CountsWire = engine.get("/control/counts").await;
    let used = counts.workspaces[0].usage;
    assert_eq!((used.runs, used.prompt, used.generated), (1, 7, 3));
}

#[tokio::test]
async fn an_unstreamed_answer_has_the_same_text() {
    let engine = start(Settings::default()).await;
    let mut body = chat("light the park [tokens=9]");
    body["stream"] = json!(false);
    body["max_tokens"] = json!(4);
    let answer = engine.post(CHAT, &[], body).await.unwrap();
    let answer: Value = answer.json().unwrap();
    let choice = &answer["choices"][0];
    let expected = text::answer(prompt("light the park [tokens=9]").hash, 4);
    assert_eq!(choice["message"]["content"], expected);
    assert_eq!(choice["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 4);
}

#[tokio::test]
async fn a_cut_answer_can_be_resumed_at_another_engine() {
    let (one, two) = (
        start(Settings::default()).await,
        start(Settings::default()).await,
    );
    one.switch(json!({"cut_after": 5})).await;
    let text = "a long plan [tokens=40]";
    let headers = [("x-request-id", "a"), ("x-workspace", "w")];
    let mut cut = one.open(CHAT, &headers, chat(text)).await;
    let cut = read(&mut cut, usize::MAX).await;
    let (first, done) = events(&cut.body);
    assert_eq!((seqs(&first), done), (vec![0, 1, 2, 3, 4], false));
    assert!(cut.broken);
    let headers = [("x-request-id", "a"), ("x-resume-from", "5")];
    let answer = two.post(CHAT, &headers, chat(text)).await.unwrap();
    let (rest, done) = events(&answer.body);
    assert_eq!((rest[0]["seq"].as_u64(), done), (Some(5), true));
    assert_eq!(rest.last().unwrap()["usage"]["completion_tokens"], 40);
    let expected = text::answer(prompt(text).hash, 40);
    assert_eq!(content(&first) + &content(&rest), expected);
    let count: RequestCount = two.get("/control/counts/a").await;
    let used = count.usage;
    assert_eq!((used.runs, used.resumes, used.generated), (0, 1, 35));
    assert_eq!((used.prompt, used.reprefill), (0, 6));
    // Each entry of `cut_after` cuts one stream only.
    assert_eq!(content(&complete(&one, "b", text).await), expected);
}

/// Cancels a request of `router`. Returns the fields `found`, `prompt` and
/// `generated` of the answer.
async fn cancel(engine: &Caller, id: &str, router: &str) -> (bool, u64, u64) {
    let headers = [("x-router", router)];
    let answer = engine.post("/v1/cancel", &headers, json!({"id": id})).await;
    let answer: Value = answer.unwrap().json().unwrap();
    let tokens = |name: &str| answer[name].as_u64().unwrap();
    let found = answer["found"].as_bool().unwrap();
    (found, tokens("prompt"), tokens("generated"))
}

#[tokio::test]
async fn cancel_stops_only_the_routers_own_run_and_reports_its_tokens() {
    let engine = start(Settings::default()).await;
    let mut body = chat("endless [tokens=1000000]");
    body["max_tokens"] = json!(1_000_000);
    let mut streams = Vec::new();
    for router in ["r1", "r2"] {
        let headers = [("x-request-id", "a"), ("x-router", router)];
        streams.push(engine.open(CHAT, &headers, body.clone()).await);
    }
    let (received, _) = events(&read(&mut streams[0], 5).await.body);
    assert_eq!(cancel(&engine, "a", "r3").await, (false, 0, 0));
    let one = cancel(&engine, "a", "r1").await;
    assert_eq!((one.0, one.1), (true, 6));
    assert!(one.2 >= received.len() as u64);
    // The other router's run of the same request continues.
    let load: LoadWire = engine.get("/v1/load").await;
    assert_eq!(load.running + load.waiting, 1);
    let two = cancel(&engine, "a", "r2").await;
    let load: LoadWire = engine.get("/v1/load").await;
    assert_eq!((load.running, load.waiting), (0, 0));
    // Requests that run now must not add to the counts of the cancelled one.
    complete(&engine, "b", "short [tokens=5]").await;
    let count: RequestCount = engine.get("/control/counts/a").await;
    assert_eq!((count.usage.generated, count.cancelled), (one.2 + two.2, 2));
    assert_eq!(cancel(&engine, "a", "r1").await, one);
}

#[tokio::test]
async fn cancel_reports_tokens_of_an_ended_run() {
    let engine = start(Settings::default()).await;
    engine.switch(json!({"cut_after": 3})).await;
    let headers = [("x-request-id", "a")];
    let mut cut = engine.open(CHAT, &headers, chat("x [tokens=200]")).await;
    read(&mut cut, usize::MAX).await;
    let (found, prompt, generated) = cancel(&engine, "a", "").await;
    assert!(found && prompt == 4 && generated >= 3);
    let headers = [("x-request-id", "a"), ("x-resume-from", "3")];
    let resumed = engine.post(CHAT, &headers, chat("x [tokens=200]"));
    assert!(events(&resumed.await.unwrap().body).1);
    // Only the latest run counts, which was resumed.
    assert_eq!(cancel(&engine, "a", "").await, (true, 4, 197));
}

#[tokio::test]
async fn a_frozen_engine_generates_nothing_until_the_freeze_ends() {
    let engine = start(Settings::default()).await;
    let headers = [("x-request-id", "a")];
    let mut stream = engine.open(CHAT, &headers, chat("x [tokens=900]")).await;
    read(&mut stream, 1).await;
    engine.switch(json!({"freeze_ms": 600_000})).await;
    let frozen: CountsWire = engine.get("/control/counts").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let later: CountsWire = engine.get("/control/counts").await;
    assert_eq!(later.requests, frozen.requests);
    assert_eq!(later.totals.steps, frozen.totals.steps);
    engine.switch(json!({"freeze_ms": 0})).await;
    assert!(events(&read(&mut stream, usize::MAX).await.body).1);
}

#[tokio::test]
async fn a_disconnected_caller_frees_its_slot() {
    let engine = start(Settings {
        slots: 1,
        ..Settings::default()
    })
    .await;
    let mut body = chat("endless [tokens=1000000]");
    body["max_tokens"] = json!(1_000_000);
    let mut stream = engine.open(CHAT, &[("x-request-id", "a")], body).await;
    read(&mut stream, 1).await;
    drop(stream);
    let next = tokio::time::timeout(HANG_TIMEOUT, complete(&engine, "b", "x [tokens=2]"));
    assert_eq!(
        next.await
            .expect("the slot of the disconnected caller is freed")
            .len(),
        4
    );
    let count: RequestCount = engine.get("/control/counts/a").await;
    assert_eq!((count.cancelled, count.finished), (1, 0));
}

#[tokio::test]
async fn only_a_fenced_engine_checks_fencing_numbers() {
    for fenced in [true, false] {
        let engine = start(Settings {
            fenced,
            ..Settings::default()
        })
        .await;
        let mut refused = 0;
        for (router, number) in [("r1", "5"), ("r1", "4"), ("r2", "4"), ("r1", "5")] {
            let headers = [("x-router", router), ("x-fencing-number", number)];
            let answer = engine.post(CHAT, &headers, chat("x [tokens=1]")).await;
            let answer = answer.unwrap();
            if answer.status != 200 {
                assert_eq!(code(&answer), (409, "fenced".to_owned()));
                assert_eq!((router, number), ("r1", "4"));
                refused += 1;
            }
        }
        let counts: CountsWire = engine.get("/control/counts").await;
        assert_eq!(counts.totals.fenced, refused);
        assert_eq!(refused, u64::from(fenced));
    }
}

#[tokio::test]
async fn a_leaving_engine_refuses_new_requests_and_finishes_running_ones() {
    let engine = start(Settings::default()).await;
    let headers = [("x-request-id", "a")];
    let mut old = engine.open(CHAT, &headers, chat("x [tokens=50]")).await;
    engine.switch(json!({"refuse_leaving": true})).await;
    let new = engine.post(CHAT, &[("x-request-id", "b")], chat("x")).await;
    assert_eq!(code(&new.unwrap()), (503, "leaving".to_owned()));
    let (old, done) = events(&read(&mut old, usize::MAX).await.body);
    assert_eq!((old.len(), done), (52, true));
    let counts: CountsWire = engine.get("/control/counts").await;
    assert_eq!(counts.totals.after_leaving, 1);
    let b: RequestCount = engine.get("/control/counts/b").await;
    assert_eq!((b.seen, b.usage.runs, b.usage.generated), (1, 0, 0));
    assert!(engine.get::<LoadWire>("/v1/load").await.leaving);
}

#[tokio::test]
async fn switches_duplicate_reorder_and_misroute_chunks() {
    let engine = start(Settings::default()).await;
    let text = "x [tokens=3]";
    engine.switch(json!({"duplicate": true})).await;
    let twice = complete(&engine, "a", text).await;
    assert_eq!(seqs(&twice), [0, 0, 1, 1, 2, 2, 3, 3, 4]);
    engine
        .switch(json!({"duplicate": false, "reorder": true}))
        .await;
    let swapped = complete(&engine, "b", text).await;
    assert_eq!(seqs(&swapped), [1, 0, 3, 2, 4]);
    engine
        .switch(json!({"reorder": false, "misroute": true}))
        .await;
    let mixed = complete(&engine, "c", text).await;
    assert_eq!(seqs(&mixed), [0, 0, 1, 1, 2, 2, 3, 3, 4]);
    let misrouted = mixed.iter().filter(|e| e["id"] != "c").count();
    assert_eq!(misrouted, 4);
}

#[tokio::test]
async fn publishes_cache_events_and_counts_blocks() {
    let engine = start(Settings::default()).await;
    let text = format!("[tokens=1] {:300}", "scene");
    complete(&engine, "a", &text).await;
    complete(&engine, "b", &text).await;
    let published: Value = engine.get("/v1/cache?after=0").await;
    let prefix = format!("{:016x}", prompt(&text).blocks[0]);
    let events = json!([{"seq": 1, "op": "add", "prefix": prefix}]);
    assert_eq!(published["events"], events);
    let published: Value = engine.get("/v1/cache?after=1").await;
    assert_eq!(published["events"], json!([]));
    let counts: CountsWire = engine.get("/control/counts").await;
    assert_eq!((counts.totals.missed, counts.totals.cached), (1, 1));
}

#[tokio::test]
async fn malformed_bodies_are_refused() {
    let engine = start(Settings::default()).await;
    for (path, body) in [
        (CHAT, json!({"messages": 1})),
        ("/control", json!({"slowness": 2})),
        ("/control", json!({"slow": 0})),
    ] {
        let answer = engine.post(path, &[], body).await.unwrap();
        assert_eq!(code(&answer), (400, "malformed".to_owned()));
    }
}
