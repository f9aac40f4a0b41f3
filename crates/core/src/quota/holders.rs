//! Which routers hold a budget.
//!
//! In a small fleet each router holds a part of each budget. In a large one such
//! parts would be smaller than a request, however much of the budget is left. Each
//! budget therefore has a few holders, which all routers determine alike from the
//! live routers, and the others [reserve](super::Leases) tokens there. Their number
//! depends on the size of the budget, which all routers have from the same
//! configuration, and not on the number of routers. Routers that disagree about it
//! would use up what the first holders have while the last ones have enough.

use std::net::IpAddr;

use crate::quota::is_large_fleet;

/// Least holders of a budget in a large fleet, so that requests are served while one
/// or two can't be reached.
const MIN_HOLDERS: usize = 3;
/// Most holders.
const MAX_HOLDERS: usize = 16;
/// Tokens of a budget for which there is one holder. Large budgets are used faster, and
/// the smallest hosts answer some ten reservations a second.
const TOKENS_PER_HOLDER: u64 = 500_000;

/// Number of holders of a budget of `prepaid` tokens.
pub fn holder_count(prepaid: u64, routers: usize) -> usize {
    if !is_large_fleet(routers as u32) {
        return routers;
    }
    let wanted = (prepaid / TOKENS_PER_HOLDER) as usize;
    wanted.clamp(MIN_HOLDERS, MAX_HOLDERS)
}

/// The first `count` holders of a budget among the live routers, by rendezvous
/// hashing: the end of a router moves only what it holds.
pub fn holders(budget: &str, routers: &[IpAddr], count: usize) -> Vec<IpAddr> {
    let seed = xxhash_rust::xxh3::xxh3_64(budget.as_bytes());
    let weight = |router: &IpAddr| match router {
        IpAddr::V4(v4) => xxhash_rust::xxh3::xxh3_64_with_seed(&v4.octets(), seed),
        IpAddr::V6(v6) => xxhash_rust::xxh3::xxh3_64_with_seed(&v6.octets(), seed),
    };
    let mut ranked: Vec<(u64, IpAddr)> = routers.iter().map(|r| (weight(r), *r)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, router)| router).collect()
}
