//! Reservations at other routers: requests for leases, as a lender answers them and
//! as a borrower sends them, and the messages that settle leases.
//!
//! Each message is a datagram. Requests that get no answer are sent once more with
//! the same number and then cancelled; settlements are repeated until the lender
//! confirms them. [`poplar_core::quota::Leases`] says why a lost, repeated or late
//! message can't overspend a budget.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use poplar_core::quota::{Begin, LeaseId, Leases, LentTokens};
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use super::{Budgets, Reservation, ReserveError, Source};
use crate::sync::lock;

/// Largest message in bytes.
const MAX_MESSAGE_BYTES: usize = 4096;
/// Time after which a request without an answer is sent again: several times that of
/// an answer from another data centre.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(40);
/// Time after which another lender is asked. A lender may wait for a checkpoint,
/// which takes some ten milliseconds.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(160);
/// Time between two messages that settle the same lease.
const SETTLE_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a settlement that is not confirmed is given up; the lender then
/// counts the lease as used.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time in which settlements for one lender are collected.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Most settlements in one message.
const MAX_SETTLED: usize = 60;
/// Most leases that are left to the next process, about 70 bytes each in a row that
/// holds 65,536. More would be those of a router that lends to hundreds at once.
const MAX_LEFT: usize = 500;
/// How often a stopping router looks whether leases have ended.
const CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Tokens of this router's holding that another router uses.
#[derive(Debug)]
struct Lent {
    budget: Name,
    tokens: u64,
    /// Epoch of the holding.
    epoch: u64,
}

/// A lender's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    Granted,
    /// It has too few tokens; time until it may have enough, if it knows.
    Refused(Option<Duration>),
}

/// A lease that ended at this router and that its lender has not confirmed.
#[derive(Debug, Clone, Copy)]
struct Unsettled {
    lender: IpAddr,
    number: u64,
    used: u64,
    since: Instant,
    sent: Option<Instant>,
}

/// The leases that this router has granted and those that it has.
#[derive(Debug, Default)]
pub(super) struct Lending {
    leases: Mutex<Leases<Lent>>,
    pub(super) asked: Mutex<SortedVec<u64, oneshot::Sender<Reply>>>,
    unsettled: Mutex<Vec<Unsettled>>,
    wake: Notify,
    pub(super) numbers: AtomicU64,
    pub(super) silent: Mutex<SortedVec<IpAddr, Instant>>,
    /// The socket and the port of the other routers; unset where there is none.
    pub(super) socket: OnceLock<(UdpSocket, u16)>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Message {
    Ask {
        life: u64,
        number: u64,
        budget: Name,
        tokens: u64,
        /// Whether it is the first lender that is asked, whose demand it is.
        first: bool,
    },
    Granted {
        number: u64,
    },
    Refused {
        number: u64,
        after_ms: Option<u64>,
    },
    Settle {
        life: u64,
        /// Numbers and tokens used.
        leases: Vec<(u64, u64)>,
    },
    Settled {
        numbers: Vec<u64>,
    },
}

impl Lending {
    /// Tells a lender how much of a lease was used.
    pub(super) fn settle(&self, lender: IpAddr, number: u64, used: u64) {
        lock(&self.unsettled).push(Unsettled {
            lender,
            number,
            used,
            since: Instant::now(),
            sent: None,
        });
        self.wake.notify_one();
    }

    /// Number of leases that this router has granted, for the metrics.
    pub(super) fn open_count(&self) -> usize {
        lock(&self.leases).open_count()
    }

    /// Ends the lending; returns the leases that are open. The next process at this
    /// address settles them, so that messages about them are not answered from now on.
    pub(super) fn end(&self) -> Vec<LentTokens> {
        let mut leases = lock(&self.leases);
        leases.end();
        let lent = |(lease, lent): (LeaseId, &Lent)| LentTokens {
            lease,
            budget: lent.budget.clone(),
            tokens: lent.tokens,
        };
        let mut lent: Vec<LentTokens> = leases.open().map(lent).collect();
        lent.sort_by_key(|lent| std::cmp::Reverse(lent.tokens));
        lent.truncate(MAX_LEFT);
        lent
    }

    /// Takes over the open leases of the previous process.
    pub(super) fn inherit(&self, lent: &[LentTokens], epoch: u64, now: Instant) {
        let mut leases = lock(&self.leases);
        for lent in lent {
            let reserved = Lent {
                budget: lent.budget.clone(),
                tokens: lent.tokens,
                epoch,
            };
            leases.inherit(lent.lease, reserved, now);
        }
    }

    /// Whether no lease is open, and the lenders know how all that this router had
    /// have ended.
    fn is_settled(&self) -> bool {
        self.open_count() == 0 && lock(&self.unsettled).is_empty()
    }

    /// Tokens of each budget that other routers use, for the log.
    pub(super) fn format_lent(&self) -> String {
        let mut sums: SortedVec<Name, u64> = SortedVec::new();
        for (_, lent) in lock(&self.leases).open() {
            *sums.get_or_insert_with(lent.budget.clone(), u64::default) += lent.tokens;
        }
        let sums = sums.iter().map(|(name, tokens)| format!("{name} {tokens}"));
        sums.collect::<Vec<_>>().join(", ")
    }

    pub(super) fn send(&self, to: IpAddr, message: &Message) {
        let Some((socket, port)) = self.socket.get() else {
            return;
        };
        let bytes = serde_json::to_vec(message).expect("a message can be serialized");
        // A message that can't be sent is lost like any other.
        let _ = socket.try_send_to(&bytes, SocketAddr::new(to, *port));
    }

    /// Sends the settlements that are due; returns when the next one is.
    fn send_settlements(&self, life: u64, now: Instant) -> Option<Instant> {
        let mut due: SortedVec<IpAddr, Vec<(u64, u64)>> = SortedVec::new();
        let mut unsettled = lock(&self.unsettled);
        unsettled.retain(|lease| now < lease.since + SETTLE_TIME);
        for lease in unsettled.iter_mut() {
            if lease.sent.is_some_and(|at| now < at + SETTLE_PERIOD) {
                continue;
            }
            let leases = due.get_or_insert_with(lease.lender, Vec::new);
            if leases.len() < MAX_SETTLED {
                leases.push((lease.number, lease.used));
                lease.sent = Some(now);
            }
        }
        let next = unsettled
            .iter()
            .map(|l| l.sent.map_or(now, |at| at + SETTLE_PERIOD));
        let next = next.min();
        drop(unsettled);
        for (lender, leases) in due.to_vec() {
            self.send(lender, &Message::Settle { life, leases });
        }
        next
    }
}

impl Budgets {
    /// Exchanges leases with other routers over `socket`, which has the same port
    /// everywhere, until the process ends.
    pub async fn run_lending(self: Arc<Self>, socket: UdpSocket) {
        let Ok(address) = socket.local_addr() else {
            return;
        };
        let (socket, _) = self.lending.socket.get_or_init(|| (socket, address.port()));
        let settler = self.clone();
        tokio::spawn(async move { settler.settle_leases().await });
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(RESEND_AFTER).await;
                continue;
            };
            match serde_json::from_slice(&buffer[..length]) {
                Ok(message) => self.receive(from.ip(), message),
                Err(why) => log::debug("lease message invalid").reason(why).write(),
            }
        }
    }

    async fn settle_leases(&self) {
        loop {
            tokio::time::sleep(COLLECT_TIME).await;
            let now = Instant::now();
            let expired = lock(&self.lending.leases).expire(now);
            for lent in expired {
                log::warn("lease not settled")
                    .workspace(&lent.budget)
                    .with("tokens", lent.tokens)
                    .write();
                self.end_lease(&lent, lent.tokens);
            }
            let next = self.lending.send_settlements(self.incarnation, now);
            let wait = next.map_or(SETTLE_TIME, |at| at.saturating_duration_since(now));
            let _ = tokio::time::timeout(wait, self.lending.wake.notified()).await;
        }
    }

    /// Waits until no lease is open here or, of this router, elsewhere.
    pub async fn wait_leases_settled(&self) {
        while !self.lending.is_settled() {
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }

    fn end_lease(&self, lent: &Lent, used: u64) {
        let mut state = lock(&self.state);
        state.settle(&lent.budget, lent.epoch, lent.tokens, used.min(lent.tokens));
    }

    fn receive(self: &Arc<Self>, from: IpAddr, message: Message) {
        let now = Instant::now();
        match message {
            Message::Ask {
                life,
                number,
                budget,
                tokens,
                first,
            } => {
                let id = LeaseId {
                    router: from,
                    incarnation: life,
                    number,
                };
                self.answer(id, budget, tokens, first, now);
            }
            Message::Granted { number } => self.complete(number, Reply::Granted),
            Message::Refused { number, after_ms } => {
                let after = after_ms.map(Duration::from_millis);
                self.complete(number, Reply::Refused(after));
            }
            Message::Settle { life, leases } => self.settle(from, life, leases, now),
            Message::Settled { numbers } => {
                let is_other = |l: &Unsettled| l.lender != from || !numbers.contains(&l.number);
                lock(&self.lending.unsettled).retain(is_other);
            }
        }
    }

    /// Ends leases at the borrower's word. Before the first checkpoint, and after the row
    /// is written for the last time, the row lists leases that a successor would settle,
    /// too; the borrower is not answered then, and repeats it.
    fn settle(&self, from: IpAddr, life: u64, ended: Vec<(u64, u64)>, now: Instant) {
        if lock(&self.state).written == 0 {
            return;
        }
        let mut numbers = Vec::new();
        for (number, used) in ended {
            let id = LeaseId {
                router: from,
                incarnation: life,
                number,
            };
            let lent = {
                let mut leases = lock(&self.lending.leases);
                if leases.has_ended() {
                    break;
                }
                leases.settle(id, now)
            };
            numbers.push(number);
            match lent {
                Some(lent) => self.end_lease(&lent, used),
                None => log::info("settlement of a lease that is not open")
                    .with("borrower", from)
                    .with("lease", number)
                    .with("used", used)
                    .write(),
            }
        }
        self.lending.send(from, &Message::Settled { numbers });
    }

    fn complete(&self, number: u64, reply: Reply) {
        if let Some(waiting) = lock(&self.lending.asked).remove(&number) {
            // The request may have ended meanwhile, which cancels the lease.
            let _ = waiting.send(reply);
        }
    }

    /// Answers a request for a lease, at once if this router holds enough.
    fn answer(self: &Arc<Self>, id: LeaseId, budget: Name, tokens: u64, first: bool, now: Instant) {
        let begin = lock(&self.lending.leases).begin(id, now);
        match begin {
            Begin::New => {}
            Begin::Pending => return,
            Begin::Granted => return self.reply(id, Reply::Granted),
            Begin::Refused => return self.reply(id, Reply::Refused(None)),
        }
        if lock(&self.state).stopping {
            lock(&self.lending.leases).refuse(id, now);
            return self.reply(id, Reply::Refused(None));
        }
        if first {
            self.record_demand(&budget, tokens, now);
        }
        if let Some(reserved) = self.reserve_held(&budget, tokens, now) {
            return self.grant(id, reserved, now);
        }
        let lender = self.clone();
        tokio::spawn(async move {
            let reserved = lender
                .reserve_here(&budget, u64::MAX, tokens, ANSWER_TIMEOUT)
                .await;
            let now = Instant::now();
            match reserved {
                Ok(reserved) => lender.grant(id, reserved, now),
                Err(why) => {
                    lock(&lender.lending.leases).refuse(id, now);
                    let after = match why {
                        ReserveError::Away { after } => after,
                        ReserveError::Spent { .. } | ReserveError::Short => None,
                    };
                    lender.reply(id, Reply::Refused(after));
                }
            }
        });
    }

    fn grant(&self, id: LeaseId, mut reserved: Reservation, now: Instant) {
        reserved.source = Source::Lent;
        let is_stopping = lock(&self.state).stopping;
        let lent = Lent {
            budget: reserved.workspace.clone(),
            tokens: reserved.worst_case,
            epoch: reserved.epoch,
        };
        let unwanted = {
            let mut leases = lock(&self.lending.leases);
            if is_stopping {
                leases.refuse(id, now);
            }
            leases.grant(id, lent, now)
        };
        match unwanted {
            Some(lent) => {
                self.end_lease(&lent, 0);
                self.reply(id, Reply::Refused(None));
            }
            None => self.reply(id, Reply::Granted),
        }
    }

    fn reply(&self, id: LeaseId, reply: Reply) {
        let number = id.number;
        let message = match reply {
            Reply::Granted => Message::Granted { number },
            Reply::Refused(after) => Message::Refused {
                number,
                after_ms: after.map(|after| after.as_millis() as u64),
            },
        };
        self.lending.send(id.router, &message);
    }
}
