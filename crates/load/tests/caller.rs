//! A caller reads answers whole, and repeats only what it may.

use std::time::{Duration, Instant};

use poplar_load::balancer::{Balancer, parse};
use poplar_load::caller::{Answer, End, Outcome};
use poplar_load::mix;
use poplar_load::outcome::Outcome as Whole;
use poplar_load::retry::{Failure, Policy, Refusal, wait};
use poplar_load::schedule::{Plan, schedule};
use poplar_load::stream::Reader;
use poplar_load::tally::Tally;
use poplar_load::{options, plot, runner};
use poplar_standins::engine;

const WHOLE: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"am\u{e9}\"},\"finish_reason\":null}]}\n\n\
data: {\"choices\":[{\"delta\":{\"content\":\" b\"},\"finish_reason\":null}]}\n\n\
data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n\
data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

fn read(text: &str, step: usize) -> Reader {
    let mut reader = Reader::default();
    for part in text.as_bytes().chunks(step) {
        reader.take(part, Instant::now());
    }
    reader
}

#[test]
fn a_stream_is_whole_only_with_its_end_and_usage_however_it_is_cut_up() {
    for step in 1..40 {
        let reader = read(WHOLE, step);
        assert!(reader.whole() && reader.first.is_some());
        assert_eq!((reader.text.as_str(), reader.chunks), ("am\u{e9} b", 2));
        assert_eq!((reader.gaps.len(), reader.usage), (1, Some(2)));
    }
    let ends = [
        "data: [DONE]",
        "\"finish_reason\":\"stop\"",
        "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n",
    ];
    for part in ends {
        assert!(!read(&WHOLE.replace(part, ""), 7).whole());
    }
    let error = "data: {\"error\":{\"code\":\"backend_failed\",\"run\":\"unknown\"}}\n\n";
    let broken = read(&format!("{error}{WHOLE}"), 9);
    assert!(!broken.whole() && &*broken.refusal.unwrap().run == "unknown");
    assert!(!read(&format!("data: oops\n{WHOLE}"), 9).whole());
}

#[test]
fn only_what_is_safe_is_sent_again_and_never_without_end() {
    let second = Duration::from_secs(1);
    let policy = Policy {
        attempts: 3,
        patience: 10 * second,
    };
    let refused = |run: &str, wait| {
        Failure::Refused(Refusal {
            code: "overloaded".into(),
            run: run.into(),
            wait,
        })
    };
    let go = |failure: &Failure, safe, tried, spent| wait(failure, safe, tried, spent, policy);
    let not_run = refused("not_run", Some(second));
    assert_eq!(go(&not_run, false, 1, second), Some(second));
    assert_eq!(go(&not_run, false, 3, second), None);
    assert_eq!(go(&not_run, false, 1, 10 * second), None);
    assert_eq!(go(&refused("not_run", None), true, 1, second), None);
    let unknown = refused("unknown", Some(second));
    assert_eq!(go(&unknown, false, 1, second), None);
    assert_eq!(go(&unknown, true, 1, second), Some(second));
    assert_eq!(go(&Failure::Lost, false, 1, second), None);
    let first = go(&Failure::Lost, true, 1, second).unwrap();
    assert_eq!(go(&Failure::Lost, true, 2, second), Some(2 * first));
    assert!(go(&Failure::Unreached, false, 1, second).is_some());
}

#[tokio::test]
async fn the_balancer_spreads_over_ready_routers_and_avoids_the_last_one() {
    let targets = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|t| parse(t).unwrap());
    let client = poplar_base::http::Client::open();
    let balancer = Balancer::spawn(&targets, &client);
    let mut seen: Vec<usize> = (0..6).map(|_| balancer.pick(None).0).collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 0, 1, 1, 2, 2]);
    balancer.mark(1, false);
    assert!((0..6).all(|_| balancer.pick(Some(0)).0 == 2));
    balancer.mark(0, false);
    assert!((0..6).all(|_| balancer.pick(Some(2)).0 == 2));
    assert!(parse("127.0.0.1:1,127.0.0.1:2").unwrap().admin.is_some());
    assert!(parse("localhost:1").is_err());
}

fn answered(text: &str, first: u64, finish: u64) -> End {
    End::Answered(Answer {
        first: Some(Duration::from_millis(first)),
        gaps: vec![5_000],
        finish: Duration::from_millis(finish),
        text: text.to_owned(),
        counted: true,
    })
}

/// A tally with answers on and off target, refusals, and one that differs.
fn tallied(rushing: Option<usize>) -> Tally {
    let mix = mix::find("nairobi").unwrap();
    let plan = Plan {
        seed: 1,
        rate: 10.0,
        duration: Duration::from_secs(60),
        rush: None,
        prompts: 1,
    };
    let chat = schedule(&mix, &plan)
        .into_iter()
        .find(|a| a.item == 2)
        .unwrap();
    let refusal = Refusal {
        code: "overloaded".into(),
        run: "not_run".into(),
        wait: None,
    };
    let mut tally = Tally::new(&mix, true, rushing);
    let mut add = |end: End, attempts, refusals: usize| {
        tally.add(&Outcome {
            arrival: chat.clone(),
            end,
            late: Duration::ZERO,
            attempts,
            refusals: vec![refusal.clone(); refusals],
        });
    };
    add(answered("a", 500, 1_000), 1, 0);
    add(answered("a", 600, 1_000), 2, 1);
    add(answered("b", 500, 11_000), 1, 0);
    add(End::Failed(Failure::Refused(refusal.clone())), 3, 3);
    add(End::Failed(Failure::Lost), 1, 0);
    add(End::Shed, 0, 0);
    tally
}

#[test]
fn a_tally_counts_each_end_once_and_compares_answers() {
    let tally = tallied(None);
    assert_eq!((tally.compared, tally.differing), (2, 1));
    insta::assert_snapshot!(serde_json::to_string_pretty(&tally.rows()).unwrap());
}

#[test]
fn a_rush_sets_the_quiet_workspaces_apart() {
    let mix = mix::find("nairobi").unwrap();
    let sender = mix.sender("start-pen").unwrap();
    let names = |rushing| -> Vec<String> {
        let rows = tallied(Some(rushing)).rows();
        rows.into_iter().map(|row| row.workspace).collect()
    };
    assert_eq!(names(sender), ["*", "start-pen"]);
    assert_eq!(names(sender + 1), ["*", "(quiet)", "start-pen"]);
    assert_eq!(tallied(Some(sender + 1)).totals().offered, 6);
}

async fn run(words: &[&str]) -> Whole {
    let words = words.iter().map(|w| (*w).to_owned());
    let Ok(poplar_base::args::Invocation::Run(matches)) = options::command().parse(words) else {
        panic!("the options are right");
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
    let whole = run(&words).await;
    let totals = &whole.totals;
    assert!(totals.offered > 20, "{}", totals.offered);
    assert_eq!(
        (totals.answered, totals.attempts),
        (totals.offered, totals.offered)
    );
    assert!(whole.compared > 0);
    assert_eq!((whole.differing, whole.miscounted), (0, 0));
    let json = serde_json::to_vec(&whole).unwrap();
    let again: Whole = serde_json::from_slice(&json).unwrap();
    assert_eq!(again, whole);
    let svg = plot::draw(&[whole, again]).unwrap();
    assert!(svg.contains("rider-chat") && svg.contains("99th percentile"));
}
