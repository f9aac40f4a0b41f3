//! One router's spending of one budget.

use std::time::{Duration, Instant};

use crate::quota::Allocation;

/// Time over which the spending rate is averaged.
const AVERAGE: Duration = Duration::from_secs(8);
/// Weight of the newest request in the typical size.
const NEWEST: f64 = 0.15;

/// An allocation as it was sent to the table.
#[derive(Debug, Clone, Copy)]
struct Sent {
    terms: Allocation,
    at: Instant,
}

/// What one router spent of one budget, and may spend.
#[derive(Debug, Clone, Default)]
pub struct Account {
    consumed: u64,
    reserved: u64,
    /// The last terms that were acknowledged; `None` before the first, when
    /// nothing may be spent.
    known: Option<Sent>,
    /// Later ones whose outcome is not known: they may be in force too.
    open: Vec<Sent>,
    rate: f64,
    rated: Option<Instant>,
    typical: f64,
    need: u64,
}

impl Account {
    /// Tokens spent or reserved.
    pub fn spent(&self) -> u64 {
        self.consumed + self.reserved
    }

    /// Tokens under way.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Tokens that requests wait for, all together.
    pub fn need(&self) -> u64 {
        self.need
    }

    /// The size of a typical request at its most.
    pub fn typical_size(&self) -> u64 {
        self.typical as u64
    }

    /// Tokens that the last acknowledged terms grant. The next terms start from
    /// these: they are written only if none that are open come into force.
    pub fn granted(&self) -> u64 {
        self.known.map_or(0, |sent| sent.terms.granted)
    }

    /// Tokens of the grant that are not spent.
    pub fn held(&self) -> u64 {
        self.granted().saturating_sub(self.spent())
    }

    /// Tokens that can still be spent at `now`.
    pub fn free(&self, now: Instant) -> u64 {
        let bound = |sent: &Sent| {
            let elapsed = now.saturating_duration_since(sent.at);
            sent.terms.max_spent(elapsed)
        };
        self.lowest(bound).saturating_sub(self.spent())
    }

    /// When `tokens` can be reserved without new terms; `None` where they can't.
    pub fn time_until_free(&self, tokens: u64, now: Instant) -> Option<Duration> {
        let all = self.spent() + tokens;
        let mut latest = Duration::ZERO;
        for sent in self.known.iter().chain(&self.open) {
            let gone = now.saturating_duration_since(sent.at);
            latest = latest.max(sent.terms.time_to_cover(all)?.saturating_sub(gone));
        }
        self.known.map(|_| latest)
    }

    /// The least of something over all terms that may be in force.
    fn lowest(&self, of: impl Fn(&Sent) -> u64) -> u64 {
        let known = self.known.as_ref().map_or(0, &of);
        self.open.iter().map(of).fold(known, u64::min)
    }

    /// Tokens asked for a second, averaged over the last seconds.
    pub fn demand_rate(&self, now: Instant) -> f64 {
        let idle = self
            .rated
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.rate * (-idle / AVERAGE.as_secs_f64()).exp()
    }

    /// Notes that a request for `tokens` came, whatever becomes of it.
    pub fn record_demand(&mut self, tokens: u64, now: Instant) {
        self.typical += NEWEST * (tokens as f64 - self.typical);
        self.rate = self.demand_rate(now) + tokens as f64 / AVERAGE.as_secs_f64();
        self.rated = Some(now);
    }

    /// Reserves `tokens`, or notes that they are needed.
    pub fn reserve(&mut self, tokens: u64, now: Instant) -> bool {
        if self.free(now) < tokens {
            self.need += tokens;
            return false;
        }
        self.reserved += tokens;
        true
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub fn settle(&mut self, tokens: u64, used: u64) {
        self.reserved -= tokens.min(self.reserved);
        self.consumed += used;
    }

    /// Notes that terms were written that cover `tokens` of the need.
    pub fn reduce_need(&mut self, tokens: u64) {
        self.need = self.need.saturating_sub(tokens);
    }

    /// Notes that terms are on their way to the table.
    pub fn record_sent(&mut self, terms: Allocation, now: Instant) {
        self.open.push(Sent { terms, at: now });
    }

    /// Notes that exactly the terms that were sent at `at` are in force.
    pub fn mark_confirmed(&mut self, at: Instant) {
        let found = self.open.iter().find(|sent| sent.at == at);
        self.known = found.copied().or(self.known);
        self.open.clear();
    }

    /// Notes that the terms that were sent at `at` will never be in force.
    pub fn mark_failed(&mut self, at: Instant) {
        self.open.retain(|sent| sent.at != at);
    }
}
