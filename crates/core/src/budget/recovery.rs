//! Recovery after the end of an incarnation: release of its grants, late bills.
//!
//! An incarnation that is presumed dead is sealed first, so that it can draw
//! and bill nothing more. What it used beyond its durable totals is unknown, but
//! never exceeds the exposure limit that its grant declares. The rest returns to
//! the budget only once the process is proved to be gone, because a sealed
//! holder that still runs may go on spending what it holds. Tokens that can't be
//! returned are stranded: they stay counted as granted and are shown to the
//! operator.

use super::change::HolderState;
use super::rows::{BudgetRow, GrantRow};

/// Why a process is known to be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Proof {
    /// Another incarnation has bound the address of its peer service.
    AddressReused,
    /// The operator has confirmed it.
    Operator,
}

/// Returns proof if another incarnation uses the dead one's peer address.
///
/// Both arguments are pairs of an incarnation's name and its address.
pub fn address_reused(dead: (&str, &str), other: (&str, &str)) -> Option<Proof> {
    let (dead, dead_address) = dead;
    let (other, other_address) = other;
    (dead != other && dead_address == other_address).then_some(Proof::AddressReused)
}

/// The rows after a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    /// The budget's row.
    pub budget: BudgetRow,
    /// The ended incarnation's grant.
    pub grant: GrantRow,
    /// Tokens that return to the budget.
    pub tokens: u64,
}

/// Why nothing is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotReleased {
    /// The incarnation is not sealed, or there is no proof that it is gone.
    NoProof,
    /// All the remaining tokens may have been used.
    Stranded,
}

/// Tokens of an ended incarnation's grant that are neither billed nor lost.
pub fn stranded(grant: &GrantRow, holder: &HolderState) -> u64 {
    grant.granted.saturating_sub(holder.accounted)
}

/// Returns to the budget what an ended incarnation cannot have used.
///
/// The commit is conditional on the versions of the budget's row, of the grant
/// and of the incarnation's router row. After a lost answer, read the rows and
/// call this again: what was already released is not released twice.
///
/// # Errors
/// Returns the reason why nothing is released.
pub fn release(
    budget: &BudgetRow,
    grant: &GrantRow,
    holder: &HolderState,
    proof: Option<Proof>,
) -> Result<Released, NotReleased> {
    let gone = holder.sealed && proof.is_some();
    if !grant.closed && !gone {
        return Err(NotReleased::NoProof);
    }
    let possibly_used = match grant.exposure {
        _ if grant.closed => 0,
        Some(limit) => limit,
        None => return Err(NotReleased::Stranded),
    };
    let tokens = stranded(grant, holder).saturating_sub(possibly_used);
    if tokens == 0 {
        return Err(NotReleased::Stranded);
    }
    Ok(Released {
        budget: BudgetRow {
            granted: budget.granted.saturating_sub(tokens),
            ..*budget
        },
        grant: GrantRow {
            granted: grant.granted - tokens,
            released: grant.released + tokens,
            ..*grant
        },
        tokens,
    })
}

/// Accounted tokens of a sealed incarnation after a late bill of `tokens`.
///
/// A peer that keeps a copy of the bill writes it for the sealed incarnation.
/// `None` where the incarnation is not sealed, since then it bills the request
/// itself. The commit is conditional on the version of the incarnation's router
/// row and inserts the row that marks the request as billed. A late bill needs
/// no check against the grant, because consumption never exceeds the grant.
pub fn add_late_bill(holder: &HolderState, tokens: u64) -> Option<u64> {
    holder.sealed.then(|| holder.accounted + tokens)
}
