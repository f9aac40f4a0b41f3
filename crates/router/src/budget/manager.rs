//! Reserves tokens from what the router holds, and sees to it that it holds
//! enough.
//!
//! A reservation that finds too little draws on the table, and where the table
//! has nothing left or can't be reached it asks the peers. Draws ahead keep the
//! holding above a low-water mark, so that few requests wait for one.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::platform::Platform;
use poplar_core::budget::ledger::{Holding, Ledger};
use poplar_core::budget::transfer::{Donor, Receiver};
use poplar_core::grant::{self, Rate};
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use tokio::sync::Mutex as Gate;

use super::bill_queue::BillQueue;
use super::grant_writer::Seen;
use super::reservation::Reservation;
use crate::peers::Peers;
use crate::settings;
use crate::sync::lock;

/// How long a refusal for want of tokens is repeated without asking again.
const MEMORY: Duration = Duration::from_millis(500);
/// Time over which draws ahead are spread, times the live routers.
const SPREAD: Duration = Duration::from_millis(30);
/// Weight of the newest request in the typical worst case.
const NEWEST: f64 = 0.1;

/// Why a reservation was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetError {
    /// There is no such budget.
    NotFound,
    /// Nothing is left to draw.
    Exhausted {
        /// Tokens free on this router.
        left: u64,
    },
    /// More is held, but it may not be exposed to a crash of this router.
    ExposureLimit,
    /// The platform can't be reached.
    Unreachable,
    /// The router was sealed.
    Sealed,
}

impl std::fmt::Display for BudgetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotFound => f.write_str("there is no such budget"),
            Self::Exhausted { left } => write!(f, "{left} tokens are left"),
            Self::ExposureLimit => f.write_str("too much is under way and unbilled"),
            Self::Unreachable => f.write_str("the platform is down"),
            Self::Sealed => f.write_str("the router was sealed"),
        }
    }
}

impl std::error::Error for BudgetError {}

/// A reservation that was refused lately.
#[derive(Debug, Clone, Copy)]
struct Memory {
    at: Instant,
    worst: u64,
    why: BudgetError,
}

/// What the bank knows of one budget besides the ledger's holding.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub(super) seen: Arc<Gate<Seen>>,
    pub(super) rate: Rate,
    typical: f64,
    refused: Option<Memory>,
    ahead: bool,
    /// When the last draw ahead ended, so that the next one waits a while.
    paused: Option<Instant>,
    /// What the table was last seen to have left; `None` if it never was.
    pub(super) available: Option<u64>,
}

#[derive(Debug, Default)]
pub(super) struct Tables {
    pub(super) ledger: Ledger,
    pub(super) accounts: SortedVec<Name, Account>,
    pub(super) donor: Donor,
    pub(super) receiver: Receiver,
}

/// The router's holdings and the way to more.
#[derive(Debug)]
pub struct BudgetManager {
    pub(super) tables: Mutex<Tables>,
    pub(super) platform: Platform,
    pub(super) me: Incarnation,
    pub(super) settings: settings::Budget,
    pub(super) peers: Arc<Peers>,
    bill_queue: Arc<BillQueue>,
}

impl BudgetManager {
    /// Opens a bank that holds nothing.
    pub fn new(
        platform: Platform,
        me: Incarnation,
        settings: settings::Budget,
        peers: Arc<Peers>,
        bill_queue: Arc<BillQueue>,
    ) -> Self {
        Self {
            tables: Mutex::default(),
            platform,
            me,
            settings,
            peers,
            bill_queue,
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
    ) -> Result<Reservation, BudgetError> {
        let reserved = || Reservation::new(self.clone(), budget.clone(), worst);
        if self.try_reserve(budget, worst) {
            self.draw_ahead(budget, router);
            return Ok(reserved());
        }
        if let Some(refused) = self.remembered(budget, worst, Instant::now()) {
            return Err(refused);
        }
        let seen = self.seen(budget);
        let mut seen = seen.lock().await;
        // Who had the gate before may have drawn enough, or failed.
        if self.try_reserve(budget, worst) {
            return Ok(reserved());
        }
        if let Some(refused) = self.remembered(budget, worst, Instant::now()) {
            return Err(refused);
        }
        let drawn = self.draw(budget, &mut seen, worst, router).await;
        if self.try_reserve(budget, worst) {
            return Ok(reserved());
        }
        if drawn != Err(BudgetError::Sealed) {
            self.ask(budget, worst, Instant::now()).await;
        }
        if self.try_reserve(budget, worst) {
            return Ok(reserved());
        }
        let refused = self.why(budget, worst, drawn);
        self.remember(budget, worst, refused, Instant::now());
        Err(refused)
    }

    /// Why `worst` tokens can't be reserved after a draw that ended so.
    fn why(&self, budget: &Name, worst: u64, drawn: Result<(), BudgetError>) -> BudgetError {
        let holding = lock(&self.tables).ledger.holding(budget);
        if holding.free() >= worst {
            return BudgetError::ExposureLimit;
        }
        let left = holding.free();
        drawn.err().unwrap_or(BudgetError::Exhausted { left })
    }

    fn try_reserve(&self, budget: &Name, worst: u64) -> bool {
        let mut tables = lock(&self.tables);
        let account = tables.account(budget);
        account.typical += NEWEST * (worst as f64 - account.typical);
        tables.ledger.reserve(budget, worst).is_ok()
    }

    /// Ends a reservation of which `used` tokens were consumed and `lost` of
    /// these are billed to nobody.
    pub(super) fn settle(&self, budget: &Name, worst: u64, used: u64, lost: u64, now: Instant) {
        let mut tables = lock(&self.tables);
        if lost > 0 {
            tables.ledger.write_off(budget, lost);
            self.bill_queue.record_loss(budget, lost);
        }
        tables.ledger.settle(budget, worst - lost, used - lost);
        tables.account(budget).rate.record(used, now);
    }

    /// Registry that `tokens` are durably billed or recorded as lost.
    pub fn mark_accounted(&self, budget: &Name, tokens: u64) {
        lock(&self.tables).ledger.mark_billed(budget, tokens);
    }

    pub(super) fn seen(&self, budget: &Name) -> Arc<Gate<Seen>> {
        lock(&self.tables).account(budget).seen.clone()
    }

    /// Why as much was refused a moment ago; a smaller need may be had.
    fn remembered(&self, budget: &Name, worst: u64, now: Instant) -> Option<BudgetError> {
        let mut tables = lock(&self.tables);
        let memory = tables.account(budget).refused?;
        let fresh = now.duration_since(memory.at) < MEMORY;
        (fresh && worst >= memory.worst).then_some(memory.why)
    }

    fn remember(&self, budget: &Name, worst: u64, why: BudgetError, at: Instant) {
        lock(&self.tables).account(budget).refused = Some(Memory { at, worst, why });
    }

    /// Whether the tokens held here and those last seen in the table would have
    /// covered a reservation that was refused.
    pub fn would_cover(&self, budget: &Name, worst: u64) -> bool {
        let mut tables = lock(&self.tables);
        let free = tables.ledger.holding(budget).free();
        free + tables.account(budget).available.unwrap_or(0) >= worst
    }

    /// Live routers, this one included.
    pub(super) fn routers(&self) -> u32 {
        self.peers.live_count(Instant::now()) as u32 + 1
    }

    /// What the decision on draws and gifts needs to know.
    pub(super) fn outlook(&self, budget: &Name, now: Instant) -> grant::State {
        let routers = self.routers();
        let mut tables = lock(&self.tables);
        let free = tables.ledger.holding(budget).free();
        let account = tables.account(budget);
        grant::State {
            free,
            available: account.available.unwrap_or(0),
            rate: account.rate.per_second(now),
            idle_time: account.rate.idle_time(now),
            request_cost: (account.typical as u64).max(self.settings.least / 4),
            routers,
        }
    }

    /// How much to draw for a request that needs `need`, or ahead of time.
    pub(super) fn wanted(&self, budget: &Name, need: u64, now: Instant) -> u64 {
        let outlook = self.outlook(budget, now);
        let settings = self.grant_settings();
        grant::draw(&outlook, need, &settings).map_or(0, |drawn| drawn.tokens)
    }

    fn grant_settings(&self) -> grant::Settings {
        grant::Settings {
            horizon: self.settings.horizon,
            low_water: self.settings.horizon.mul_f64(0.8),
            ..grant::Settings::default()
        }
    }

    /// Draws in the background where little is left.
    pub(super) fn draw_ahead(self: &Arc<Self>, budget: &Name, router: u64) {
        let now = Instant::now();
        let unseen = lock(&self.tables).account(budget).available.is_none();
        let wanted = unseen || self.wanted(budget, 0, now) > 0;
        if !wanted || !self.begin_ahead(budget, now) {
            return;
        }
        let budgets = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            // Nobody waits for it, and the other routers may draw now too.
            let spread = SPREAD * budgets.routers();
            tokio::time::sleep(spread.mul_f64(rand::random())).await;
            let seen = budgets.seen(&budget);
            // A failure is no request's; the next one to need it will try.
            let _ = budgets
                .draw(&budget, &mut *seen.lock().await, 0, router)
                .await;
            let mut tables = lock(&budgets.tables);
            let account = tables.account(&budget);
            account.ahead = false;
            account.paused = Some(Instant::now());
        });
    }

    fn begin_ahead(&self, budget: &Name, now: Instant) -> bool {
        let mut tables = lock(&self.tables);
        let account = tables.account(budget);
        let paused = account.paused.is_some_and(|at| now < at + MEMORY);
        let begins = !account.ahead && !paused;
        account.ahead |= begins;
        begins
    }
}

impl Tables {
    pub(super) fn account(&mut self, budget: &Name) -> &mut Account {
        self.accounts
            .get_or_insert_with(budget.clone(), Account::default)
    }
}
