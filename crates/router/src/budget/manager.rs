//! Reserves tokens for requests from the grants that this router holds, and
//! obtains more tokens when these run low.
//!
//! A reservation that finds too few tokens draws on the table. If the table has
//! nothing left or can't be reached, it asks peers for a transfer. Background
//! draws keep the holding above a low-water mark, so that few requests wait for
//! a draw.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poplar_base::platform::Platform;
use poplar_core::budget::ledger::{Holding, Ledger};
use poplar_core::budget::transfer::{Donor, Receiver};
use poplar_core::grant::{self, Rate};
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use tokio::sync::Mutex as AsyncMutex;

use super::bill_queue::BillQueue;
use super::grant_writer::CachedRows;
use super::reservation::Reservation;
use crate::peers::Peers;
use crate::settings;
use crate::sync::lock;

/// How long a refusal for lack of tokens is repeated without asking the table or
/// peers again, and how long draws ahead pause after one.
const REFUSAL_TTL: Duration = Duration::from_millis(500);
/// Background draws start after a random delay of up to this time, multiplied
/// by the number of live routers.
const DRAW_SPREAD: Duration = Duration::from_millis(30);
/// Smoothing factor of the moving average of requests' worst cases.
const WORST_CASE_SMOOTHING: f64 = 0.1;

/// Why a reservation was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetError {
    /// There is no such budget.
    NotFound,
    /// Too few tokens are left to draw.
    Exhausted {
        /// Tokens free on this router.
        left: u64,
    },
    /// Enough tokens are held, but using them would exceed the number of
    /// unbilled tokens that a crash of this router may lose.
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

/// The latest refused reservation of a budget.
#[derive(Debug, Clone, Copy)]
struct RecentRefusal {
    at: Instant,
    worst_case: u64,
    error: BudgetError,
}

/// State of one budget besides the ledger's holding.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// Serialises changes of this budget's grant.
    pub(super) rows: Arc<AsyncMutex<CachedRows>>,
    pub(super) rate: Rate,
    /// Moving average of the worst-case cost of requests.
    average_cost: f64,
    last_refusal: Option<RecentRefusal>,
    /// Whether a draw ahead is running.
    drawing_ahead: bool,
    /// When the last draw ahead ended; the next one waits for a while.
    prefetched_at: Option<Instant>,
    /// Tokens that the table last showed as available; `None` before the first
    /// read.
    pub(super) available: Option<u64>,
}

#[derive(Debug, Default)]
pub(super) struct Tables {
    pub(super) ledger: Ledger,
    pub(super) accounts: SortedVec<Name, Account>,
    pub(super) donor: Donor,
    pub(super) receiver: Receiver,
}

/// The tokens that this router holds, by budget.
#[derive(Debug)]
pub struct BudgetManager {
    pub(super) tables: Mutex<Tables>,
    pub(super) platform: Platform,
    pub(super) incarnation: Incarnation,
    pub(super) settings: settings::Budget,
    pub(super) peers: Arc<Peers>,
    bill_queue: Arc<BillQueue>,
}

impl BudgetManager {
    /// Creates a manager that holds no tokens.
    pub fn new(
        platform: Platform,
        incarnation: Incarnation,
        settings: settings::Budget,
        peers: Arc<Peers>,
        bill_queue: Arc<BillQueue>,
    ) -> Self {
        Self {
            tables: Mutex::default(),
            platform,
            incarnation,
            settings,
            peers,
            bill_queue,
        }
    }

    /// Returns all holdings in order of the budgets' names.
    pub fn holdings(&self) -> Vec<(Name, Holding)> {
        let tables = lock(&self.tables);
        let all = tables.ledger.holdings();
        all.map(|(name, holding)| (name.clone(), *holding))
            .collect()
    }

    /// Reserves `worst_case` tokens, obtaining more if too few are held.
    ///
    /// `router_version` is the version of this router's own row.
    ///
    /// # Errors
    /// Returns why the tokens can't be reserved; nothing is reserved then.
    pub async fn reserve(
        self: &Arc<Self>,
        budget: &Name,
        worst_case: u64,
        router_version: u64,
    ) -> Result<Reservation, BudgetError> {
        let reserved = || Reservation::new(self.clone(), budget.clone(), worst_case);
        if self.try_reserve(budget, worst_case) {
            self.draw_ahead(budget, router_version);
            return Ok(reserved());
        }
        if let Some(error) = self.recent_refusal(budget, worst_case, Instant::now()) {
            return Err(error);
        }
        let rows = self.cached_rows(budget);
        let mut rows = rows.lock().await;
        // The previous owner of the lock may have drawn enough, or failed.
        if self.try_reserve(budget, worst_case) {
            return Ok(reserved());
        }
        if let Some(error) = self.recent_refusal(budget, worst_case, Instant::now()) {
            return Err(error);
        }
        let drawn = self
            .draw(budget, &mut rows, worst_case, router_version)
            .await;
        if self.try_reserve(budget, worst_case) {
            return Ok(reserved());
        }
        if drawn != Err(BudgetError::Sealed) {
            self.request_transfers(budget, worst_case, Instant::now())
                .await;
        }
        if self.try_reserve(budget, worst_case) {
            return Ok(reserved());
        }
        let error = self.refusal_reason(budget, worst_case, drawn);
        self.remember_refusal(budget, worst_case, error, Instant::now());
        Err(error)
    }

    /// Why `worst_case` tokens can't be reserved after a draw with this result.
    fn refusal_reason(
        &self,
        budget: &Name,
        worst_case: u64,
        drawn: Result<(), BudgetError>,
    ) -> BudgetError {
        let holding = lock(&self.tables).ledger.holding(budget);
        if holding.free() >= worst_case {
            return BudgetError::ExposureLimit;
        }
        let left = holding.free();
        drawn.err().unwrap_or(BudgetError::Exhausted { left })
    }

    fn try_reserve(&self, budget: &Name, worst_case: u64) -> bool {
        let mut tables = lock(&self.tables);
        let account = tables.account(budget);
        account.average_cost += WORST_CASE_SMOOTHING * (worst_case as f64 - account.average_cost);
        tables.ledger.reserve(budget, worst_case).is_ok()
    }

    /// Settles a reservation of `worst_case` tokens: `used` tokens were consumed,
    /// of which `lost` are not billed.
    pub(super) fn settle(
        &self,
        budget: &Name,
        worst_case: u64,
        used: u64,
        lost: u64,
        now: Instant,
    ) {
        let mut tables = lock(&self.tables);
        if lost > 0 {
            tables.ledger.write_off(budget, lost);
            self.bill_queue.record_loss(budget, lost);
        }
        tables.ledger.settle(budget, worst_case - lost, used - lost);
        tables.account(budget).rate.record(used, now);
    }

    /// Records that `tokens` are durably billed or recorded as lost.
    pub fn mark_accounted(&self, budget: &Name, tokens: u64) {
        lock(&self.tables).ledger.mark_billed(budget, tokens);
    }

    pub(super) fn cached_rows(&self, budget: &Name) -> Arc<AsyncMutex<CachedRows>> {
        lock(&self.tables).account(budget).rows.clone()
    }

    /// Returns the error of a recent refusal of at most as many tokens; a smaller
    /// reservation may still succeed.
    fn recent_refusal(&self, budget: &Name, worst_case: u64, now: Instant) -> Option<BudgetError> {
        let mut tables = lock(&self.tables);
        let refusal = tables.account(budget).last_refusal?;
        let fresh = now.duration_since(refusal.at) < REFUSAL_TTL;
        (fresh && worst_case >= refusal.worst_case).then_some(refusal.error)
    }

    fn remember_refusal(&self, budget: &Name, worst_case: u64, error: BudgetError, at: Instant) {
        lock(&self.tables).account(budget).last_refusal = Some(RecentRefusal {
            at,
            worst_case,
            error,
        });
    }

    /// Whether the tokens held here and those that the table last showed would
    /// have covered a refused reservation.
    pub fn would_cover(&self, budget: &Name, worst_case: u64) -> bool {
        let mut tables = lock(&self.tables);
        let free = tables.ledger.holding(budget).free();
        free + tables.account(budget).available.unwrap_or(0) >= worst_case
    }

    /// Number of live routers, this one included.
    pub(super) fn live_routers(&self) -> u32 {
        self.peers.live_count(Instant::now()) as u32 + 1
    }

    /// Input of the decisions on draws.
    pub(super) fn grant_state(&self, budget: &Name, now: Instant) -> grant::State {
        let routers = self.live_routers();
        let mut tables = lock(&self.tables);
        let free = tables.ledger.holding(budget).free();
        let account = tables.account(budget);
        grant::State {
            free,
            available: account.available.unwrap_or(0),
            rate: account.rate.per_second(now),
            idle_time: account.rate.idle_time(now),
            request_cost: (account.average_cost as u64).max(self.settings.min_draw / 4),
            routers,
        }
    }

    /// Tokens to draw for a request of `need` tokens, or ahead of time if `need`
    /// is 0.
    pub(super) fn draw_size(&self, budget: &Name, need: u64, now: Instant) -> u64 {
        let state = self.grant_state(budget, now);
        let settings = self.grant_settings();
        grant::draw(&state, need, &settings).map_or(0, |drawn| drawn.tokens)
    }

    fn grant_settings(&self) -> grant::Settings {
        grant::Settings {
            horizon: self.settings.grant_horizon,
            low_water: self.settings.grant_horizon.mul_f64(0.8),
            ..grant::Settings::default()
        }
    }

    /// Starts a background draw if little is left.
    pub(super) fn draw_ahead(self: &Arc<Self>, budget: &Name, router_version: u64) {
        let now = Instant::now();
        let unread = lock(&self.tables).account(budget).available.is_none();
        let wanted = unread || self.draw_size(budget, 0, now) > 0;
        if !wanted || !self.begin_draw_ahead(budget, now) {
            return;
        }
        let budgets = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            // No request waits for this draw. A random delay keeps it apart from
            // draws of other routers.
            let spread = DRAW_SPREAD * budgets.live_routers();
            tokio::time::sleep(spread.mul_f64(rand::random())).await;
            let rows = budgets.cached_rows(&budget);
            // A failure concerns no request; the next request that needs tokens
            // draws again.
            let _ = budgets
                .draw(&budget, &mut *rows.lock().await, 0, router_version)
                .await;
            let mut tables = lock(&budgets.tables);
            let account = tables.account(&budget);
            account.drawing_ahead = false;
            account.prefetched_at = Some(Instant::now());
        });
    }

    fn begin_draw_ahead(&self, budget: &Name, now: Instant) -> bool {
        let mut tables = lock(&self.tables);
        let account = tables.account(budget);
        let paused = account
            .prefetched_at
            .is_some_and(|at| now < at + REFUSAL_TTL);
        let begins = !account.drawing_ahead && !paused;
        account.drawing_ahead |= begins;
        begins
    }
}

impl Tables {
    pub(super) fn account(&mut self, budget: &Name) -> &mut Account {
        self.accounts
            .get_or_insert_with(budget.clone(), Account::default)
    }
}
