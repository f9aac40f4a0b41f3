//! Computes arrivals as a pure function of the mix, the options and the seed.
//!
//! Arrivals are a Poisson process. A rush adds a second process with random
//! numbers of its own, so that the other workspaces' arrivals are the same with
//! the rush and without it.

use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::mix::{Chat, Mix, RequestKind};

/// Limit on the arrivals of a schedule; later ones are left out.
pub const MAX_ARRIVALS: usize = 2_000_000;
/// XORed with the seed, so that the rush has its own sequence of random numbers.
const RUSH_SEED_XOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A temporary load increase of one workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Rush {
    /// Name of the workspace.
    pub workspace: String,
    /// Rate during the rush, as a multiple of the workspace's normal rate.
    pub factor: f64,
    /// Start, relative to the start of the run.
    pub from: Duration,
    /// End, relative to the start of the run.
    pub until: Duration,
}

/// Parameters of a schedule, beside the mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Arrivals per second, without the rush.
    pub rate: f64,
    /// Length of the schedule.
    pub duration: Duration,
    /// The rush, if there is one.
    pub rush: Option<Rush>,
    /// Number of distinct prompts per class and workspace; 0 makes every prompt distinct.
    pub distinct_prompts: u64,
}

/// A scheduled request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Arrival time, relative to the start of the run.
    pub at: Duration,
    /// Index of its class in [`Mix::classes`].
    pub class: usize,
    /// Index of its workspace in [`Mix::senders`].
    pub sender: usize,
    /// Sequence number, unique within the schedule.
    pub number: u64,
    /// Identifies the prompt among those of its class and workspace.
    pub prompt: u64,
    /// Words of the prompt after the shared prefix.
    pub words: u32,
    /// Tokens of the answer.
    pub answer: u32,
}

/// Computes all arrivals, in order of time.
pub fn schedule(mix: &Mix, plan: &Plan) -> Vec<Arrival> {
    let weights: Vec<f64> = mix.senders.iter().map(|s| s.weight).collect();
    let full_span = (Duration::ZERO, plan.duration);
    let mut all = poisson_arrivals(mix, plan, plan.seed, plan.rate, &weights, full_span);
    if let Some((sender, rush)) = find_rush(mix, plan) {
        let weight = weights[sender] / weights.iter().sum::<f64>();
        let rate = plan.rate * weight * (rush.factor - 1.0).max(0.0);
        let mut only_sender = vec![0.0; weights.len()];
        only_sender[sender] = 1.0;
        let span = (rush.from, rush.until.min(plan.duration));
        all.extend(poisson_arrivals(
            mix,
            plan,
            plan.seed ^ RUSH_SEED_XOR,
            rate,
            &only_sender,
            span,
        ));
    }
    all.sort_by_key(|a| a.at);
    all.truncate(MAX_ARRIVALS);
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    all
}

fn find_rush<'a>(mix: &Mix, plan: &'a Plan) -> Option<(usize, &'a Rush)> {
    let rush = plan.rush.as_ref()?;
    Some((mix.sender_index(&rush.workspace)?, rush))
}

fn poisson_arrivals(
    mix: &Mix,
    plan: &Plan,
    seed: u64,
    rate: f64,
    sender_weights: &[f64],
    (from, until): (Duration, Duration),
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    if rate <= 0.0 {
        return arrivals;
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let class_weights: Vec<f64> = mix.classes.iter().map(|c| c.weight).collect();
    let mut at = from.as_secs_f64();
    while arrivals.len() < MAX_ARRIVALS {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= until.as_secs_f64() {
            break;
        }
        let class = weighted_index(&class_weights, rng.random());
        let sender = weighted_index(sender_weights, rng.random());
        let prompt: u64 = rng.random();
        let prompt = prompt.checked_rem(plan.distinct_prompts).unwrap_or(prompt);
        // The lengths are derived from the prompt's number, so that a repeated
        // prompt has the same text and the same length of answer.
        let mut sizes = Xoshiro256PlusPlus::seed_from_u64(prompt ^ plan.seed);
        let (words, answer) = match &mix.classes[class].kind {
            RequestKind::Chat(chat) => draw_lengths(chat, &mut sizes),
            RequestKind::Call(_) => (0, 0),
        };
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            class,
            sender,
            number: 0,
            prompt,
            words,
            answer,
        });
    }
    arrivals
}

fn draw_lengths(chat: &Chat, rng: &mut Xoshiro256PlusPlus) -> (u32, u32) {
    let words = rng.random_range(chat.prompt_words.0..=chat.prompt_words.1);
    let answer = rng.random_range(chat.answer_tokens.0..=chat.answer_tokens.1);
    (words, answer)
}

/// Chooses an index with probability proportional to its weight.
///
/// `random` is uniform in [0, 1).
fn weighted_index(weights: &[f64], random: f64) -> usize {
    let mut remaining = random * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    let last_index = weights.iter().rposition(|weight| *weight > 0.0);
    last_index.unwrap_or(0)
}
