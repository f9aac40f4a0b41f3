//! What this router knows of the rows of budgets in the store, and its
//! accounts.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::quota::{
    self, Account, BudgetTotal, Demand, FleetSummary, HolderRow, Settlement, TableTimeout, Takeover,
};
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::{Row, Snapshot};

/// Start of the keys of holder rows; the address of the router follows.
pub(super) const HOLDER_PREFIX: &str = "holder/";
/// Start of the keys of budget totals; the name of the workspace follows.
pub(super) const TOTAL_PREFIX: &str = "total/";
/// Key of the summary of all holder rows. A range of keys from here on also has
/// the totals.
pub(super) const SUMMARY_KEY: &str = "summary";
/// Failed writes in a row after which requests don't wait for the next one. A
/// single failure may be a lost answer.
pub(super) const FAILURE_LIMIT: u32 = 3;
/// Time after the last failed write during which that limit applies.
const FAILURE_WINDOW: Duration = Duration::from_millis(900);

/// Most rows of silent routers that one checkpoint changes: with the totals, each a check
/// and a write, they stay below the 100 entries of a transaction.
const MAX_TAKEOVERS: usize = 6;

/// A change of the row of a silent router, which a checkpoint makes together with its
/// own row.
#[derive(Debug, Clone)]
pub(super) struct SilentRow {
    pub(super) key: Name,
    pub(super) version: u64,
    pub(super) takeover: Takeover,
}

/// A write of the holder row whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingWrite {
    pub(super) sequence: u64,
    pub(super) sent_at: Instant,
}

/// The state of [`Budgets`](super::Budgets).
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) accounts: SortedVec<Name, Account>,
    /// Totals of the budgets with the versions of their rows, and when they
    /// were read.
    pub(super) totals: SortedVec<Name, (BudgetTotal, u64)>,
    pub(super) totals_at: Option<Instant>,
    /// Summary of all holder rows, the version of its row (0 if there is none),
    /// and when the rows were read for it.
    pub(super) summary: FleetSummary,
    pub(super) summary_version: u64,
    pub(super) summary_at: Option<Instant>,
    /// Version of this router's holder row.
    pub(super) own_version: u64,
    /// Writes of the holder row so far, and when the last one that took effect
    /// was sent.
    pub(super) writes: u64,
    pub(super) written_at: Option<Instant>,
    /// Number of the last one that took effect; 0 before the first checkpoint.
    pub(super) written: u64,
    /// Writes whose outcome is not known yet.
    pub(super) pending: Vec<PendingWrite>,
    /// Rows of silent routers, as last read, that the next checkpoint changes.
    pub(super) silent_rows: Vec<SilentRow>,
    /// Whether another router has removed this one's row, and settled what it held.
    pub(super) is_removed: bool,
    /// Counts the times that this happened. Reservations of before are settled already.
    pub(super) epoch: u64,
    /// The store's clock in milliseconds, and when it was read.
    pub(super) clock: Option<(u64, Instant)>,
    /// Whether the row of the previous process has been taken over.
    pub(super) ready: bool,
    pub(super) stopping: bool,
    /// Whether what is held is being returned, so that none of it may be reserved.
    pub(super) closed: bool,
    pub(super) store_timeout: TableTimeout,
    /// What becomes of the tokens of previous processes at this address, as far
    /// as it is not in the totals yet.
    pub(super) unsettled: SortedVec<Name, Settlement>,
    /// Writes in a row that failed, and when the last one did.
    pub(super) failures: u32,
    pub(super) failed_at: Option<Instant>,
    /// When a checkpoint that may change totals was last completed.
    pub(super) rebalanced_at: Option<Instant>,
    /// Holders of budgets among the routers of the summary, and their intended
    /// number, as far as they were needed.
    pub(super) holders: SortedVec<Name, (usize, Arc<[IpAddr]>)>,
}

impl State {
    /// Estimate of the store's clock in milliseconds, never ahead of it.
    pub(super) fn clock(&self, now: Instant) -> u64 {
        self.clock.map_or(0, |(clock, at)| {
            clock + now.saturating_duration_since(at).as_millis() as u64
        })
    }

    /// Whether the store seems out of reach, so that waiting for the next write
    /// is of no use.
    pub(super) fn is_store_failing(&self, now: Instant) -> bool {
        let lately = self.failed_at.is_some_and(|at| now < at + FAILURE_WINDOW);
        lately && self.failures >= FAILURE_LIMIT
    }

    /// Time until tokens can be reserved without a write; `None` if they never
    /// can.
    pub(super) fn available_after(
        &self,
        name: &str,
        tokens: u64,
        now: Instant,
    ) -> Option<Duration> {
        self.accounts.get(name)?.time_until_free(tokens, now)
    }

    /// The account of a budget, which is opened when it is first needed.
    pub(super) fn account_mut(&mut self, name: &Name) -> &mut Account {
        self.accounts
            .get_or_insert_with(name.clone(), Account::default)
    }

    /// Ends a reservation of `tokens`, of which `used` were spent.
    pub(super) fn settle(&mut self, name: &str, epoch: u64, tokens: u64, used: u64) {
        if epoch == self.epoch
            && let Some(account) = self.accounts.get_mut(name)
        {
            account.settle(tokens, used);
        }
    }

    /// Whether requests wait for which this router holds enough tokens.
    pub(super) fn has_payable_requests(&self) -> bool {
        let mut accounts = self.accounts.iter();
        accounts.any(|(_, account)| account.need() > 0 && account.held() >= account.need())
    }

    /// Whether requests wait for which this router holds too few tokens.
    pub(super) fn has_short_requests(&self) -> bool {
        let mut accounts = self.accounts.iter();
        accounts.any(|(_, account)| account.held() < account.need())
    }

    /// The total of a budget with the version of its row; 0 if there is none.
    pub(super) fn total_row(&self, name: &str) -> (BudgetTotal, u64) {
        self.totals.get(name).copied().unwrap_or_default()
    }

    /// Records a row if it is that of a total.
    pub(super) fn record_total(&mut self, row: &Row) {
        let Some(name) = row.key.strip_prefix(TOTAL_PREFIX) else {
            return;
        };
        let total = decode::<BudgetTotal>(row).unwrap_or_default();
        self.totals.insert(name.into(), (total, row.version));
    }

    /// Upper bound on the unspent tokens of a budget: those that no router is
    /// known to have spent.
    pub(super) fn unspent(&self, name: &str, prepaid: u64) -> u64 {
        prepaid.saturating_sub(self.summary.sum(name).used)
    }

    /// Records rows that were requested from the store at `now`.
    pub(super) fn record_snapshot(&mut self, snapshot: &Snapshot, now: Instant) {
        self.clock = Some((snapshot.clock_ms, Instant::now()));
        self.totals_at = Some(now);
        for row in &snapshot.rows {
            self.record_total(row);
        }
        let Some(row) = snapshot.rows.iter().find(|row| *row.key == *SUMMARY_KEY) else {
            return;
        };
        if let Some(summary) = decode::<FleetSummary>(row) {
            let age = snapshot.clock_ms.saturating_sub(summary.clock);
            self.summary_at = now.checked_sub(Duration::from_millis(age));
            self.summary_version = row.version;
            self.set_summary(summary);
        }
    }

    /// Tokens of a typical request: the mean over the workspaces that have had
    /// any.
    pub(super) fn typical_request(&self) -> u64 {
        let sizes = self
            .accounts
            .iter()
            .map(|(_, account)| account.typical_size());
        let sizes: Vec<u64> = sizes.filter(|size| *size > 0).collect();
        sizes.iter().sum::<u64>() / (sizes.len() as u64).max(1)
    }

    /// The routers that hold a budget of `prepaid` tokens; this one is among them only
    /// if its row is in the summary.
    pub(super) fn holders(&mut self, name: &Name, prepaid: u64) -> Arc<[IpAddr]> {
        let count = quota::holder_count(prepaid, self.summary.routers.len());
        if let Some((known, holders)) = self.holders.get(name)
            && *known == count
        {
            return holders.clone();
        }
        let holders: Arc<[IpAddr]> = quota::holders(name, &self.summary.routers, count).into();
        self.holders.insert(name.clone(), (count, holders.clone()));
        holders
    }

    /// Replaces the summary.
    pub(super) fn set_summary(&mut self, summary: FleetSummary) {
        if summary.routers != self.summary.routers {
            self.holders = SortedVec::new();
        }
        self.summary = summary;
    }

    /// Whether this router holds tokens or is to hold some.
    pub(super) fn is_holder(&self) -> bool {
        let mut accounts = self.accounts.iter();
        accounts.any(|(_, account)| account.held() > 0 || account.need() > 0)
    }

    /// Tokens of a budget that the other routers hold.
    pub(super) fn held_by_others(&self, name: &str) -> u64 {
        let account = self.accounts.get(name);
        let own = account.map_or(0, Account::held);
        self.summary.sum(name).held.saturating_sub(own)
    }

    /// Demand for one budget, or for all if `of` is `None`.
    pub(super) fn demand(&self, of: Option<&str>, now: Instant) -> Demand {
        let accounts = self.accounts.iter();
        let own = accounts.filter(|(name, _)| of.is_none_or(|of| ***name == *of));
        let routers = self.routers();
        let own: f64 = own
            .map(|(_, account)| quota::demand_rate(account, routers, now))
            .sum();
        let fleet = match of {
            Some(name) => self.summary.sum(name).demand,
            None => self.summary.demand(),
        };
        Demand {
            own,
            fleet: own.max(fleet as f64),
        }
    }

    /// What was spent of the tokens granted, how many more may be spent now, and how
    /// many requests wait for, by workspace, for the log: what is lost if the process
    /// is killed is what it may have spent and has not.
    pub(super) fn spending(&self, now: Instant) -> String {
        let accounts = self.accounts.iter().filter(|(_, a)| a.granted() > 0);
        let format = |(name, account): (&Name, &Account)| {
            let (spent, granted) = (account.spent(), account.granted());
            let (free, need) = (account.free(now), account.need());
            let reserved = account.reserved();
            format!("{name} spent {spent} of {granted} reserved {reserved} free {free} need {need}")
        };
        accounts.map(format).collect::<Vec<_>>().join(", ")
    }

    /// Number of live routers, at least 1.
    pub(super) fn routers(&self) -> u32 {
        (self.summary.routers.len() as u32).max(1)
    }

    /// Makes the summary of all holder rows in the snapshot, and plans what to take over
    /// of those of silent routers; `own` is the key of this one.
    pub(super) fn summarize(&mut self, own: &str, snapshot: &Snapshot) -> FleetSummary {
        let holders = snapshot.rows.iter().filter_map(|row| {
            let address = row.key.strip_prefix(HOLDER_PREFIX)?.parse().ok()?;
            Some((address, row, decode::<HolderRow>(row)?))
        });
        let holders: Vec<(IpAddr, &Row, HolderRow)> = holders.collect();
        let rows = holders.iter().map(|(address, _, row)| (*address, row));
        let totals = self.totals.iter().map(|(name, (total, _))| (name, total));
        let summary = FleetSummary::from_rows(rows, totals, snapshot.clock_ms, &self.summary);
        let others = holders.iter().filter(|(_, row, _)| *row.key != *own);
        let silent = others.filter_map(|(_, row, holder)| {
            Some(SilentRow {
                key: row.key.clone(),
                version: row.version,
                takeover: quota::plan_takeover(holder, &summary)?,
            })
        });
        self.silent_rows = silent.take(MAX_TAKEOVERS).collect();
        summary
    }

    /// Forgets what this router held: another one has settled it and removed the row.
    pub(super) fn reset(&mut self) {
        for (_, account) in self.accounts.iter_mut() {
            account.reset();
        }
        self.unsettled = SortedVec::new();
        self.pending.clear();
        self.own_version = 0;
        self.ready = false;
        self.is_removed = false;
        self.epoch += 1;
    }
}

/// Decodes a row; `None` if it does not exist or is invalid.
pub(super) fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    if row.version == 0 {
        return None;
    }
    let decoded = serde_json::from_slice(&row.value);
    decoded
        .inspect_err(|why| {
            log::error("budget row invalid")
                .with("key", &row.key)
                .reason(why)
                .write();
        })
        .ok()
}
