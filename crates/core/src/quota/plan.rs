//! How much a router draws from a budget or returns to it.
//!
//! The holders of a budget hold nearly all of it, since an outage of the table may
//! begin at any moment and no tokens can be drawn during one. In a small fleet each
//! router holds a part in proportion to its demand; when demand shifts between
//! routers, the holdings follow it from one checkpoint to the next. In a large fleet
//! the few holders of a budget hold equal parts, since the others reserve tokens at
//! any of them.

use std::time::{Duration, Instant};

use crate::quota::{Account, Allocation, Change, is_large_fleet};

/// Share of the remaining budget that the routers hold. The rest serves requests
/// for which their router holds too little.
const HELD_SHARE: f64 = 0.9;
/// The same in a large fleet, where a router that holds too little reserves what it
/// needs at another holder. What is left can't be reached during an outage.
const HELD_SHARE_LARGE: f64 = 0.97;
/// A budget that lasts less than this time at the fleet's demand is scarce. The
/// routers of a small fleet then hold less of it, so that any router can draw the last
/// tokens.
const SCARCE_TIME: Duration = Duration::from_secs(15);
/// A holding below this fraction of its target is filled up to the target.
const REFILL_BELOW: f64 = 0.8;
/// A holding above this multiple of its target is reduced to the target.
const RETURN_ABOVE: f64 = 1.3;
/// Least target in a large fleet, in typical requests. A smaller holding covers
/// no request, and the small holdings of all routers would be most of what is
/// left.
const MIN_TARGET_LARGE: f64 = 2.0;
/// Weights in a router's share: its part of the demand for this budget, its part
/// of the demand for all budgets, and an even split. The last two steady the
/// share, since the demand for one budget at one router is only a few requests
/// in the time over which it is averaged.
const SHARE_WEIGHTS: (f64, f64, f64) = (0.35, 0.5, 0.15);
/// Least time of the expected demand that the burst covers in a large fleet. It covers
/// the delay, too: an outage may begin at any moment. In a small one each request causes
/// a write, and the burst covers those whose writes stay without an answer.
const BURST_TIME: Duration = Duration::from_millis(2000);
/// Typical requests that the burst covers in addition.
const BURST_REQUESTS: f64 = 1.0;
/// Least share of a holding that the burst is, for requests that come before the demand
/// is known: all holders would have to write an allocation for the first one at once.
const MIN_BURST_SHARE: f64 = 0.06;
/// Largest share of a holding that the burst may be. If all routers are killed
/// at once, their bursts are stranded.
const MAX_BURST_SHARE: f64 = 0.3;
/// Delay before more than the burst may be spent. A process that was killed while
/// it could reach the table is back sooner.
const RATE_DELAY: Duration = Duration::from_millis(1400);
/// Additional delay for each router, since checkpoints are less frequent in a
/// larger fleet.
const RATE_DELAY_PER_ROUTER: Duration = Duration::from_millis(6);
/// Longest delay, so that a fleet of any size serves requests for most of an outage.
const MAX_RATE_DELAY: Duration = Duration::from_secs(5);
/// Rate of spending after the delay, as a multiple of the expected demand.
const RATE_FACTOR: f64 = 2.0;
/// Time in which a holding could be spent after the delay, however small the demand was
/// before: half of an ordinary outage.
const SPEND_TIME: Duration = Duration::from_secs(6);
/// Time in which half of the reserve may be spent while the table can't be reached. All
/// that may have been spent is lost if the process is killed then, and a budget that an
/// outage would use up can be used up after it instead.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Outage of the table for which the floor leaves enough at twice the demand, if the
/// holding is that large: longer than an ordinary one.
const OUTAGE_TIME: Duration = Duration::from_secs(12);
/// Least and greatest floor, as shares of a holding. The tokens of the floor can't be
/// spent in an outage, and all others are lost with a host that never returns.
const FLOOR_SHARES: (f64, f64) = (0.25, 0.5);

/// Demand in tokens a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Demand at this router.
    pub own: f64,
    /// Demand at all routers, this one included.
    pub fleet: f64,
}

impl Demand {
    /// This router's fraction of the demand; `None` if there is no demand.
    fn part(&self) -> Option<f64> {
        (self.fleet > 0.0).then(|| (self.own / self.fleet).min(1.0))
    }
}

/// State of a budget and of the fleet that a plan depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput {
    /// Tokens of the budget that no router holds.
    pub pool: u64,
    /// Tokens that the other routers hold and have not spent.
    pub others_held: u64,
    /// Number of live routers.
    pub routers: u32,
    /// Number of routers that hold the budget.
    pub holders: u32,
    /// Whether this router is one of them.
    pub is_holder: bool,
    /// Demand for this budget.
    pub demand: Demand,
    /// Demand for all budgets.
    pub total_demand: Demand,
    /// Size of a typical request of any workspace, in tokens.
    pub typical_size: u64,
    /// Whether the router is stopping and holds only what requests wait for.
    pub stopping: bool,
}

impl PlanInput {
    /// The share of a budget that this router should hold.
    pub fn share(&self) -> f64 {
        if self.stopping || !self.is_holder {
            return 0.0;
        }
        if is_large_fleet(self.routers) {
            return 1.0 / f64::from(self.holders.max(1));
        }
        let even = 1.0 / f64::from(self.routers.max(1));
        let total = self.total_demand.part().unwrap_or(even);
        let own = self.demand.part().unwrap_or(total);
        SHARE_WEIGHTS.0 * own + SHARE_WEIGHTS.1 * total + SHARE_WEIGHTS.2 * even
    }

    /// Tokens of a typical request: of the account or of any workspace, if more.
    fn request_size(&self, account: &Account) -> f64 {
        account.typical_size().max(self.typical_size) as f64
    }
}

/// Demand at an account in tokens a second. The holders of a large fleet have equal
/// parts, so that the demand only says how fast they may spend them, and it is not to
/// be underestimated.
pub fn demand_rate(account: &Account, routers: u32, now: Instant) -> f64 {
    if is_large_fleet(routers) {
        account.early_demand_rate(now)
    } else {
        account.demand_rate(now)
    }
}

/// What an account should draw from its budget or return to it.
pub fn wanted_change(account: &Account, input: &PlanInput) -> Change {
    let held = account.held() as f64;
    let need = account.need() as f64;
    let pool = input.pool as f64;
    let left = pool + held + input.others_held as f64;
    let wanted = input.share() * left;
    let target = if is_large_fleet(input.routers) {
        let target = HELD_SHARE_LARGE * wanted;
        let is_worthwhile = target >= MIN_TARGET_LARGE * input.request_size(account);
        if is_worthwhile { target } else { 0.0 }
    } else {
        let scarce_below = input.demand.fleet * SCARCE_TIME.as_secs_f64();
        let reduction = if scarce_below > left {
            left / scarce_below
        } else {
            1.0
        };
        HELD_SHARE * reduction * wanted
    };
    let (mut drawn, mut returned) = (0.0, 0.0);
    if held < need || held < REFILL_BELOW * target {
        drawn = (target.max(need) - held).min(pool);
    } else if held > RETURN_ABOVE * target {
        returned = held - target.max(need);
    }
    Change {
        need: account.need(),
        drawn: drawn as u64,
        returned: returned as u64,
    }
}

/// Plans the next allocation of an account, given the change that is made.
pub fn plan_allocation(
    account: &Account,
    input: &PlanInput,
    change: &Change,
    now: Instant,
) -> Allocation {
    let spent = account.spent();
    let granted = account.granted() + change.drawn - change.returned;
    let left = granted.saturating_sub(spent) as f64;
    let expected = input.share() * input.demand.fleet;
    let delay = RATE_DELAY + RATE_DELAY_PER_ROUTER * input.routers;
    let delay = delay.min(MAX_RATE_DELAY);
    let burst = if is_large_fleet(input.routers) || account.has_unconfirmed() {
        let time = delay.max(BURST_TIME).as_secs_f64();
        let burst = expected * time + BURST_REQUESTS * input.request_size(account);
        burst.clamp(MIN_BURST_SHARE * left, MAX_BURST_SHARE * left)
    } else {
        0.0
    };
    let beyond = (left - burst - change.need as f64).max(0.0);
    let outage = RATE_FACTOR * expected * OUTAGE_TIME.as_secs_f64();
    let (least, greatest) = FLOOR_SHARES;
    let floor = (beyond - outage).clamp(least * beyond, greatest * beyond);
    let rate = if input.stopping {
        0
    } else {
        (RATE_FACTOR * expected + left / SPEND_TIME.as_secs_f64()) as u64
    };
    Allocation {
        granted,
        spent,
        burst: burst as u64 + change.need,
        delay_ms: delay.as_millis() as u64,
        rate,
        demand: demand_rate(account, input.routers, now) as u64,
        half_life_ms: HALF_LIFE.as_millis() as u64,
        floor: floor as u64,
        revoked: 0,
    }
}
