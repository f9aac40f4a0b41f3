//! The table: rows with versions, written conditionally.

use poplar_core::budget::change::{HolderState, View, Writes};
use poplar_core::budget::rows::{BudgetRow, GrantRow, Versioned};
use poplar_core::budget::topup::TopUpRow;

use super::LIVES;

/// The rows that matter to one budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Table {
    pub(super) budget: Versioned<BudgetRow>,
    pub(super) grants: [Versioned<GrantRow>; LIVES],
    pub(super) own: [Versioned<HolderState>; LIVES],
    pub(super) topup: Versioned<TopUpRow>,
    /// Requests with a bill, and how often they were billed.
    pub(super) bills: Vec<u8>,
}

/// A commit that may still take effect after its answer was given up.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Delayed {
    Change(usize, Option<usize>, Writes),
    Flush(usize, Flush),
}

/// A write of a router's own row with the totals after more bills.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Flush {
    pub(super) version: u64,
    pub(super) accounted: u64,
    pub(super) requests: u8,
}

fn put<T>(seen: &mut Versioned<T>, row: T) {
    seen.version += 1;
    seen.row = row;
}

impl Table {
    pub(super) fn new(limit: u64, requests: usize) -> Self {
        let budget = Versioned {
            version: 1,
            row: BudgetRow { limit, granted: 0 },
        };
        let own = Versioned {
            version: 1,
            row: HolderState::default(),
        };
        Self {
            budget,
            grants: Default::default(),
            own: [own; LIVES],
            topup: Versioned::default(),
            bills: vec![0; requests],
        }
    }

    pub(super) fn view(&self, of: usize, receiver: Option<usize>) -> View {
        View {
            budget: self.budget,
            grant: self.grants[of],
            holder: self.own[of],
            receiver: receiver.map(|to| self.grants[to]).unwrap_or_default(),
        }
    }

    pub(super) fn fits(&self, of: usize, to: Option<usize>, writes: &Writes) -> bool {
        let received = match (to, &writes.receiver) {
            (Some(to), Some(row)) => self.grants[to].version == row.version,
            _ => true,
        };
        let granted = match &writes.budget {
            Some(row) => self.budget.version == row.version,
            None => true,
        };
        granted
            && self.grants[of].version == writes.grant.version
            && self.own[of].version == writes.holder
            && received
    }

    pub(super) fn write(&mut self, of: usize, to: Option<usize>, writes: &Writes) {
        if let Some(row) = &writes.budget {
            put(&mut self.budget, row.row);
        }
        put(&mut self.grants[of], writes.grant.row);
        if let (Some(to), Some(row)) = (to, &writes.receiver) {
            put(&mut self.grants[to], row.row);
        }
    }

    pub(super) fn seal(&mut self, of: usize) {
        let row = HolderState {
            sealed: true,
            ..self.own[of].row
        };
        put(&mut self.own[of], row);
    }

    pub(super) fn account(&mut self, of: usize, accounted: u64, requests: u8) {
        let row = HolderState {
            accounted,
            ..self.own[of].row
        };
        put(&mut self.own[of], row);
        for (at, bills) in self.bills.iter_mut().enumerate() {
            *bills += requests >> at & 1;
        }
    }

    pub(super) fn put_budget(&mut self, row: BudgetRow) {
        put(&mut self.budget, row);
    }

    pub(super) fn put_grant(&mut self, of: usize, row: GrantRow) {
        put(&mut self.grants[of], row);
    }

    pub(super) fn put_topup(&mut self, row: TopUpRow) {
        put(&mut self.topup, row);
    }

    /// Whether a delayed commit can still take effect.
    pub(super) fn may_land(&self, delayed: &Delayed) -> bool {
        match delayed {
            Delayed::Change(of, to, writes) => self.fits(*of, *to, writes),
            Delayed::Flush(of, flush) => self.own[*of].version == flush.version,
        }
    }
}
