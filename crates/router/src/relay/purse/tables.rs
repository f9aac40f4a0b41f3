//! What a router knows of the budgets' rows.

use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::hold::{Account, Demand, HolderRow, Pace, Terms, Total};
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::Row;

/// Start of the keys of holders' rows.
pub(super) const HOLDER: &str = "holder/";
/// Start of the keys of totals.
pub(super) const TOTAL: &str = "total/";
/// How long a holder's row speaks for a live router.
const LIVE: Duration = Duration::from_secs(6);
/// Failed writes in a row after which requests don't wait for the next one; a
/// single answer may be lost.
pub(super) const FAILURES: u32 = 3;
/// How long a failed write speaks against waiting for the next one.
const FAILING: Duration = Duration::from_millis(900);

/// A write whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Open {
    pub(super) number: u64,
    pub(super) at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Tables {
    pub(super) accounts: SortedVec<Name, Account>,
    pub(super) totals: SortedVec<Name, (Total, u64)>,
    pub(super) totals_at: Option<Instant>,
    pub(super) holders: SortedVec<Name, HolderRow>,
    pub(super) holders_at: Option<Instant>,
    /// Version of the own row.
    pub(super) own: u64,
    /// Own writes so far.
    pub(super) written: u64,
    /// Writes whose outcome is not known.
    pub(super) open: Vec<Open>,
    /// The store's clock, and when it was read.
    pub(super) clock: Option<(u64, Instant)>,
    pub(super) opened: bool,
    pub(super) leaving: bool,
    pub(super) pace: Pace,
    /// Writes in a row that failed, and when the last one did.
    pub(super) failures: u32,
    pub(super) failed: Option<Instant>,
    pub(super) short: bool,
}

impl Tables {
    /// The store's clock now, never ahead of it.
    pub(super) fn clock(&self, now: Instant) -> u64 {
        self.clock.map_or(0, |(clock, at)| {
            clock + now.saturating_duration_since(at).as_millis() as u64
        })
    }

    /// Whether it is no use to wait for the next write.
    pub(super) fn is_failing(&self, now: Instant) -> bool {
        let lately = self.failed.is_some_and(|at| now < at + FAILING);
        lately && self.failures >= FAILURES
    }

    pub(super) fn total(&self, name: &str) -> (Total, u64) {
        self.totals.get(name).copied().unwrap_or_default()
    }

    pub(super) fn learn_total(&mut self, row: &Row) {
        let Some(name) = row.key.strip_prefix(TOTAL) else {
            return;
        };
        let total = decode::<Total>(row).unwrap_or_default();
        self.totals.insert(name.into(), (total, row.version));
    }

    pub(super) fn holder_terms(&self, name: &str) -> impl Iterator<Item = Terms> {
        let rows = self.holders.iter();
        rows.filter_map(move |(_, row)| {
            let found = row.terms.iter().find(|(n, _)| **n == *name);
            found.map(|(_, terms)| *terms)
        })
    }

    /// The size of a typical request of any workspace.
    pub(super) fn typical(&self) -> u64 {
        let sizes = self.accounts.iter().map(|(_, account)| account.typical());
        let sizes: Vec<u64> = sizes.filter(|size| *size > 0).collect();
        sizes.iter().sum::<u64>() / (sizes.len() as u64).max(1)
    }

    /// Terms of the other routers, of one budget or of all.
    pub(super) fn others<'a>(
        &'a self,
        own: &'a str,
        of: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Terms> {
        let rows = self.holders.iter().filter(move |(key, _)| ***key != *own);
        let terms = rows.flat_map(|(_, row)| row.terms.iter());
        let wanted = move |(name, _): &&(Name, Terms)| of.is_none_or(|of| **name == *of);
        terms.filter(wanted).map(|(_, terms)| terms)
    }

    /// Tokens of a budget that the other routers hold.
    pub(super) fn held(&self, own: &str, of: &str) -> u64 {
        let held = |terms: &Terms| terms.granted.saturating_sub(terms.spent);
        self.others(own, Some(of)).map(held).sum()
    }

    /// Demand for one budget, or for all.
    pub(super) fn demand(&self, own: &str, of: Option<&str>, now: Instant) -> Demand {
        let accounts = self.accounts.iter();
        let mine = accounts.filter(|(name, _)| of.is_none_or(|of| ***name == *of));
        let mine: f64 = mine.map(|(_, account)| account.rate(now)).sum();
        let others: u64 = self.others(own, of).map(|terms| terms.demand).sum();
        Demand {
            own: mine,
            fleet: mine + others as f64,
        }
    }

    pub(super) fn routers(&self, now: Instant) -> u32 {
        let clock = self.clock(now);
        let live = |row: &HolderRow| row.clock + LIVE.as_millis() as u64 > clock;
        let live = self.holders.iter().filter(|(_, row)| live(row)).count();
        (live as u32).max(1)
    }

    pub(super) fn learn_holders(&mut self, rows: &[Row], now: Instant) {
        let rows = rows.iter().filter(|row| row.key.starts_with(HOLDER));
        let read = rows.filter_map(|row| Some((row.key.clone(), decode(row)?)));
        self.holders = read.collect();
        self.holders_at = Some(now);
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
