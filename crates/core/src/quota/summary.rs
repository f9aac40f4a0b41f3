//! What all holders' rows say together.
//!
//! The rows of a large fleet are more than a small link carries each second, so
//! that one router reads them all and writes their sums down for the others.
//! Which one it is matters little: whoever finds the sums old, at an age that
//! differs from router to router so that few begin at once.

use std::net::IpAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Name;
use crate::quota::{BudgetTotal, HolderRow};
use crate::sorted::SortedVec;

/// Age at which the sums are made again by the first in turn: two checkpoints.
const OLD: Duration = Duration::from_millis(700);
/// Further age for each later one in turn; a reading over a small link takes as
/// long.
const TURN: Duration = Duration::from_millis(30);
/// How long a holder's row speaks for a live router: an outage of its link that
/// is worth waiting for.
const LIVE: Duration = Duration::from_secs(6);

/// Sums over all holders, for one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetSum {
    /// Tokens that are held and not spent.
    pub held: u64,
    /// Tokens that callers ask for a second.
    pub demand: u64,
    /// Tokens that are known to be spent or reserved; a lower bound.
    pub used: u64,
}

/// Sums over all holders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetSummary {
    /// The table's clock when the rows were read, in milliseconds.
    pub clock: u64,
    /// Addresses of the live routers, in order.
    pub routers: Vec<IpAddr>,
    /// Sums by budget, in order of the names.
    pub sums: Vec<(Name, BudgetSum)>,
}

impl FleetSummary {
    /// Sums up rows that were read at one moment, when the table's clock was
    /// `clock`.
    pub fn from_rows<'a>(
        holders: impl IntoIterator<Item = (IpAddr, &'a HolderRow)>,
        totals: impl IntoIterator<Item = (&'a Name, &'a BudgetTotal)>,
        clock: u64,
    ) -> Self {
        // Tokens of each budget that are not known to be spent.
        let mut unspent: SortedVec<Name, u64> = SortedVec::new();
        let mut sums: SortedVec<Name, BudgetSum> = SortedVec::new();
        let mut routers = Vec::new();
        for (address, row) in holders {
            if row.clock + LIVE.as_millis() as u64 > clock {
                routers.push(address);
            }
            for (name, terms) in &row.allocations {
                let sum = sums.get_or_insert_with(name.clone(), BudgetSum::default);
                sum.held += terms.granted.saturating_sub(terms.spent);
                sum.demand += terms.demand;
                sum.used += terms.spent;
                *unspent.get_or_insert_with(name.clone(), u64::default) += terms.granted;
            }
            for (name, bound) in &row.unsettled {
                *unspent.get_or_insert_with(name.clone(), u64::default) +=
                    bound.released + bound.stranded;
            }
        }
        for (name, total) in totals {
            let held = unspent.get(&**name).copied().unwrap_or_default();
            let ended = total.granted.saturating_sub(held + total.stranded);
            sums.get_or_insert_with(name.clone(), BudgetSum::default)
                .used += ended;
        }
        routers.sort_unstable();
        Self {
            clock,
            routers,
            sums: sums.to_vec(),
        }
    }

    /// The sums of one budget.
    pub fn sum(&self, name: &str) -> BudgetSum {
        let found = self.sums.binary_search_by(|(n, _)| (**n).cmp(name));
        found.map(|at| self.sums[at].1).unwrap_or_default()
    }

    /// Demand for all budgets.
    pub fn demand(&self) -> u64 {
        self.sums.iter().map(|(_, sum)| sum.demand).sum()
    }

    /// Whether the router at `address` is to make new sums, `clock` being the
    /// table's clock. The turn changes from one to the next.
    pub fn is_refresh_due(&self, address: IpAddr, clock: u64) -> bool {
        let routers = self.routers.len().max(1);
        let place = self.routers.binary_search(&address).unwrap_or(routers - 1);
        let turn = (place + self.clock as usize) % routers;
        let age = OLD + TURN * turn as u32;
        clock >= self.clock + age.as_millis() as u64
    }
}
