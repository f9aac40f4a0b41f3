//! One router's spending from one budget.

use std::time::{Duration, Instant};

use crate::quota::Allocation;

/// Time constant of the exponential average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Least time over which the demand is averaged at first. The average of a shorter time
/// says little.
const MIN_DEMAND_TIME: Duration = Duration::from_secs(2);
/// EWMA smoothing factor of the typical request size.
const SIZE_SMOOTHING: f64 = 0.15;

/// An allocation as it was sent to the table.
#[derive(Debug, Clone, Copy)]
struct SentAllocation {
    allocation: Allocation,
    at: Instant,
}

/// What one router has spent from one budget and may still spend.
#[derive(Debug, Clone, Default)]
pub struct Account {
    consumed: u64,
    reserved: u64,
    /// The last allocation that the table confirmed; `None` before the first,
    /// when nothing may be spent.
    confirmed: Option<SentAllocation>,
    /// Later allocations with an unknown outcome; any of them may be in force.
    unconfirmed: Vec<SentAllocation>,
    /// Demand in tokens a second as of `rate_at`.
    rate: f64,
    rate_at: Option<Instant>,
    /// When the first request came.
    first_at: Option<Instant>,
    typical_size: f64,
    need: u64,
}

impl Account {
    /// Tokens spent or reserved.
    pub fn spent(&self) -> u64 {
        self.consumed + self.reserved
    }

    /// Tokens reserved for requests that have not ended.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Tokens that waiting requests need, in total.
    pub fn need(&self) -> u64 {
        self.need
    }

    /// Typical worst-case size of a request, in tokens.
    pub fn typical_size(&self) -> u64 {
        self.typical_size as u64
    }

    /// Tokens that the last confirmed allocation grants.
    ///
    /// The next allocation starts from this value, since it is written only if
    /// none of the unconfirmed ones comes into force.
    pub fn granted(&self) -> u64 {
        self.confirmed.map_or(0, |sent| sent.allocation.remaining())
    }

    /// Whether the outcome of an allocation that was sent is unknown.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Granted tokens that are neither spent nor reserved.
    pub fn held(&self) -> u64 {
        self.granted().saturating_sub(self.spent())
    }

    /// Tokens that can be reserved at `now`.
    pub fn free(&self, now: Instant) -> u64 {
        let bound = |sent: &SentAllocation| {
            let elapsed = now.saturating_duration_since(sent.at);
            sent.allocation.max_spent(elapsed)
        };
        self.least_over_possible(bound).saturating_sub(self.spent())
    }

    /// Time until `tokens` can be reserved under the current allocations;
    /// `None` if they never can.
    pub fn time_until_free(&self, tokens: u64, now: Instant) -> Option<Duration> {
        let total = self.spent() + tokens;
        let mut longest = Duration::ZERO;
        for sent in self.confirmed.iter().chain(&self.unconfirmed) {
            let elapsed = now.saturating_duration_since(sent.at);
            longest = longest.max(
                sent.allocation
                    .time_to_cover(total)?
                    .saturating_sub(elapsed),
            );
        }
        self.confirmed.map(|_| longest)
    }

    /// The least value of `of` over all allocations that may be in force.
    fn least_over_possible(&self, of: impl Fn(&SentAllocation) -> u64) -> u64 {
        let confirmed = self.confirmed.as_ref().map_or(0, &of);
        self.unconfirmed.iter().map(of).fold(confirmed, u64::min)
    }

    /// Tokens requested a second, as an exponential average. It is too low at first,
    /// which keeps a router that starts before others from taking their parts.
    pub fn demand_rate(&self, now: Instant) -> f64 {
        let idle = self
            .rate_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.rate * (-idle / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// The same over the time since the first request only.
    pub fn early_demand_rate(&self, now: Instant) -> f64 {
        let Some(first) = self.first_at else {
            return 0.0;
        };
        let since = now.saturating_duration_since(first).max(MIN_DEMAND_TIME);
        let covered = 1.0 - (-since.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand_rate(now) / covered
    }

    /// Records a request for `tokens`, whether or not it is granted.
    pub fn record_demand(&mut self, tokens: u64, now: Instant) {
        self.typical_size += SIZE_SMOOTHING * (tokens as f64 - self.typical_size);
        self.rate = self.demand_rate(now) + tokens as f64 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.rate_at = Some(now);
        self.first_at.get_or_insert(now);
    }

    /// Reserves `tokens`, unless fewer are free.
    pub fn reserve(&mut self, tokens: u64, now: Instant) -> bool {
        if self.free(now) < tokens {
            return false;
        }
        self.reserved += tokens;
        true
    }

    /// Begins with `tokens` that the previous process has reserved.
    pub fn inherit(&mut self, tokens: u64, now: Instant) {
        self.reserved = tokens;
        self.confirmed = Some(SentAllocation {
            allocation: Allocation::spent(tokens),
            at: now,
        });
    }

    /// Ends a reservation of `tokens`, of which `used` were spent.
    pub fn settle(&mut self, tokens: u64, used: u64) {
        self.reserved -= tokens.min(self.reserved);
        self.consumed += used;
    }

    /// Adds `tokens` to the need while a request waits for them.
    pub fn add_need(&mut self, tokens: u64) {
        self.need += tokens;
    }

    /// Reduces the need by `tokens` of a request that does not wait any more.
    pub fn reduce_need(&mut self, tokens: u64) {
        self.need = self.need.saturating_sub(tokens);
    }

    /// Records that an allocation was sent to the table at `now`.
    pub fn record_sent(&mut self, allocation: Allocation, now: Instant) {
        self.unconfirmed.push(SentAllocation {
            allocation,
            at: now,
        });
    }

    /// Marks the allocation that was sent at `at` as the only one in force.
    pub fn mark_confirmed(&mut self, at: Instant) {
        let found = self.unconfirmed.iter().find(|sent| sent.at == at);
        self.confirmed = found.copied().or(self.confirmed);
        self.unconfirmed.clear();
    }

    /// Records that another router has returned the floor of the allocation in force to
    /// the budget, which makes all later ones fail. Nothing of it is reserved.
    pub fn revoke_floor(&mut self) {
        self.unconfirmed.clear();
        if let Some(sent) = &mut self.confirmed {
            sent.allocation.revoked = sent.allocation.floor;
        }
    }

    /// Forgets what was granted and spent: another router has settled it.
    pub fn reset(&mut self) {
        self.consumed = 0;
        self.reserved = 0;
        self.confirmed = None;
        self.unconfirmed.clear();
    }

    /// Drops the allocation that was sent at `at`: it will never be in force.
    pub fn mark_failed(&mut self, at: Instant) {
        self.unconfirmed.retain(|sent| sent.at != at);
    }
}
