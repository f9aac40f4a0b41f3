//! Costs of requests that are learned: outputs with a heavy tail, hints, calls.

use std::time::{Duration, Instant};

use poplar_core::cost::{Costs, output_left};
use poplar_core::id::Name;
use poplar_core::route::rng::SplitMix64;

const MAX: u64 = 100_000;

fn pair(workspace: &str) -> (Name, Name) {
    ("chat".into(), workspace.into())
}

/// Tokens with the median 100, of which a tenth are above 600.
fn heavy_tail(rng: &mut SplitMix64) -> u64 {
    let normal: f64 = (0..12).map(|_| rng.next_f64()).sum::<f64>() - 6.0;
    (100.0 * (1.4 * normal).exp()).ceil() as u64
}

/// Guards against a prediction that a few very long outputs draw up, and against one
/// that does not follow a change.
#[test]
fn a_prediction_is_the_median_and_follows_a_change() {
    let now = Instant::now();
    let mut rng = SplitMix64::new(1);
    let mut costs = Costs::default();
    for _ in 0..400 {
        costs.record_output(pair("a"), None, heavy_tail(&mut rng), now);
    }
    let predicted = costs.output(&pair("a"), None, MAX);
    assert!((60..160).contains(&predicted), "{predicted}");
    for _ in 0..100 {
        costs.record_output(pair("a"), None, 10 * heavy_tail(&mut rng), now);
    }
    let predicted = costs.output(&pair("a"), None, MAX);
    assert!((500..2_000).contains(&predicted), "{predicted}");
    assert_eq!(costs.output(&pair("a"), None, 30), 30);
}

/// Guards against a prediction of a new router that is far off what the routes have.
#[test]
fn a_new_pair_begins_with_the_mean() {
    let now = Instant::now();
    let mut costs = Costs::default();
    assert_eq!(costs.output(&pair("a"), Some(9_000), MAX), 120);
    for tokens in [100, 300] {
        costs.record_output(pair("a"), None, tokens, now);
    }
    assert_eq!(costs.output(&pair("a"), None, MAX), 200);
    assert_eq!(costs.output(&pair("b"), None, MAX), 200);
}

/// Guards against hints that are believed though they are wrong, or not though they are
/// right.
#[test]
fn hints_count_as_far_as_they_proved_right() {
    let now = Instant::now();
    let mut rng = SplitMix64::new(2);
    let mut costs = Costs::default();
    for _ in 0..300 {
        let tokens = heavy_tail(&mut rng);
        // Clients of "right" state twice what they get, those of "wrong" anything.
        costs.record_output(pair("right"), Some(2 * tokens), tokens, now);
        let random = heavy_tail(&mut rng).pow(2);
        costs.record_output(pair("wrong"), Some(random), tokens, now);
    }
    let right = costs.output(&pair("right"), Some(2_000), MAX);
    assert!((850..1_150).contains(&right), "{right}");
    let wrong = costs.output(&pair("wrong"), Some(90_000), MAX);
    assert!((50..300).contains(&wrong), "{wrong}");
    for hint in [None, Some(0), Some(u64::MAX)] {
        let predicted = costs.output(&pair("right"), hint, MAX);
        assert!((1..=MAX).contains(&predicted), "{hint:?}: {predicted}");
    }
}

/// Guards against an output that counts as ended since it is longer than expected.
#[test]
fn an_output_beyond_its_prediction_is_not_over() {
    assert_eq!(output_left(200, 50), 150);
    assert_eq!(output_left(200, 900), 50);
}

/// Guards against state that grows with the names that clients use, and against times
/// that are no numbers.
#[test]
fn pairs_are_bounded_and_samples_checked() {
    let now = Instant::now();
    let mut costs = Costs::default();
    for at in 0..3_000u32 {
        let later = now + Duration::from_millis(at.into());
        let name = pair(&format!("w{at}"));
        costs.record_output(name.clone(), None, 50, later);
        costs.record_call(name, Duration::from_millis(30), 1.0, later);
    }
    assert!(costs.pairs() <= 1_024, "{}", costs.pairs());
    assert_eq!(costs.call_ms(&pair("w2999")).round(), 30.0);
    costs.record_output(pair("w2999"), Some(0), 0, now);
    for pace in [0.0, -1.0, f64::INFINITY, f64::NAN] {
        costs.record_call(pair("w2999"), Duration::from_millis(30), pace, now);
    }
    assert_eq!(costs.call_ms(&pair("w2999")).round(), 30.0);
}
