//! How much of a budget a router holds.
//!
//! A router aims to hold what it will spend within a horizon, so that it can
//! go on through an outage of the platform, and draws ahead at a low-water
//! mark. As the budget runs out, holdings shrink with what is left, shared by
//! the number of routers, so that little lies where it isn't spent. What an
//! idle router holds goes back to the table, or to a peer that asks.

mod rate;

use std::fmt;
use std::time::Duration;

pub use rate::{RATE_WINDOW, Rate};

/// What operators may set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Spending that a router aims to hold.
    pub horizon: Duration,
    /// Spending at which it draws again.
    pub low_water: Duration,
    /// Most that a router holds, as a part of an even share of what is left.
    pub max_share: f64,
    /// Requests' worth that is held however little is spent.
    pub min_requests: u64,
    /// Time without spending after which holdings are returned.
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
    /// Held by this router and neither spent nor reserved.
    pub free: u64,
    /// Last known to be in the table and not granted.
    pub available: u64,
    /// Spent by this router, a second.
    pub rate: f64,
    /// Time since this router spent last; `None` if it never did.
    pub idle_time: Option<Duration>,
    /// Worst case of a typical request.
    pub request_cost: u64,
    /// Live routers, this one included.
    pub routers: u32,
}

/// Why tokens are drawn or returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// A request needs more than is free.
    Need,
    /// Less is free than the low-water mark.
    Low,
    /// Nothing was spent for a time.
    Idle,
    /// More is held than what is left allows for.
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

/// Tokens to move between table and router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// How many.
    pub tokens: u64,
    /// Why.
    pub reason: Reason,
}

/// Most that a router should hold of what is left.
fn ceiling(state: &State, settings: &Settings) -> u64 {
    let left = (state.available + state.free) as f64;
    (left * settings.max_share / f64::from(state.routers.max(1))) as u64
}

/// What a router aims to hold free for `time`.
fn aim(state: &State, settings: &Settings, time: Duration) -> u64 {
    let spend = (state.rate * time.as_secs_f64()) as u64;
    let keep = settings.min_requests * state.request_cost;
    spend.max(keep).min(ceiling(state, settings))
}

/// What to draw from the table, for a request that needs `need` tokens or for
/// `need` of 0 ahead of time.
///
/// A request's need is drawn whole where it is available, however little is
/// left.
pub fn draw(state: &State, need: u64, settings: &Settings) -> Option<Move> {
    let missing = need.saturating_sub(state.free);
    let aimed = aim(state, settings, settings.horizon);
    if missing > 0 {
        let ahead = aimed.saturating_sub(state.free);
        let tokens = missing.max(ahead);
        return Some(Move {
            tokens,
            reason: Reason::Need,
        });
    }
    let low = aim(state, settings, settings.low_water);
    // A step of an eighth at least keeps a shrinking budget from being drawn in
    // ever smaller amounts.
    let tokens = aimed.saturating_sub(state.free).min(state.available);
    let worthwhile = tokens > 0 && tokens >= aimed / 8;
    (state.free < low && worthwhile).then_some(Move {
        tokens,
        reason: Reason::Low,
    })
}

/// What to return to the table.
pub fn give_back(state: &State, settings: &Settings) -> Option<Move> {
    let keep = aim(state, settings, settings.horizon);
    let surplus = state.free.saturating_sub(keep);
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
    // A request's leftover is no surplus, or each would go to and fro.
    (surplus > keep.max(2 * state.request_cost)).then_some(Move {
        tokens: surplus,
        reason: Reason::Surplus,
    })
}

/// What a peer asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerRequest {
    /// Tokens that a request of its lacks.
    pub need: u64,
    /// Spent by it, a second.
    pub rate: f64,
}

/// What to give to a peer that asks.
///
/// It evens out how long both can go on, and is at least what the peer's
/// request lacks: a request in hand goes before one that may come. Where that
/// is not free, all that is free goes, since the peer can ask others too.
pub fn transfer_amount(free: u64, ask: &PeerRequest, rate: f64) -> u64 {
    let both = ask.rate + rate;
    let even = if both > 0.0 {
        (free as f64 * ask.rate / both) as u64
    } else {
        free / 2
    };
    even.max(ask.need).min(free)
}

/// What is known of a peer's holding.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peer {
    /// Free when it was last heard of.
    pub free: u64,
    /// Spent by it, a second.
    pub rate: f64,
    /// Time since it was last heard of.
    pub age: Duration,
}

/// Index of the peer to ask: the one that likely has most.
pub fn choose_donor(peers: &[Peer]) -> Option<usize> {
    let likely = |peer: &Peer| {
        let spent = peer.rate * peer.age.as_secs_f64();
        peer.free.saturating_sub(spent as u64)
    };
    let rated = peers.iter().map(likely).enumerate();
    let (at, free) = rated.max_by_key(|(_, free)| *free)?;
    (free > 0).then_some(at)
}
