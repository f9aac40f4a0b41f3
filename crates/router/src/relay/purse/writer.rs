//! Writes the router's row and the totals that it changes, in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::hold::{self, Account, Bound, Change, HolderRow, Outlook};
use poplar_core::id::Name;
use poplar_core::site::Site;
use poplar_core::sorted::SortedVec;
use poplar_platform::rows::{Check, Commit, Place, Row, Write};
use poplar_platform::store::Error;
use serde::Serialize;

use super::Purse;
use super::tables::{FAILURES, Open, SUMMARY, TOTAL, decode};
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
/// Conflicts of one checkpoint after which it changes the own row only.
const CONFLICTS: u32 = 3;
/// Tries of the first and the last writes of a life.
const TRIES: u32 = 10;

/// What a checkpoint may change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Totals and the own row, after so many conflicts.
    Totals(u32),
    /// The own row alone.
    Own,
}

/// A checkpoint with what its requests needed, by workspace.
#[derive(Debug)]
struct Planned {
    commit: Commit,
    needs: Vec<(Name, u64)>,
    /// Ends of lives before that the totals won't have then.
    ended: SortedVec<Name, Bound>,
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
            let period = self.period();
            // A wake is a request that waits; without one the time passes.
            let _ = tokio::time::timeout(period, self.wake.notified()).await;
        }
    }

    fn period(&self) -> Duration {
        PERIOD.max(PERIOD_EACH * self.routers())
    }

    /// Takes the row of the life before over and gives back what it can't have
    /// spent; the process that wrote it is gone, since its address is ours.
    async fn open(&self) {
        for tries in 0.. {
            match self.try_open().await {
                Ok(()) => break,
                Err(why) => log::warn("budgets not opened").reason(why).write(),
            }
            self.step_back(tries.min(TRIES)).await;
        }
    }

    async fn try_open(&self) -> Result<(), Error> {
        let after = format!("{}/", self.key);
        let rows = self.store.read(PLACE, &self.key, &after, TIMEOUT).await?;
        let own = rows.rows.iter().find(|row| row.key == self.key);
        let version = own.map_or(0, |row| row.version);
        let before: HolderRow = own.and_then(decode).unwrap_or_default();
        let elapsed = Duration::from_millis(rows.clock.saturating_sub(before.clock));
        // The totals learn of it from later checkpoints, a few at a time: after
        // a loss of power, all routers are here at once.
        let ended = before.end(elapsed);
        let next = HolderRow {
            life: self.life,
            number: 0,
            clock: rows.clock,
            terms: Vec::new(),
            ended: ended.clone(),
        };
        let mut commit = Commit::default();
        write(&mut commit, self.key.clone(), version, &next);
        let done = self.store.commit(PLACE, commit, TIMEOUT).await?;
        for (name, bound) in &ended {
            log::info("grant ended")
                .workspace(name)
                .with("released", bound.released)
                .with("stranded", bound.stranded)
                .with("age_ms", elapsed.as_millis())
                .write();
        }
        let mut tables = lock(&self.tables);
        tables.own = done.version;
        tables.ended = ended.into_iter().collect();
        tables.opened = true;
        tables.clock = Some((done.clock, Instant::now()));
        Ok(())
    }

    /// Lets other routers' writes pass after a conflict.
    async fn step_back(&self, tries: u32) {
        let routers = self.routers();
        let wait = hold::back_off(tries, routers, rand::random());
        tokio::time::sleep(wait).await;
    }

    /// Writes a checkpoint; a failure is logged, and the next one goes on.
    async fn cycle(&self, site: &Site) {
        let mut scope = Scope::Totals(0);
        for tries in 0..=CONFLICTS {
            let result = match self.refresh(Instant::now()).await {
                Ok(()) => self.checkpoint(site, scope).await,
                Err(why) => Err(why),
            };
            match result {
                Ok(()) => {
                    let mut tables = lock(&self.tables);
                    if std::mem::take(&mut tables.failures) >= FAILURES {
                        log::info("budgets in touch").write();
                    }
                    if scope == Scope::Own {
                        log::info("totals left as they are")
                            .with("conflicts", CONFLICTS)
                            .write();
                    }
                    return;
                }
                Err(Error::Conflict(rows)) => {
                    self.conflict(&rows);
                    if tries + 1 == CONFLICTS {
                        // What was spent is written at least: nobody else
                        // changes the own row.
                        scope = Scope::Own;
                    } else {
                        scope = Scope::Totals(tries + 1);
                        self.step_back(tries).await;
                    }
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
            .with("tries", CONFLICTS + 1)
            .write();
    }

    /// Reads the totals and the sums of the holders' rows where they are old,
    /// and makes new sums where it is this router's turn.
    async fn refresh(&self, now: Instant) -> Result<(), Error> {
        let patience = {
            let tables = lock(&self.tables);
            let age = hold::read_age(tables.routers());
            if tables.totals_at.is_some_and(|at| now <= at + age) {
                return Ok(());
            }
            tables.pace.patience()
        };
        let read = self.store.read(PLACE, SUMMARY, TOTAL_END, patience).await;
        let rows = read.inspect_err(|_| lock(&self.tables).pace.missed())?;
        {
            let mut tables = lock(&self.tables);
            tables.learn(&rows, now);
            let exist = tables.summed > 0;
            if exist && !tables.summary.is_old(self.address, rows.clock) {
                return Ok(());
            }
        }
        // Without new sums the old ones serve on.
        if let Err(why) = self.sum_up().await {
            log::warn("no new sums").reason(why).write();
        }
        Ok(())
    }

    /// Reads all rows and writes their sums for the other routers.
    async fn sum_up(&self) -> Result<(), Error> {
        let now = Instant::now();
        let rows = self.store.read(PLACE, "", "", TIMEOUT).await?;
        let commit = {
            let mut tables = lock(&self.tables);
            tables.learn(&rows, now);
            let summary = tables.sum_up(&rows);
            let mut commit = Commit::default();
            write(&mut commit, SUMMARY.into(), tables.summed, &summary);
            tables.summary = summary;
            tables.summed_at = Some(now);
            commit
        };
        match self.store.commit(PLACE, commit, TIMEOUT).await {
            Ok(done) => lock(&self.tables).summed = done.version,
            // Another router was first; the next reading has its sums.
            Err(Error::Conflict(_)) => {}
            Err(why) => return Err(why),
        }
        Ok(())
    }

    async fn checkpoint(&self, site: &Site, scope: Scope) -> Result<(), Error> {
        let now = Instant::now();
        let Planned {
            commit,
            needs,
            ended,
        } = self.planned(site, scope, now);
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
                tables.ended = ended;
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
    fn planned(&self, site: &Site, scope: Scope, now: Instant) -> Planned {
        let mut tables = lock(&self.tables);
        let routers = tables.routers();
        let clock = tables.clock(now);
        tables.written += 1;
        let number = tables.written;
        let all = tables.demand(None, now);
        let typical = tables.typical();
        let mut accounts = Vec::new();
        for (name, workspace) in site.workspaces.iter() {
            let Some(prepaid) = workspace.prepaid else {
                continue;
            };
            let (total, version) = tables.total(name);
            let outlook = Outlook {
                pool: prepaid.saturating_sub(total.granted),
                others: tables.held(name),
                routers,
                demand: tables.demand(Some(name), now),
                total: all,
                typical,
                leaving: tables.leaving,
            };
            let account = tables.accounts.entry(name.clone(), Account::default);
            let change = hold::change(account, &outlook);
            accounts.push((name, total, version, outlook, change));
        }
        let changes = accounts.iter().map(|(name, .., change)| {
            let released = tables.ended.get(&**name).map_or(0, |bound| bound.released);
            Change {
                returned: change.returned + released,
                ..*change
            }
        });
        let chosen = match scope {
            Scope::Totals(tries) => hold::choose(&changes.collect::<Vec<_>>(), tries),
            Scope::Own => Vec::new(),
        };
        let mut commit = Commit::default();
        let mut needs = Vec::new();
        let mut terms = Vec::new();
        let mut ended = tables.ended.clone();
        for (index, (name, mut total, version, outlook, change)) in accounts.into_iter().enumerate()
        {
            let chosen = chosen.binary_search(&index).is_ok();
            let change = if chosen { change } else { change.none() };
            let account = tables.accounts.entry(name.clone(), Account::default);
            let plan = hold::plan(account, &outlook, &change, now);
            account.sent(plan.terms, now);
            needs.push((name.clone(), change.need));
            terms.push((name.clone(), plan.terms));
            if chosen {
                if let Some(bound) = ended.remove(&**name) {
                    total.settle(&bound);
                }
                total.granted = (total.granted + change.drawn).saturating_sub(change.returned);
                let key = format!("{TOTAL}{name}").into();
                write(&mut commit, key, version, &total);
            }
        }
        let row = HolderRow {
            life: self.life,
            number,
            clock,
            terms,
            ended: listed(&ended),
        };
        write(&mut commit, self.key.clone(), tables.own, &row);
        tables.open.push(Open { number, at: now });
        Planned {
            commit,
            needs,
            ended,
        }
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
            open.map(|open| (open.at, row.ended))
        });
        let Some((at, ended)) = known else {
            log::error("holder row written by another")
                .with("key", &self.key)
                .write();
            return;
        };
        tables.own = own.version;
        tables.ended = ended.into_iter().collect();
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
            loop {
                let Some(planned) = self.ending(Instant::now()) else {
                    return log::info("budgets returned").write();
                };
                let result = self.store.commit(PLACE, planned.commit, timeout).await;
                let mut tables = lock(&self.tables);
                match result {
                    Ok(done) => {
                        tables.own = done.version;
                        tables.ended = planned.ended;
                        tables.accounts = SortedVec::new();
                        tables.open.clear();
                    }
                    Err(Error::Conflict(rows)) => {
                        drop(tables);
                        self.conflict(&rows);
                        break;
                    }
                    // The next life at this address finds the row and goes on.
                    Err(why) => return log::warn("budgets not returned").reason(why).write(),
                }
            }
            self.step_back(tries).await;
        }
        log::warn("budgets not returned")
            .with("tries", TRIES)
            .write();
    }

    /// One of the last writes of this life; `None` after them.
    fn ending(&self, now: Instant) -> Option<Planned> {
        let mut tables = lock(&self.tables);
        let mut all = tables.ended.clone();
        for (name, account) in tables.accounts.iter() {
            let unspent = account.known().saturating_sub(account.spent());
            all.entry(name.clone(), Bound::default).released += unspent;
        }
        all.retain(|_, bound| *bound != Bound::default());
        let bounds = all.iter().map(|(_, bound)| Change {
            returned: bound.released + bound.stranded,
            ..Change::default()
        });
        let chosen = hold::choose(&bounds.collect::<Vec<_>>(), 0);
        if chosen.is_empty() {
            return None;
        }
        let mut commit = Commit::default();
        let mut ended = SortedVec::new();
        for (index, (name, bound)) in all.iter().enumerate() {
            if chosen.binary_search(&index).is_err() {
                ended.insert(name.clone(), *bound);
                continue;
            }
            let (mut total, version) = tables.total(name);
            total.settle(bound);
            write(
                &mut commit,
                format!("{TOTAL}{name}").into(),
                version,
                &total,
            );
        }
        tables.written += 1;
        let row = HolderRow {
            life: self.life,
            number: tables.written,
            clock: tables.clock(now),
            terms: Vec::new(),
            ended: listed(&ended),
        };
        write(&mut commit, self.key.clone(), tables.own, &row);
        let number = tables.written;
        tables.open.push(Open { number, at: now });
        Some(Planned {
            commit,
            needs: Vec::new(),
            ended,
        })
    }
}

fn listed(ended: &SortedVec<Name, Bound>) -> Vec<(Name, Bound)> {
    let entries = ended.iter();
    entries
        .map(|(name, bound)| (name.clone(), *bound))
        .collect()
}

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    Some(serde_json::to_vec(value).expect("rows are plain data"))
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
