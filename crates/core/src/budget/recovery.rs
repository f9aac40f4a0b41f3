//! The end of an incarnation: release of its grant, and late bills.
//!
//! A dead incarnation is sealed first, which ends its draws and bills. What it
//! used beyond its durable totals is unknown, but never more than the exposure
//! that its grant declares. The rest goes back to the budget once it is proved
//! that the process is gone: a sealed holder that still runs may go on to spend
//! what it holds. What stays counted is stranded, and shown to the operator.

use super::change::HolderState;
use super::rows::{BudgetRow, GrantRow};

/// Why a process is known to be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Proof {
    /// A later incarnation has bound the address of its peer service.
    AddressReused,
    /// The operator says so.
    Operator,
}

/// Proof from a successor's row: another incarnation on the same address.
pub fn address_reused(dead: (&str, &str), successor: (&str, &str)) -> Option<Proof> {
    let (dead, address) = dead;
    let (other, bound) = successor;
    (dead != other && address == bound).then_some(Proof::AddressReused)
}

/// The rows after a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    /// The budget's row.
    pub budget: BudgetRow,
    /// The ended incarnation's grant.
    pub grant: GrantRow,
    /// Tokens that go back to the budget.
    pub tokens: u64,
}

/// Why nothing can be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotReleased {
    /// The incarnation is not sealed, or nothing proves that it is gone.
    NoProof,
    /// Everything left may have been used.
    Stranded,
}

/// Tokens of an ended incarnation that stay counted though not accounted for.
pub fn stranded(grant: &GrantRow, own: &HolderState) -> u64 {
    grant.granted.saturating_sub(own.accounted)
}

/// Releases what an ended incarnation can't have used.
///
/// The commit relies on the versions of the budget's row, the grant and the
/// incarnation's own row. After a lost answer, read and ask again: what was
/// released before is not released twice.
///
/// # Errors
/// Says why nothing goes back.
pub fn release(
    budget: &BudgetRow,
    grant: &GrantRow,
    own: &HolderState,
    proof: Option<Proof>,
) -> Result<Released, NotReleased> {
    let gone = own.sealed && proof.is_some();
    if !grant.closed && !gone {
        return Err(NotReleased::NoProof);
    }
    let exposure = match grant.exposure {
        _ if grant.closed => 0,
        Some(tokens) => tokens,
        None => return Err(NotReleased::Stranded),
    };
    let tokens = stranded(grant, own).saturating_sub(exposure);
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

/// Totals of a sealed origin after a late bill that a peer holds.
///
/// `None` where the origin is not sealed and bills itself. The commit relies on
/// the version of the origin's own row and inserts the row that marks the
/// request as billed. What was consumed is always within the rows, so a late
/// bill needs no check against the grant.
pub fn add_late_bill(own: &HolderState, tokens: u64) -> Option<u64> {
    own.sealed.then(|| own.accounted + tokens)
}
