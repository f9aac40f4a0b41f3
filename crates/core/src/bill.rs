//! Bills, and the rows and objects that store them.
//!
//! A router writes bills to the object store in batches. Each batch names the
//! previous one, and the router's billing row in the table points to the newest.
//! The write of that row is conditional on the version of the router row, so it
//! fails once the router is sealed. The bills of a batch that is not reachable
//! from a billing row were never billed.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Name, RequestId};

/// The bill of one answered request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bill {
    /// The request's identifier, which also identifies the bill.
    pub id: RequestId,
    /// The workspace that sent the request.
    pub workspace: Name,
    /// The request's class of work.
    pub class: Name,
    /// The budget that is charged.
    pub budget: Name,
    /// Hash of the request's body, to detect a key reused for another request.
    #[serde(rename = "body", default)]
    pub body_hash: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens, or the price of a service call.
    pub output: u64,
    /// Time at which the answer was complete, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Time until the first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Time until the complete answer, in milliseconds.
    pub finish_ms: u64,
    /// Whether the latency targets of the class were met.
    #[serde(rename = "met")]
    pub targets_met: bool,
    /// The complete answer, stored to answer retries of a request with a key.
    pub answer: Option<Answer>,
}

impl Bill {
    /// Tokens charged to the budget.
    pub fn tokens(&self) -> u64 {
        self.prompt + self.output
    }
}

/// A stored answer, returned again to a retry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Text of a model's answer, or the body of a service's answer.
    pub text: String,
    /// Finish reason of a model's answer: `stop` or `length`.
    pub reason: String,
}

/// A batch of bills, stored as one object.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// Name of the previous batch.
    pub previous: Option<Name>,
    /// The bills.
    pub bills: Vec<Bill>,
    /// Losses recorded with these bills.
    #[serde(default)]
    pub losses: Vec<Loss>,
}

/// Tokens charged to a budget for a request that has no answer to bill.
///
/// A backend server consumed them, or may have, in an attempt that was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Loss {
    /// The budget that is charged.
    pub budget: Name,
    /// Number of tokens.
    pub tokens: u64,
}

/// Name of a batch's object.
///
/// `attempt` keeps a delayed put from overwriting the object of a newer attempt.
pub fn batch_name(of: &Incarnation, number: u64, attempt: u64) -> String {
    format!("bills/{of}/{number:08}-{attempt}")
}

/// Key of the row that marks a request with an idempotency key as billed.
pub fn billed_key(id: &RequestId) -> String {
    format!("billed/{id}")
}

/// The row that locates the bill and the answer of a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BilledRow {
    /// Name of the batch that contains them.
    pub batch: Name,
    /// Hash of the request's body, to detect a key reused for another request.
    ///
    /// The field keeps this name because `/v1/explain` shows the row's debug form.
    pub body: u64,
}

/// The stage of a router's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// The router serves.
    Active,
    /// Ended, by another process or by its own planned stop; it may write nothing.
    Sealed,
}

/// A router's row in the table; key `router/<incarnation>`.
///
/// The row is written only when the stage changes. Every other write of the
/// incarnation is conditional on the row's version, so it fails once the row is
/// sealed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouterRow {
    /// Address of the router's peer service.
    pub address: Name,
    /// Address of the router's admin pages.
    pub admin: Name,
    /// The router's data centre.
    pub centre: Name,
    /// The router's stage.
    pub stage: Stage,
}

/// Key of an incarnation's [`BillingRow`].
pub fn billing_key(of: &Incarnation) -> String {
    format!("billing/{of}")
}

/// Totals of what one incarnation has durably billed; key `billing/<incarnation>`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BillingRow {
    /// Name of the newest batch of bills.
    pub head: Option<Name>,
    /// Number of batches billed.
    pub batches: u64,
    /// Tokens billed per budget, sorted by the budgets' names.
    pub billed: Vec<(Name, u64)>,
    /// Tokens lost per budget, sorted by the budgets' names.
    #[serde(default)]
    pub lost: Vec<(Name, u64)>,
}

impl BillingRow {
    /// The row after one more batch with the name `name`.
    pub fn with_batch(&self, name: Name, batch: &Batch) -> Self {
        let mut next = self.clone();
        next.head = Some(name);
        next.batches += 1;
        for bill in &batch.bills {
            add_tokens(&mut next.billed, &bill.budget, bill.tokens());
        }
        for loss in &batch.losses {
            add_tokens(&mut next.lost, &loss.budget, loss.tokens);
        }
        next
    }

    /// Tokens of a budget that were billed or lost.
    pub fn accounted(&self, budget: &str) -> u64 {
        tokens_of(&self.billed, budget) + tokens_of(&self.lost, budget)
    }
}

fn add_tokens(sums: &mut Vec<(Name, u64)>, budget: &Name, tokens: u64) {
    match sums.binary_search_by(|(b, _)| b.cmp(budget)) {
        Ok(at) => sums[at].1 += tokens,
        Err(at) => sums.insert(at, (budget.clone(), tokens)),
    }
}

fn tokens_of(sums: &[(Name, u64)], budget: &str) -> u64 {
    let at = sums.binary_search_by(|(b, _)| (**b).cmp(budget));
    at.map_or(0, |at| sums[at].1)
}
