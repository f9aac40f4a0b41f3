//! Which totals a checkpoint changes, and when it is tried again.
//!
//! All routers change the same totals, each write on condition that nobody else
//! changed a row since it was read. A write that comes too late has cost the
//! table as much as one that succeeds, so that routers which try again at once
//! keep each other from succeeding. The wait grows with their number, and each
//! try rests on a fresh reading.

use std::time::Duration;

/// Most totals that one write changes; the table takes 100 entries a call, and
/// each total is two of them.
const MOST: usize = 40;
/// Routers up to which each request may have a write of its own, and conflicts
/// are rare enough to try again at once; the table takes a few hundred writes a
/// second.
const FEW: u32 = 16;
/// Longest wait after the first conflict among few routers, about one
/// transaction; it grows with each further one.
const STEP: Duration = Duration::from_millis(8);
/// Longest wait after a conflict for each router where there are more: about
/// one transaction, and half of it on the mean beside a reading. With 6 ms,
/// requests gave up before the second try.
const STEP_EACH: Duration = Duration::from_micros(2500);
/// Age up to which a reading of the totals serves for a write, among few.
const READ_AGE: Duration = Duration::from_millis(700);
/// The same among many, who change them all the time.
const READ_AGE_MANY: Duration = Duration::from_millis(50);

/// Whether the routers are too many for a write with each request.
pub fn is_large_fleet(routers: u32) -> bool {
    routers > FEW
}

/// What a router would like to change of one budget's total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// Tokens that requests wait for.
    pub need: u64,
    /// Tokens that would be taken out of the budget.
    pub drawn: u64,
    /// Tokens that would be given back, also for lives before.
    pub returned: u64,
}

impl Change {
    /// The same need without any change.
    pub fn need_only(&self) -> Self {
        Self {
            need: self.need,
            ..Self::default()
        }
    }

    /// Whether there is anything to change.
    pub fn is_empty(&self) -> bool {
        self.drawn == 0 && self.returned == 0
    }

    /// Whether requests wait for it, and its size.
    fn urgency(&self) -> (bool, u64) {
        let waited = self.need > 0 && self.drawn > 0;
        let size = if waited {
            self.need
        } else {
            self.drawn.max(self.returned)
        };
        (waited, size)
    }
}

/// The changes to make after so many conflicts, by index.
///
/// All that are wanted at first; then only what requests wait for, and in the
/// end the greatest need alone. A router with a slow link and a rush of one
/// workspace's callers would lose to the others each time otherwise.
pub fn select_changes(changes: &[Change], tries: u32) -> Vec<usize> {
    let mut wanted: Vec<usize> = (0..changes.len())
        .filter(|index| !changes[*index].is_empty())
        .collect();
    wanted.sort_by_key(|index| std::cmp::Reverse(changes[*index].urgency()));
    let waited = |index: &&usize| changes[**index].urgency().0;
    let waited = wanted.iter().take_while(waited).count();
    let most = match tries {
        0 => MOST,
        _ if waited == 0 => MOST,
        1 => waited.min(MOST),
        _ => 1,
    };
    wanted.truncate(most);
    wanted.sort_unstable();
    wanted
}

/// How long to wait after the conflict number `tries`, counted from zero;
/// `random` lies between 0 and 1.
pub fn conflict_backoff(tries: u32, routers: u32, random: f64) -> Duration {
    let most = if is_large_fleet(routers) {
        STEP_EACH * routers
    } else {
        STEP * (tries + 1)
    };
    most.mul_f64(random)
}

/// Age at which the totals are read again before a write.
pub fn max_read_age(routers: u32) -> Duration {
    if is_large_fleet(routers) {
        READ_AGE_MANY
    } else {
        READ_AGE
    }
}
