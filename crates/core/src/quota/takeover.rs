//! What routers take over of the row of one that is silent.
//!
//! A router that is silent may be gone for good, or only cut off, frozen or slow, and
//! nothing tells which. It may spend all but the floor of each allocation, however late.
//! The floors are therefore returned to the budgets soon. The silent router keeps the
//! rest, and loses nothing that it could have used. The change of its row makes its next
//! write fail, by which it learns of it.
//!
//! A row that stays silent is removed later, so that rows of hosts that are gone do not
//! add up. What its router may have spent stays deducted. If it comes back after all, its
//! next write fails, too, and it begins anew.

use std::time::Duration;

use crate::id::Name;
use crate::quota::summary::LIVE_AGE;
use crate::quota::{FleetSummary, HolderRow, Settlement};

/// Silence after which the floors are returned.
const REVOKE_AFTER: Duration = LIVE_AGE;
/// Silence after which the row is removed: longer than repairs of a network take, since a
/// router that returns later has lost what it had not spent.
const REMOVE_AFTER: Duration = Duration::from_secs(15 * 60);
/// The same for a row that accounts for no tokens, such as that of a planned stop.
const REMOVE_EMPTY_AFTER: Duration = Duration::from_secs(60);
/// How long an allocation may be spent: what grows with time has long reached its end.
const FOREVER: Duration = Duration::from_secs(365 * 24 * 3600);

/// A change of another router's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// The row as it is to be written; `None` if it is to be removed.
    pub row: Option<HolderRow>,
    /// What becomes of its tokens.
    pub settlements: Vec<(Name, Settlement)>,
}

/// What to take over of a router's row; `summary` is that of the rows with which it was
/// read.
pub fn plan_takeover(row: &HolderRow, summary: &FleetSummary) -> Option<Takeover> {
    if !row.is_revocable {
        return None;
    }
    let silence = summary.silence(row.clock);
    let remove_after = if row.is_empty() {
        REMOVE_EMPTY_AFTER
    } else {
        REMOVE_AFTER
    };
    if silence >= remove_after {
        return Some(Takeover {
            row: None,
            settlements: row.settlements(FOREVER),
        });
    }
    if silence < REVOKE_AFTER {
        return None;
    }
    let mut revoked = row.clone();
    let settlements = revoked.revoke();
    (!settlements.is_empty()).then_some(Takeover {
        row: Some(revoked),
        settlements,
    })
}
