//! How much a router takes out of a budget or gives back.

use std::time::Instant;

use crate::hold::{Account, HORIZON, Terms};

/// Share of what is left and held that one router aims for at most, so that
/// the others find something.
const SHARE: f64 = 0.4;
/// The part of the prepaid budget that all routers together hold in advance
/// for callers that they have not seen yet.
const ADVANCE: f64 = 0.25;
/// A holding below this share of its target is filled up.
const LOW: f64 = 0.7;
/// A holding above this multiple of its target is reduced.
const HIGH: f64 = 2.0;
/// What is kept of it then, as a multiple of the target.
const KEEP: f64 = 1.4;
/// How many times the average rate may be spent between checkpoints.
const SURGE: f64 = 2.5;
/// Time over which a holding may be spent however little was spent before.
const EVEN_S: f64 = 10.0;
/// Typical requests that may be under way beyond the rate.
const BURST: f64 = 2.0;

/// What a plan needs to know besides the account.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// The budget.
    pub prepaid: u64,
    /// Tokens of it that no router has taken out.
    pub pool: u64,
    /// Live routers.
    pub routers: u32,
}

/// What to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// The new terms.
    pub terms: Terms,
    /// Tokens taken out of the budget.
    pub drawn: u64,
    /// Tokens given back.
    pub returned: u64,
}

/// Plans the next terms of an account.
pub fn plan(account: &Account, outlook: &Outlook, now: Instant) -> Plan {
    let spent = account.spent();
    let held = account.granted().saturating_sub(spent) as f64;
    let need = account.need() as f64;
    let pool = outlook.pool as f64;
    let rate = account.rate(now);
    let advance = ADVANCE * outlook.prepaid as f64 / f64::from(outlook.routers.max(1));
    let wanted = rate * HORIZON.as_secs_f64() + BURST * account.typical() as f64;
    let most = SHARE * (pool + held);
    let target = wanted.max(advance).min(most).max(need);
    let (mut drawn, mut returned) = (0.0, 0.0);
    if held < need || held < LOW * target {
        drawn = (target - held).min(pool);
    } else if held > HIGH * target {
        returned = held - KEEP * target;
    }
    let (drawn, returned) = (drawn as u64, returned as u64);
    let granted = account.granted() + drawn - returned;
    let left = granted.saturating_sub(spent) as f64;
    let terms = Terms {
        granted,
        spent,
        burst: (BURST * account.typical() as f64).max(need) as u64,
        rate: (SURGE * rate).max(left / EVEN_S) as u64,
    };
    Plan {
        terms,
        drawn,
        returned,
    }
}
