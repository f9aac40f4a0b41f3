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

/// Most requests queued for one pool.
const MAX_QUEUED: usize = 4096;
/// Round trip assumed within a data centre, and to another one.
const LOCAL_RTT: Duration = Duration::from_micros(500);
const REMOTE_RTT: Duration = Duration::from_millis(3);
/// EWMA smoothing factor of a class's output length.
const OUTPUT_SMOOTHING: f64 = 0.05;
/// Expected output of a class without answers so far, as a share of its cap.
const DEFAULT_OUTPUT_SHARE: f64 = 0.25;
/// Most prefixes remembered for the whole pool.
const MAX_POOL_PREFIXES: usize = 1 << 14;
/// Most prefixes remembered for one server.
const MAX_SERVER_PREFIXES: usize = 1 << 14;
/// Retry-After for a request that the queue rejected or that expired in it.
const QUEUE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The server that a request was assigned to.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub(super) name: Name,
    pub(super) address: SocketAddr,
    pub(super) request_id: u64,
    pub(super) reason: String,
    pub(super) priority: u8,
}

/// A queued request.
#[derive(Debug)]
struct Waiter {
    request: DispatchRequest,
    output: u32,
    sender: oneshot::Sender<Result<Assignment, Refusal>>,
}

/// What the pool knows about a server beyond what routing uses.
#[derive(Debug)]
struct Details {
    address: SocketAddr,
    leaving: LeavingStatus,
    cache: CacheView,
}

/// The servers that offer one model or service, and the queue for them.
#[derive(Debug)]
pub(super) struct Pool {
    servers: Vec<Server>,
    /// In the order of `servers`.
    details: Vec<Details>,
    health: HealthTracker,
    recent_servers: RecentServers,
    queue: Queue,
    waiters: SortedVec<u64, Waiter>,
    drain_rate: DrainRate,
    retry_budget: retry::RetryBudget,
    mean_outputs: SortedVec<Name, f64>,
    placed: u64,
    next_id: u64,
    policy: Policy,
    /// Random per router, so that routers don't all round their limits alike.
    salt: u64,
}

impl Pool {
    pub(super) fn new(policy: Policy, salt: u64, now: Instant) -> Self {
        Self {
            servers: Vec::new(),
            details: Vec::new(),
            health: HealthTracker::new(),
            recent_servers: RecentServers::new(MAX_POOL_PREFIXES),
            queue: Queue::new(MAX_QUEUED),
            waiters: SortedVec::new(),
            drain_rate: DrainRate::default(),
            retry_budget: retry::RetryBudget::new(now),
            mean_outputs: SortedVec::new(),
            placed: 0,
            next_id: 0,
            policy,
            salt,
        }
    }

    /// Applies a new host list: adds new servers, updates changed ones, and removes
    /// those no longer listed once they have no requests in flight.
    pub(super) fn update_hosts(&mut self, hosts: &[&Host], centre: &str) {
        let previous_count = self.servers.len();
        for host in hosts {
            let known = self.servers.iter().position(|s| s.name == host.name);
            let at = known.unwrap_or_else(|| self.add(host, centre));
            if self.details[at].address != host.address {
                // The name moved to another host, so nothing known applies.
                self.details[at] = Details::new(host.address);
                self.servers[at].fenced = false;
            }
            self.details[at].leaving.set_listed(host.leaving);
        }
        let is_unlisted = |s: &Server| hosts.iter().all(|h| h.name != s.name);
        let mut at = 0;
        while at < self.servers.len() {
            if !is_unlisted(&self.servers[at]) {
                at += 1;
            } else if self.servers[at].in_flight() == 0 {
                self.servers.remove(at);
                self.details.remove(at);
            } else {
                self.details[at].leaving.set_listed(true);
                at += 1;
            }
        }
        if self.servers.len() != previous_count {
            self.recent_servers.reset();
            let names = self.servers.iter().map(|s| s.name.clone());
            self.health.set_servers(names);
        }
    }

    fn add(&mut self, host: &Host, centre: &str) -> usize {
        let rtt = if *host.centre == *centre {
            LOCAL_RTT
        } else {
            REMOTE_RTT
        };
        let mut server = Server::new(host.name.clone(), host.centre.clone(), rtt);
        server.salt = xxh3_64_with_seed(host.name.as_bytes(), self.salt);
        self.servers.push(server);
        self.details.push(Details::new(host.address));
        self.recent_servers.reset();
        self.health
            .set_servers(self.servers.iter().map(|s| s.name.clone()));
        self.servers.len() - 1
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|s| *s.name == *name)
    }

    /// Copies the present leaving and health states to what routing uses.
    fn refresh(&mut self, now: Instant) {
        for (server, details) in self.servers.iter_mut().zip(&self.details) {
            server.leaving = details.leaving.is_leaving();
            server.health = self.health.state(&server.name, now);
        }
    }

    /// Ejects servers that are far slower than the others.
    pub(super) fn eject_slow_servers(&mut self, now: Instant) {
        let used = self.servers.iter().filter(|s| s.in_flight() > 0);
        let steps: Vec<_> = used.map(|s| (s.name.clone(), s.step())).collect();
        for (name, change) in self.health.detect_slow(steps, now) {
            log_change(&name, &change);
        }
    }

    pub(super) fn server(&mut self, name: &str) -> Option<&mut Server> {
        let at = self.position(name)?;
        Some(&mut self.servers[at])
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = (&Server, SocketAddr, u64)> {
        let infos = self.details.iter().map(|d| (d.address, d.cache.cursor()));
        self.servers.iter().zip(infos).map(|(s, (a, c))| (s, a, c))
    }

    pub(super) fn record_load(&mut self, name: &str, report: LoadReport, leaving: bool) {
        if let Some(at) = self.position(name) {
            self.details[at]
                .leaving
                .record_report(leaving, report.taken);
            self.servers[at].record_report(report);
        }
    }

    /// Clears the cache view of a server whose process has ended.
    pub(super) fn mark_dead(&mut self, name: &str) {
        if let Some(at) = self.position(name) {
            self.details[at].cache.reset();
        }
    }

    /// Applies a server's cache events.
    pub(super) fn sync_cache(&mut self, name: &str, events: impl IntoIterator<Item = CacheEvent>) {
        if let Some(at) = self.position(name) {
            for event in events {
                self.details[at].cache.apply(event);
            }
        }
    }

    /// Updates load, health and leaving state after a request at a server ended.
    pub(super) fn record_end(&mut self, name: &str, id: u64, result: AttemptResult, now: Instant) {
        let Some(at) = self.position(name) else {
            return;
        };
        let end = match result {
            AttemptResult::Completed(output) => Completion::Answered(output as u32),
            AttemptResult::Failed(Failure::Refused(Refused::Full)) => Completion::RejectedFull,
            AttemptResult::Failed(_) | AttemptResult::Cancelled => Completion::Other,
        };
        self.servers[at].record_end(id, end, now);
        let change = match result {
            AttemptResult::Completed(_) => self.health.record_outcome(name, true, now),
            AttemptResult::Failed(failure) if failure.blames_server() => {
                self.health.record_outcome(name, false, now)
            }
            AttemptResult::Failed(Failure::Refused(Refused::Leaving)) => {
                self.details[at].leaving.record_report(true, now);
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

    /// Decides whether a failed request is sent again.
    pub(super) fn decide_retry(
        &mut self,
        failure: Failure,
        attempt: &Attempt,
        now: Instant,
    ) -> RetryDecision {
        retry::decide(failure, attempt, &mut self.retry_budget, now)
    }

    /// Expected output tokens of an answer of this class.
    fn expected_output(&self, class: &Name, cap: u32) -> u32 {
        let mean = self.mean_outputs.get(class).copied();
        let mean = mean.unwrap_or(f64::from(cap) * DEFAULT_OUTPUT_SHARE);
        (mean as u32).clamp(1, cap.max(1))
    }

    pub(super) fn record_output(&mut self, class: &Name, output: u64) {
        let mean = self
            .mean_outputs
            .get_or_insert_with(class.clone(), || output as f64);
        *mean += OUTPUT_SMOOTHING * (output as f64 - *mean);
    }

    /// Queues a request, or refuses it if it can't finish on time.
    pub(super) fn push(
        &mut self,
        request: DispatchRequest,
        routers: u32,
        random: u64,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Result<Assignment, Refusal>>), Refusal> {
        let output = self.expected_output(&request.class, request.output_cap);
        self.refresh(now);
        let send_by = if request.is_resend {
            request.send_by()
        } else {
            self.retry_budget.record_request(now);
            self.admit(&request, output, routers, random, now)?
        };
        let (sender, receiver) = oneshot::channel();
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            id,
            workspace: request.workspace.clone(),
            priority: request.priority,
            cost: request.prompt_len().saturating_add(output),
            queued_at: now,
            send_by,
        };
        let ticket = self.queue.push(entry).map_err(|full| {
            let refusal = Refusal::new(Code::Overloaded).detail(full);
            refusal.retry_after(QUEUE_RETRY_AFTER)
        })?;
        let waiter = Waiter {
            request,
            output,
            sender,
        };
        self.waiters.insert(id, waiter);
        Ok((ticket, receiver))
    }

    fn admit(
        &self,
        request: &DispatchRequest,
        output: u32,
        routers: u32,
        random: u64,
        now: Instant,
    ) -> Result<Instant, Refusal> {
        let fleet = self.fleet(routers);
        let job = request.route_job(output);
        let candidates = self.recent_servers.lookup(request.block_hashes.hashes());
        let matched = |at: usize| cached_prompt(&self.details[at], request);
        let estimate = route::estimate(&fleet, &job, matched, &candidates, random, now);
        let cost = request.prompt_len().saturating_add(output);
        let conditions = Conditions {
            ahead: self
                .queue
                .backlog_ahead(request.priority, &request.workspace, cost, now),
            drain_rate: self.drain_rate.rate(request.priority),
            best: estimate.best,
            has_room: estimate.has_room,
            elapsed: now.saturating_duration_since(request.arrived),
        };
        let targets = Targets {
            first: request.first_target,
            finish: request.finish_target,
        };
        match admit::admit(targets, &conditions, random, now) {
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
            placed: self.placed,
        }
    }

    /// Assigns queued requests to servers with room, and refuses expired ones.
    pub(super) fn assign(&mut self, routers: u32, mut random: impl FnMut() -> u64, now: Instant) {
        self.refresh(now);
        loop {
            let mut choice = None;
            let mut at_limit = false;
            let fleet = Fleet {
                servers: &self.servers,
                routers,
                policy: self.policy,
                placed: self.placed,
            };
            let waiters = &self.waiters;
            let (details, recent_servers) = (&self.details, &self.recent_servers);
            let popped = self.queue.pop(now, |entry| {
                let Some(waiter) = waiters.get(&entry.id) else {
                    return true;
                };
                if at_limit {
                    return false;
                }
                let job = waiter.request.route_job(waiter.output);
                let candidates = recent_servers.lookup(waiter.request.block_hashes.hashes());
                let matched = |at: usize| cached_prompt(&details[at], &waiter.request);
                let mut decision = route::choose(&fleet, &job, matched, &candidates, random(), now);
                if decision == Decision::NoServer(Reason::AllTried) {
                    // If every server was tried, the request may go to one again.
                    let job = Job { tried: &[], ..job };
                    decision = route::choose(&fleet, &job, matched, &candidates, random(), now);
                }
                match decision {
                    Decision::Send(chosen) => {
                        choice = Some(chosen);
                        true
                    }
                    Decision::Wait(_) => {
                        at_limit = true;
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
        self.drain_rate.set_waiting(!self.queue.is_empty(), now);
    }

    fn send(&mut self, waiter: Waiter, popped: &Popped, choice: &route::Choice, now: Instant) {
        let entry = &popped.entry;
        self.placed += 1;
        self.drain_rate.record_sent(entry.priority, entry.cost, now);
        let details = &mut self.details[choice.server];
        details
            .cache
            .record_sent(waiter.request.block_hashes.hashes());
        self.recent_servers
            .record_sent(waiter.request.block_hashes.hashes(), choice.server);
        let server = &mut self.servers[choice.server];
        let in_flight = InFlight {
            priority: popped.priority,
            sent: now,
            prefill: waiter.request.prompt_len().saturating_sub(choice.matched),
            remaining: waiter.output,
            slot_free: server.in_flight() < server.slots(),
            last_token: None,
        };
        server.record_dispatch(entry.id, in_flight);
        let assignment = Assignment {
            name: server.name.clone(),
            address: details.address,
            request_id: entry.id,
            priority: popped.priority,
            reason: format!(
                "{}, first token in {} ms, complete in {} ms",
                choice.reason,
                choice.forecast.first.as_millis(),
                choice.forecast.finish.as_millis()
            ),
        };
        if waiter.sender.send(Ok(assignment)).is_err() {
            // The request's task has ended, so nothing is sent.
            self.servers[choice.server].record_end(entry.id, Completion::Other, now);
        }
    }

    fn expire(&mut self, now: Instant) {
        for entry in self.queue.expire(now) {
            if let Some(waiter) = self.waiters.remove(&entry.id) {
                let refusal = Refusal::new(Code::Overloaded)
                    .detail("it waited in the queue in vain")
                    .retry_after(QUEUE_RETRY_AFTER);
                let _ = waiter.sender.send(Err(refusal));
            }
        }
    }

    /// Removes a request whose task has ended from the queue.
    pub(super) fn remove_queued(&mut self, ticket: Ticket) {
        if let Some(entry) = self.queue.remove(ticket) {
            self.waiters.remove(&entry.id);
        }
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }
}

impl Details {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            leaving: LeavingStatus::default(),
            cache: CacheView::new(MAX_SERVER_PREFIXES),
        }
    }
}

/// Prompt tokens of `request` that a server likely has cached.
fn cached_prompt(details: &Details, request: &DispatchRequest) -> u32 {
    let blocks = details.cache.matched_blocks(request.block_hashes.hashes());
    request.block_hashes.tokens_in(blocks, request.prompt_len())
}

fn log_change(server: &str, change: &Change) {
    let event = match change {
        Change::Ejected { reason, .. } => log::warn("backend server ejected").reason(reason),
        Change::NotEjected { reason } => log::warn("backend server not ejected").reason(reason),
        Change::Restored => log::info("backend server restored"),
    };
    event.with("server", server).write();
}
