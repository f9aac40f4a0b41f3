//! What a conflict of a checkpoint tells: other routers wrote totals, an own write whose
//! answer was lost took effect, or another router took this one for silent.

use poplar_base::log;
use poplar_core::quota::HolderRow;
use poplar_platform::rows::{Commit, Row};

use super::Budgets;
use super::state::decode;
use crate::sync::lock;

impl Budgets {
    /// Whether a conflict shows that this router's row does not exist any more: the other
    /// rows are as they were expected to be.
    pub(super) fn is_own_gone(&self, commit: &Commit, found: &[Row]) -> bool {
        let is_expected = |row: &Row| {
            let check = commit.checks.iter().find(|check| check.key == row.key);
            check.is_some_and(|check| check.version == row.version)
        };
        let own = commit.checks.iter().find(|check| check.key == self.key);
        let existed = own.is_some_and(|check| check.version > 0);
        let mut others = found.iter().filter(|row| row.key != self.key);
        let is_found = found
            .iter()
            .any(|row| row.key == self.key && row.version > 0);
        existed && !is_found && others.all(is_expected)
    }

    /// Applies the rows found by a conflict: rows that other routers wrote, an own write
    /// whose answer was lost, or the own row from which another router has taken the
    /// floors.
    pub(super) fn merge_conflict(&self, rows: &[Row]) {
        let mut state = lock(&self.state);
        for row in rows {
            state.record_total(row);
        }
        let own = rows.iter().find(|row| row.key == self.key);
        let Some(own) = own.filter(|row| row.version != state.own_version) else {
            return;
        };
        let found: Option<HolderRow> = decode(own);
        let found = found.filter(|row| row.incarnation == self.incarnation);
        let known = found.and_then(|row| {
            let mut pending = state.pending.iter();
            let pending = pending.find(|pending| pending.sequence == row.sequence);
            let sent_at = pending.map(|pending| pending.sent_at);
            let is_last = row.sequence == state.written && row.is_revoked();
            (sent_at.is_some() || is_last).then_some((sent_at, row))
        });
        let Some((sent_at, row)) = known else {
            log::error("holder row written by another process")
                .with("key", &self.key)
                .write();
            return;
        };
        let is_revoked = row.is_revoked();
        state.own_version = own.version;
        state.written = row.sequence;
        state.unsettled = row.unsettled.into_iter().collect();
        state.pending.clear();
        for (_, account) in state.accounts.iter_mut() {
            if let Some(at) = sent_at {
                account.mark_confirmed(at);
            }
            if is_revoked {
                account.revoke_floor();
            }
        }
        let event = if is_revoked {
            "floors returned by another router"
        } else {
            "unanswered checkpoint found in effect"
        };
        log::info(event).with("version", own.version).write();
    }
}
