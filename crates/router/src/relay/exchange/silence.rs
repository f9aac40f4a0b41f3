//! Requests whose server sends nothing for a while.
//!
//! A sound server may fall silent and go on, and nothing tells it from one that
//! hangs. A request leaves a silent server only for another one that it may be sent
//! to: a silence alone does not end what a server has accepted. Otherwise it stays
//! until its deadline, or until the server is found dead.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::retry::Failure;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::{CLIENT_LEFT, EXTRA_SENDS, Exchange};
use crate::relay::servers::Listing;

/// Part of the time left that an attempt gets if another may follow.
const ATTEMPT_FRACTION: f64 = 0.5;
/// Least time that an attempt gets, as a multiple of the route's target
/// latency.
const MIN_ATTEMPT_TARGETS: f64 = 1.5;
/// How often a silent server is checked again, and another one looked for.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(1200);

impl Exchange {
    /// How long an attempt may take until its first response data.
    fn attempt_timeout(&self, now: Instant) -> Duration {
        let left = self.time_left(now);
        if !self.may_repeat() {
            return left;
        }
        let target = self.request.route.target_latency;
        let least = target.mul_f64(MIN_ATTEMPT_TARGETS);
        left.mul_f64(ATTEMPT_FRACTION).max(least).min(left)
    }

    /// Whether the request may be sent again while an attempt runs.
    fn may_repeat(&self) -> bool {
        let attempts = self.request.route.max_attempts;
        let is_repeatable = self.request.route.kind.is_repeatable() && !self.request.on_trial;
        is_repeatable && self.runs + 1 < attempts && self.sends < attempts + EXTRA_SENDS
    }

    /// Waits for what a server sends next, beyond the time of the attempt if the
    /// request can't be sent to another server.
    ///
    /// # Errors
    /// [`Failure`] of `next`, or [`Failure::Timeout`] if a retry is reserved or the
    /// deadline is reached, or [`Failure::Lost`] if the server has ended.
    pub async fn outlast<T>(
        &mut self,
        server: &Server,
        next: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let mut next = pin!(next);
        let wait = self.attempt_timeout(Instant::now());
        if let Ok(result) = timeout(wait, &mut next).await {
            return result;
        }
        let mut dead = pin!(self.found_dead(server));
        loop {
            let now = Instant::now();
            if self.time_left(now).is_zero() || self.reserve_retry(server, now) {
                return Err(Failure::Timeout);
            }
            tokio::select! {
                result = &mut next => return result,
                () = &mut dead => return Err(Failure::Lost),
                () = sleep(self.time_left(now).min(CHECK_INTERVAL)) => {}
            }
        }
    }

    /// Reserves a retry at another server for a request whose server is silent;
    /// false if there is none.
    pub fn reserve_retry(&mut self, silent: &Server, now: Instant) -> bool {
        let features = &self.request.features;
        let is_refused = || self.relay.crashes.refusal_reason(features, now).is_some();
        if !self.may_repeat() || now >= self.request.deadline || is_refused() {
            return false;
        }
        self.tried.push(silent.id.clone());
        let chosen = self.choose(now);
        self.tried.pop();
        let other = chosen.ok().filter(|other| other.server.id != silent.id);
        let Some(other) = other else {
            return false;
        };
        if !self.take_retry(now) {
            return false;
        }
        self.reserved = Some(other);
        true
    }

    /// Returns once a silent server is found dead. However many requests wait for it,
    /// it is verified once at a time.
    pub fn found_dead(&self, server: &Server) -> impl Future<Output = ()> + use<> {
        let (relay, server) = (self.relay.clone(), server.clone());
        async move {
            loop {
                let listing = relay.servers.listing(&server);
                let is_replaced = matches!(listing, Listing::Restarted | Listing::Replaced);
                if is_replaced || relay.crashes.is_dead(&server, Instant::now()) {
                    log::info("silent server found dead")
                        .with("server", &server.id)
                        .with("listing", format_args!("{listing:?}"))
                        .write();
                    return;
                }
                relay.crashes.verify(&server, listing == Listing::Listed);
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Begins to move a stream from a silent server to the one that is reserved. The
    /// silent one counts as one that ran the request. What is returned is notified when
    /// the other one has it.
    pub fn begin_move(&mut self, silent: &Server) -> Arc<Notify> {
        self.runs += 1;
        self.sent = Arc::default();
        log::info("stream moves from a silent server")
            .request(&self.request.head.attempt_id)
            .with("server", &silent.id)
            .with("event", self.last_event.unwrap_or_default())
            .with("runs", self.runs)
            .write();
        self.sent.clone()
    }

    /// Records that a stream moved away from a silent server.
    pub fn record_moved(&mut self, silent: &Server, now: Instant) {
        self.tried.push(silent.id.clone());
        self.suspect(silent, Failure::Timeout, now);
    }

    /// Records that a stream stays at the server that was silent. `was_sent` tells
    /// whether another one may have run the request, too.
    pub fn record_stayed(&mut self, server: &Server, was_sent: bool, now: Instant) {
        self.runs -= u32::from(!was_sent);
        self.outcome = CLIENT_LEFT;
        self.retry_taken = None;
        self.awaited = Some((server.clone(), now));
        log::info("stream stays at its server")
            .request(&self.request.head.attempt_id)
            .with("server", &server.id)
            .with("runs", self.runs)
            .write();
    }
}
