//! Reservations at other routers, as a borrower asks for them.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use tokio::sync::oneshot;

use super::lending::{ANSWER_TIMEOUT, Lending, Message, RESEND_AFTER, Reply};
use super::{Budgets, Reservation, Source};
use crate::sync::lock;

/// Most lenders that are asked for one request, and how many of them may not answer.
const MAX_LENDERS_ASKED: usize = 6;
const MAX_UNANSWERED: u32 = 2;
/// Time for which a lender that did not answer is asked only after the others.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// A request for a lease that was not answered yet. Dropping it cancels the lease.
struct Asking<'a> {
    lending: &'a Lending,
    lender: IpAddr,
    number: u64,
    is_answered: bool,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        lock(&self.lending.asked).remove(&self.number);
        if !self.is_answered {
            self.lending.settle(self.lender, self.number, 0);
        }
    }
}

impl Budgets {
    /// The other holders of a budget in the order in which they are asked: at random,
    /// those last that did not answer a moment ago.
    fn lenders(&self, workspace: &Name, prepaid: u64, now: Instant) -> Vec<IpAddr> {
        let holders = lock(&self.state).holders(workspace, prepaid);
        let others = holders.iter().copied().filter(|at| *at != self.address);
        let mut lenders: Vec<IpAddr> = others.collect();
        let start = (rand::random::<f64>() * lenders.len() as f64) as usize;
        lenders.rotate_left(start);
        let silent = lock(&self.lending.silent);
        let is_silent = |at: &IpAddr| silent.get(at).is_some_and(|until| now < *until);
        lenders.sort_by_key(is_silent);
        lenders.truncate(MAX_LENDERS_ASKED);
        lenders
    }

    /// Reserves tokens at another holder of the budget. `counts` says whether the
    /// request is part of the lender's demand rather than of this router's.
    ///
    /// # Errors
    /// Whether any lender answered, and the time until one may have enough tokens.
    pub(super) async fn borrow(
        self: &Arc<Self>,
        workspace: &Name,
        prepaid: u64,
        tokens: u64,
        counts: bool,
    ) -> Result<Reservation, NoLender> {
        let mut failed = NoLender::default();
        let mut unanswered = 0;
        for (place, lender) in self
            .lenders(workspace, prepaid, Instant::now())
            .into_iter()
            .enumerate()
        {
            let first = counts && place == 0;
            let (outcome, result) = match self.ask(lender, workspace, tokens, first).await {
                Some((number, Reply::Granted)) => {
                    let source = Source::Lease { lender, number };
                    ("granted", Some(source))
                }
                Some((_, Reply::Refused(after))) => {
                    failed.answered = true;
                    let soonest = failed.after.into_iter().chain(after).min();
                    failed.after = soonest;
                    ("refused", None)
                }
                None => {
                    let until = Instant::now() + SILENCE_TIME;
                    lock(&self.lending.silent).insert(lender, until);
                    unanswered += 1;
                    ("unanswered", None)
                }
            };
            metrics::counter!("poplar_leases_total", "outcome" => outcome).increment(1);
            if let Some(source) = result {
                return Ok(Reservation {
                    budgets: self.clone(),
                    workspace: workspace.clone(),
                    worst_case: tokens,
                    used: 0,
                    source,
                    epoch: 0,
                });
            }
            if unanswered >= MAX_UNANSWERED {
                break;
            }
        }
        Err(failed)
    }

    /// Asks one lender; `None` if it does not answer in time.
    async fn ask(
        &self,
        lender: IpAddr,
        workspace: &Name,
        tokens: u64,
        first: bool,
    ) -> Option<(u64, Reply)> {
        let lending = &self.lending;
        lending.socket.get()?;
        let number = lending.numbers.fetch_add(1, Ordering::AcqRel);
        let (sender, mut reply) = oneshot::channel();
        lock(&lending.asked).insert(number, sender);
        let mut asking = Asking {
            lending,
            lender,
            number,
            is_answered: false,
        };
        let message = Message::Ask {
            life: self.incarnation,
            number,
            budget: workspace.clone(),
            tokens,
            first,
        };
        for wait in [RESEND_AFTER, ANSWER_TIMEOUT - RESEND_AFTER] {
            lending.send(lender, &message);
            if let Ok(reply) = tokio::time::timeout(wait, &mut reply).await {
                asking.is_answered = true;
                return Some((number, reply.ok()?));
            }
        }
        None
    }
}

/// Why no lender granted a lease.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct NoLender {
    /// Whether a lender answered that it has too few tokens.
    pub(super) answered: bool,
    /// Time until one may have enough.
    pub(super) after: Option<Duration>,
}
