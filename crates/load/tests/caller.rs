//! Tests of the caller: parsing of answers, retries, balancing and counting.

use std::time::{Duration, Instant};

use poplar_load::balancer::{Balancer, parse_target};
use poplar_load::caller::{Answer, RequestEnd, RequestOutcome};
use poplar_load::mix;
use poplar_load::retry::{Failure, Policy, Refusal, retry_delay};
use poplar_load::run_result::RunResult;
use poplar_load::schedule::{Plan, schedule};
use poplar_load::stream::Reader;
use poplar_load::tally::Tally;
use poplar_load::{options, plot, runner};
use poplar_standins::engine;

const COMPLETE_STREAM: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"am\u{e9}\"},\"finish_reason\":null}]}\n\n\
data: {\"choices\":[{\"delta\":{\"content\":\" b\"},\"finish_reason\":null}]}\n\n\
data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n\
data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

fn read(text: &str, step: usize) -> Reader {
    let mut reader = Reader::default();
    for part in text.as_bytes().chunks(step) {
        reader.push(part, Instant::now());
    }
    reader
}

#[test]
fn a_stream_is_complete_only_with_its_end_and_usage_however_it_is_chunked() {
    for step in 1..40 {
        let reader = read(COMPLETE_STREAM, step);
        assert!(reader.is_complete() && reader.first_token.is_some());
        assert_eq!((reader.text.as_str(), reader.chunks), ("am\u{e9} b", 2));
        assert_eq!((reader.token_gaps.len(), reader.usage), (1, Some(2)));
    }
    let ends = [
        "data: [DONE]",
        "\"finish_reason\":\"stop\"",
        "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n",
    ];
    for part in ends {
        assert!(!read(&COMPLETE_STREAM.replace(part, ""), 7).is_complete());
    }
    let error = "data: {\"error\":{\"code\":\"backend_failed\",\"run\":\"unknown\"}}\n\n";
    let broken = read(&format!("{error}{COMPLETE_STREAM}"), 9);
    assert!(!broken.is_complete() && &*broken.refusal.unwrap().execution == "unknown");
    assert!(!read(&format!("data: oops\n{COMPLETE_STREAM}"), 9).is_complete());
}

#[test]
fn only_safe_requests_are_retried_and_only_within_the_policy() {
    let second = Duration::from_secs(1);
    let policy = Policy {
        max_attempts: 3,
        timeout: 10 * second,
    };
    let refused = |run: &str, retry_after| {
        Failure::Refused(Refusal {
            code: "overloaded".into(),
            execution: run.into(),
            retry_after,
        })
    };
    let delay = |failure: &Failure, repeatable, attempts, elapsed| {
        retry_delay(failure, repeatable, attempts, elapsed, policy)
    };
    let not_run = refused("not_run", Some(second));
    assert_eq!(delay(&not_run, false, 1, second), Some(second));
    assert_eq!(delay(&not_run, false, 3, second), None);
    assert_eq!(delay(&not_run, false, 1, 10 * second), None);
    assert_eq!(delay(&refused("not_run", None), true, 1, second), None);
    let unknown = refused("unknown", Some(second));
    assert_eq!(delay(&unknown, false, 1, second), None);
    assert_eq!(delay(&unknown, true, 1, second), Some(second));
    assert_eq!(delay(&Failure::Lost, false, 1, second), None);
    let first = delay(&Failure::Lost, true, 1, second).unwrap();
    assert_eq!(delay(&Failure::Lost, true, 2, second), Some(2 * first));
    assert!(delay(&Failure::ConnectError, false, 1, second).is_some());
}

#[tokio::test]
async fn the_balancer_spreads_over_ready_routers_and_avoids_the_last_one() {
    let targets = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|t| parse_target(t).unwrap());
    let client = poplar_base::http::Client::open();
    let balancer = Balancer::spawn(&targets, &client);
    let mut seen: Vec<usize> = (0..6).map(|_| balancer.pick(None).0).collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 0, 1, 1, 2, 2]);
    balancer.set_ready(1, false);
    assert!((0..6).all(|_| balancer.pick(Some(0)).0 == 2));
    balancer.set_ready(0, false);
    assert!((0..6).all(|_| balancer.pick(Some(2)).0 == 2));
    assert!(
        parse_target("127.0.0.1:1,127.0.0.1:2")
            .unwrap()
            .admin
            .is_some()
    );
    assert!(parse_target("localhost:1").is_err());
}

fn answered(text: &str, first: u64, finish: u64) -> RequestEnd {
    RequestEnd::Answered(Answer {
        first_token: Some(Duration::from_millis(first)),
        token_gaps: vec![5_000],
        finish: Duration::from_millis(finish),
        text: text.to_owned(),
        count_matches: true,
    })
}

/// A tally of answers within and outside their targets, of failures, and of one
/// answer that differs from the others to the same prompt.
fn sample_tally(rushing_sender: Option<usize>) -> Tally {
    let mix = mix::find("nairobi").unwrap();
    let plan = Plan {
        seed: 1,
        rate: 10.0,
        duration: Duration::from_secs(60),
        rush: None,
        distinct_prompts: 1,
    };
    let chat = schedule(&mix, &plan)
        .into_iter()
        .find(|a| a.class == 2)
        .unwrap();
    let refusal = Refusal {
        code: "overloaded".into(),
        execution: "not_run".into(),
        retry_after: None,
    };
    let mut tally = Tally::new(&mix, true, rushing_sender);
    let mut add = |end: RequestEnd, attempts, refusals: usize| {
        tally.add(&RequestOutcome {
            arrival: chat.clone(),
            end,
            send_delay: Duration::ZERO,
            attempts,
            refusals: vec![refusal.clone(); refusals],
        });
    };
    add(answered("a", 500, 1_000), 1, 0);
    add(answered("a", 600, 1_000), 2, 1);
    add(answered("b", 500, 11_000), 1, 0);
    add(RequestEnd::Failed(Failure::Refused(refusal.clone())), 3, 3);
    add(RequestEnd::Failed(Failure::Lost), 1, 0);
    add(RequestEnd::Shed, 0, 0);
    tally
}

#[test]
fn a_tally_counts_each_end_once_and_compares_answers() {
    let tally = sample_tally(None);
    assert_eq!((tally.compared, tally.differing), (2, 1));
    insta::assert_snapshot!(serde_json::to_string_pretty(&tally.rows()).unwrap());
}

#[test]
fn a_rush_adds_a_row_over_the_other_workspaces() {
    let mix = mix::find("nairobi").unwrap();
    let sender = mix.sender_index("start-pen").unwrap();
    let names = |rushing| -> Vec<String> {
        let rows = sample_tally(Some(rushing)).rows();
        rows.into_iter().map(|row| row.workspace).collect()
    };
    assert_eq!(names(sender), ["*", "start-pen"]);
    assert_eq!(names(sender + 1), ["*", "(quiet)", "start-pen"]);
    assert_eq!(sample_tally(Some(sender + 1)).totals().offered, 6);
}

async fn run(words: &[&str]) -> RunResult {
    let words = words.iter().map(|w| (*w).to_owned());
    let Ok(poplar_base::args::Invocation::Run(matches)) = options::command().parse(words) else {
        panic!("the options are valid");
    };
    runner::run(&options::read(&matches, "test").unwrap())
        .await
        .unwrap()
}

#[tokio::test]
async fn an_engine_called_directly_answers_all_and_the_result_is_drawn() {
    let settings = engine::Settings {
        step_time: Duration::from_millis(1),
        ..engine::Settings::default()
    };
    let engine = engine::bind("127.0.0.1:0".parse().unwrap(), settings)
        .await
        .unwrap();
    let address = engine.server.address.to_string();
    let common = [
        "--mix",
        "nairobi",
        "--only",
        "rider-chat",
        "--direct",
        "model",
    ];
    let rest = [
        "--rate",
        "40",
        "--duration",
        "1s",
        "--verify",
        "--prompts",
        "1",
        "--target",
    ];
    let words = [&common[..], &rest[..], &[&address]].concat();
    let result = run(&words).await;
    let totals = &result.totals;
    assert!(totals.offered > 20, "{}", totals.offered);
    assert_eq!(
        (totals.answered, totals.attempts),
        (totals.offered, totals.offered)
    );
    assert!(result.compared > 0);
    assert_eq!((result.differing, result.miscounted), (0, 0));
    let json = serde_json::to_vec(&result).unwrap();
    let reread: RunResult = serde_json::from_slice(&json).unwrap();
    assert_eq!(reread, result);
    let svg = plot::draw(&[result, reread]).unwrap();
    assert!(svg.contains("rider-chat") && svg.contains("99th percentile"));
}
