//! Prepaid budgets: reservations against the terms in the store.
//!
//! One task writes this router's row and the totals that it changes in one
//! transaction. A request that finds too little waits for the next write and
//! is refused where that does not help.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::hold::{self, Account, Demand, HolderRow, Outlook, Pace, Terms, Total};
use poplar_core::id::Name;
use poplar_core::site::Site;
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::{Check, Commit, Place, Row, Write};
use poplar_platform::store::{Error, Store};
use serde::Serialize;
use tokio::sync::Notify;

use crate::sync::lock;

/// Where the rows of budgets lie; one part, so that a transaction spans them.
const PLACE: Place = Place {
    table: "budgets",
    part: "all",
};
/// Start of the keys of holders' rows.
const HOLDER: &str = "holder/";
/// Start of the keys of totals.
const TOTAL: &str = "total/";
/// The first key after those of totals.
const TOTAL_END: &str = "total0";
/// How long the first read and the last write of a life may take.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two checkpoints without a waiting request.
const PERIOD: Duration = Duration::from_millis(400);
/// Time between checkpoints for each router, so that all of them together stay
/// under half of what one part of the store takes.
const PERIOD_EACH: Duration = Duration::from_millis(10);
/// Age at which the totals are read again.
const TOTALS_AGE: Duration = Duration::from_millis(700);
/// Age at which the holders' rows are read again.
const HOLDERS_AGE: Duration = Duration::from_millis(700);
/// That age for each router, so that what all of them read stays in bounds.
const HOLDERS_AGE_EACH: Duration = Duration::from_millis(30);
/// Age at which they are read again for a request that was refused.
const REFUSED_AGE: Duration = Duration::from_secs(1);
/// Age up to which they may prove that a budget is spent.
const PROOF_AGE: Duration = Duration::from_millis(2500);
/// How long a holder's row speaks for a live router.
const LIVE: Duration = Duration::from_secs(6);
/// Shortest wait for terms that grow.
const OUTLAST_STEP: Duration = Duration::from_millis(5);
/// How long a request waits for a write.
const WAIT: Duration = Duration::from_millis(600);
/// Writes that a request waits for.
const WAITS: u32 = 3;
/// Failed writes in a row after which requests don't wait for the next one; a
/// single answer may be lost.
const FAILURES: u32 = 3;
/// How long a failed write speaks against waiting for the next one.
const FAILING: Duration = Duration::from_millis(900);
/// Tries of one write against the writes of others.
const TRIES: u32 = 10;
/// Longest wait after the first conflict, about one transaction; it grows with
/// each further one.
const STEP_BACK: Duration = Duration::from_millis(8);

/// Why tokens can't be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The budget is spent, as far as the whole fleet is concerned.
    Spent {
        /// What is left of it.
        left: u64,
    },
    /// The router holds too little, and others may hold more.
    Short,
    /// The store can't be reached, and the router may not spend as much yet.
    Away {
        /// When it may, where it holds enough.
        after: Option<Duration>,
    },
}

/// A write whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
struct Open {
    number: u64,
    at: Instant,
}

/// A checkpoint with what its requests needed, by workspace.
#[derive(Debug)]
struct Planned {
    commit: Commit,
    needs: Vec<(Name, u64)>,
}

#[derive(Debug, Default)]
struct Tables {
    accounts: SortedVec<Name, Account>,
    totals: SortedVec<Name, (Total, u64)>,
    totals_at: Option<Instant>,
    holders: SortedVec<Name, HolderRow>,
    holders_at: Option<Instant>,
    /// Version of the own row.
    own: u64,
    /// Own writes so far.
    written: u64,
    /// Writes whose outcome is not known.
    open: Vec<Open>,
    /// The store's clock, and when it was read.
    clock: Option<(u64, Instant)>,
    opened: bool,
    leaving: bool,
    pace: Pace,
    /// Writes in a row that failed, and when the last one did.
    failures: u32,
    failed: Option<Instant>,
    short: bool,
}

impl Tables {
    /// The store's clock now, never ahead of it.
    fn clock(&self, now: Instant) -> u64 {
        self.clock.map_or(0, |(clock, at)| {
            clock + now.saturating_duration_since(at).as_millis() as u64
        })
    }

    /// Whether it is no use to wait for the next write.
    fn is_failing(&self, now: Instant) -> bool {
        let lately = self.failed.is_some_and(|at| now < at + FAILING);
        lately && self.failures >= FAILURES
    }

    fn total(&self, name: &str) -> (Total, u64) {
        self.totals.get(name).copied().unwrap_or_default()
    }

    fn learn_total(&mut self, row: &Row) {
        let Some(name) = row.key.strip_prefix(TOTAL) else {
            return;
        };
        let total = decode::<Total>(row).unwrap_or_default();
        self.totals.insert(name.into(), (total, row.version));
    }

    fn holder_terms(&self, name: &str) -> impl Iterator<Item = Terms> {
        let rows = self.holders.iter();
        rows.filter_map(move |(_, row)| {
            let found = row.terms.iter().find(|(n, _)| **n == *name);
            found.map(|(_, terms)| *terms)
        })
    }

    /// The size of a typical request of any workspace.
    fn typical(&self) -> u64 {
        let sizes = self.accounts.iter().map(|(_, account)| account.typical());
        let sizes: Vec<u64> = sizes.filter(|size| *size > 0).collect();
        sizes.iter().sum::<u64>() / (sizes.len() as u64).max(1)
    }

    /// Terms of the other routers, of one budget or of all.
    fn others<'a>(&'a self, own: &'a str, of: Option<&'a str>) -> impl Iterator<Item = &'a Terms> {
        let rows = self.holders.iter().filter(move |(key, _)| ***key != *own);
        let terms = rows.flat_map(|(_, row)| row.terms.iter());
        let wanted = move |(name, _): &&(Name, Terms)| of.is_none_or(|of| **name == *of);
        terms.filter(wanted).map(|(_, terms)| terms)
    }

    /// Tokens of a budget that the other routers hold.
    fn held(&self, own: &str, of: &str) -> u64 {
        let held = |terms: &Terms| terms.granted.saturating_sub(terms.spent);
        self.others(own, Some(of)).map(held).sum()
    }

    /// Demand for one budget, or for all.
    fn demand(&self, own: &str, of: Option<&str>, now: Instant) -> Demand {
        let accounts = self.accounts.iter();
        let mine = accounts.filter(|(name, _)| of.is_none_or(|of| ***name == *of));
        let mine: f64 = mine.map(|(_, account)| account.rate(now)).sum();
        let others: u64 = self.others(own, of).map(|terms| terms.demand).sum();
        Demand {
            own: mine,
            fleet: mine + others as f64,
        }
    }

    fn routers(&self, now: Instant) -> u32 {
        let clock = self.clock(now);
        let live = |row: &HolderRow| row.clock + LIVE.as_millis() as u64 > clock;
        let live = self.holders.iter().filter(|(_, row)| live(row)).count();
        (live as u32).max(1)
    }
}

/// What this router may spend of each workspace's budget.
#[derive(Debug)]
pub struct Purse {
    tables: Mutex<Tables>,
    store: Store,
    key: Name,
    life: u64,
    wake: Notify,
    done: Notify,
}

/// Tokens that are reserved for a request; settled when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    purse: Arc<Purse>,
    workspace: Name,
    worst: u64,
    /// What has been spent of it.
    pub used: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut tables = lock(&self.purse.tables);
        if let Some(account) = tables.accounts.get_mut(&*self.workspace) {
            account.settle(self.worst, self.used.min(self.worst));
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
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

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    Some(serde_json::to_vec(value).expect("rows are plain data"))
}

impl Purse {
    /// A purse of the router at `address` that holds nothing yet.
    pub fn new(store: Store, address: &str, life: u64) -> Arc<Self> {
        Arc::new(Self {
            tables: Mutex::default(),
            store,
            key: format!("{HOLDER}{address}").into(),
            life,
            wake: Notify::new(),
            done: Notify::new(),
        })
    }

    /// Whether the predecessor's row was taken over, so that it can spend.
    pub fn is_open(&self) -> bool {
        lock(&self.tables).opened
    }

    /// Live routers, as their rows tell.
    pub fn routers(&self, now: Instant) -> u32 {
        lock(&self.tables).routers(now)
    }

    /// Addresses of the other routers, as their rows tell.
    pub fn peers(&self) -> Vec<IpAddr> {
        let tables = lock(&self.tables);
        let others = tables.holders.iter().filter(|(key, _)| **key != self.key);
        let address = |(key, _): (&Name, &HolderRow)| key.strip_prefix(HOLDER)?.parse().ok();
        others.filter_map(address).collect()
    }

    /// Tokens that can be spent of each budget, for the metrics page.
    pub fn free(&self, now: Instant) -> Vec<(Name, u64)> {
        let tables = lock(&self.tables);
        let free = |(name, account): (&Name, &Account)| (name.clone(), account.free(now));
        tables.accounts.iter().map(free).collect()
    }

    /// Reserves `worst` tokens of a workspace's budget, within `patience`
    /// where waiting helps.
    ///
    /// # Errors
    /// Says why not; nothing is reserved then.
    pub async fn reserve(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        worst: u64,
        patience: Duration,
    ) -> Result<Reservation, Refused> {
        let until = Instant::now() + patience;
        self.asked(workspace, worst, Instant::now());
        for _ in 0..WAITS {
            let done = self.done.notified();
            let now = Instant::now();
            if self.try_reserve(workspace, worst, now) {
                return Ok(self.reserved(workspace, worst));
            }
            if self.is_failing(now) {
                // The next write may find the store back.
                self.wake.notify_one();
                return self.outlast(workspace, worst, until).await;
            }
            self.wake.notify_one();
            if tokio::time::timeout(WAIT, done).await.is_err() {
                return self.outlast(workspace, worst, until).await;
            }
        }
        let now = Instant::now();
        if self.try_reserve(workspace, worst, now) {
            return Ok(self.reserved(workspace, worst));
        }
        Err(self.why(workspace, prepaid, worst, now))
    }

    fn reserved(self: &Arc<Self>, workspace: &Name, worst: u64) -> Reservation {
        Reservation {
            purse: self.clone(),
            workspace: workspace.clone(),
            worst,
            used: 0,
        }
    }

    /// Reserves while the store is away, as soon as the terms allow it.
    async fn outlast(
        self: &Arc<Self>,
        workspace: &Name,
        worst: u64,
        until: Instant,
    ) -> Result<Reservation, Refused> {
        loop {
            let done = self.done.notified();
            let now = Instant::now();
            if self.try_reserve(workspace, worst, now) {
                return Ok(self.reserved(workspace, worst));
            }
            let after = self.available(workspace, worst, now);
            let wait = after.filter(|wait| now + *wait <= until);
            let Some(wait) = wait else {
                return Err(Refused::Away { after });
            };
            // The store may be back before; others may spend what grew.
            let _ = tokio::time::timeout(wait.max(OUTLAST_STEP), done).await;
        }
    }

    fn available(&self, workspace: &Name, worst: u64, now: Instant) -> Option<Duration> {
        let tables = lock(&self.tables);
        let account = tables.accounts.get(&**workspace)?;
        account.available(worst, now)
    }

    /// Begins a planned stop: what is not needed is given back from now on.
    pub fn leave(&self) {
        lock(&self.tables).leaving = true;
        self.wake.notify_one();
    }

    fn asked(&self, workspace: &Name, worst: u64, now: Instant) {
        let mut tables = lock(&self.tables);
        let account = tables.accounts.entry(workspace.clone(), Account::default);
        account.asked(worst, now);
    }

    fn try_reserve(&self, workspace: &Name, worst: u64, now: Instant) -> bool {
        let mut tables = lock(&self.tables);
        let account = tables.accounts.entry(workspace.clone(), Account::default);
        account.reserve(worst, now)
    }

    fn is_failing(&self, now: Instant) -> bool {
        lock(&self.tables).is_failing(now)
    }

    fn why(&self, workspace: &Name, prepaid: u64, worst: u64, now: Instant) -> Refused {
        let mut tables = lock(&self.tables);
        if tables.is_failing(now) {
            let account = tables.accounts.get(&**workspace);
            let after = account.and_then(|a| a.available(worst, now));
            return Refused::Away { after };
        }
        tables.short = true;
        let (total, _) = tables.total(workspace);
        let left = hold::remaining(prepaid, &total, tables.holder_terms(workspace));
        let proved = tables.holders_at.is_some_and(|at| now < at + PROOF_AGE);
        if proved && left < worst {
            return Refused::Spent { left };
        }
        Refused::Short
    }

    /// What the decision on a refusal rested on, for the logs.
    pub fn evidence(&self, workspace: &Name, prepaid: u64, now: Instant) -> String {
        let tables = lock(&self.tables);
        let (total, _) = tables.total(workspace);
        let age = |at: Option<Instant>| {
            at.map_or(u128::MAX, |at| {
                now.saturating_duration_since(at).as_millis()
            })
        };
        let account = tables.accounts.get(&**workspace);
        let spent = account.map_or(0, Account::spent);
        let granted = account.map_or(0, Account::known);
        let left = hold::remaining(prepaid, &total, tables.holder_terms(workspace));
        format!(
            "prepaid {prepaid} taken {} left {left} granted {granted} spent {spent} \
             free {} rate {:.0} routers {} totals_age {} holders_age {}",
            total.granted,
            account.map_or(0, |a| a.free(now)),
            account.map_or(0.0, |a| a.rate(now)),
            tables.routers(now),
            age(tables.totals_at),
            age(tables.holders_at),
        )
    }

    /// Keeps the row until the process ends.
    pub async fn keep(self: Arc<Self>, site: impl Fn() -> Option<Arc<Site>>) {
        self.open().await;
        loop {
            if let Some(site) = site() {
                self.cycle(&site).await;
            }
            self.done.notify_waiters();
            let period = self.period(Instant::now());
            // A wake is a request that waits; without one the time passes.
            let _ = tokio::time::timeout(period, self.wake.notified()).await;
        }
    }

    fn period(&self, now: Instant) -> Duration {
        PERIOD.max(PERIOD_EACH * self.routers(now))
    }

    /// Takes the row of the life before over and gives back what it can't have
    /// spent; the process that wrote it is gone, since its address is ours.
    async fn open(&self) {
        for tries in 0.. {
            match self.try_open().await {
                Ok(()) => break,
                Err(why) => log::warn("budgets not opened").reason(why).write(),
            }
            step_back(tries.min(TRIES)).await;
        }
    }

    async fn try_open(&self) -> Result<(), Error> {
        let rows = self.store.read(PLACE, "", "", TIMEOUT).await?;
        let now = Instant::now();
        let own = rows.rows.iter().find(|row| row.key == self.key);
        let version = own.map_or(0, |row| row.version);
        let before: HolderRow = own.and_then(decode).unwrap_or_default();
        let next = HolderRow {
            life: self.life,
            number: 0,
            clock: rows.clock,
            terms: Vec::new(),
        };
        let mut commit = Commit::default();
        let elapsed = Duration::from_millis(rows.clock.saturating_sub(before.clock));
        for (name, terms) in &before.terms {
            let key: Name = format!("{TOTAL}{name}").into();
            let row = rows.rows.iter().find(|row| row.key == key);
            let total: Total = row.and_then(decode).unwrap_or_default();
            let bound = hold::release(terms, elapsed);
            log::info("grant released")
                .workspace(name)
                .with("granted", terms.granted)
                .with("released", bound.released)
                .with("stranded", bound.stranded)
                .with("age_ms", elapsed.as_millis())
                .write();
            let total = Total {
                granted: total.granted.saturating_sub(bound.released),
                stranded: total.stranded + bound.stranded,
            };
            let version = row.map_or(0, |row| row.version);
            write(&mut commit, key, version, &total);
        }
        write(&mut commit, self.key.clone(), version, &next);
        let done = self.store.commit(PLACE, commit, TIMEOUT).await?;
        let mut tables = lock(&self.tables);
        tables.own = done.version;
        tables.clock = Some((done.clock, Instant::now()));
        tables.opened = true;
        for row in &rows.rows {
            tables.learn_total(row);
        }
        learn_holders(&mut tables, &rows.rows, now);
        Ok(())
    }

    /// Writes a checkpoint; a failure is logged, and the next one goes on.
    async fn cycle(&self, site: &Site) {
        let started = Instant::now();
        for tries in 0..TRIES {
            let result = match self.refresh(started).await {
                Ok(()) => self.checkpoint(site).await,
                Err(why) => Err(why),
            };
            match result {
                Ok(()) => {
                    let mut tables = lock(&self.tables);
                    if std::mem::take(&mut tables.failures) >= FAILURES {
                        log::info("budgets in touch").write();
                    }
                    return;
                }
                Err(Error::Conflict(rows)) => {
                    self.conflict(&rows);
                    step_back(tries).await;
                }
                Err(why) => {
                    log::warn("checkpoint failed").reason(&why).write();
                    let mut tables = lock(&self.tables);
                    tables.failures += 1;
                    tables.failed = Some(Instant::now());
                    return;
                }
            }
        }
        log::warn("checkpoint given up")
            .with("tries", TRIES)
            .write();
    }

    /// Reads the totals and the holders' rows where they are old.
    async fn refresh(&self, now: Instant) -> Result<(), Error> {
        let (holders, totals) = {
            let tables = lock(&self.tables);
            let old = |at: Option<Instant>, age| at.is_none_or(|at| now > at + age);
            let usual = HOLDERS_AGE.max(HOLDERS_AGE_EACH * tables.routers(now));
            let age = if tables.short {
                REFUSED_AGE.min(usual)
            } else {
                usual
            };
            (
                old(tables.holders_at, age),
                old(tables.totals_at, TOTALS_AGE),
            )
        };
        if !holders && !totals {
            return Ok(());
        }
        let (from, to) = if holders {
            ("", "")
        } else {
            (TOTAL, TOTAL_END)
        };
        let patience = lock(&self.tables).pace.patience();
        let read = self.store.read(PLACE, from, to, patience).await;
        let rows = read.inspect_err(|_| lock(&self.tables).pace.missed())?;
        let mut tables = lock(&self.tables);
        tables.clock = Some((rows.clock, Instant::now()));
        tables.totals_at = Some(now);
        for row in &rows.rows {
            tables.learn_total(row);
        }
        if holders {
            learn_holders(&mut tables, &rows.rows, now);
            tables.short = false;
        }
        Ok(())
    }

    async fn checkpoint(&self, site: &Site) -> Result<(), Error> {
        let now = Instant::now();
        let Planned { commit, needs } = self.planned(site, now);
        let patience = lock(&self.tables).pace.patience();
        let result = self.store.commit(PLACE, commit.clone(), patience).await;
        let mut tables = lock(&self.tables);
        match &result {
            Err(Error::Unknown(_)) => tables.pace.missed(),
            Ok(_) | Err(Error::Conflict(_)) => tables.pace.answered(now.elapsed()),
            Err(_) => {}
        }
        match &result {
            Ok(done) => {
                tables.own = done.version;
                tables.clock = Some((done.clock, Instant::now()));
                for write in &commit.writes {
                    let value = write.value.clone().unwrap_or_default();
                    let key = write.key.clone();
                    let version = done.version;
                    tables.learn_total(&Row {
                        key,
                        version,
                        value,
                    });
                }
                tables.open.clear();
                for (_, account) in tables.accounts.iter_mut() {
                    account.confirmed(now);
                }
                for (name, need) in &needs {
                    if let Some(account) = tables.accounts.get_mut(&**name) {
                        account.covered(*need);
                    }
                }
            }
            Err(Error::Unknown(_) | Error::Malformed(_)) => {}
            Err(_) => {
                tables.open.retain(|open| open.at != now);
                for (_, account) in tables.accounts.iter_mut() {
                    account.failed(now);
                }
            }
        }
        result.map(|_| ())
    }

    /// The next checkpoint, noted as being on its way.
    fn planned(&self, site: &Site, now: Instant) -> Planned {
        let mut tables = lock(&self.tables);
        let routers = tables.routers(now);
        let clock = tables.clock(now);
        tables.written += 1;
        let number = tables.written;
        let mut commit = Commit::default();
        let mut needs = Vec::new();
        let mut row = HolderRow {
            life: self.life,
            number,
            clock,
            terms: Vec::new(),
        };
        let all = tables.demand(&self.key, None, now);
        let typical = tables.typical();
        for (name, workspace) in site.workspaces.iter() {
            let Some(prepaid) = workspace.prepaid else {
                continue;
            };
            let (mut total, version) = tables.total(name);
            let outlook = Outlook {
                pool: prepaid.saturating_sub(total.granted),
                others: tables.held(&self.key, name),
                routers,
                demand: tables.demand(&self.key, Some(name), now),
                total: all,
                typical,
                leaving: tables.leaving,
            };
            let account = tables.accounts.entry(name.clone(), Account::default);
            let plan = hold::plan(account, &outlook, now);
            account.sent(plan.terms, now);
            needs.push((name.clone(), plan.need));
            row.terms.push((name.clone(), plan.terms));
            if plan.drawn != plan.returned {
                total.granted = (total.granted + plan.drawn).saturating_sub(plan.returned);
                write(
                    &mut commit,
                    format!("{TOTAL}{name}").into(),
                    version,
                    &total,
                );
            }
        }
        write(&mut commit, self.key.clone(), tables.own, &row);
        tables.open.push(Open { number, at: now });
        Planned { commit, needs }
    }

    /// Takes rows over that others wrote, or an own write whose answer was lost.
    fn conflict(&self, rows: &[Row]) {
        let mut tables = lock(&self.tables);
        for row in rows {
            tables.learn_total(row);
        }
        let own = rows.iter().find(|row| row.key == self.key);
        let Some(own) = own.filter(|row| row.version != tables.own) else {
            return;
        };
        let found: Option<HolderRow> = decode(own);
        let found = found.filter(|row| row.life == self.life);
        let known = found.and_then(|row| {
            let open = tables.open.iter().find(|open| open.number == row.number);
            open.map(|open| open.at)
        });
        let Some(at) = known else {
            log::error("holder row written by another")
                .with("key", &self.key)
                .write();
            return;
        };
        tables.own = own.version;
        tables.open.clear();
        for (_, account) in tables.accounts.iter_mut() {
            account.confirmed(at);
        }
        log::info("late checkpoint found")
            .with("version", own.version)
            .write();
    }

    /// Gives back what was not spent, at the end of a planned stop.
    pub async fn close(&self, timeout: Duration) {
        if !self.is_open() {
            return;
        }
        for tries in 0..TRIES {
            let commit = self.ending(Instant::now());
            match self.store.commit(PLACE, commit, timeout).await {
                Ok(_) => return log::info("budgets returned").write(),
                Err(Error::Conflict(rows)) => {
                    self.conflict(&rows);
                    step_back(tries).await;
                }
                // The next life at this address finds the row and releases it.
                Err(why) => return log::warn("budgets not returned").reason(why).write(),
            }
        }
        log::warn("budgets not returned")
            .with("tries", TRIES)
            .write();
    }

    /// The last write of this life.
    fn ending(&self, now: Instant) -> Commit {
        let mut commit = Commit::default();
        let tables = lock(&self.tables);
        for (name, account) in tables.accounts.iter() {
            let (mut total, version) = tables.total(name);
            let unspent = account.known().saturating_sub(account.spent());
            total.granted = total.granted.saturating_sub(unspent);
            let key = format!("{TOTAL}{name}").into();
            write(&mut commit, key, version, &total);
        }
        let row = HolderRow {
            life: self.life,
            number: tables.written + 1,
            clock: tables.clock(now),
            terms: Vec::new(),
        };
        write(&mut commit, self.key.clone(), tables.own, &row);
        commit
    }
}

/// Lets other routers' writes pass after a conflict.
async fn step_back(tries: u32) {
    let most = STEP_BACK * (tries + 1);
    tokio::time::sleep(most.mul_f64(rand::random())).await;
}

fn write(commit: &mut Commit, key: Name, version: u64, value: &impl Serialize) {
    commit.checks.push(Check {
        key: key.clone(),
        version,
    });
    commit.writes.push(Write {
        key,
        value: encode(value),
    });
}

fn learn_holders(tables: &mut Tables, rows: &[Row], now: Instant) {
    let rows = rows.iter().filter(|row| row.key.starts_with(HOLDER));
    let read = rows.filter_map(|row| Some((row.key.clone(), decode(row)?)));
    tables.holders = read.collect();
    tables.holders_at = Some(now);
}
