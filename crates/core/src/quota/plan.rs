//! How much a router takes out of a budget or gives back.
//!
//! Nearly all of a budget is held by the routers, each in proportion to what
//! its callers ask for, since an outage of the table may begin at any moment
//! and nothing moves during one. A demand that moves draws the holdings after
//! it from one checkpoint to the next.

use std::time::{Duration, Instant};

use crate::quota::{Account, Allocation, Change, is_large_fleet};

/// Part of what is left of a budget that the routers hold; the rest is for
/// requests that find too little at theirs.
const HELD: f64 = 0.9;
/// The same where there are more than a few routers: each finds what it needs
/// less surely in its own part, and all holdings at the top of their band must
/// leave something.
const HELD_MANY: f64 = 0.6;
/// Time of the fleet's demand below which a budget is scarce. The routers hold
/// less of it then, so that the last tokens are found by whoever needs them.
const SCARCE: Duration = Duration::from_secs(15);
/// A holding below this part of its target is filled up.
const LOW: f64 = 0.8;
/// A holding above this multiple of its target is reduced to the target.
const HIGH: f64 = 1.3;
/// The same bands among many, where each change is one more that others meet.
const LOW_MANY: f64 = 0.5;
const HIGH_MANY: f64 = 1.6;
/// Typical requests below which a holding among many is not worth having: it
/// pays none of them, and those of all routers are most of what is left.
const WORTHWHILE: f64 = 2.0;
/// Part of what is left below which the pool among many is low, and whoever
/// holds more than the target gives it back.
const POOL_LOW: f64 = 0.1;
/// Weight of the router's part of this budget's demand in its share, of its
/// part of all demand, and of an even split. One budget's demand at one router
/// is a few requests in the time over which it is averaged.
const WEIGHTS: (f64, f64, f64) = (0.35, 0.5, 0.15);
/// Time of the expected demand that the burst covers where there are more.
const BURST: Duration = Duration::from_millis(2000);
/// Typical requests that it covers then.
const TYPICAL: f64 = 1.0;
/// Most of a holding that the burst may be: what a kill of everything strands.
const BURST_PART: f64 = 0.3;
/// When more than the burst may be spent: later than a process that was killed
/// in touch with the table is back.
const AFTER: Duration = Duration::from_millis(1400);
/// Further time for each router; checkpoints are as much rarer.
const AFTER_EACH: Duration = Duration::from_millis(15);
/// How many times the expected demand may be spent from then on.
const SURGE: f64 = 2.0;
/// Time in which a holding may be spent however small the demand was before;
/// half of an ordinary outage.
const SPENT_IN: Duration = Duration::from_secs(6);

/// Demand in tokens a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// At this router.
    pub own: f64,
    /// At all routers, this one included.
    pub fleet: f64,
}

impl Demand {
    /// This router's part; `None` where there is no demand.
    fn part(&self) -> Option<f64> {
        (self.fleet > 0.0).then(|| (self.own / self.fleet).min(1.0))
    }
}

/// What a plan needs to know besides the account.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput {
    /// Tokens of the budget that no router has taken out.
    pub pool: u64,
    /// Tokens that the other routers hold and have not spent.
    pub others_held: u64,
    /// Live routers.
    pub routers: u32,
    /// Demand for this budget.
    pub demand: Demand,
    /// Demand for all budgets.
    pub total_demand: Demand,
    /// The size of a typical request of any workspace.
    pub typical_size: u64,
    /// Whether the router is stopping: it holds no more than is needed.
    pub stopping: bool,
}

impl PlanInput {
    /// The part of a budget that this router should hold.
    pub fn share(&self) -> f64 {
        if self.stopping {
            return 0.0;
        }
        let even = 1.0 / f64::from(self.routers.max(1));
        let total = self.total_demand.part().unwrap_or(even);
        let own = self.demand.part().unwrap_or(total);
        WEIGHTS.0 * own + WEIGHTS.1 * total + WEIGHTS.2 * even
    }

    /// Tokens of a typical request of the account's callers.
    fn size(&self, account: &Account) -> f64 {
        account.typical_size().max(self.typical_size) as f64
    }
}

/// What an account should draw or give back.
pub fn wanted_change(account: &Account, outlook: &PlanInput) -> Change {
    let held = account.held() as f64;
    let need = account.need() as f64;
    let pool = outlook.pool as f64;
    let left = pool + held + outlook.others_held as f64;
    let lasting = outlook.demand.fleet * SCARCE.as_secs_f64();
    let plenty = if lasting > left { left / lasting } else { 1.0 };
    let wanted = plenty * outlook.share() * left;
    let (target, low, high) = if is_large_fleet(outlook.routers) {
        let target = HELD_MANY * wanted;
        let pays = target >= WORTHWHILE * outlook.size(account);
        let high = if pool < POOL_LOW * left {
            1.0
        } else {
            HIGH_MANY
        };
        (if pays { target } else { 0.0 }, LOW_MANY, high)
    } else {
        (HELD * wanted, LOW, HIGH)
    };
    let (mut drawn, mut returned) = (0.0, 0.0);
    if held < need || held < low * target {
        drawn = (target.max(need) - held).min(pool);
    } else if held > high * target {
        returned = held - target.max(need);
    }
    Change {
        need: account.need(),
        drawn: drawn as u64,
        returned: returned as u64,
    }
}

/// Plans the next terms of an account that makes a change, or none.
pub fn plan_allocation(
    account: &Account,
    outlook: &PlanInput,
    change: &Change,
    now: Instant,
) -> Allocation {
    let spent = account.spent();
    let granted = account.granted() + change.drawn - change.returned;
    let left = granted.saturating_sub(spent) as f64;
    let expected = outlook.share() * outlook.demand.fleet;
    let burst = if is_large_fleet(outlook.routers) {
        let burst = expected * BURST.as_secs_f64() + TYPICAL * outlook.size(account);
        burst.min(BURST_PART * left)
    } else {
        0.0
    };
    let rate = if outlook.stopping {
        0
    } else {
        (SURGE * expected + left / SPENT_IN.as_secs_f64()) as u64
    };
    Allocation {
        granted,
        spent,
        burst: burst as u64 + change.need,
        delay_ms: (AFTER + AFTER_EACH * outlook.routers).as_millis() as u64,
        rate,
        demand: account.demand_rate(now) as u64,
    }
}
