//! Sizing of grants: how many tokens of a budget a router holds.
//!
//! A router aims to hold what it will spend within a horizon, so that it can
//! continue through an outage of the platform, and draws in advance when it falls
//! below a low-water mark. As the budget runs out, each router's target shrinks
//! to its share of what is left, so that few tokens are held where they are not
//! spent. An idle router returns its tokens to the table, and transfers tokens to
//! a peer that asks for them.

mod rate;

use std::fmt;
use std::time::Duration;

pub use rate::{RATE_WINDOW, Rate};

/// Parameters of the grant sizing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// How long the target holding lasts at the current rate of spending.
    pub horizon: Duration,
    /// The router draws again when its holding lasts for less than this.
    pub low_water: Duration,
    /// Upper limit of a holding, as a fraction of an even share of what is left.
    pub max_share: f64,
    /// Number of typical requests that a holding covers at any rate of spending.
    pub min_requests: u64,
    /// Time without spending after which the surplus is returned.
    pub idle_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(480),
            low_water: Duration::from_secs(390),
            max_share: 0.75,
            min_requests: 4,
            idle_after: Duration::from_secs(120),
        }
    }
}

/// What a router knows of one budget, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct State {
    /// Tokens held by this router that are neither spent nor reserved.
    pub free: u64,
    /// Tokens in the table not granted to any router, as last read.
    pub available: u64,
    /// Tokens that this router spends per second.
    pub rate: f64,
    /// Time since this router last spent tokens; `None` if it never did.
    pub idle_time: Option<Duration>,
    /// Worst-case cost of a typical request.
    pub request_cost: u64,
    /// Number of live routers, this one included.
    pub routers: u32,
}

/// Why tokens are drawn or returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// A request needs more tokens than are free.
    Need,
    /// Free tokens are below the low-water mark.
    Low,
    /// Nothing was spent for [`Settings::idle_after`].
    Idle,
    /// The holding exceeds the router's share of what is left.
    Surplus,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Need => "a request needs more than is free",
            Self::Low => "below the low-water mark",
            Self::Idle => "nothing was spent for a time",
            Self::Surplus => "more than an even share of what is left",
        })
    }
}

/// Tokens to move between the table and a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// Number of tokens.
    pub tokens: u64,
    /// The reason for the move.
    pub reason: Reason,
}

/// Upper limit of a router's holding.
fn max_holding(state: &State, settings: &Settings) -> u64 {
    let left = (state.available + state.free) as f64;
    (left * settings.max_share / f64::from(state.routers.max(1))) as u64
}

/// Tokens to hold free in order to last for `time`.
fn target(state: &State, settings: &Settings, time: Duration) -> u64 {
    let spend = (state.rate * time.as_secs_f64()) as u64;
    let minimum = settings.min_requests * state.request_cost;
    spend.max(minimum).min(max_holding(state, settings))
}

/// Decides what to draw from the table.
///
/// `need` is what a waiting request requires, or 0 for a draw in advance. A
/// request's need is drawn in full if it is available, however little is left.
pub fn draw(state: &State, need: u64, settings: &Settings) -> Option<Move> {
    let missing = need.saturating_sub(state.free);
    let goal = target(state, settings, settings.horizon);
    if missing > 0 {
        let advance = goal.saturating_sub(state.free);
        let tokens = missing.max(advance);
        return Some(Move {
            tokens,
            reason: Reason::Need,
        });
    }
    let low_water = target(state, settings, settings.low_water);
    // Without a minimum of an eighth of the target, a shrinking budget would be
    // drawn in ever smaller amounts.
    let tokens = goal.saturating_sub(state.free).min(state.available);
    let worthwhile = tokens > 0 && tokens >= goal / 8;
    (state.free < low_water && worthwhile).then_some(Move {
        tokens,
        reason: Reason::Low,
    })
}

/// Decides what to return to the table.
pub fn give_back(state: &State, settings: &Settings) -> Option<Move> {
    let goal = target(state, settings, settings.horizon);
    let surplus = state.free.saturating_sub(goal);
    if surplus == 0 {
        return None;
    }
    if state
        .idle_time
        .is_none_or(|idle| idle >= settings.idle_after)
    {
        return Some(Move {
            tokens: surplus,
            reason: Reason::Idle,
        });
    }
    // What a settled request leaves unused must not count as surplus, or tokens
    // would move back and forth with every request.
    (surplus > goal.max(2 * state.request_cost)).then_some(Move {
        tokens: surplus,
        reason: Reason::Surplus,
    })
}

/// A peer's request for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerRequest {
    /// Tokens that the peer lacks for a waiting request.
    pub need: u64,
    /// Tokens that the peer spends per second.
    pub rate: f64,
}

/// Tokens to transfer to a peer that asks for some.
///
/// The split lets both routers last equally long at their rates of spending. It
/// covers at least what the peer lacks, because a waiting request takes
/// precedence over one that may come. If too few tokens are free, all of them are
/// transferred, since the peer can ask other routers for the rest.
pub fn transfer_amount(free: u64, request: &PeerRequest, rate: f64) -> u64 {
    let total = request.rate + rate;
    let even_split = if total > 0.0 {
        (free as f64 * request.rate / total) as u64
    } else {
        free / 2
    };
    even_split.max(request.need).min(free)
}

/// A peer's holding, as last reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peer {
    /// Free tokens in the last report.
    pub free: u64,
    /// Tokens that the peer spends per second.
    pub rate: f64,
    /// Age of the last report.
    pub age: Duration,
}

/// Returns the index of the peer that is estimated to have the most free tokens.
///
/// `None` if no peer is likely to have any.
pub fn choose_donor(peers: &[Peer]) -> Option<usize> {
    let estimate = |peer: &Peer| {
        let spent = peer.rate * peer.age.as_secs_f64();
        peer.free.saturating_sub(spent as u64)
    };
    let estimates = peers.iter().map(estimate).enumerate();
    let (at, free) = estimates.max_by_key(|(_, free)| *free)?;
    (free > 0).then_some(at)
}
