//! The state of the platform, which one lock protects.

use std::time::{Duration, Instant};

use bytes::Bytes;
use poplar_base::platform::wire::{CommitWire, RowWire};
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::Settings;
use super::control::Switches;
use super::counts::{CountsWire, Peak, ShareWire, Shares, Totals};
use super::hosts::Hosts;
use super::invariants::{InvariantChecker, budget_of};
use super::limits::TokenBucket;
use super::table::{Conflict, Table};

/// The rate limit that a call is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateLimit {
    /// The limit on reads.
    Read,
    /// The limit on writes.
    Write,
}

/// Peak reads and writes.
#[derive(Debug)]
struct Peaks {
    reads: Peak,
    writes: Peak,
}

/// The platform's state.
#[derive(Debug)]
pub struct State {
    /// The table.
    pub table: Table,
    /// Objects by name.
    pub objects: SortedVec<String, Bytes>,
    /// The host list.
    pub hosts: Hosts,
    /// The switches.
    pub switches: Switches,
    /// The counts.
    pub counts: Totals,
    shares: Shares,
    peaks: Peaks,
    invariants: InvariantChecker,
    read_limit: TokenBucket,
    write_limit: TokenBucket,
    write_rows: usize,
    random: StdRng,
}

impl State {
    /// Creates the state of an empty platform.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            table: Table::new(),
            objects: SortedVec::new(),
            hosts: Hosts::new(),
            switches: Switches {
                limits: settings.limits,
                host_lag: settings.host_lag,
                ..Switches::default()
            },
            counts: Totals::default(),
            shares: Shares::new(),
            peaks: Peaks {
                reads: Peak::new(now),
                writes: Peak::new(now),
            },
            invariants: InvariantChecker::default(),
            read_limit: TokenBucket::new(settings.read_rate, now),
            write_limit: TokenBucket::new(settings.write_rate, now),
            write_rows: settings.write_rows.max(1) as usize,
            random: StdRng::seed_from_u64(settings.seed),
        }
    }

    /// Charges `cost` to a rate limit and to the router's counts. Returns false if
    /// the call is refused.
    pub fn charge(&mut self, router: &Name, limit: RateLimit, cost: usize, now: Instant) -> bool {
        let (bucket, peak) = match limit {
            RateLimit::Read => (&mut self.read_limit, &mut self.peaks.reads),
            RateLimit::Write => (&mut self.write_limit, &mut self.peaks.writes),
        };
        let share = self
            .shares
            .get_or_insert_with(router.clone(), Default::default);
        if self.switches.limits && !bucket.try_take(cost.max(1), now) {
            share.refused += 1;
            self.counts.refused += 1;
            return false;
        }
        peak.record(cost as u64, now);
        match limit {
            RateLimit::Read => share.reads += cost as u64,
            RateLimit::Write => share.writes += cost as u64,
        }
        true
    }

    /// Cost of a transaction that writes `rows` rows, as a number of writes.
    pub fn write_cost(&self, rows: usize) -> usize {
        rows.div_ceil(self.write_rows)
    }

    /// Executes a transaction and checks the budgets whose rows it wrote.
    ///
    /// # Errors
    /// The same as those of [`Table::commit`].
    pub fn commit(&mut self, commit: CommitWire) -> Result<u64, Conflict> {
        let rows = commit.writes.len() as u64;
        let keys = commit.writes.iter().filter_map(|w| budget_of(&w.key));
        let mut budgets: Vec<String> = keys.map(str::to_owned).collect();
        budgets.sort();
        budgets.dedup();
        let version = self.table.commit(commit);
        match &version {
            Ok(version) => {
                self.counts.commits += 1;
                self.counts.writes += rows;
                self.invariants.check(&self.table, &budgets, *version);
            }
            Err(_) => self.counts.conflicts += 1,
        }
        version
    }

    /// Stores an object.
    pub fn put(&mut self, name: &str, body: Bytes) {
        self.counts.puts += 1;
        let previous = self.objects.insert(name.to_owned(), body.clone());
        let changed = previous.is_some_and(|previous| previous != body);
        self.counts.changed += u64::from(changed);
    }

    /// Draws the delay of the next call before it takes effect.
    pub fn draw_delay(&mut self) -> Duration {
        let jitter = self.switches.jitter;
        let extra = match jitter.is_zero() {
            true => Duration::ZERO,
            false => jitter.mul_f64(self.random.random::<f64>()),
        };
        self.switches.delay + extra
    }

    /// Draws whether the answer of a call that took effect is lost, and counts it.
    pub fn draw_lost_answer(&mut self) -> bool {
        let rate = self.switches.lose_rate;
        let lost = if self.switches.lose_answers > 0 {
            self.switches.lose_answers -= 1;
            true
        } else {
            rate > 0.0 && self.random.random::<f64>() < rate
        };
        self.counts.lost += u64::from(lost);
        lost
    }

    /// All counts on the wire, including violations.
    pub fn counts_wire(&self) -> CountsWire {
        CountsWire {
            totals: self.counts,
            peak_reads: self.peaks.reads.highest,
            peak_writes: self.peaks.writes.highest,
            routers: self.shares.iter().map(ShareWire::from).collect(),
            violations: self.invariants.count,
            violated: self.invariants.recorded.clone(),
        }
    }

    /// All rows.
    pub fn all_rows(&self) -> Vec<RowWire> {
        self.table.scan("")
    }
}
