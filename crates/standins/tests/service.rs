//! Tests of the stand-in for a plain service over HTTP.

mod common;

use std::time::Duration;

use common::{Caller, HANG_TIMEOUT, LOOPBACK, code};
use poplar_base::http::{Answer, Error};
use poplar_standins::service::counts::CountsWire;
use poplar_standins::service::{self, Settings};
use serde_json::{Value, json};

async fn start(fenced: bool) -> Caller {
    let settings = Settings {
        delay: Duration::ZERO,
        fenced,
        ..Settings::default()
    };
    Caller::new(service::bind(LOOPBACK, &settings).await.unwrap().address)
}

async fn push(service: &Caller, id: &str, number: &str) -> Result<Answer, Error> {
    let headers = [
        ("x-request-id", id),
        ("x-workspace", "w"),
        ("x-router", "r1"),
        ("x-fencing-number", number),
    ];
    service.post("/poles/7/scene", &headers, json!({})).await
}

async fn runs(service: &Caller) -> Vec<(String, u64, u64)> {
    let counts: CountsWire = service.get("/control/counts").await;
    let calls = counts.requests.into_iter();
    let call = calls.map(|c| (c.name.to_string(), c.calls.seen, c.calls.runs));
    call.collect()
}

#[tokio::test]
async fn calls_that_ran_are_counted() {
    let service = start(false).await;
    let first: Value = push(&service, "a", "1").await.unwrap().json().unwrap();
    assert_eq!((&first["id"], &first["runs"]), (&json!("a"), &json!(1)));
    assert_eq!(first["path"], "/poles/7/scene");
    let second: Value = push(&service, "a", "1").await.unwrap().json().unwrap();
    assert_eq!(second["runs"], 2);
    let counts: CountsWire = service.get("/control/counts").await;
    assert_eq!((counts.runs, counts.repeated), (2, 1));
    assert_eq!(
        (&*counts.workspaces[0].name, counts.workspaces[0].calls.runs),
        ("w", 2)
    );
}

#[tokio::test]
async fn a_call_runs_even_if_its_answer_is_dropped() {
    let service = start(false).await;
    service.switch(json!({"drop_answers": 1})).await;
    let dropped = push(&service, "a", "1").await;
    assert!(matches!(dropped, Err(Error::Lost(_))), "{dropped:?}");
    service.switch(json!({"status": 500})).await;
    assert_eq!(push(&service, "b", "1").await.unwrap().status, 500);
    let expected = [("a".to_owned(), 1, 1), ("b".to_owned(), 1, 1)];
    assert_eq!(runs(&service).await, expected);
}

#[tokio::test]
async fn refused_calls_do_not_run() {
    let service = start(true).await;
    push(&service, "a", "5").await.unwrap();
    let fenced = push(&service, "b", "4").await.unwrap();
    assert_eq!(code(&fenced), (409, "fenced".to_owned()));
    service.switch(json!({"refuse_leaving": true})).await;
    let leaving = push(&service, "c", "6").await.unwrap();
    assert_eq!(code(&leaving), (503, "leaving".to_owned()));
    let expected = [("a", 1, 1), ("b", 1, 0), ("c", 1, 0)];
    let expected = expected.map(|(id, seen, runs)| (id.to_owned(), seen, runs));
    assert_eq!(runs(&service).await, expected);
    service
        .switch(json!({"refuse_leaving": false, "fenced": false}))
        .await;
    assert_eq!(push(&service, "d", "4").await.unwrap().status, 200);
}

#[tokio::test]
async fn connections_are_refused_for_the_requested_time() {
    let service = start(false).await;
    service.switch(json!({"refuse_connect_ms": 1000})).await;
    let refused = async {
        loop {
            // The listener closes shortly after the control call is answered.
            if let Err(Error::Connect { .. }) = push(&service, "a", "1").await {
                return;
            }
        }
    };
    let refused = tokio::time::timeout(HANG_TIMEOUT, refused).await;
    refused.expect("connections are refused");
    let again = async { while push(&service, "b", "1").await.is_err() {} };
    let again = tokio::time::timeout(HANG_TIMEOUT, again).await;
    again.expect("connections are accepted again");
}

#[tokio::test]
async fn a_call_runs_after_its_caller_disconnected() {
    let service = start(false).await;
    service.switch(json!({"accept_after_ms": 200})).await;
    let abandoned = tokio::time::timeout(Duration::from_millis(20), push(&service, "a", "1"));
    // The result is ignored: on a busy machine the call may still get its answer,
    // in which case this run does not test the case.
    let _ = abandoned.await;
    let ran = async {
        while runs(&service).await.is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let ran = tokio::time::timeout(HANG_TIMEOUT, ran).await;
    ran.expect("the call runs");
}
