//! Which backend server a request goes to.
//!
//! The router predicts when each candidate would have answered and sends the
//! request to one of the best few, drawn at random in favour of the sooner
//! ones. Routers don't see each other's newest choices, and without the draw
//! all would pick the same server until the next load report. Beyond
//! [`SAMPLE_SIZE`] servers only a random sample of them is looked at.

pub mod limit;
mod pace;
mod pick;
pub mod predict;
pub mod rng;
pub mod server;

use std::fmt;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::route::server::{HealthState, Server};

/// How many servers are looked at for one request.
pub const SAMPLE_SIZE: usize = 64;

/// How a backend server is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// By predicted completion.
    #[default]
    Predicted,
    /// Each in its turn.
    RoundRobin,
    /// The one with the fewest own requests in flight.
    LeastInFlight,
    /// The one of two random ones with fewer own requests in flight.
    RandomOfTwo,
}

/// A request as routing sees it.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// 0 is the most urgent.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens that are expected; steps of a service call.
    pub output: u32,
    /// Whether it may run twice; only such requests probe ejected servers.
    pub repeatable: bool,
    /// Servers that were tried before.
    pub tried: &'a [Name],
}

/// The servers that offer what the request needs, and who shares them.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The servers; a choice is an index into them.
    pub servers: &'a [Server],
    /// Live routers, this one included.
    pub routers: u32,
    /// How to choose.
    pub policy: Policy,
    /// Counts this router's choices, for taking turns.
    pub placed: u64,
}

/// Why a server was chosen, or none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// It was predicted to finish first.
    EarliestFinish,
    /// It was drawn although another one was predicted to finish first.
    RandomDraw {
        /// How much later it was predicted to finish.
        behind: Duration,
    },
    /// It holds part of the prompt, and without that another one was sooner.
    Prefix {
        /// Prompt tokens that it holds.
        tokens: u32,
    },
    /// It was ejected and is tried with one request.
    Probe,
    /// A policy without prediction.
    Policy(Policy),
    /// Every usable server, or every one worth it, is at this router's limit.
    AtLimit {
        /// How many are.
        servers: u32,
    },
    /// Every server was tried before.
    AllTried,
    /// No server may be used: all are leaving, fenced or ejected.
    Unusable {
        /// How many are leaving.
        leaving: u32,
        /// How many are ejected.
        ejected: u32,
    },
    /// No server offers it.
    NotOffered,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EarliestFinish => f.write_str("predicted to finish first"),
            Self::RandomDraw { behind } => {
                write!(f, "drawn, {} ms behind the soonest", behind.as_millis())
            }
            Self::Prefix { tokens } => write!(f, "soonest, holds {tokens} tokens of the prompt"),
            Self::Probe => f.write_str("probe of an ejected server"),
            Self::Policy(policy) => write!(f, "policy {policy:?}"),
            Self::AtLimit { servers } => write!(f, "{servers} servers at their limit"),
            Self::AllTried => f.write_str("every server was tried"),
            Self::Unusable { leaving, ejected } => {
                write!(f, "no usable server, {leaving} leaving, {ejected} ejected")
            }
            Self::NotOffered => f.write_str("no server offers it"),
        }
    }
}

/// A chosen server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Its index in the fleet.
    pub server: usize,
    /// Prompt tokens that it was taken to hold.
    pub matched: u32,
    /// When it is predicted to answer.
    pub forecast: predict::Forecast,
    /// Why it was chosen.
    pub reason: Reason,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Choice),
    /// Keep it queued; a server will have room.
    Wait(Reason),
    /// No server can take it.
    NoServer(Reason),
}

/// Chooses a server for `job`.
///
/// `matched` tells how many prompt tokens the server at an index holds, `near`
/// lists servers to look at besides the sample, and `dice` is a random number.
pub fn choose(
    fleet: &Fleet<'_>,
    job: &Job<'_>,
    matched: impl Fn(usize) -> u32,
    near: &[usize],
    dice: u64,
    now: Instant,
) -> Decision {
    let mut dice = rng::SplitMix64::new(dice);
    let mut tally = Tally::default();
    let chosen = match fleet.policy {
        Policy::Predicted => {
            let sample = pick::sample(fleet.servers.len(), near, &mut dice);
            let scale = predict::LoadEstimator::of(sample.clone().map(|at| &fleet.servers[at]));
            let mut few = pick::Few::default();
            for at in sample {
                let fit = tally.count(fleet, job, at);
                if fit == Fit::Room || fit == Fit::Full {
                    let rated = pick::rate(fleet, job, at, matched(at), &scale, now);
                    few.add(rated, fit == Fit::Room);
                }
            }
            few.draw(&mut dice)
        }
        plain => {
            let room = |at| tally.count(fleet, job, at) == Fit::Room;
            let at = pick::plain(fleet, plain, &mut dice, room);
            at.map(|at| {
                let scale = predict::LoadEstimator::of(std::iter::once(&fleet.servers[at]));
                let rated = pick::rate(fleet, job, at, matched(at), &scale, now);
                rated.chosen(Reason::Policy(plain))
            })
        }
    };
    chosen.map_or_else(|| tally.outcome(), Decision::Send)
}

/// How soon a request could be answered, for admission.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// The soonest usable server's forecast, whether or not it has room.
    pub best: Option<predict::Forecast>,
    /// Whether a usable server has room.
    pub has_room: bool,
}

/// Looks for the soonest answer without choosing a server.
pub fn estimate(
    fleet: &Fleet<'_>,
    job: &Job<'_>,
    matched: impl Fn(usize) -> u32,
    near: &[usize],
    dice: u64,
    now: Instant,
) -> Estimate {
    let mut sight = Estimate::default();
    let sample = pick::sample(fleet.servers.len(), near, &mut rng::SplitMix64::new(dice));
    let scale = predict::LoadEstimator::of(sample.clone().map(|at| &fleet.servers[at]));
    for at in sample {
        let server = &fleet.servers[at];
        if server.leaving || server.fenced || server.health == HealthState::Ejected {
            continue;
        }
        sight.has_room |= limit::has_room(server, fleet.routers);
        let told = predict::forecast(server, job, matched(at), &scale, now);
        if sight.best.is_none_or(|best| told.finish < best.finish) {
            sight.best = Some(told);
        }
    }
    sight
}

/// Whether a server can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    Room,
    Full,
    Unfit,
}

/// Why servers were passed over.
#[derive(Debug, Default)]
struct Tally {
    full: u32,
    tried: u32,
    leaving: u32,
    ejected: u32,
}

impl Tally {
    /// Tells whether the server at `at` can take `job`, and counts why not.
    fn count(&mut self, fleet: &Fleet<'_>, job: &Job<'_>, at: usize) -> Fit {
        let server = &fleet.servers[at];
        let shut = match server.health {
            HealthState::Healthy => false,
            HealthState::Probing => !job.repeatable,
            HealthState::Ejected => true,
        };
        let count = if server.leaving || server.fenced {
            &mut self.leaving
        } else if shut {
            &mut self.ejected
        } else if job.tried.contains(&server.name) {
            &mut self.tried
        } else if !limit::has_room(server, fleet.routers) {
            self.full += 1;
            return Fit::Full;
        } else {
            return Fit::Room;
        };
        *count += 1;
        Fit::Unfit
    }

    /// What that means where no server was chosen.
    fn outcome(&self) -> Decision {
        if self.full > 0 {
            return Decision::Wait(Reason::AtLimit { servers: self.full });
        }
        if self.tried > 0 {
            return Decision::NoServer(Reason::AllTried);
        }
        if self.leaving + self.ejected > 0 {
            return Decision::NoServer(Reason::Unusable {
                leaving: self.leaving,
                ejected: self.ejected,
            });
        }
        Decision::NoServer(Reason::NotOffered)
    }
}
