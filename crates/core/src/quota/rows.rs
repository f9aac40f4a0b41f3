//! Rows of the shared table that hold the state of the budgets.

use std::net::IpAddr;
use std::ops::AddAssign;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Name;
use crate::quota::LeaseId;
use crate::sorted::SortedVec;

/// What a router may spend from one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "AllocationWire", into = "AllocationWire")]
pub struct Allocation {
    /// Tokens taken out of the budget by this incarnation, spent ones included.
    pub granted: u64,
    /// Tokens spent or reserved when the allocation was written.
    pub spent: u64,
    /// Tokens that may be spent beyond `spent` at once.
    pub burst: u64,
    /// Milliseconds after which more than the burst may be spent. A router that
    /// reaches the table writes a new allocation earlier.
    pub delay_ms: u64,
    /// Tokens that may be spent each second after `delay_ms`.
    pub rate: u64,
    /// Recent demand of the router's callers, in tokens a second.
    pub demand: u64,
    /// Milliseconds after `delay_ms` in which the reserve halves, and again in as many;
    /// 0 if there is none. The reserve is half of the tokens beyond the burst. It is not
    /// spent, and returns to the budget if the process ends.
    pub half_life_ms: u64,
    /// Tokens of the reserve that are never spent under this allocation, however old it
    /// is. Other routers return them to the budget if this one is silent.
    pub floor: u64,
    /// Tokens of the floor that another router has returned.
    pub revoked: u64,
}

impl Allocation {
    /// An allocation of which nothing is left.
    pub fn spent(tokens: u64) -> Self {
        Self {
            granted: tokens,
            spent: tokens,
            ..Self::default()
        }
    }

    /// Granted tokens that no other router has returned.
    pub fn remaining(&self) -> u64 {
        self.granted.saturating_sub(self.revoked)
    }

    /// Whether it says more than no allocation.
    pub fn is_worth_writing(&self) -> bool {
        self.granted > 0 || self.demand > 0
    }

    /// Tokens of the reserve when the allocation was written.
    fn reserve(&self) -> u64 {
        let burst_end = self.spent.saturating_add(self.burst);
        self.granted.saturating_sub(burst_end) / 2
    }

    /// Granted tokens that may not be spent `beyond` the delay, in whole numbers so
    /// that all processes get the same result.
    fn kept(&self, beyond: Duration) -> u64 {
        if self.half_life_ms == 0 {
            return self.floor;
        }
        let beyond = beyond.as_millis() as u64;
        let halvings = (beyond / self.half_life_ms).min(u64::from(u64::BITS - 2));
        let kept = self.reserve() >> halvings;
        let part = u128::from(beyond % self.half_life_ms);
        let freed = u128::from(kept / 2) * part / u128::from(self.half_life_ms);
        (kept - freed as u64).max(self.floor)
    }

    /// Time beyond the delay until no more than `kept` tokens are kept.
    fn time_to_keep(&self, kept: u64) -> Duration {
        let mut left = self.reserve();
        let mut time = 0;
        while left > kept && left / 2 >= kept.max(1) {
            left /= 2;
            time += self.half_life_ms;
        }
        let over = left.saturating_sub(kept);
        time += (over * self.half_life_ms).div_ceil((left / 2).max(1));
        Duration::from_millis(time)
    }

    /// The most that can have been spent `elapsed` after the write.
    pub fn max_spent(&self, elapsed: Duration) -> u64 {
        let beyond = elapsed.saturating_sub(Duration::from_millis(self.delay_ms));
        let grown = (self.rate as f64 * beyond.as_secs_f64()) as u64;
        let bound = self.spent.saturating_add(self.burst).saturating_add(grown);
        bound.min(self.granted - self.kept(beyond))
    }

    /// Time after the write until `tokens` in total may have been spent; `None`
    /// if the allocation never allows that many.
    pub fn time_to_cover(&self, tokens: u64) -> Option<Duration> {
        if tokens > self.granted.saturating_sub(self.floor) {
            return None;
        }
        let beyond = tokens.saturating_sub(self.spent + self.burst);
        if beyond == 0 {
            return Some(Duration::ZERO);
        }
        if self.rate == 0 {
            return None;
        }
        let at_rate = Duration::from_secs_f64(beyond as f64 / self.rate as f64);
        let beyond = at_rate.max(self.time_to_keep(self.granted - tokens));
        Some(Duration::from_millis(self.delay_ms) + beyond)
    }
}

/// The fields in order, as an array, so that rows stay short for the small hosts
/// that read them. The half-life is the same for all and is in the row.
type AllocationWire = [u64; 6];

impl From<AllocationWire> for Allocation {
    fn from([granted, spent, burst, delay_ms, rate, demand]: AllocationWire) -> Self {
        Self {
            granted,
            spent,
            burst,
            delay_ms,
            rate,
            demand,
            ..Self::default()
        }
    }
}

impl From<Allocation> for AllocationWire {
    fn from(allocation: Allocation) -> Self {
        [
            allocation.granted,
            allocation.spent,
            allocation.burst,
            allocation.delay_ms,
            allocation.rate,
            allocation.demand,
        ]
    }
}

/// A router's row: its allocation for each budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "HolderRowWire", into = "HolderRowWire")]
pub struct HolderRow {
    /// The incarnation that wrote the row.
    pub incarnation: u64,
    /// Counts the writes of that incarnation.
    pub sequence: u64,
    /// The table's clock before the write, in milliseconds.
    pub clock: u64,
    /// Allocations by budget, in order of the names.
    pub allocations: Vec<(Name, Allocation)>,
    /// Settlements of earlier incarnations that the totals do not contain yet,
    /// by budget.
    pub unsettled: Vec<(Name, Settlement)>,
    /// Whether the router that wrote the row finds out if another one has changed it.
    pub is_revocable: bool,
    /// Leases that were open when the incarnation ended as planned. The next one at
    /// its address settles them.
    pub lent: Vec<LentTokens>,
}

/// Tokens of a holding that are reserved for a request at another router.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "LentTokensWire", into = "LentTokensWire")]
pub struct LentTokens {
    /// The lease by which they are reserved.
    pub lease: LeaseId,
    /// Their budget.
    pub budget: Name,
    /// Their number.
    pub tokens: u64,
}

/// The budget, the borrower with its incarnation, the lease's number there, and the
/// tokens.
type LentTokensWire = (Name, IpAddr, u64, u64, u64);

impl From<LentTokensWire> for LentTokens {
    fn from((budget, router, incarnation, number, tokens): LentTokensWire) -> Self {
        Self {
            lease: LeaseId {
                router,
                incarnation,
                number,
            },
            budget,
            tokens,
        }
    }
}

impl From<LentTokens> for LentTokensWire {
    fn from(lent: LentTokens) -> Self {
        let LeaseId {
            router,
            incarnation,
            number,
        } = lent.lease;
        (lent.budget, router, incarnation, number, lent.tokens)
    }
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct HolderRowWire {
    life: u64,
    number: u64,
    clock: u64,
    terms: Vec<(Name, Allocation)>,
    #[serde(default)]
    ended: Vec<(Name, Settlement)>,
    /// That of the allocations, in milliseconds; rows of earlier versions have none.
    #[serde(default)]
    half_life: u64,
    /// The floors of the allocations, in their order. Rows of earlier versions have none,
    /// and their writers would not notice that another router has changed them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    floors: Option<Vec<u64>>,
    /// The half-life of allocations whose floors were revoked. To builds that don't know
    /// it, these have neither a floor nor a reserve, so that more counts as spent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revoked_half_life: Option<u64>,
    /// Builds that don't know it count these tokens as spent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    lent: Vec<LentTokens>,
}

impl From<HolderRowWire> for HolderRow {
    fn from(wire: HolderRowWire) -> Self {
        let mut allocations = wire.terms;
        let floors = wire.floors.filter(|f| f.len() == allocations.len());
        let is_revocable = floors.is_some();
        let floors = floors.unwrap_or_else(|| vec![0; allocations.len()]);
        for ((_, allocation), floor) in allocations.iter_mut().zip(floors) {
            allocation.half_life_ms = wire.half_life;
            if let Some(half_life) = wire.revoked_half_life {
                allocation.half_life_ms = half_life;
                allocation.granted = allocation.granted.saturating_add(floor);
                allocation.revoked = floor;
            }
            allocation.floor = floor.min(allocation.reserve());
        }
        Self {
            is_revocable,
            incarnation: wire.life,
            sequence: wire.number,
            clock: wire.clock,
            allocations,
            unsettled: wire.ended,
            lent: wire.lent,
        }
    }
}

impl From<HolderRow> for HolderRowWire {
    fn from(mut row: HolderRow) -> Self {
        let half_lives = row.allocations.iter().map(|(_, a)| a.half_life_ms);
        let half_life = half_lives.min().unwrap_or(0);
        let is_revoked = row.is_revoked();
        let floors = row.allocations.iter().map(|(_, a)| a.floor).collect();
        for (_, allocation) in &mut row.allocations {
            allocation.granted = allocation.remaining();
        }
        Self {
            floors: row.is_revocable.then_some(floors),
            revoked_half_life: is_revoked.then_some(half_life),
            life: row.incarnation,
            number: row.sequence,
            clock: row.clock,
            half_life: if is_revoked { 0 } else { half_life },
            terms: row.allocations,
            ended: row.unsettled,
            lent: row.lent,
        }
    }
}

impl HolderRow {
    /// A row that says only which leases are open. Their tokens count as spent until
    /// they are settled.
    pub fn of_leases(incarnation: u64, lent: Vec<LentTokens>) -> Self {
        let mut sums: SortedVec<Name, u64> = SortedVec::new();
        for lent in &lent {
            *sums.get_or_insert_with(lent.budget.clone(), u64::default) += lent.tokens;
        }
        let reserve = |(name, tokens): (&Name, &u64)| (name.clone(), Allocation::spent(*tokens));
        Self {
            incarnation,
            allocations: sums.iter().map(reserve).collect(),
            is_revocable: true,
            lent,
            ..Self::default()
        }
    }

    /// Whether another router has returned the floors.
    pub fn is_revoked(&self) -> bool {
        self.allocations.iter().any(|(_, a)| a.revoked > 0)
    }

    /// Whether it accounts for no tokens.
    pub fn is_empty(&self) -> bool {
        let mut allocations = self.allocations.iter();
        allocations.all(|(_, a)| a.granted == 0) && self.unsettled.is_empty()
    }

    /// Takes the floors away from the allocations; returns what goes back to each budget.
    pub fn revoke(&mut self) -> Vec<(Name, Settlement)> {
        let mut released = Vec::new();
        for (name, allocation) in &mut self.allocations {
            let floor = allocation.floor - allocation.revoked;
            allocation.revoked = allocation.floor;
            if floor > 0 {
                let settlement = Settlement {
                    released: floor,
                    stranded: 0,
                };
                released.push((name.clone(), settlement));
            }
        }
        released
    }

    /// Settlements of everything that this incarnation holds, if it ended
    /// `elapsed` after the write, together with the earlier unsettled ones.
    pub fn settlements(&self, elapsed: Duration) -> Vec<(Name, Settlement)> {
        let allocations = self.allocations.iter();
        let own = allocations
            .map(|(name, allocation)| (name.clone(), settle_allocation(allocation, elapsed)));
        let mut all: SortedVec<Name, Settlement> = self.unsettled.iter().cloned().collect();
        for (name, settlement) in own {
            *all.get_or_insert_with(name, Settlement::default) += settlement;
        }
        all.retain(|_, settlement| *settlement != Settlement::default());
        all.to_vec()
    }
}

/// A budget's row: the sums over all routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetTotal {
    /// Tokens that routers have taken out and not returned.
    pub granted: u64,
    /// Granted tokens that dead processes may or may not have spent.
    pub stranded: u64,
}

impl BudgetTotal {
    /// Applies the settlement of an ended incarnation.
    pub fn settle(&mut self, settlement: &Settlement) {
        self.granted = self.granted.saturating_sub(settlement.released);
        self.stranded += settlement.stranded;
    }
}

/// How the allocation of a dead process from one budget is settled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Settlement {
    /// Tokens that return to the budget.
    pub released: u64,
    /// Tokens that stay deducted, though they may not have been spent.
    pub stranded: u64,
}

impl AddAssign for Settlement {
    fn add_assign(&mut self, other: Self) {
        self.released += other.released;
        self.stranded += other.stranded;
    }
}

/// Settles the allocation of a process that died `elapsed` after the write.
pub fn settle_allocation(allocation: &Allocation, elapsed: Duration) -> Settlement {
    let max_spent = allocation.max_spent(elapsed);
    Settlement {
        released: allocation.remaining().saturating_sub(max_spent),
        stranded: max_spent.saturating_sub(allocation.spent),
    }
}
