//! Choice of one server among those that may be used.

use std::time::Instant;

use crate::route::predict::{Forecast, LoadEstimator, forecast};
use crate::route::rng::SplitMix64;
use crate::route::server::HealthState;
use crate::route::{Choice, Fleet, Job, Policy, Reason, SAMPLE_SIZE};

/// Number of servers, earliest predicted finish first, that a draw is made from.
const MAX_CANDIDATES: usize = 4;

/// Largest acceptable ratio of a server's predicted time to finish to that of the
/// best server at its limit.
///
/// Beyond it the request waits for the better server; otherwise it would go to a
/// slow server whenever all others are at their limit.
const MAX_SLOWDOWN: f64 = 2.0;

/// Exponent of the weights in a draw; a higher one favours earlier servers more.
const WEIGHT_EXPONENT: i32 = 16;

/// A server and its forecast for the request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    index: usize,
    matched: u32,
    forecast: Forecast,
    /// Seconds until the whole answer if the server had none of the prompt cached.
    uncached: f64,
    probe: bool,
}

impl Candidate {
    /// Converts the candidate into the final choice.
    pub(super) fn into_choice(self, reason: Reason) -> Choice {
        Choice {
            server: self.index,
            matched: self.matched,
            forecast: self.forecast,
            reason,
        }
    }

    fn finish(&self) -> f64 {
        self.forecast.finish.as_secs_f64()
    }
}

/// Indexes of the servers to consider: all, or `near` and a random sample.
pub(super) fn sample<'a>(
    len: usize,
    near: &'a [usize],
    rng: &mut SplitMix64,
) -> impl Iterator<Item = usize> + Clone + use<'a> {
    let all = len <= SAMPLE_SIZE;
    // The random start also breaks ties at random.
    let start = rng.below(len);
    let stride = if all {
        1
    } else {
        1 + rng.below(len / SAMPLE_SIZE)
    };
    let near = if all { &[] } else { near };
    let spread = (0..len.min(SAMPLE_SIZE)).map(move |i| (start + i * stride) % len);
    near.iter()
        .copied()
        .filter(move |at| *at < len)
        .chain(spread)
}

/// Forecasts the answer of the server at `index`.
pub(super) fn evaluate(
    fleet: &Fleet<'_>,
    job: &Job<'_>,
    index: usize,
    matched: u32,
    estimator: &LoadEstimator,
    now: Instant,
) -> Candidate {
    let server = &fleet.servers[index];
    let forecast = forecast(server, job, matched, estimator, now);
    Candidate {
        index,
        matched,
        forecast,
        uncached: forecast.finish.as_secs_f64()
            + server.speed.prefill_seconds(matched.min(job.prompt)),
        probe: server.health == HealthState::Probing,
    }
}

/// The servers with room that are predicted to finish first.
#[derive(Debug)]
pub(super) struct Shortlist {
    available: [Option<Candidate>; MAX_CANDIDATES],
    probe: Option<Candidate>,
    /// Seconds until the best server at its limit would finish.
    full_finish: f64,
}

impl Default for Shortlist {
    fn default() -> Self {
        Self {
            available: [None; MAX_CANDIDATES],
            probe: None,
            full_finish: f64::INFINITY,
        }
    }
}

impl Shortlist {
    /// Adds a server that either has room or is at its limit.
    pub(super) fn add(&mut self, mut new: Candidate, has_room: bool) {
        if new.probe {
            self.probe = self.probe.or(has_room.then_some(new));
            return;
        }
        if !has_room {
            self.full_finish = self.full_finish.min(new.finish());
            return;
        }
        for entry in &mut self.available {
            match entry {
                None => {
                    *entry = Some(new);
                    return;
                }
                Some(held) if held.index == new.index => return,
                Some(held) if new.finish() < held.finish() => std::mem::swap(held, &mut new),
                Some(_) => {}
            }
        }
    }

    /// Draws two servers, weighted towards earlier ones, and takes the earlier.
    pub(super) fn draw(self, rng: &mut SplitMix64) -> Option<Choice> {
        if let Some(probe) = self.probe {
            return Some(probe.into_choice(Reason::Probe));
        }
        let earliest = self.available[0]?;
        let max_finish = MAX_SLOWDOWN * self.full_finish;
        if earliest.finish() > max_finish {
            return None;
        }
        let acceptable = |r: &&Candidate| r.finish() <= max_finish;
        let total: f64 = self
            .available
            .iter()
            .flatten()
            .filter(acceptable)
            .map(|r| weight(&earliest, r))
            .sum();
        let mut draw_one = || {
            let mut point = rng.next_f64() * total;
            let hit = self.available.iter().flatten().position(|r| {
                point -= weight(&earliest, r);
                point < 0.0
            });
            hit.unwrap_or(0)
        };
        let at = draw_one().min(draw_one());
        let drawn = self.available[at]?;
        Some(drawn.into_choice(self.reason(at, &drawn)))
    }

    fn reason(&self, at: usize, drawn: &Candidate) -> Reason {
        let next = self.available[1].map(|next| next.finish());
        match self.available[0] {
            Some(earliest) if at > 0 => Reason::RandomDraw {
                behind: drawn.forecast.finish - earliest.forecast.finish,
            },
            _ if drawn.matched > 0 && next.is_some_and(|next| next <= drawn.uncached) => {
                Reason::Prefix {
                    tokens: drawn.matched,
                }
            }
            _ => Reason::EarliestFinish,
        }
    }
}

fn weight(earliest: &Candidate, other: &Candidate) -> f64 {
    (earliest.finish() / other.finish().max(f64::EPSILON)).powi(WEIGHT_EXPONENT)
}

/// Chooses by a policy that uses no forecast.
pub(super) fn choose_simple(
    fleet: &Fleet<'_>,
    policy: Policy,
    rng: &mut SplitMix64,
    mut usable: impl FnMut(usize) -> bool,
) -> Option<usize> {
    let len = fleet.servers.len();
    let start = match policy {
        Policy::RoundRobin => (fleet.placed % len.max(1) as u64) as usize,
        _ => rng.below(len),
    };
    let mut available = (0..len).map(|i| (start + i) % len).filter(|at| usable(*at));
    let in_flight = |at: &usize| fleet.servers[*at].in_flight();
    match policy {
        Policy::LeastInFlight => available.min_by_key(in_flight),
        Policy::RandomOfTwo => {
            let available: Vec<usize> = available.collect();
            let mut any = || available.get(rng.below(available.len())).copied();
            any().into_iter().chain(any()).min_by_key(in_flight)
        }
        _ => available.next(),
    }
}
