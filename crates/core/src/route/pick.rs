//! Drawing one server of those that may be used.

use std::time::Instant;

use crate::route::predict::{Forecast, LoadEstimator, forecast};
use crate::route::rng::SplitMix64;
use crate::route::server::HealthState;
use crate::route::{Choice, Fleet, Job, Policy, Reason, SAMPLE_SIZE};

/// How many of the soonest servers a draw is among.
const FEW: usize = 4;

/// How many times as late as a server at its limit another one may finish.
///
/// Beyond that the request waits for the better one, since even a slow server
/// has room when all others are at their limit.
const PATIENCE: f64 = 2.0;

/// How sharply a draw favours the sooner servers.
const SHARPNESS: i32 = 16;

/// A server with its prediction.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rated {
    at: usize,
    matched: u32,
    forecast: Forecast,
    /// Seconds until the whole answer if it held nothing of the prompt.
    bare: f64,
    probe: bool,
}

impl Rated {
    /// Turns it into the choice.
    pub(super) fn chosen(self, reason: Reason) -> Choice {
        Choice {
            server: self.at,
            matched: self.matched,
            forecast: self.forecast,
            reason,
        }
    }

    fn finish(&self) -> f64 {
        self.forecast.finish.as_secs_f64()
    }
}

/// Indexes to look at: all, or `near` and a random sample.
pub(super) fn sample<'a>(
    len: usize,
    near: &'a [usize],
    dice: &mut SplitMix64,
) -> impl Iterator<Item = usize> + Clone + use<'a> {
    let all = len <= SAMPLE_SIZE;
    // A random start also breaks ties at random.
    let start = dice.below(len);
    let stride = if all {
        1
    } else {
        1 + dice.below(len / SAMPLE_SIZE)
    };
    let near = if all { &[] } else { near };
    let spread = (0..len.min(SAMPLE_SIZE)).map(move |i| (start + i * stride) % len);
    near.iter()
        .copied()
        .filter(move |at| *at < len)
        .chain(spread)
}

/// Predicts for the server at `at`.
pub(super) fn rate(
    fleet: &Fleet<'_>,
    job: &Job<'_>,
    at: usize,
    matched: u32,
    scale: &LoadEstimator,
    now: Instant,
) -> Rated {
    let server = &fleet.servers[at];
    let forecast = forecast(server, job, matched, scale, now);
    Rated {
        at,
        matched,
        forecast,
        bare: forecast.finish.as_secs_f64() + server.pace.prefill(matched.min(job.prompt)),
        probe: server.health == HealthState::Probing,
    }
}

/// The soonest few of the servers that have room.
#[derive(Debug)]
pub(super) struct Few {
    open: [Option<Rated>; FEW],
    probe: Option<Rated>,
    /// Seconds until the soonest server at its limit would finish.
    full: f64,
}

impl Default for Few {
    fn default() -> Self {
        Self {
            open: [None; FEW],
            probe: None,
            full: f64::INFINITY,
        }
    }
}

impl Few {
    /// Adds a server, which has room or is at its limit.
    pub(super) fn add(&mut self, mut one: Rated, room: bool) {
        if one.probe {
            self.probe = self.probe.or(room.then_some(one));
            return;
        }
        if !room {
            self.full = self.full.min(one.finish());
            return;
        }
        for place in &mut self.open {
            match place {
                None => {
                    *place = Some(one);
                    return;
                }
                Some(held) if held.at == one.at => return,
                Some(held) if one.finish() < held.finish() => std::mem::swap(held, &mut one),
                Some(_) => {}
            }
        }
    }

    /// Draws two in favour of the sooner ones, and takes the sooner of the two.
    pub(super) fn draw(self, dice: &mut SplitMix64) -> Option<Choice> {
        if let Some(probe) = self.probe {
            return Some(probe.chosen(Reason::Probe));
        }
        let soonest = self.open[0]?;
        let late = PATIENCE * self.full;
        if soonest.finish() > late {
            return None;
        }
        let worth = |r: &&Rated| r.finish() <= late;
        let total: f64 = self
            .open
            .iter()
            .flatten()
            .filter(worth)
            .map(|r| weight(&soonest, r))
            .sum();
        let mut roll = || {
            let mut mark = dice.next_f64() * total;
            let hit = self.open.iter().flatten().position(|r| {
                mark -= weight(&soonest, r);
                mark < 0.0
            });
            hit.unwrap_or(0)
        };
        let at = roll().min(roll());
        let drawn = self.open[at]?;
        Some(drawn.chosen(self.reason(at, &drawn)))
    }

    fn reason(&self, at: usize, drawn: &Rated) -> Reason {
        let next = self.open[1].map(|next| next.finish());
        match self.open[0] {
            Some(soonest) if at > 0 => Reason::RandomDraw {
                behind: drawn.forecast.finish - soonest.forecast.finish,
            },
            _ if drawn.matched > 0 && next.is_some_and(|next| next <= drawn.bare) => {
                Reason::Prefix {
                    tokens: drawn.matched,
                }
            }
            _ => Reason::EarliestFinish,
        }
    }
}

fn weight(soonest: &Rated, one: &Rated) -> f64 {
    (soonest.finish() / one.finish().max(f64::EPSILON)).powi(SHARPNESS)
}

/// Chooses by a policy without prediction.
pub(super) fn plain(
    fleet: &Fleet<'_>,
    policy: Policy,
    dice: &mut SplitMix64,
    mut usable: impl FnMut(usize) -> bool,
) -> Option<usize> {
    let len = fleet.servers.len();
    let from = match policy {
        Policy::RoundRobin => (fleet.placed % len.max(1) as u64) as usize,
        _ => dice.below(len),
    };
    let mut open = (0..len).map(|i| (from + i) % len).filter(|at| usable(*at));
    let own = |at: &usize| fleet.servers[*at].in_flight();
    match policy {
        Policy::LeastInFlight => open.min_by_key(own),
        Policy::RandomOfTwo => {
            let open: Vec<usize> = open.collect();
            let mut one = || open.get(dice.below(open.len())).copied();
            one().into_iter().chain(one()).min_by_key(own)
        }
        _ => open.next(),
    }
}
