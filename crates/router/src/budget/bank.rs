//! Reserves tokens from what the router holds and draws more from the table.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::platform::{Commit, Error, Platform, Row};
use poplar_core::budget::ledger::{Holding, Ledger};
use poplar_core::budget::rows::{self, BudgetRow, Drawn, GrantRow};
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use tokio::sync::Mutex as Gate;

use super::rate::Rate;
use crate::settings;
use crate::sync::lock;

/// Tries of one draw against others' writes.
const TRIES: usize = 12;
/// How long a refusal for want of tokens is repeated without asking again.
const MEMORY: Duration = Duration::from_millis(500);

/// Why a reservation was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// There is no such budget.
    Missing,
    /// Nothing is left to draw; `left` tokens are free here.
    Exhausted {
        /// Tokens free on this router.
        left: u64,
    },
    /// The platform can't be reached.
    Down,
    /// The router was sealed.
    Sealed,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Missing => f.write_str("there is no such budget"),
            Self::Exhausted { left } => write!(f, "{left} tokens are left"),
            Self::Down => f.write_str("the platform is down"),
            Self::Sealed => f.write_str("the router was sealed"),
        }
    }
}

impl std::error::Error for Refused {}

/// A budget's rows as last seen, changed by one draw at a time.
#[derive(Debug, Default)]
struct Seen {
    budget: Option<(u64, BudgetRow)>,
    grant: (u64, GrantRow),
}

/// What the bank knows of one budget besides the ledger's holding.
#[derive(Debug)]
struct Account {
    seen: Arc<Gate<Seen>>,
    rate: Rate,
    refused: Option<(Instant, Refused)>,
    ahead: bool,
}

#[derive(Debug, Default)]
struct Tables {
    ledger: Ledger,
    accounts: SortedVec<Name, Account>,
}

/// The router's holdings and the way to more.
#[derive(Debug)]
pub struct Bank {
    tables: Mutex<Tables>,
    platform: Platform,
    me: Incarnation,
    settings: settings::Budget,
}

impl Bank {
    /// Opens a bank that holds nothing.
    pub fn open(platform: Platform, me: Incarnation, settings: settings::Budget) -> Self {
        Self {
            tables: Mutex::default(),
            platform,
            me,
            settings,
        }
    }

    /// Every holding, in order of the budgets' names.
    pub fn holdings(&self) -> Vec<(Name, Holding)> {
        let tables = lock(&self.tables);
        let all = tables.ledger.holdings();
        all.map(|(name, holding)| (name.clone(), *holding))
            .collect()
    }

    /// Reserves `worst` tokens, drawing more where too little is held.
    ///
    /// # Errors
    /// Says why it can't; nothing is reserved then.
    pub async fn reserve(
        self: &Arc<Self>,
        budget: &Name,
        worst: u64,
        router: u64,
    ) -> Result<Reservation, Refused> {
        if self.try_reserve(budget, worst) {
            self.draw_ahead(budget, router);
            return Ok(Reservation::new(self.clone(), budget.clone(), worst));
        }
        if let Some(refused) = self.remembered(budget, Instant::now()) {
            return Err(refused);
        }
        let seen = self.seen(budget);
        let mut seen = seen.lock().await;
        if self.try_reserve(budget, worst) {
            return Ok(Reservation::new(self.clone(), budget.clone(), worst));
        }
        let drawn = self.draw(budget, &mut seen, worst, router).await;
        if self.try_reserve(budget, worst) {
            return Ok(Reservation::new(self.clone(), budget.clone(), worst));
        }
        let left = lock(&self.tables).ledger.holding(budget).free();
        let refused = drawn.err().unwrap_or(Refused::Exhausted { left });
        self.remember(budget, refused, Instant::now());
        Err(refused)
    }

    fn try_reserve(&self, budget: &Name, worst: u64) -> bool {
        lock(&self.tables).ledger.reserve(budget, worst).is_ok()
    }

    fn settle(&self, budget: &Name, worst: u64, used: u64, now: Instant) {
        let mut tables = lock(&self.tables);
        tables.ledger.settle(budget, worst, used);
        tables.account(budget, now).rate.add(used, now);
    }

    fn write_off(&self, budget: &Name, worst: u64) {
        lock(&self.tables).ledger.write_off(budget, worst);
    }

    fn seen(&self, budget: &Name) -> Arc<Gate<Seen>> {
        let mut tables = lock(&self.tables);
        tables.account(budget, Instant::now()).seen.clone()
    }

    fn remembered(&self, budget: &Name, now: Instant) -> Option<Refused> {
        let mut tables = lock(&self.tables);
        let (at, refused) = tables.account(budget, now).refused?;
        (now.duration_since(at) < MEMORY).then_some(refused)
    }

    fn remember(&self, budget: &Name, refused: Refused, now: Instant) {
        let mut tables = lock(&self.tables);
        tables.account(budget, now).refused = Some((now, refused));
    }

    /// Draws in the background where little is left.
    fn draw_ahead(self: &Arc<Self>, budget: &Name, router: u64) {
        let now = Instant::now();
        let mut tables = lock(&self.tables);
        let free = tables.ledger.holding(budget).free();
        let account = tables.account(budget, now);
        let wanted = wanted(&self.settings, account.rate.per_second(now));
        let quiet = account
            .refused
            .is_some_and(|(at, _)| now.duration_since(at) < MEMORY);
        if free > wanted / 2 || account.ahead || quiet {
            return;
        }
        account.ahead = true;
        let seen = account.seen.clone();
        drop(tables);
        let bank = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            let mut seen = seen.lock().await;
            let drawn = bank.draw(&budget, &mut seen, 0, router).await;
            let now = Instant::now();
            if let Err(refused) = drawn {
                bank.remember_ahead(&budget, refused, now);
            }
            lock(&bank.tables).account(&budget, now).ahead = false;
        });
    }

    /// A failed draw ahead pauses further ones, and refuses nobody.
    fn remember_ahead(&self, budget: &Name, refused: Refused, now: Instant) {
        let free = lock(&self.tables).ledger.holding(budget).free();
        if free == 0 {
            self.remember(budget, refused, now);
        }
    }

    async fn draw(
        &self,
        budget: &Name,
        seen: &mut Seen,
        need: u64,
        router: u64,
    ) -> Result<(), Refused> {
        if seen.budget.is_none() {
            self.read(budget, seen).await?;
        }
        for attempt in 0..TRIES {
            let Some((version, row)) = seen.budget.clone() else {
                return Err(Refused::Missing);
            };
            let want = self.amount(budget, &row, need, Instant::now());
            let drawn = rows::draw(&row, &seen.grant.1, want);
            if drawn.tokens == 0 {
                // The row may be older than a top-up.
                let before = seen.budget.clone();
                self.read(budget, seen).await?;
                if seen.budget == before {
                    return Ok(());
                }
                continue;
            }
            let commit = self.commit(budget, version, seen.grant.0, &drawn, router);
            match (self.platform.commit)(commit).await {
                Ok(version) => {
                    seen.budget = Some((version, drawn.budget));
                    self.saw_grant(budget, seen, version, drawn.grant);
                    return Ok(());
                }
                Err(Error::Conflict(found)) => self.learn(budget, seen, &found, router)?,
                Err(Error::Down(_)) => return Err(Refused::Down),
                Err(Error::Unknown(_) | Error::Malformed(_)) => {
                    let number = seen.grant.1.number;
                    self.read(budget, seen).await?;
                    if seen.grant.1.number != number {
                        return Ok(());
                    }
                }
            }
            pause(attempt).await;
        }
        Err(Refused::Down)
    }

    /// How much to ask for: the spending of the horizon, less near the end.
    fn amount(&self, budget: &Name, row: &BudgetRow, need: u64, now: Instant) -> u64 {
        let mut tables = lock(&self.tables);
        let free = tables.ledger.holding(budget).free();
        let rate = tables.account(budget, now).rate.per_second(now);
        let wanted = wanted(&self.settings, rate).saturating_sub(free);
        wanted
            .min(row.available() / 4)
            .max(need.saturating_sub(free))
    }

    fn commit(
        &self,
        budget: &Name,
        budget_version: u64,
        grant_version: u64,
        drawn: &Drawn,
        router: u64,
    ) -> Commit {
        let budget_key = rows::budget_key(budget);
        let grant_key = rows::grant_key(budget, &self.me);
        Commit::default()
            .check(rows::incarnation_key(&self.me), router)
            .check(&budget_key, budget_version)
            .check(&grant_key, grant_version)
            .write(&budget_key, &drawn.budget)
            .write(&grant_key, &drawn.grant)
    }

    async fn read(&self, budget: &Name, seen: &mut Seen) -> Result<(), Refused> {
        let keys = vec![rows::budget_key(budget), rows::grant_key(budget, &self.me)];
        let found = (self.platform.read)(keys).await;
        let found = found.map_err(|_| Refused::Down)?;
        self.learn(budget, seen, &found, u64::MAX)
    }

    /// Takes over rows as the table has them.
    fn learn(
        &self,
        budget: &Name,
        seen: &mut Seen,
        found: &[Row],
        router: u64,
    ) -> Result<(), Refused> {
        for row in found {
            if row.key == rows::budget_key(budget) {
                let value = row.decode().map_err(|_| Refused::Down)?;
                seen.budget = value.map(|value| (row.version, value));
            } else if row.key == rows::grant_key(budget, &self.me) {
                let value = row.decode().map_err(|_| Refused::Down)?;
                self.saw_grant(budget, seen, row.version, value.unwrap_or_default());
            } else if row.key == rows::incarnation_key(&self.me) && row.version != router {
                return Err(Refused::Sealed);
            }
        }
        Ok(())
    }

    /// Credits what the own row shows beyond what was known: a draw whose
    /// answer was lost.
    fn saw_grant(&self, budget: &Name, seen: &mut Seen, version: u64, grant: GrantRow) {
        let more = grant.granted.saturating_sub(seen.grant.1.granted);
        if more > 0 {
            lock(&self.tables).ledger.credit(budget, more);
        }
        seen.grant = (version, grant);
    }

    /// Returns everything that is free; the planned end of this router.
    pub async fn return_all(&self, router: u64) {
        for (budget, _) in self.holdings() {
            let seen = self.seen(&budget);
            let mut seen = seen.lock().await;
            self.return_one(&budget, &mut seen, router).await;
        }
    }

    async fn return_one(&self, budget: &Name, seen: &mut Seen, router: u64) {
        let tokens = lock(&self.tables).ledger.debit(budget, u64::MAX);
        if tokens == 0 {
            return;
        }
        for attempt in 0..TRIES {
            let Some((version, row)) = seen.budget.clone() else {
                return;
            };
            let back = rows::give_back(&row, &seen.grant.1, tokens);
            let number = back.grant.number;
            let commit = self.commit(budget, version, seen.grant.0, &back, router);
            let done = match (self.platform.commit)(commit).await {
                Ok(_) => return,
                Err(Error::Conflict(found)) => self.learn(budget, seen, &found, router),
                Err(_) => self.read(budget, seen).await,
            };
            if done == Err(Refused::Sealed) || seen.grant.1.number >= number {
                return;
            }
            pause(attempt).await;
        }
    }
}

impl Tables {
    fn account(&mut self, budget: &Name, now: Instant) -> &mut Account {
        self.accounts.entry(budget.clone(), || Account {
            seen: Arc::default(),
            rate: Rate::new(now),
            refused: None,
            ahead: false,
        })
    }
}

fn wanted(settings: &settings::Budget, rate: f64) -> u64 {
    let horizon = settings.horizon.as_secs_f64();
    ((rate * horizon) as u64).max(settings.least)
}

async fn pause(attempt: usize) {
    let most = 2u64 << attempt.min(6);
    let wait = rand::random_range(1..=most);
    tokio::time::sleep(Duration::from_millis(wait)).await;
}

/// Tokens set aside for one request.
///
/// Dropped without being settled it is written off whole, since then nobody
/// knows what the backend server consumed.
#[derive(Debug)]
pub struct Reservation {
    bank: Arc<Bank>,
    budget: Name,
    worst: u64,
    open: bool,
}

impl Reservation {
    fn new(bank: Arc<Bank>, budget: Name, worst: u64) -> Self {
        Self {
            bank,
            budget,
            worst,
            open: true,
        }
    }

    /// Tokens set aside.
    pub fn worst(&self) -> u64 {
        self.worst
    }

    /// Ends it with `used` tokens consumed, 0 where nothing ran.
    pub fn settle(mut self, used: u64) {
        self.open = false;
        self.bank
            .settle(&self.budget, self.worst, used, Instant::now());
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.open {
            self.bank.write_off(&self.budget, self.worst);
        }
    }
}
