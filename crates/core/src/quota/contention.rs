//! Which totals a checkpoint changes, and when it is retried after a conflict.
//!
//! All routers change the same totals. Each write is conditional: it fails if
//! another router changed one of its rows since they were read. A failed write
//! costs the table as much as one that succeeds, so routers that retry at once
//! keep each other from succeeding. The backoff therefore grows with the number
//! of routers, and each attempt uses freshly read totals.

use std::time::Duration;

/// Most totals that one write changes. The table accepts 100 entries a call,
/// and each total takes two of them.
const MAX_TOTALS: usize = 40;
/// Most routers of a small fleet. Up to this number each request may cause a
/// write of its own, and conflicts are rare enough for a short backoff; the
/// table takes a few hundred writes a second.
const MAX_SMALL_FLEET: u32 = 16;
/// Longest backoff after the first conflict in a small fleet, about one
/// transaction. Each further conflict adds as much.
const BACKOFF_STEP: Duration = Duration::from_millis(8);
/// Longest backoff after a conflict in a large fleet, for each router: about
/// one transaction. The mean wait is half of it, in addition to the reading.
/// With 6 ms, requests gave up before the second try.
const BACKOFF_PER_ROUTER: Duration = Duration::from_micros(2500);
/// Age up to which read totals may be used for a write in a small fleet.
const MAX_READ_AGE: Duration = Duration::from_millis(700);
/// The same in a large fleet, whose routers change the totals all the time.
const MAX_READ_AGE_LARGE: Duration = Duration::from_millis(50);

/// Whether there are too many routers for a write with each request.
pub fn is_large_fleet(routers: u32) -> bool {
    routers > MAX_SMALL_FLEET
}

/// The change that a router wants to make to one budget's total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// Tokens that waiting requests need.
    pub need: u64,
    /// Tokens to take out of the budget.
    pub drawn: u64,
    /// Tokens to return, including those of earlier incarnations.
    pub returned: u64,
}

impl Change {
    /// The same need with nothing drawn or returned.
    pub fn need_only(&self) -> Self {
        Self {
            need: self.need,
            ..Self::default()
        }
    }

    /// Whether nothing is drawn or returned.
    pub fn is_empty(&self) -> bool {
        self.drawn == 0 && self.returned == 0
    }

    /// Sort key: whether requests wait for the change, then its size in tokens.
    fn urgency(&self) -> (bool, u64) {
        let is_urgent = self.need > 0 && self.drawn > 0;
        let size = if is_urgent {
            self.need
        } else {
            self.drawn.max(self.returned)
        };
        (is_urgent, size)
    }
}

/// Indices of the changes to make after `conflicts` conflicts in a row.
///
/// The first attempt makes all changes, the second only those that requests
/// wait for, and further ones only the most urgent. Otherwise a router with a
/// slow link and many waiting requests of one workspace would lose against the
/// other routers each time.
pub fn select_changes(changes: &[Change], conflicts: u32) -> Vec<usize> {
    let mut wanted: Vec<usize> = (0..changes.len())
        .filter(|index| !changes[*index].is_empty())
        .collect();
    wanted.sort_by_key(|index| std::cmp::Reverse(changes[*index].urgency()));
    let is_urgent = |index: &&usize| changes[**index].urgency().0;
    let urgent = wanted.iter().take_while(is_urgent).count();
    let most = match conflicts {
        0 => MAX_TOTALS,
        _ if urgent == 0 => MAX_TOTALS,
        1 => urgent.min(MAX_TOTALS),
        _ => 1,
    };
    wanted.truncate(most);
    wanted.sort_unstable();
    wanted
}

/// Wait after a conflict that `conflicts` others preceded; `random` is drawn
/// from 0 to 1.
pub fn conflict_backoff(conflicts: u32, routers: u32, random: f64) -> Duration {
    let most = if is_large_fleet(routers) {
        BACKOFF_PER_ROUTER * routers
    } else {
        BACKOFF_STEP * (conflicts + 1)
    };
    most.mul_f64(random)
}

/// Age from which the totals are read again before a write.
pub fn max_read_age(routers: u32) -> Duration {
    if is_large_fleet(routers) {
        MAX_READ_AGE_LARGE
    } else {
        MAX_READ_AGE
    }
}
