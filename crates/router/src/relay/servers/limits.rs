//! Limits of requests a second that servers name, see
//! [`poplar_core::server_limit`].

use std::net::IpAddr;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::availability::Reason;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_core::server_limit::{Allowance, Limits, Report, Yield};
use poplar_platform::headers::LimitNotice;

use super::{InFlight, Servers, State, Unavailable};
use crate::sync::lock;

/// When clients should retry if all servers are cold: about the time between two permits
/// of one of them.
const COLD_RETRY_AFTER: Duration = Duration::from_millis(250);
/// When clients should retry if all servers are in evacuated data centres: an
/// evacuation lasts until the operator ends it.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a message to another router says of limits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LimitNews {
    /// Limits of servers.
    pub reports: Vec<Report>,
    /// Permits that the sender does not use.
    pub yields: Vec<Yield>,
}

/// What a server's limit allows now.
pub(super) fn allowance(limits: &mut Limits, server: &Server, now: Instant) -> Allowance {
    limits.allowance(&server.id, server.started_ms, &server.service, now)
}

/// Why none of these servers is open, each with what speaks against it.
pub(super) fn unavailable(
    limits: &Limits,
    closed: &[(&Server, Reason, Option<Duration>)],
) -> Unavailable {
    let limited = closed.iter().filter(|(_, r, _)| *r == Reason::Limited);
    let limited: Vec<(&str, u64)> = limited.map(|(s, ..)| (&*s.id, s.started_ms)).collect();
    let permit = (!limited.is_empty())
        .then(|| limits.retry_after(limited.iter().copied(), rand::random()))
        .map(|wait| (wait, Reason::Limited));
    let ends = closed
        .iter()
        .filter_map(|(_, r, wait)| Some(((*wait)?, *r)));
    let is_cold = closed.iter().any(|(_, r, _)| *r == Reason::Cold);
    // Drawn so that the clients don't return at once.
    let cold = is_cold.then(|| {
        let wait = COLD_RETRY_AFTER.mul_f64(0.5 + rand::random::<f64>());
        (wait, Reason::Cold)
    });
    if let Some((wait, reason)) = ends.chain(permit).chain(cold).min() {
        let wait = Some(wait);
        return Unavailable::Closed { reason, wait };
    }
    // Draining servers are as good as gone.
    if closed.iter().any(|(_, r, _)| *r == Reason::Leaving) {
        let reason = Reason::Leaving;
        return Unavailable::Closed { reason, wait: None };
    }
    if closed.iter().any(|(_, r, _)| *r == Reason::Evacuated) {
        return Unavailable::Closed {
            reason: Reason::Evacuated,
            wait: Some(EVACUATED_RETRY_AFTER),
        };
    }
    Unavailable::NoServer
}

impl Servers {
    /// Sets the addresses of the other live routers.
    pub fn set_routers(&self, routers: Vec<IpAddr>) {
        lock(&self.state).limits.set_routers(routers);
    }

    /// Records that the store's clock showed `clock_ms` at `now` or shortly
    /// before.
    pub fn set_clock(&self, clock_ms: u64, now: Instant) {
        lock(&self.state).limits.set_clock(clock_ms, now);
    }

    /// The store's clock in milliseconds; `None` if it is not known yet.
    pub fn store_clock(&self, now: Instant) -> Option<u64> {
        lock(&self.state).limits.clock_ms(now)
    }

    /// What the next message to the other routers says of limits.
    pub fn take_limit_news(&self, now: Instant) -> LimitNews {
        let mut state = lock(&self.state);
        let State {
            list, limits, cold, ..
        } = &mut *state;
        let is_limited =
            |s: &&Server| limits.rate(&s.id, s.started_ms).is_some() || cold.rate(s, now).is_some();
        let mut services: Vec<Name> = list
            .all()
            .filter(is_limited)
            .map(|s| s.service.clone())
            .collect();
        services.sort();
        services.dedup();
        LimitNews {
            reports: limits.take_reports(),
            yields: limits.take_yields(services.into_iter(), now),
        }
    }

    /// Adds what another router said of limits.
    pub fn merge_limit_news(&self, from: IpAddr, news: LimitNews) {
        self.merge_limits(news.reports, "peer");
        let mut state = lock(&self.state);
        for offer in news.yields {
            state.limits.merge_yield(from, offer);
        }
    }

    /// Adds limits that another router was told, which came by way of `source`.
    pub fn merge_limits(&self, reports: Vec<Report>, source: &'static str) {
        for report in reports {
            let changed = lock(&self.state).limits.merge(report.clone());
            if changed {
                log_change(&report, source);
            }
        }
    }

    /// Limits that this router was told and that are not stored yet.
    pub fn unstored_limits(&self) -> Vec<Report> {
        lock(&self.state).limits.unstored()
    }

    /// Records that limits have been stored.
    pub fn record_stored_limits(&self, reports: &[Report]) {
        lock(&self.state).limits.record_stored(reports);
    }

    /// Forgets limits of servers that are no longer listed.
    pub fn expire_limits(&self, now: Instant) {
        let mut state = lock(&self.state);
        let State { list, limits, .. } = &mut *state;
        limits.expire(|id| list.all().any(|s| *s.id == *id), now);
    }

    /// Number of servers with a limit, for the metrics.
    pub fn limited_count(&self) -> usize {
        lock(&self.state).limits.count()
    }
}

impl InFlight {
    /// Records what the server said of its limit.
    pub fn record_limit(&self, notice: LimitNotice, now: Instant) {
        let rate = match notice {
            LimitNotice::Unlimited => None,
            LimitNotice::PerSecond(rate) => Some(rate),
            LimitNotice::Invalid => return self.log_invalid("server-limit"),
        };
        let report = Report {
            server: self.server.id.clone(),
            process: self.server.started_ms,
            rate,
            at: now,
        };
        let changed = lock(&self.servers.state).limits.observe(report.clone());
        if changed {
            log_change(&report, "answer");
        }
    }
}

fn log_change(report: &Report, source: &'static str) {
    let limit = report.rate.map_or("none".to_owned(), |r| r.to_string());
    log::info("server limit changed")
        .with("server", &report.server)
        .with("started_ms", report.process)
        .with("limit", limit)
        .with("source", source)
        .write();
    metrics::counter!("poplar_server_limit_changes_total", "source" => source).increment(1);
}
