//! Tokens that requests hold in the memory of a model engine.
//!
//! Load that this addresses: callers that together ask for more than the engines can
//! hold. An engine that runs out of memory crashes, with all requests that it has.
//!
//! Each router keeps an [`Account`] for each engine: what its own requests hold or are
//! expected to hold, and what the other routers last said of theirs. A request is placed
//! where the sum leaves [`margin`] free. A prompt part that several requests at an engine
//! share is counted once.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::affinity::MIN_SHARED_TOKENS;
use crate::sorted::SortedVec;

/// Part of an engine's memory that is kept free, as a divisor: for requests that other
/// routers have placed since their last message, and for outputs longer than expected.
/// Not measured; at 432,000 tokens it holds ten requests of 4,300.
const MARGIN_DIVISOR: u64 = 10;
/// Time for which the last figure of another router counts in full. In a fleet of 60, a
/// router needs about this long to repeat its figures of 60 engines.
const FULL_TIME: Duration = Duration::from_secs(6);
/// Time after which it no longer counts: the requests of a router that ended are gone.
const LOST_TIME: Duration = Duration::from_secs(12);
/// Time for which an announcement of a shared prompt by another router counts.
const ANNOUNCED_TIME: Duration = Duration::from_secs(2);
/// How long the sum of the other routers' figures is used if it is not computed again:
/// a choice would otherwise add up the figures of 60 routers for each of 90 engines. An
/// old sum is too large, since figures only decay.
const SUM_TIME: Duration = Duration::from_secs(1);
/// Largest figure of another router. A larger one is taken for an error; the sum of
/// these does not overflow.
const MAX_FIGURE: u64 = 1 << 40;
/// Tokens by which an output that outgrows what was expected is extended.
const GROWTH_TOKENS: u64 = 64;

/// Tokens that a request needs at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Identity of the part of the prompt that other requests share.
    pub shared_id: u64,
    /// Tokens of that part.
    pub shared: u64,
    /// Output tokens that the client expects, if it says so.
    pub hint: Option<u64>,
    /// Most tokens of its output.
    pub output: u64,
    /// Tokens of the output that exist already, if another engine began it.
    pub done: u64,
}

impl Need {
    /// Output tokens to expect. Hints are right at the median, and the mean of outputs
    /// that differ from them by a factor is above it: for a log-normal factor with a
    /// deviation of 0.9, it is one and a half times the hint.
    fn expected(&self) -> u64 {
        let Some(hint) = self.hint else {
            return self.output;
        };
        let least = if self.done > 0 {
            self.done.saturating_add(GROWTH_TOKENS)
        } else {
            0
        };
        hint.saturating_add(hint / 2).max(least).min(self.output)
    }

    fn has_shared(&self) -> bool {
        self.shared >= MIN_SHARED_TOKENS
    }

    /// Tokens of its own: all but the shared part of the prompt.
    fn own(&self) -> u64 {
        let shared = if self.has_shared() { self.shared } else { 0 };
        let prompt = self.prompt.saturating_sub(shared);
        prompt.saturating_add(self.expected())
    }

    /// Whether it may exceed the memory of an engine that has no other request. A
    /// capacity of 0 is no limit.
    pub fn fits_nowhere(&self, capacity: u64) -> bool {
        capacity > 0 && self.prompt.saturating_add(self.output) > capacity
    }
}

/// Tokens of an engine with this capacity that are kept free.
pub fn margin(capacity: u64) -> u64 {
    capacity.div_ceil(MARGIN_DIVISOR)
}

/// What a figure of another router counts for at this age: in full at first, then less,
/// and finally nothing.
pub fn decayed(tokens: u64, age: Duration) -> u64 {
    let left = LOST_TIME.saturating_sub(age.max(FULL_TIME));
    let part = left.as_secs_f64() / (LOST_TIME - FULL_TIME).as_secs_f64();
    if part >= 1.0 {
        return tokens;
    }
    (tokens as f64 * part) as u64
}

/// Tokens that one request has reserved at an engine. The default reserves none.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Tokens of its own.
    tokens: u64,
    /// Output tokens among them.
    expected: u64,
    /// Output tokens so far.
    output: u64,
    /// Most output tokens.
    most_output: u64,
    /// The shared part of its prompt.
    shared_id: Option<u64>,
}

impl Reservation {
    /// Adds output tokens; returns by how much the reservation has to grow for them. It
    /// grows to the output that the request allows, and no further.
    #[must_use]
    pub fn add_output(&mut self, tokens: u64) -> u64 {
        self.output = self.output.saturating_add(tokens);
        if self.output <= self.expected || self.expected >= self.most_output {
            return 0;
        }
        let wanted = self.output.saturating_add(GROWTH_TOKENS);
        let growth = wanted.min(self.most_output) - self.expected;
        self.expected += growth;
        self.tokens = self.tokens.saturating_add(growth);
        growth
    }
}

/// A shared part of prompts at an engine.
#[derive(Debug, Clone, Copy)]
struct Shared {
    tokens: u64,
    /// Requests of this router that have it.
    requests: u32,
    /// Until when another router counts it.
    counted_until: Option<Instant>,
}

/// Tokens at one engine, as one router knows them.
#[derive(Debug, Default)]
pub struct Account {
    /// Tokens of this router's requests, without the shared parts.
    own: u64,
    shared: SortedVec<u64, Shared>,
    /// The last figure of each other router, and when it came.
    peers: SortedVec<IpAddr, (u64, Instant)>,
    /// Sum of these, and when it was computed.
    peer_sum: Option<(u64, Instant)>,
    /// What was last told to the other routers, and when.
    told: Option<(u64, Instant)>,
}

impl Account {
    /// Reserves what a request needs.
    pub fn reserve(&mut self, need: &Need) -> Reservation {
        let tokens = need.own();
        self.own = self.own.saturating_add(tokens);
        if need.has_shared() {
            let shared = self.shared.get_or_insert_with(need.shared_id, || Shared {
                tokens: need.shared,
                requests: 0,
                counted_until: None,
            });
            shared.requests = shared.requests.saturating_add(1);
        }
        Reservation {
            tokens,
            expected: need.expected(),
            output: need.done,
            most_output: need.output,
            shared_id: need.has_shared().then_some(need.shared_id),
        }
    }

    /// Extends a reservation by what [`Reservation::add_output`] returned.
    pub fn grow(&mut self, tokens: u64) {
        self.own = self.own.saturating_add(tokens);
    }

    /// Releases a reservation.
    pub fn release(&mut self, reservation: &mut Reservation) {
        let Reservation {
            tokens, shared_id, ..
        } = std::mem::take(reservation);
        self.own = self.own.saturating_sub(tokens);
        if let Some(id) = shared_id
            && let Some(shared) = self.shared.get_mut(&id)
        {
            shared.requests = shared.requests.saturating_sub(1);
            if shared.requests == 0 {
                self.shared.remove(&id);
            }
        }
    }

    /// Records what another router holds here.
    pub fn record_peer(&mut self, from: IpAddr, tokens: u64, now: Instant) {
        let tokens = tokens.min(MAX_FIGURE);
        let before = if tokens == 0 {
            self.peers.remove(&from)
        } else {
            self.peers.insert(from, (tokens, now))
        };
        if let Some((sum, at)) = &mut self.peer_sum {
            let before = before.map_or(0, |(t, told)| {
                decayed(t, at.saturating_duration_since(told))
            });
            *sum = sum.saturating_sub(before).saturating_add(tokens);
        }
    }

    /// Forgets the other routers' figures, since the engine has started again.
    pub fn forget_peers(&mut self) {
        self.peers = SortedVec::new();
        self.peer_sum = None;
    }

    /// Records that another router, which has the lower address, processed a shared
    /// prompt here, so that its figure contains it.
    pub fn record_announcement(&mut self, shared_id: u64, now: Instant) {
        if let Some(shared) = self.shared.get_mut(&shared_id) {
            shared.counted_until = Some(now + ANNOUNCED_TIME);
        }
    }

    /// Tokens of this router's requests.
    pub fn own(&self) -> u64 {
        let shared = self.shared.iter().map(|(_, s)| s.tokens);
        shared.fold(self.own, u64::saturating_add)
    }

    /// Tokens of the other routers' requests, as far as they told.
    fn others(&mut self, now: Instant) -> u64 {
        match self.peer_sum {
            Some((sum, at)) if now < at + SUM_TIME => sum,
            _ => self.refresh(now),
        }
    }

    /// Adds up the other routers' figures again; returns the sum.
    pub fn refresh(&mut self, now: Instant) -> u64 {
        self.peers.retain(|_, (_, at)| now < *at + LOST_TIME);
        let figures = self.peers.iter();
        let figures = figures.map(|(_, (t, at))| decayed(*t, now.saturating_duration_since(*at)));
        let sum = figures.fold(0, u64::saturating_add);
        self.peer_sum = Some((sum, now));
        sum
    }

    /// Tokens of all routers' requests.
    pub fn held(&mut self, now: Instant) -> u64 {
        self.own().saturating_add(self.others(now))
    }

    /// Whether a request may be placed here: the sum leaves the margin free, or the
    /// request is the only one. A capacity of 0 is no limit.
    pub fn has_room(&mut self, need: &Need, capacity: u64, now: Instant) -> bool {
        if capacity == 0 {
            return true;
        }
        let held = self.held(now);
        let is_shared = need.has_shared() && self.shared.contains(&need.shared_id);
        let shared = if need.has_shared() && !is_shared {
            need.shared
        } else {
            0
        };
        let sum = held.saturating_add(need.own()).saturating_add(shared);
        sum <= capacity - margin(capacity) || held == 0 && sum <= capacity
    }

    /// What the other routers are told: this router's tokens without the shared parts
    /// that another one counts.
    pub fn figure(&self, now: Instant) -> u64 {
        let shared = self.shared.iter().map(|(_, s)| s);
        let shared = shared.filter(|s| s.counted_until.is_none_or(|until| now >= until));
        shared.fold(self.own, |sum, s| sum.saturating_add(s.tokens))
    }

    /// How much the other routers gain by the figure now: the change since it was last
    /// told, and a part of it that grows with the time since. 0 if they miss nothing.
    pub fn urgency(&self, now: Instant) -> u64 {
        let figure = self.figure(now);
        let Some((told, at)) = self.told else {
            return figure;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let part = (age / FULL_TIME.as_secs_f64()).min(1.0);
        let repeat = (figure as f64 * part) as u64;
        figure.abs_diff(told).saturating_add(repeat)
    }

    /// Records that the other routers were told the figure.
    pub fn record_told(&mut self, now: Instant) {
        let figure = self.figure(now);
        self.told = (figure > 0).then_some((figure, now));
    }

    /// Whether there is anything of this router to tell.
    pub fn has_news(&self) -> bool {
        self.told.is_some() || self.own > 0 || !self.shared.is_empty()
    }
}
