//! Sums over the rows of all routers.
//!
//! The rows of a large fleet are more than a slow link carries each second. One
//! router therefore reads them all and writes their sums to the table for the
//! others. It can be any router: whichever finds that the sums are due for a
//! refresh. The age at which they are due differs from router to router, so
//! that only few routers refresh them at once.

use std::net::IpAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Name;
use crate::quota::{BudgetTotal, HolderRow};
use crate::sorted::SortedVec;

/// Age at which the first router refreshes the sums: two checkpoints.
const REFRESH_AGE: Duration = Duration::from_millis(700);
/// Additional age for each later router; reading the rows over a slow link takes
/// as long.
const REFRESH_STAGGER: Duration = Duration::from_millis(30);
/// Age up to which the router of a row counts as live: the longest outage of its
/// link that is worth waiting for.
pub(super) const LIVE_AGE: Duration = Duration::from_secs(6);
/// Age of the sums from which on the table must have been out of reach for the
/// routers: refreshes are due much earlier, also where there are many routers.
const OUTAGE_AGE: Duration = Duration::from_secs(4);

/// Sums over all routers for one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetSum {
    /// Tokens that are granted and not spent.
    pub held: u64,
    /// Demand of the callers in tokens a second.
    pub demand: u64,
    /// Tokens known to be spent or reserved; a lower bound.
    pub used: u64,
}

/// Sums over all routers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetSummary {
    /// The table's clock when the rows were read, in milliseconds.
    pub clock: u64,
    /// Addresses of the live routers, in order.
    pub routers: Vec<IpAddr>,
    /// Sums by budget, in order of the names.
    pub sums: Vec<(Name, BudgetSum)>,
    /// The table's clock at the end of the last outage, in milliseconds; 0 if
    /// there was none.
    #[serde(default)]
    pub outage_end: u64,
}

impl FleetSummary {
    /// Computes the sums from rows that were read together, when the table's
    /// clock was `clock`. `previous` are the sums before.
    ///
    /// After an outage of the table, the rows of most routers are old, since
    /// none could be written. The routers that were live before it therefore
    /// count for some time after it, too.
    pub fn from_rows<'a>(
        holders: impl IntoIterator<Item = (IpAddr, &'a HolderRow)>,
        totals: impl IntoIterator<Item = (&'a Name, &'a BudgetTotal)>,
        clock: u64,
        previous: &Self,
    ) -> Self {
        // Tokens of each budget that a row of a router still accounts for.
        let mut accounted: SortedVec<Name, u64> = SortedVec::new();
        let mut sums: SortedVec<Name, BudgetSum> = SortedVec::new();
        let mut routers = Vec::new();
        for (address, row) in holders {
            if row.clock + LIVE_AGE.as_millis() as u64 > clock {
                routers.push(address);
            }
            for (name, allocation) in &row.allocations {
                let sum = sums.get_or_insert_with(name.clone(), BudgetSum::default);
                sum.held += allocation.remaining().saturating_sub(allocation.spent);
                sum.demand += allocation.demand;
                sum.used += allocation.spent;
                *accounted.get_or_insert_with(name.clone(), u64::default) += allocation.remaining();
            }
            for (name, settlement) in &row.unsettled {
                *accounted.get_or_insert_with(name.clone(), u64::default) +=
                    settlement.released + settlement.stranded;
            }
        }
        for (name, total) in totals {
            let held = accounted.get(&**name).copied().unwrap_or_default();
            let ended = total.granted.saturating_sub(held + total.stranded);
            sums.get_or_insert_with(name.clone(), BudgetSum::default)
                .used += ended;
        }
        let had_outage = clock > previous.clock + OUTAGE_AGE.as_millis() as u64;
        let outage_end = match previous.clock {
            0 => 0,
            _ if had_outage => clock,
            _ => previous.outage_end,
        };
        if outage_end > 0 && clock < outage_end + LIVE_AGE.as_millis() as u64 {
            routers.extend_from_slice(&previous.routers);
        }
        routers.sort_unstable();
        routers.dedup();
        Self {
            clock,
            routers,
            sums: sums.to_vec(),
            outage_end,
        }
    }

    /// The sums of one budget.
    pub fn sum(&self, name: &str) -> BudgetSum {
        let found = self.sums.binary_search_by(|(n, _)| (**n).cmp(name));
        found.map(|at| self.sums[at].1).unwrap_or_default()
    }

    /// Demand for all budgets in tokens a second.
    pub fn demand(&self) -> u64 {
        self.sums.iter().map(|(_, sum)| sum.demand).sum()
    }

    /// Time for which a router has not written its row, as far as the table could be
    /// reached; it was last written at `written` of the table's clock.
    pub fn silence(&self, written: u64) -> Duration {
        let since = written.max(self.outage_end);
        Duration::from_millis(self.clock.saturating_sub(since))
    }

    /// Whether the router at `address` should refresh the sums now; `clock` is
    /// the table's clock. The order of the routers changes with each refresh.
    pub fn is_refresh_due(&self, address: IpAddr, clock: u64) -> bool {
        let routers = self.routers.len().max(1);
        let place = self.routers.binary_search(&address).unwrap_or(routers - 1);
        let rank = (place + self.clock as usize) % routers;
        let age = REFRESH_AGE + REFRESH_STAGGER * rank as u32;
        clock >= self.clock + age.as_millis() as u64
    }
}
