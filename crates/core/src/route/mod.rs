//! Choice of the backend server for a request.
//!
//! The router forecasts when each candidate would finish the answer and draws one
//! of the earliest few at random, weighted towards the earlier ones. Routers don't
//! see each other's latest choices, so without the draw all of them would pick the
//! same server until the next load report. If there are more than [`SAMPLE_SIZE`]
//! servers, only a random sample of them is considered.

pub mod limit;
mod pick;
pub mod predict;
pub mod rng;
pub mod server;
mod speed;

use std::fmt;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::route::server::{HealthState, Server};

/// Number of servers that are sampled for one request.
pub const SAMPLE_SIZE: usize = 64;

/// Load-balancing policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// By the forecast of when each server would finish.
    #[default]
    Predicted,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest of this router's requests in flight.
    LeastInFlight,
    /// Of two random servers, the one with fewer of this router's requests in flight.
    RandomOfTwo,
}

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Expected number of output tokens, or of steps for a service call.
    pub output: u32,
    /// Whether it may run more than once; only such requests probe ejected servers.
    pub repeatable: bool,
    /// Servers that it was already sent to.
    pub tried: &'a [Name],
}

/// The servers that offer what the request needs, and how they are shared.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The servers; [`Choice::server`] is an index into them.
    pub servers: &'a [Server],
    /// Number of live routers, including this one.
    pub routers: u32,
    /// The load-balancing policy.
    pub policy: Policy,
    /// Number of requests this router has placed, for [`Policy::RoundRobin`].
    pub placed: u64,
}

/// Why a server was chosen, or why none was.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// It was predicted to finish first.
    EarliestFinish,
    /// It was drawn at random although another one was predicted to finish first.
    RandomDraw {
        /// How much later it was predicted to finish than the earliest one.
        behind: Duration,
    },
    /// It has part of the prompt cached; otherwise another one would finish first.
    Prefix {
        /// Number of prompt tokens that it has cached.
        tokens: u32,
    },
    /// It is ejected and the request probes it.
    Probe,
    /// It was chosen by a policy that uses no forecast.
    Policy(Policy),
    /// Every usable server, or every one fast enough, is at this router's limit.
    AtLimit {
        /// Number of servers at their limit.
        servers: u32,
    },
    /// The request was already sent to every usable server.
    AllTried,
    /// No server may be used: all are leaving, fenced or ejected.
    Unusable {
        /// Number of servers that are leaving or fenced.
        leaving: u32,
        /// Number of servers that are ejected.
        ejected: u32,
    },
    /// No server offers what the request needs.
    NotOffered,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EarliestFinish => f.write_str("predicted to finish first"),
            Self::RandomDraw { behind } => {
                write!(
                    f,
                    "random draw, {} ms behind the earliest",
                    behind.as_millis()
                )
            }
            Self::Prefix { tokens } => write!(f, "earliest with {tokens} prompt tokens cached"),
            Self::Probe => f.write_str("probe of an ejected server"),
            Self::Policy(policy) => write!(f, "policy {policy:?}"),
            Self::AtLimit { servers } => write!(f, "{servers} servers at their limit"),
            Self::AllTried => f.write_str("already sent to every server"),
            Self::Unusable { leaving, ejected } => {
                write!(f, "no usable server, {leaving} leaving, {ejected} ejected")
            }
            Self::NotOffered => f.write_str("no server offers the model or service"),
        }
    }
}

/// A chosen server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Its index in [`Fleet::servers`].
    pub server: usize,
    /// Number of prompt tokens that it was assumed to have cached.
    pub matched: u32,
    /// The forecast of its answer.
    pub forecast: predict::Forecast,
    /// Why it was chosen.
    pub reason: Reason,
}

/// The routing decision for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Send it to the chosen server.
    Send(Choice),
    /// Keep it queued until a server has room.
    Wait(Reason),
    /// No server can take it.
    NoServer(Reason),
}

/// Chooses a server for `job`.
///
/// `matched` returns how many prompt tokens the server at an index has cached,
/// `near` lists servers to consider besides the sample, and `random` is a random
/// number.
pub fn choose(
    fleet: &Fleet<'_>,
    job: &Job<'_>,
    matched: impl Fn(usize) -> u32,
    near: &[usize],
    random: u64,
    now: Instant,
) -> Decision {
    let mut rng = rng::SplitMix64::new(random);
    let mut rejected = Rejected::default();
    let chosen = match fleet.policy {
        Policy::Predicted => {
            let sample = pick::sample(fleet.servers.len(), near, &mut rng);
            let estimator =
                predict::LoadEstimator::of(sample.clone().map(|index| &fleet.servers[index]));
            let mut shortlist = pick::Shortlist::default();
            for index in sample {
                let fit = rejected.classify(fleet, job, index);
                if fit == Fit::HasRoom || fit == Fit::AtLimit {
                    let candidate =
                        pick::evaluate(fleet, job, index, matched(index), &estimator, now);
                    shortlist.add(candidate, fit == Fit::HasRoom);
                }
            }
            shortlist.draw(&mut rng)
        }
        simple => {
            let has_room = |index| rejected.classify(fleet, job, index) == Fit::HasRoom;
            let index = pick::choose_simple(fleet, simple, &mut rng, has_room);
            index.map(|index| {
                let estimator = predict::LoadEstimator::of(std::iter::once(&fleet.servers[index]));
                let candidate = pick::evaluate(fleet, job, index, matched(index), &estimator, now);
                candidate.into_choice(Reason::Policy(simple))
            })
        }
    };
    chosen.map_or_else(|| rejected.decision(), Decision::Send)
}

/// Estimate of how soon a request could be answered, for admission control.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// The earliest forecast among usable servers, whether or not they have room.
    pub best: Option<predict::Forecast>,
    /// Whether any usable server has room.
    pub has_room: bool,
}

/// Estimates the earliest answer without choosing a server.
///
/// The arguments are those of [`choose`].
pub fn estimate(
    fleet: &Fleet<'_>,
    job: &Job<'_>,
    matched: impl Fn(usize) -> u32,
    near: &[usize],
    random: u64,
    now: Instant,
) -> Estimate {
    let mut estimate = Estimate::default();
    let sample = pick::sample(fleet.servers.len(), near, &mut rng::SplitMix64::new(random));
    let estimator = predict::LoadEstimator::of(sample.clone().map(|index| &fleet.servers[index]));
    for index in sample {
        let server = &fleet.servers[index];
        if server.leaving || server.fenced || server.health == HealthState::Ejected {
            continue;
        }
        estimate.has_room |= limit::has_room(server, fleet.routers);
        let forecast = predict::forecast(server, job, matched(index), &estimator, now);
        if estimate
            .best
            .is_none_or(|best| forecast.finish < best.finish)
        {
            estimate.best = Some(forecast);
        }
    }
    estimate
}

/// Whether a server can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    HasRoom,
    AtLimit,
    Unusable,
}

/// Numbers of servers that can't take a request, by reason.
#[derive(Debug, Default)]
struct Rejected {
    at_limit: u32,
    tried: u32,
    leaving: u32,
    ejected: u32,
}

impl Rejected {
    /// Returns whether the server at `index` can take `job`, and counts it if not.
    fn classify(&mut self, fleet: &Fleet<'_>, job: &Job<'_>, index: usize) -> Fit {
        let server = &fleet.servers[index];
        let ejected = match server.health {
            HealthState::Healthy => false,
            HealthState::Probing => !job.repeatable,
            HealthState::Ejected => true,
        };
        let counter = if server.leaving || server.fenced {
            &mut self.leaving
        } else if ejected {
            &mut self.ejected
        } else if job.tried.contains(&server.name) {
            &mut self.tried
        } else if !limit::has_room(server, fleet.routers) {
            self.at_limit += 1;
            return Fit::AtLimit;
        } else {
            return Fit::HasRoom;
        };
        *counter += 1;
        Fit::Unusable
    }

    /// Returns the decision if no server was chosen.
    fn decision(&self) -> Decision {
        if self.at_limit > 0 {
            return Decision::Wait(Reason::AtLimit {
                servers: self.at_limit,
            });
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
