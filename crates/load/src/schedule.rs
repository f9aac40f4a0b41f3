//! Arrivals as a pure function of the mix, the options and the seed.
//!
//! A rush is a second stream of arrivals on top of the first, so that the
//! others' arrivals are the same with the rush and without it.

use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::mix::{Chat, Mix, Work};

/// Most arrivals of a schedule; what would come later is left out.
pub const MOST: usize = 2_000_000;
/// Sets the rush's random numbers apart from the others.
const RUSH: u64 = 0x9e37_79b9_7f4a_7c15;

/// One workspace sends more for a while.
#[derive(Debug, Clone, PartialEq)]
pub struct Rush {
    /// The workspace.
    pub workspace: String,
    /// How many times its share.
    pub times: f64,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// What a schedule is made from, beside the mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed of every random number.
    pub seed: u64,
    /// Arrivals a second, without the rush.
    pub rate: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// A rush.
    pub rush: Option<Rush>,
    /// Distinct prompts of a class and workspace; 0 makes each one distinct.
    pub prompts: u64,
}

/// A request that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When, after the start.
    pub at: Duration,
    /// Place of its class in the mix.
    pub item: usize,
    /// Place of its workspace in the mix.
    pub sender: usize,
    /// Its number, unique within the schedule.
    pub number: u64,
    /// Which prompt of its class and workspace it sends.
    pub prompt: u64,
    /// Words of the prompt after the common beginning.
    pub words: u32,
    /// Tokens of the answer.
    pub answer: u32,
}

/// Computes every arrival in order of time.
pub fn schedule(mix: &Mix, plan: &Plan) -> Vec<Arrival> {
    let shares: Vec<f64> = mix.senders.iter().map(|s| s.share).collect();
    let whole = (Duration::ZERO, plan.duration);
    let mut all = stream(mix, plan, plan.seed, plan.rate, &shares, whole);
    if let Some((sender, rush)) = rushing(mix, plan) {
        let share = shares[sender] / shares.iter().sum::<f64>();
        let rate = plan.rate * share * (rush.times - 1.0).max(0.0);
        let mut only = vec![0.0; shares.len()];
        only[sender] = 1.0;
        let span = (rush.from, rush.until.min(plan.duration));
        all.extend(stream(mix, plan, plan.seed ^ RUSH, rate, &only, span));
    }
    all.sort_by_key(|a| a.at);
    all.truncate(MOST);
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    all
}

fn rushing<'a>(mix: &Mix, plan: &'a Plan) -> Option<(usize, &'a Rush)> {
    let rush = plan.rush.as_ref()?;
    Some((mix.sender(&rush.workspace)?, rush))
}

fn stream(
    mix: &Mix,
    plan: &Plan,
    seed: u64,
    rate: f64,
    senders: &[f64],
    (from, until): (Duration, Duration),
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    if rate <= 0.0 {
        return arrivals;
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let items: Vec<f64> = mix.items.iter().map(|i| i.share).collect();
    let mut at = from.as_secs_f64();
    while arrivals.len() < MOST {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= until.as_secs_f64() {
            break;
        }
        let item = pick(&items, rng.random());
        let sender = pick(senders, rng.random());
        let prompt: u64 = rng.random();
        let prompt = prompt.checked_rem(plan.prompts).unwrap_or(prompt);
        // A repeated prompt asks for the same thing, so its sizes come from it.
        let mut sizes = Xoshiro256PlusPlus::seed_from_u64(prompt ^ plan.seed);
        let (words, answer) = match &mix.items[item].work {
            Work::Chat(chat) => lengths(chat, &mut sizes),
            Work::Call(_) => (0, 0),
        };
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            item,
            sender,
            number: 0,
            prompt,
            words,
            answer,
        });
    }
    arrivals
}

fn lengths(chat: &Chat, rng: &mut Xoshiro256PlusPlus) -> (u32, u32) {
    let words = rng.random_range(chat.words.0..=chat.words.1);
    let answer = rng.random_range(chat.answer.0..=chat.answer.1);
    (words, answer)
}

/// The place that `draw`, from 0 to 1, falls on among `shares`.
fn pick(shares: &[f64], draw: f64) -> usize {
    let mut left = draw * shares.iter().sum::<f64>();
    for (at, share) in shares.iter().enumerate() {
        if left < *share {
            return at;
        }
        left -= share;
    }
    let last = shares.iter().rposition(|share| *share > 0.0);
    last.unwrap_or(0)
}
