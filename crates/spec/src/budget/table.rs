//! Model of the table: rows with versions and conditional writes.

use poplar_core::budget::change::{HolderState, View, Writes};
use poplar_core::budget::rows::{BudgetRow, GrantRow, Versioned};
use poplar_core::budget::topup::TopUpRow;

use super::INCARNATIONS;

/// The rows that concern the budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Table {
    pub(super) budget: Versioned<BudgetRow>,
    pub(super) grants: [Versioned<GrantRow>; INCARNATIONS],
    /// Own rows of the holders.
    pub(super) holders: [Versioned<HolderState>; INCARNATIONS],
    pub(super) topup: Versioned<TopUpRow>,
    /// How often each request was billed.
    pub(super) bill_counts: Vec<u8>,
}

/// A commit that may still take effect although its sender no longer waits for
/// the answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Delayed {
    /// A change of a grant: the holder, the receiver of a recorded transfer and
    /// the rows.
    Change(usize, Option<usize>, Writes),
    /// Bills of a holder.
    Bills(usize, BillWrite),
}

/// A write of a router's own row that accounts for more bills.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct BillWrite {
    /// Version of the own row that the write relies on.
    pub(super) version: u64,
    /// Accounted total after the write.
    pub(super) accounted: u64,
    /// Requests billed by the write, as a bit mask.
    pub(super) requests: u8,
}

fn replace_row<T>(stored: &mut Versioned<T>, row: T) {
    stored.version += 1;
    stored.row = row;
}

impl Table {
    pub(super) fn new(limit: u64, requests: usize) -> Self {
        let budget = Versioned {
            version: 1,
            row: BudgetRow { limit, granted: 0 },
        };
        let holder = Versioned {
            version: 1,
            row: HolderState::default(),
        };
        Self {
            budget,
            grants: Default::default(),
            holders: [holder; INCARNATIONS],
            topup: Versioned::default(),
            bill_counts: vec![0; requests],
        }
    }

    /// The rows that a change of `holder` relies on.
    pub(super) fn view(&self, holder: usize, receiver: Option<usize>) -> View {
        View {
            budget: self.budget,
            grant: self.grants[holder],
            holder: self.holders[holder],
            receiver: receiver.map(|to| self.grants[to]).unwrap_or_default(),
        }
    }

    /// Whether the rows still have the versions that `writes` relies on.
    pub(super) fn versions_match(&self, holder: usize, to: Option<usize>, writes: &Writes) -> bool {
        let received = match (to, &writes.receiver) {
            (Some(to), Some(row)) => self.grants[to].version == row.version,
            _ => true,
        };
        let granted = match &writes.budget {
            Some(row) => self.budget.version == row.version,
            None => true,
        };
        granted
            && self.grants[holder].version == writes.grant.version
            && self.holders[holder].version == writes.holder
            && received
    }

    /// Writes the rows of a committed change.
    pub(super) fn apply(&mut self, holder: usize, to: Option<usize>, writes: &Writes) {
        if let Some(row) = &writes.budget {
            replace_row(&mut self.budget, row.row);
        }
        replace_row(&mut self.grants[holder], writes.grant.row);
        if let (Some(to), Some(row)) = (to, &writes.receiver) {
            replace_row(&mut self.grants[to], row.row);
        }
    }

    pub(super) fn seal(&mut self, holder: usize) {
        let row = HolderState {
            sealed: true,
            ..self.holders[holder].row
        };
        replace_row(&mut self.holders[holder], row);
    }

    /// Writes the accounted total of a holder and bills `requests`, a bit mask.
    pub(super) fn record_bills(&mut self, holder: usize, accounted: u64, requests: u8) {
        let row = HolderState {
            accounted,
            ..self.holders[holder].row
        };
        replace_row(&mut self.holders[holder], row);
        for (index, count) in self.bill_counts.iter_mut().enumerate() {
            *count += requests >> index & 1;
        }
    }

    pub(super) fn put_budget(&mut self, row: BudgetRow) {
        replace_row(&mut self.budget, row);
    }

    pub(super) fn put_grant(&mut self, holder: usize, row: GrantRow) {
        replace_row(&mut self.grants[holder], row);
    }

    pub(super) fn put_topup(&mut self, row: TopUpRow) {
        replace_row(&mut self.topup, row);
    }

    /// Whether a delayed commit can still take effect.
    pub(super) fn can_apply(&self, delayed: &Delayed) -> bool {
        match delayed {
            Delayed::Change(holder, to, writes) => self.versions_match(*holder, *to, writes),
            Delayed::Bills(holder, bills) => self.holders[*holder].version == bills.version,
        }
    }
}
