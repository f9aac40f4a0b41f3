//! Bills and the rows and objects that keep them.
//!
//! A router puts bills into the object store in batches, each naming the batch
//! before it, and then points its billing row in the table at the newest one.
//! That write relies on the version of its router row, so it fails once that
//! row was sealed. A batch that no row leads to was never billed.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Name, RequestId};

/// One answered request, billed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bill {
    /// The request, and the bill's own identity.
    pub id: RequestId,
    /// Whose request it was.
    pub workspace: Name,
    /// Its class of work.
    pub class: Name,
    /// The budget it was paid from.
    pub budget: Name,
    /// Hash of the request's body, to tell a reused key.
    #[serde(rename = "body", default)]
    pub body_hash: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens; the price of a service call.
    pub output: u64,
    /// When the answer was whole, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Until the first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Until the whole answer, in milliseconds.
    pub finish_ms: u64,
    /// Whether the class's targets were met.
    #[serde(rename = "met")]
    pub targets_met: bool,
    /// The whole answer, kept for retries of a request with a key.
    pub answer: Option<Answer>,
}

impl Bill {
    /// Tokens taken off the budget.
    pub fn tokens(&self) -> u64 {
        self.prompt + self.output
    }
}

/// An answer as it is given again to a retry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Text of a model's answer, or the body of a service's.
    pub text: String,
    /// Why a model's answer ended: `stop` or `length`.
    pub reason: String,
}

/// A batch of bills as an object.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// Name of the batch before this one.
    pub previous: Option<Name>,
    /// The bills.
    pub bills: Vec<Bill>,
    /// Tokens that were lost.
    #[serde(default)]
    pub losses: Vec<Loss>,
}

/// Tokens that a request took off a budget without an answer to bill.
///
/// A backend server consumed them, or may have, in an attempt that was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Loss {
    /// The budget they were taken off.
    pub budget: Name,
    /// How many.
    pub tokens: u64,
}

/// Name of a batch's object; `attempt` keeps a late put off a newer one.
pub fn batch_name(of: &Incarnation, number: u64, attempt: u64) -> String {
    format!("bills/{of}/{number:08}-{attempt}")
}

/// Key of the row that marks a request with an idempotency key as billed.
pub fn billed_key(id: &RequestId) -> String {
    format!("billed/{id}")
}

/// Where the bill and the answer of a request with a key are.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BilledRow {
    /// Name of the batch that holds them.
    pub batch: Name,
    /// Hash of the request's body, to tell a reused key.
    #[serde(rename = "body")]
    pub body_hash: u64,
}

/// A router's stage of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// At work.
    Active,
    /// Shut off by somebody else, or at its own planned end.
    Sealed,
}

/// A router as the table knows it; key `router/<incarnation>`.
///
/// It is written at the changes of stage only. Every other write of the
/// incarnation relies on its version, and so fails once the row is sealed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouterRow {
    /// Address of its peer service.
    pub address: Name,
    /// Address of its admin pages.
    pub admin: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its stage of life.
    pub stage: Stage,
}

/// Key of an incarnation's [`BillingRow`].
pub fn billing_key(of: &Incarnation) -> String {
    format!("billing/{of}")
}

/// What one incarnation has durably billed; key `billing/<incarnation>`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BillingRow {
    /// Name of its newest batch of bills.
    pub head: Option<Name>,
    /// How many batches it has billed.
    pub batches: u64,
    /// Tokens billed by budget, in order of the budgets' names.
    pub billed: Vec<(Name, u64)>,
    /// Tokens lost by budget, in order of the budgets' names.
    #[serde(default)]
    pub lost: Vec<(Name, u64)>,
}

impl BillingRow {
    /// The row after one more batch, `name`.
    pub fn with_batch(&self, name: Name, batch: &Batch) -> Self {
        let mut next = self.clone();
        next.head = Some(name);
        next.batches += 1;
        for bill in &batch.bills {
            add(&mut next.billed, &bill.budget, bill.tokens());
        }
        for loss in &batch.losses {
            add(&mut next.lost, &loss.budget, loss.tokens);
        }
        next
    }

    /// Tokens of a budget that are billed or lost.
    pub fn accounted(&self, budget: &str) -> u64 {
        of(&self.billed, budget) + of(&self.lost, budget)
    }
}

fn add(sums: &mut Vec<(Name, u64)>, budget: &Name, tokens: u64) {
    match sums.binary_search_by(|(b, _)| b.cmp(budget)) {
        Ok(at) => sums[at].1 += tokens,
        Err(at) => sums.insert(at, (budget.clone(), tokens)),
    }
}

fn of(sums: &[(Name, u64)], budget: &str) -> u64 {
    let at = sums.binary_search_by(|(b, _)| (**b).cmp(budget));
    at.map_or(0, |at| sums[at].1)
}
