//! Tests of the engine's batch, prefix cache and answers, and of load reports.

use std::time::{Duration, Instant};

use poplar_standins::engine::batch::{Batch, Job, Limits, Output, QueueFull, Step};
use poplar_standins::engine::cache::{Cache, CacheOp, Settings};
use poplar_standins::engine::text::{self, Message, Prompt};
use poplar_standins::load::{History, LoadWire};
use proptest::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const LIMITS: Limits = Limits {
    slots: 2,
    prefill: 64,
    max_waiting: 1,
};

fn cache(blocks: usize, event_loss: f64) -> Cache {
    Cache::new(&Settings {
        blocks,
        event_loss,
        seed: 7,
    })
}

fn prompt(content: &str) -> Prompt {
    let message = Message {
        role: "user".to_owned(),
        content: content.to_owned(),
    };
    Prompt::from([message].as_slice())
}

fn job(id: &str, priority: u8, content: &str) -> Job {
    Job {
        id: id.into(),
        workspace: "w".into(),
        router: "".into(),
        priority,
        prompt: prompt(content),
        max_tokens: 100,
        resume_from: None,
    }
}

fn ids(step: &Step) -> Vec<&str> {
    step.started.iter().map(|s| &*s.job.id).collect()
}

#[test]
fn requests_enter_the_batch_by_priority_then_arrival() {
    let (mut batch, mut cache, now) = (Batch::new(LIMITS), cache(0, 0.0), Instant::now());
    batch.submit(job("a", 5, "x [tokens=1]")).unwrap();
    batch.submit(job("b", 5, "x [tokens=1]")).unwrap();
    batch.submit(job("c", 0, "x [tokens=1]")).unwrap();
    // Two requests fit into the batch and one may wait.
    assert_eq!(batch.submit(job("d", 0, "x")), Err(QueueFull));
    assert_eq!(ids(&batch.step(&mut cache, now)), ["c", "a"]);
    assert_eq!(ids(&batch.step(&mut cache, now)), ["b"]);
    assert!(batch.is_idle());
}

#[test]
fn each_request_gets_one_token_per_step_after_its_prompt() {
    let (mut batch, mut cache, now) = (Batch::new(LIMITS), cache(0, 0.0), Instant::now());
    // The 80 prompt tokens of the first request take two steps. The second
    // request is processed after them.
    let long = format!("{:320}", "[tokens=2]");
    let first = batch.submit(job("a", 0, &long)).unwrap();
    let second = batch.submit(job("b", 0, "[tokens=2]")).unwrap();
    let token = |submission_id, index, done| Output {
        submission_id,
        token: Some(index),
        done,
    };
    assert_eq!(batch.step(&mut cache, now).outputs, []);
    let outputs = batch.step(&mut cache, now).outputs;
    assert_eq!(outputs, [token(first, 0, false), token(second, 0, false)]);
    let outputs = batch.step(&mut cache, now).outputs;
    assert_eq!(outputs, [token(first, 1, true), token(second, 1, true)]);
    assert!(batch.is_idle());
}

#[test]
fn a_cached_prefix_is_not_processed_again() {
    let (mut batch, mut cache, now) = (Batch::new(LIMITS), cache(8, 0.0), Instant::now());
    let shared = format!("[tokens=1] {:500}", "scene");
    batch.submit(job("a", 0, &shared)).unwrap();
    assert_eq!(batch.step(&mut cache, now).outputs, []);
    assert_eq!(batch.step(&mut cache, now).outputs.len(), 1);
    batch.submit(job("b", 0, &format!("{shared} dim"))).unwrap();
    let step = batch.step(&mut cache, now);
    assert_eq!((step.started[0].hits, step.outputs.len()), (2, 1));
}

#[test]
fn cancelling_frees_the_slot() {
    let (mut batch, mut cache, now) = (Batch::new(LIMITS), cache(0, 0.0), Instant::now());
    let first = batch.submit(job("a", 0, "x")).unwrap();
    batch.submit(job("b", 0, "x")).unwrap();
    batch.submit(job("c", 0, "x")).unwrap();
    assert_eq!(ids(&batch.step(&mut cache, now)), ["a", "b"]);
    assert_eq!(&*batch.cancel(first).unwrap().id, "a");
    assert!(batch.cancel(first).is_none());
    assert_eq!(ids(&batch.step(&mut cache, now)), ["c"]);
}

#[test]
fn a_resumed_answer_starts_at_the_offset_and_stops_at_the_end() {
    let (mut batch, mut cache, now) = (Batch::new(LIMITS), cache(0, 0.0), Instant::now());
    let mut outcomes = Vec::new();
    for resume in [1, 2, 9] {
        let resumed = Job {
            resume_from: Some(resume),
            ..job("a", 0, "x [tokens=2]")
        };
        batch.submit(resumed).unwrap();
        let outputs = batch.step(&mut cache, now).outputs;
        outcomes.push((outputs[0].token, outputs[0].done));
    }
    assert_eq!(outcomes, [(Some(1), true), (None, true), (None, true)]);
}

#[test]
fn cache_evicts_the_least_recently_used_block() {
    let (mut cache, now) = (cache(2, 0.0), Instant::now());
    cache.insert(&[1], now);
    cache.insert(&[2], now);
    assert_eq!(cache.lookup(&[1]), 1);
    cache.insert(&[3], now);
    assert_eq!(cache.lookup(&[2]), 0);
    assert_eq!(
        (cache.lookup(&[1]), cache.lookup(&[3]), cache.len()),
        (1, 1, 2)
    );
    let events = cache.events_after(2, now, Duration::ZERO);
    let events: Vec<_> = events.iter().map(|e| (e.seq, e.op, e.block)).collect();
    assert_eq!(events, [(3, CacheOp::Add, 3), (4, CacheOp::Drop, 2)]);
}

#[test]
fn cache_events_are_delayed_and_partly_lost() {
    let (mut cache, now, lag) = (cache(1000, 0.5), Instant::now(), Duration::from_secs(1));
    cache.insert(&(0..100).collect::<Vec<_>>(), now);
    assert_eq!(cache.events_after(0, now, lag), []);
    let published = cache.events_after(0, now + lag, lag);
    assert!(published.is_sorted_by(|a, b| a.seq < b.seq));
    assert!((25..75).contains(&published.len()), "{}", published.len());
    assert!(published.iter().all(|e| e.seq == e.block + 1));
}

#[test]
fn block_hashes_are_chained() {
    let (role, text) = ("user\n", "a".repeat(600));
    let whole = format!("{role}{text}\n");
    let first = xxh3_64(&whole.as_bytes()[..256]);
    let second = xxh3_64_with_seed(&whole.as_bytes()[256..512], first);
    let prompt = prompt(&text);
    assert_eq!((prompt.blocks, prompt.tokens), (vec![first, second], 150));
}

#[test]
fn marks_in_a_prompt_set_length_and_crash() {
    assert_eq!(prompt("dim [tokens=7] it").natural_length, 7);
    assert!((16..128).contains(&prompt("dim it").natural_length));
    assert_eq!((prompt("").tokens, prompt("abcde").tokens), (1, 2));
    assert!(prompt("a [crash]").crashes && !prompt("a crash").crashes);
}

#[test]
fn load_is_reported_after_the_lag() {
    let (now, lag) = (Instant::now(), Duration::from_secs(1));
    let load = |running| LoadWire {
        running,
        ..LoadWire::default()
    };
    let mut history = History::new(lag, load(0), now);
    history.record(load(1), now);
    history.record(load(2), now + lag / 2);
    assert_eq!(history.report(now).running, 0);
    assert_eq!(history.report(now + lag).running, 1);
    history.record(load(3), now + lag);
    assert_eq!(history.report(now + lag).running, 1);
    assert_eq!(history.report(now + lag * 3 / 2).running, 2);
    let last = history.report(now + lag * 2);
    assert_eq!((last.running, last.age_ms), (3, 1000));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_answer_is_the_concatenation_of_its_tokens(hash: u64, length in 0..100u32, cut in 0..100u32) {
        let cut = cut.min(length);
        let rest: String = (cut..length).map(|i| text::answer_token(hash, i)).collect();
        let whole = text::answer(hash, length);
        prop_assert_eq!(whole.split_terminator(' ').count(), length as usize);
        prop_assert!(!whole.starts_with(' '));
        prop_assert_eq!(text::answer(hash, cut) + &rest, whole);
    }

    #[test]
    fn the_cache_never_exceeds_its_capacity(uses in prop::collection::vec(0..20u64, 1..200)) {
        let (mut cache, now) = (cache(5, 0.0), Instant::now());
        for block in uses {
            cache.insert(&[block, block + 1], now);
            prop_assert!(cache.len() <= 5);
            prop_assert_eq!(cache.lookup(&[block, block + 1]), 2);
        }
    }
}
