//! What a router knows of the budgets' rows.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::quota::{
    Account, BudgetTotal, Demand, FleetSummary, HolderRow, Settlement, TableTimeout,
};
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::{Row, Snapshot};

/// Start of the keys of holders' rows.
pub(super) const HOLDER_PREFIX: &str = "holder/";
/// Start of the keys of totals.
pub(super) const TOTAL_PREFIX: &str = "total/";
/// The key of the sums; a range from here on has the totals too.
pub(super) const SUMMARY_KEY: &str = "summary";
/// Failed writes in a row after which requests don't wait for the next one; a
/// single answer may be lost.
pub(super) const FAILURE_LIMIT: u32 = 3;
/// How long a failed write speaks against waiting for the next one.
const FAILURE_WINDOW: Duration = Duration::from_millis(900);

/// A write whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingWrite {
    pub(super) number: u64,
    pub(super) sent_at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) accounts: SortedVec<Name, Account>,
    pub(super) totals: SortedVec<Name, (BudgetTotal, u64)>,
    pub(super) totals_at: Option<Instant>,
    /// Sums of the holders' rows, the version of their own row, and when they
    /// were read.
    pub(super) summary: FleetSummary,
    pub(super) summed: u64,
    pub(super) summed_at: Option<Instant>,
    /// Version of the own row.
    pub(super) own: u64,
    /// Own writes so far, and when the last one that came into force was sent.
    pub(super) written: u64,
    pub(super) written_at: Option<Instant>,
    /// Writes whose outcome is not known.
    pub(super) pending: Vec<PendingWrite>,
    /// The store's clock, and when it was read.
    pub(super) clock: Option<(u64, Instant)>,
    pub(super) opened: bool,
    pub(super) leaving: bool,
    pub(super) pace: TableTimeout,
    /// Ends of lives before that the totals don't have yet.
    pub(super) ended: SortedVec<Name, Settlement>,
    /// Writes in a row that failed, and when the last one did.
    pub(super) failures: u32,
    pub(super) failed: Option<Instant>,
    /// When totals were last looked at for a change.
    pub(super) balanced: Option<Instant>,
}

impl State {
    /// The store's clock now, never ahead of it.
    pub(super) fn clock(&self, now: Instant) -> u64 {
        self.clock.map_or(0, |(clock, at)| {
            clock + now.saturating_duration_since(at).as_millis() as u64
        })
    }

    /// Whether it is no use to wait for the next write.
    pub(super) fn is_store_failing(&self, now: Instant) -> bool {
        let lately = self.failed.is_some_and(|at| now < at + FAILURE_WINDOW);
        lately && self.failures >= FAILURE_LIMIT
    }

    /// When tokens can be reserved without a write, if at all.
    pub(super) fn available(&self, name: &str, tokens: u64, now: Instant) -> Option<Duration> {
        self.accounts.get(name)?.time_until_free(tokens, now)
    }

    /// Whether requests wait that the own holdings can pay.
    pub(super) fn is_payable(&self) -> bool {
        let mut accounts = self.accounts.iter();
        accounts.any(|(_, account)| account.need() > 0 && account.held() >= account.need())
    }

    /// Whether requests wait that they can't.
    pub(super) fn is_short(&self) -> bool {
        let mut accounts = self.accounts.iter();
        accounts.any(|(_, account)| account.held() < account.need())
    }

    pub(super) fn total(&self, name: &str) -> (BudgetTotal, u64) {
        self.totals.get(name).copied().unwrap_or_default()
    }

    pub(super) fn learn_total(&mut self, row: &Row) {
        let Some(name) = row.key.strip_prefix(TOTAL_PREFIX) else {
            return;
        };
        let total = decode::<BudgetTotal>(row).unwrap_or_default();
        self.totals.insert(name.into(), (total, row.version));
    }

    /// Tokens of a budget that nobody is known to have spent; an upper bound.
    pub(super) fn left(&self, name: &str, prepaid: u64) -> u64 {
        prepaid.saturating_sub(self.summary.sum(name).used)
    }

    /// Takes in a reading of the table that was asked for at `now`.
    pub(super) fn learn(&mut self, snapshot: &Snapshot, now: Instant) {
        self.clock = Some((snapshot.clock_ms, Instant::now()));
        self.totals_at = Some(now);
        for row in &snapshot.rows {
            self.learn_total(row);
        }
        let Some(row) = snapshot.rows.iter().find(|row| *row.key == *SUMMARY_KEY) else {
            return;
        };
        if let Some(summary) = decode::<FleetSummary>(row) {
            let age = snapshot.clock_ms.saturating_sub(summary.clock);
            self.summed_at = now.checked_sub(Duration::from_millis(age));
            self.summed = row.version;
            self.summary = summary;
        }
    }

    /// The size of a typical request of any workspace.
    pub(super) fn typical(&self) -> u64 {
        let sizes = self
            .accounts
            .iter()
            .map(|(_, account)| account.typical_size());
        let sizes: Vec<u64> = sizes.filter(|size| *size > 0).collect();
        sizes.iter().sum::<u64>() / (sizes.len() as u64).max(1)
    }

    /// Tokens of a budget that the other routers hold.
    pub(super) fn held(&self, name: &str) -> u64 {
        let account = self.accounts.get(name);
        let own = account.map_or(0, Account::held);
        self.summary.sum(name).held.saturating_sub(own)
    }

    /// Demand for one budget, or for all.
    pub(super) fn demand(&self, of: Option<&str>, now: Instant) -> Demand {
        let accounts = self.accounts.iter();
        let own = accounts.filter(|(name, _)| of.is_none_or(|of| ***name == *of));
        let own: f64 = own.map(|(_, account)| account.demand_rate(now)).sum();
        let fleet = match of {
            Some(name) => self.summary.sum(name).demand,
            None => self.summary.demand(),
        };
        Demand {
            own,
            fleet: own.max(fleet as f64),
        }
    }

    pub(super) fn routers(&self) -> u32 {
        (self.summary.routers.len() as u32).max(1)
    }

    /// Sums up all rows of the table.
    pub(super) fn sum_up(&mut self, snapshot: &Snapshot) -> FleetSummary {
        let holders = snapshot.rows.iter().filter_map(|row| {
            let address = row.key.strip_prefix(HOLDER_PREFIX)?.parse().ok()?;
            Some((address, decode::<HolderRow>(row)?))
        });
        let holders: Vec<(IpAddr, HolderRow)> = holders.collect();
        let holders = holders.iter().map(|(address, row)| (*address, row));
        let totals = self.totals.iter().map(|(name, (total, _))| (name, total));
        FleetSummary::from_rows(holders, totals, snapshot.clock_ms)
    }
}

/// Reads a row; `None` where there is none, or none that can be read.
pub(super) fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    if row.version == 0 {
        return None;
    }
    let read = serde_json::from_slice(&row.value);
    read.inspect_err(|why| {
        log::error("budget row unreadable")
            .with("key", &row.key)
            .reason(why)
            .write();
    })
    .ok()
}
