//! Writes the router's row and the totals that it changes, in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::hold::{self, Account, HolderRow, Outlook, Total};
use poplar_core::id::Name;
use poplar_core::site::Site;
use poplar_platform::rows::{Check, Commit, Place, Row, Write};
use poplar_platform::store::Error;
use serde::Serialize;

use super::Purse;
use super::tables::{FAILURES, Open, TOTAL, decode};
use crate::sync::lock;

/// Where the rows of budgets lie; one part, so that a transaction spans them.
const PLACE: Place = Place {
    table: "budgets",
    part: "all",
};
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
/// Tries of one write against the writes of others.
const TRIES: u32 = 10;
/// Longest wait after the first conflict, about one transaction; it grows with
/// each further one.
const STEP_BACK: Duration = Duration::from_millis(8);

/// A checkpoint with what its requests needed, by workspace.
#[derive(Debug)]
struct Planned {
    commit: Commit,
    needs: Vec<(Name, u64)>,
}

impl Purse {
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
        tables.learn_holders(&rows.rows, now);
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
            tables.learn_holders(&rows.rows, now);
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

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    Some(serde_json::to_vec(value).expect("rows are plain data"))
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
