//! Measures the errors of the output prediction and of the mean on generated streams
//! with a heavy tail.

use std::time::{Duration, Instant};

use poplar_core::cost::Costs;
use poplar_core::id::Name;
use poplar_core::route::rng::SplitMix64;

const STREAMS: u32 = 20_000;
/// Streams before errors count, except in the row of a new router.
const WARM_UP: u32 = 2_000;
/// Streams of a router that has just started.
const NEW: u32 = 100;
const MAX_OUTPUT: u64 = 4_096;
/// Weight of an output in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Output assumed before the first stream.
const DEFAULT_OUTPUT: f64 = 120.0;
/// Median outputs and spreads of the logarithm, by pair of a route and a workspace.
const PAIRS: [(f64, f64); 6] = [
    (40.0, 0.6),
    (90.0, 1.0),
    (150.0, 1.2),
    (150.0, 0.8),
    (300.0, 1.0),
    (600.0, 1.4),
];

fn normal(rng: &mut SplitMix64) -> f64 {
    (0..12).map(|_| rng.next_f64()).sum::<f64>() - 6.0
}

struct Stream {
    pair: usize,
    tokens: u64,
    hint: u64,
}

/// A stream whose hint is within a fifth of the output in 60 of 100 cases, and off by a
/// factor with a spread of five in the others.
fn stream(rng: &mut SplitMix64) -> Stream {
    let pair = rng.below(PAIRS.len());
    let (median, spread) = PAIRS[pair];
    let tokens = (median * (spread * normal(rng)).exp()).clamp(1.0, MAX_OUTPUT as f64);
    let spread = if rng.next_f64() < 0.6 { 0.18 } else { 1.6 };
    let hint = (tokens * (spread * normal(rng)).exp()).max(1.0);
    Stream {
        pair,
        tokens: tokens as u64,
        hint: hint as u64,
    }
}

fn print(name: &str, mut errors: Vec<f64>) {
    errors.sort_by(f64::total_cmp);
    let at = |share: f64| errors[(errors.len() as f64 * share) as usize];
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    println!("| {name} | {:.0} | {:.0} | {mean:.0} |", at(0.5), at(0.9));
}

/// Errors of each predictor for the streams that `counts` selects.
fn measure(streams: u32, counts: impl Fn(u32) -> bool) {
    let mut errors: [Vec<f64>; 4] = Default::default();
    for seed in 1..=5 {
        let mut rng = SplitMix64::new(seed);
        let (mut with_hints, mut without) = (Costs::default(), Costs::default());
        let mut means = [DEFAULT_OUTPUT; PAIRS.len()];
        let now = Instant::now();
        for at in 0..streams {
            let Stream { pair, tokens, hint } = stream(&mut rng);
            let name: (Name, Name) = ("chat".into(), format!("w{pair}").into());
            let predicted = [
                means[pair],
                hint.min(MAX_OUTPUT) as f64,
                without.output(&name, None, MAX_OUTPUT) as f64,
                with_hints.output(&name, Some(hint), MAX_OUTPUT) as f64,
            ];
            if counts(at) {
                for (errors, predicted) in errors.iter_mut().zip(predicted) {
                    errors.push((predicted - tokens as f64).abs());
                }
            }
            let now = now + Duration::from_millis(at.into());
            without.record_output(name.clone(), None, tokens, now);
            with_hints.record_output(name, Some(hint), tokens, now);
            let is_first = means[pair] == DEFAULT_OUTPUT;
            let weight = if is_first { 1.0 } else { MEAN_WEIGHT };
            means[pair] += weight * (tokens as f64 - means[pair]);
        }
    }
    for (name, errors) in ["mean", "hint alone", "median", "median and hint"]
        .into_iter()
        .zip(errors)
    {
        print(name, errors);
    }
}

fn main() {
    println!("Errors in tokens after {WARM_UP} streams:\n");
    println!("| predictor | median | p90 | mean |\n|---|---|---|---|");
    measure(STREAMS, |at| at >= WARM_UP);
    println!("\nThe first {NEW} streams of a router:\n");
    println!("| predictor | median | p90 | mean |\n|---|---|---|---|");
    measure(NEW, |_| true);
}
