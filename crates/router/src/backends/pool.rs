//! The backend servers that offer one model or service, and their queue.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_base::platform::Host;
use poplar_core::admit::{self, Conditions, DrainRate, Targets, Verdict};
use poplar_core::health::{Change, HealthTracker, LeavingStatus};
use poplar_core::id::Name;
use poplar_core::prefix::{CacheEvent, CacheView, RecentServers};
use poplar_core::queue::{Entry, Popped, Queue, Ticket};
use poplar_core::retry::{self, Attempt, Failure, Refusal as Refused, RetryDecision};
use poplar_core::route::server::{Completion, InFlight, LoadReport, Server};
use poplar_core::route::{self, Decision, Fleet, Job, Policy, Reason};
use poplar_core::sorted::SortedVec;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::dispatch::{AttemptResult, DispatchRequest};
use crate::refusal::{Code, Refusal};

/// Requests queued for one pool at the most.
const QUEUED_MOST: usize = 4096;
/// Round trip assumed within a data centre, and to another one.
const NEAR: Duration = Duration::from_micros(500);
const FAR: Duration = Duration::from_millis(3);
/// Weight of the newest answer in a class's mean length.
const NEWEST: f64 = 0.05;
/// Tokens of output expected of a class that was never seen, as part of its cap.
const UNSEEN: f64 = 0.25;
/// Prefixes noted for the whole pool.
const HOLDERS: usize = 1 << 14;
/// Prefixes noted of one server.
const CACHED: usize = 1 << 14;
/// When to come back after waiting in the queue was in vain.
const EXPIRED_AFTER: Duration = Duration::from_secs(2);

/// A server the request may go to.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) name: Name,
    pub(super) address: SocketAddr,
    pub(super) flight: u64,
    pub(super) reason: String,
    pub(super) priority: u8,
}

/// A request that waits for its server.
#[derive(Debug)]
struct Waiter {
    work: DispatchRequest,
    output: u32,
    sender: oneshot::Sender<Result<Slot, Refusal>>,
}

/// What is known of a server besides what routing needs.
#[derive(Debug)]
struct Node {
    address: SocketAddr,
    leaving: LeavingStatus,
    cache: CacheView,
}

/// Servers that offer one thing, and the queue for them.
///
/// `servers` and `nodes` stand side by side.
#[derive(Debug)]
pub(super) struct Pool {
    servers: Vec<Server>,
    nodes: Vec<Node>,
    board: HealthTracker,
    holders: RecentServers,
    queue: Queue,
    waiters: SortedVec<u64, Waiter>,
    drain: DrainRate,
    retries: retry::RetryBudget,
    outputs: SortedVec<Name, f64>,
    turn: u64,
    next: u64,
    policy: Policy,
    /// Keeps routers from rounding their limits alike.
    salt: u64,
}

impl Pool {
    pub(super) fn new(policy: Policy, salt: u64, now: Instant) -> Self {
        Self {
            servers: Vec::new(),
            nodes: Vec::new(),
            board: HealthTracker::new(),
            holders: RecentServers::new(HOLDERS),
            queue: Queue::new(QUEUED_MOST),
            waiters: SortedVec::new(),
            drain: DrainRate::default(),
            retries: retry::RetryBudget::new(now),
            outputs: SortedVec::new(),
            turn: 0,
            next: 0,
            policy,
            salt,
        }
    }

    /// Takes the host list over: new servers, changed ones, and gone ones.
    pub(super) fn update_hosts(&mut self, hosts: &[&Host], centre: &str) {
        let many = self.servers.len();
        for host in hosts {
            let known = self.servers.iter().position(|s| s.name == host.name);
            let at = known.unwrap_or_else(|| self.add(host, centre));
            if self.nodes[at].address != host.address {
                // The name came back on another host: nothing known holds.
                self.nodes[at] = Node::new(host.address);
                self.servers[at].fenced = false;
            }
            self.nodes[at].leaving.set_listed(host.leaving);
        }
        let gone = |s: &Server| hosts.iter().all(|h| h.name != s.name);
        let mut at = 0;
        while at < self.servers.len() {
            if !gone(&self.servers[at]) {
                at += 1;
            } else if self.servers[at].in_flight() == 0 {
                self.servers.remove(at);
                self.nodes.remove(at);
            } else {
                self.nodes[at].leaving.set_listed(true);
                at += 1;
            }
        }
        if self.servers.len() != many {
            self.holders.reset();
            let names = self.servers.iter().map(|s| s.name.clone());
            self.board.set_servers(names);
        }
    }

    fn add(&mut self, host: &Host, centre: &str) -> usize {
        let rtt = if *host.centre == *centre { NEAR } else { FAR };
        let mut server = Server::new(host.name.clone(), host.centre.clone(), rtt);
        server.salt = xxh3_64_with_seed(host.name.as_bytes(), self.salt);
        self.servers.push(server);
        self.nodes.push(Node::new(host.address));
        self.holders.reset();
        self.board
            .set_servers(self.servers.iter().map(|s| s.name.clone()));
        self.servers.len() - 1
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|s| *s.name == *name)
    }

    /// Brings what routing may use up to date.
    fn refresh(&mut self, now: Instant) {
        for (server, node) in self.servers.iter_mut().zip(&self.nodes) {
            server.leaving = node.leaving.is_leaving();
            server.health = self.board.state(&server.name, now);
        }
    }

    /// Looks for servers that are far slower than the others.
    pub(super) fn eject_slow_servers(&mut self, now: Instant) {
        let used = self.servers.iter().filter(|s| s.in_flight() > 0);
        let steps: Vec<_> = used.map(|s| (s.name.clone(), s.step())).collect();
        for (name, change) in self.board.detect_slow(steps, now) {
            log_change(&name, &change);
        }
    }

    pub(super) fn server(&mut self, name: &str) -> Option<&mut Server> {
        let at = self.position(name)?;
        Some(&mut self.servers[at])
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = (&Server, SocketAddr, u64)> {
        let nodes = self.nodes.iter().map(|n| (n.address, n.cache.cursor()));
        self.servers.iter().zip(nodes).map(|(s, (a, c))| (s, a, c))
    }

    pub(super) fn record_load(&mut self, name: &str, report: LoadReport, leaving: bool) {
        if let Some(at) = self.position(name) {
            self.nodes[at].leaving.record_report(leaving, report.taken);
            self.servers[at].record_report(report);
        }
    }

    /// Forgets what a server had cached, since its process has ended.
    pub(super) fn mark_dead(&mut self, name: &str) {
        if let Some(at) = self.position(name) {
            self.nodes[at].cache.reset();
        }
    }

    /// Takes cache events of a server in.
    pub(super) fn apply_cache_events(
        &mut self,
        name: &str,
        events: impl IntoIterator<Item = CacheEvent>,
    ) {
        if let Some(at) = self.position(name) {
            for event in events {
                self.nodes[at].cache.apply(event);
            }
        }
    }

    /// Takes in how a request at a server ended.
    pub(super) fn ended(&mut self, name: &str, flight: u64, ended: AttemptResult, now: Instant) {
        let Some(at) = self.position(name) else {
            return;
        };
        let end = match ended {
            AttemptResult::Completed(output) => Completion::Answered(output as u32),
            AttemptResult::Failed(Failure::Refused(Refused::Full)) => Completion::RejectedFull,
            AttemptResult::Failed(_) | AttemptResult::Cancelled => Completion::Other,
        };
        self.servers[at].record_end(flight, end, now);
        let change = match ended {
            AttemptResult::Completed(_) => self.board.record_outcome(name, true, now),
            AttemptResult::Failed(failure) if failure.blames_server() => {
                self.board.record_outcome(name, false, now)
            }
            AttemptResult::Failed(Failure::Refused(Refused::Leaving)) => {
                self.nodes[at].leaving.record_report(true, now);
                None
            }
            AttemptResult::Failed(Failure::Refused(Refused::Fenced)) => {
                self.servers[at].fenced = true;
                None
            }
            AttemptResult::Failed(_) | AttemptResult::Cancelled => None,
        };
        if let Some(change) = change {
            log_change(name, &change);
        }
    }

    /// Decides what follows a failure.
    pub(super) fn next_step(
        &mut self,
        failure: Failure,
        attempt: &Attempt,
        now: Instant,
    ) -> RetryDecision {
        retry::decide(failure, attempt, &mut self.retries, now)
    }

    /// Output that an answer of this class may be expected to have.
    fn expected(&self, class: &Name, cap: u32) -> u32 {
        let mean = self.outputs.get(class).copied();
        let mean = mean.unwrap_or(f64::from(cap) * UNSEEN);
        (mean as u32).clamp(1, cap.max(1))
    }

    pub(super) fn learn(&mut self, class: &Name, output: u64) {
        let mean = self
            .outputs
            .get_or_insert_with(class.clone(), || output as f64);
        *mean += NEWEST * (output as f64 - *mean);
    }

    /// Queues a request, or refuses what can't finish on time.
    pub(super) fn push(
        &mut self,
        work: DispatchRequest,
        routers: u32,
        dice: u64,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Result<Slot, Refusal>>), Refusal> {
        let output = self.expected(&work.class, work.output);
        self.refresh(now);
        let send_by = if work.again {
            work.latest()
        } else {
            self.retries.record_request(now);
            self.admitted(&work, output, routers, dice, now)?
        };
        let (sender, receiver) = oneshot::channel();
        let id = self.next;
        self.next += 1;
        let entry = Entry {
            id,
            workspace: work.workspace.clone(),
            priority: work.priority,
            cost: work.tokens().saturating_add(output),
            queued_at: now,
            send_by,
        };
        let ticket = self.queue.push(entry).map_err(|full| {
            let refusal = Refusal::new(Code::Overloaded).detail(full);
            refusal.retry_after(EXPIRED_AFTER)
        })?;
        let waiter = Waiter {
            work,
            output,
            sender,
        };
        self.waiters.insert(id, waiter);
        Ok((ticket, receiver))
    }

    fn admitted(
        &self,
        work: &DispatchRequest,
        output: u32,
        routers: u32,
        dice: u64,
        now: Instant,
    ) -> Result<Instant, Refusal> {
        let fleet = self.fleet(routers);
        let job = work.job(output);
        let near = self.holders.lookup(work.chain.hashes());
        let matched = |at: usize| held(&self.nodes[at], work);
        let sight = route::estimate(&fleet, &job, matched, &near, dice, now);
        let cost = work.tokens().saturating_add(output);
        let outlook = Conditions {
            ahead: self
                .queue
                .backlog_ahead(work.priority, &work.workspace, cost, now),
            drain_rate: self.drain.rate(work.priority),
            best: sight.best,
            has_room: sight.has_room,
            elapsed: now.saturating_duration_since(work.arrived),
        };
        let targets = Targets {
            first: work.first,
            finish: work.finish,
        };
        match admit::admit(targets, &outlook, dice, now) {
            Verdict::Accept { send_by, .. } => Ok(send_by),
            Verdict::Refuse {
                code,
                retry_after,
                reason,
            } => {
                let code = match code {
                    admit::Code::NoBackend => Code::NoBackend,
                    admit::Code::TooLong => Code::TooLong,
                    admit::Code::Overloaded => Code::Overloaded,
                };
                let mut refusal = Refusal::new(code).detail(reason);
                refusal.retry_after = retry_after;
                Err(refusal)
            }
        }
    }

    fn fleet(&self, routers: u32) -> Fleet<'_> {
        Fleet {
            servers: &self.servers,
            routers,
            policy: self.policy,
            placed: self.turn,
        }
    }

    /// Sends queued requests off while servers have room for them.
    pub(super) fn pump(&mut self, routers: u32, mut dice: impl FnMut() -> u64, now: Instant) {
        self.refresh(now);
        loop {
            let mut choice = None;
            let mut full = false;
            let fleet = Fleet {
                servers: &self.servers,
                routers,
                policy: self.policy,
                placed: self.turn,
            };
            let waiters = &self.waiters;
            let (nodes, holders) = (&self.nodes, &self.holders);
            let popped = self.queue.pop(now, |entry| {
                let Some(waiter) = waiters.get(&entry.id) else {
                    return true;
                };
                if full {
                    return false;
                }
                let job = waiter.work.job(waiter.output);
                let near = holders.lookup(waiter.work.chain.hashes());
                let matched = |at: usize| held(&nodes[at], &waiter.work);
                let mut outcome = route::choose(&fleet, &job, matched, &near, dice(), now);
                if outcome == Decision::NoServer(Reason::AllTried) {
                    // Where no other server is left, a tried one serves again.
                    let job = Job { tried: &[], ..job };
                    outcome = route::choose(&fleet, &job, matched, &near, dice(), now);
                }
                match outcome {
                    Decision::Send(chosen) => {
                        choice = Some(chosen);
                        true
                    }
                    Decision::Wait(_) => {
                        full = true;
                        false
                    }
                    Decision::NoServer(_) => false,
                }
            });
            let Some(popped) = popped else {
                break;
            };
            let waiter = self.waiters.remove(&popped.entry.id);
            if let (Some(waiter), Some(choice)) = (waiter, choice) {
                self.send(waiter, &popped, &choice, now);
            }
        }
        self.expire(now);
        self.drain.set_waiting(!self.queue.is_empty(), now);
    }

    fn send(&mut self, waiter: Waiter, popped: &Popped, choice: &route::Choice, now: Instant) {
        let entry = &popped.entry;
        self.turn += 1;
        self.drain.record_sent(entry.priority, entry.cost, now);
        let node = &mut self.nodes[choice.server];
        node.cache.record_sent(waiter.work.chain.hashes());
        self.holders
            .record_sent(waiter.work.chain.hashes(), choice.server);
        let server = &mut self.servers[choice.server];
        let flight = InFlight {
            priority: popped.priority,
            sent: now,
            prefill: waiter.work.tokens().saturating_sub(choice.matched),
            remaining: waiter.output,
            slot_free: server.in_flight() < server.slots(),
            last_token: None,
        };
        server.record_dispatch(entry.id, flight);
        let slot = Slot {
            name: server.name.clone(),
            address: node.address,
            flight: entry.id,
            priority: popped.priority,
            reason: format!(
                "{}, first in {} ms, whole in {} ms",
                choice.reason,
                choice.forecast.first.as_millis(),
                choice.forecast.finish.as_millis()
            ),
        };
        if waiter.sender.send(Ok(slot)).is_err() {
            // The request is gone; nothing was sent.
            self.servers[choice.server].record_end(entry.id, Completion::Other, now);
        }
    }

    fn expire(&mut self, now: Instant) {
        for entry in self.queue.expire(now) {
            if let Some(waiter) = self.waiters.remove(&entry.id) {
                let refusal = Refusal::new(Code::Overloaded)
                    .detail("it waited in the queue in vain")
                    .retry_after(EXPIRED_AFTER);
                let _ = waiter.sender.send(Err(refusal));
            }
        }
    }

    /// Takes a request out of the queue whose task is gone.
    pub(super) fn forget(&mut self, ticket: Ticket) {
        if let Some(entry) = self.queue.remove(ticket) {
            self.waiters.remove(&entry.id);
        }
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }
}

impl Node {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            leaving: LeavingStatus::default(),
            cache: CacheView::new(CACHED),
        }
    }
}

/// Prompt tokens of `work` that a server likely holds.
fn held(node: &Node, work: &DispatchRequest) -> u32 {
    let blocks = node.cache.matched_blocks(work.chain.hashes());
    work.chain.tokens_in(blocks, work.tokens())
}

fn log_change(server: &str, change: &Change) {
    let event = match change {
        Change::Ejected { reason, .. } => log::warn("ejected").reason(reason),
        Change::NotEjected { reason } => log::warn("not ejected").reason(reason),
        Change::Restored => log::info("restored"),
    };
    event.with("server", server).write();
}
