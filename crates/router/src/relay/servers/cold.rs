//! Cold servers, see [`poplar_core::cold`].

use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::cold::{ColdLimit, ColdServers, Excess, Report};
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_core::server_limit::{Allowance, Limits};
use poplar_core::sorted::SortedVec;

use super::{InFlight, Servers, State};
use crate::sync::lock;

/// Cold servers, and what they take.
#[derive(Debug)]
pub(super) struct Cold {
    servers: ColdServers,
    /// Limits and rates of the services whose servers may be cold.
    services: SortedVec<Name, (ColdLimit, f64)>,
    excess: Excess,
}

impl Cold {
    pub(super) fn new(excess: Excess) -> Self {
        Self {
            servers: ColdServers::default(),
            services: SortedVec::new(),
            excess,
        }
    }

    /// What a server gets now.
    pub(super) fn allowance(
        &self,
        limits: &mut Limits,
        server: &Server,
        now: Instant,
    ) -> Allowance {
        match self.rate(server, now) {
            None => Allowance::Unlimited,
            Some(rate) => {
                let process = server.started_ms;
                limits.cold_allowance(&server.id, process, rate, &server.service, now)
            }
        }
    }

    /// The rate of a server that is or was cold.
    pub(super) fn rate(&self, server: &Server, now: Instant) -> Option<f64> {
        let (_, rate) = self.services.get(&*server.service)?;
        let process = server.started_ms;
        self.servers.rate(&server.id, process, *rate, now)
    }

    /// Records what the registration of a server says. A process that has just been
    /// listed and does not say whether it is cold counts as cold, if `is_started`.
    pub(super) fn record_entry(&mut self, server: &Server, is_started: bool, now: Instant) {
        let Some((limit, _)) = self.services.get(&*server.service) else {
            return;
        };
        let assumed = is_started.then_some(limit.start);
        let Some(left) = server.cold.left.or(assumed) else {
            return;
        };
        let report = report(server, left);
        if self.servers.record_row(&report, server.cold.row, now) {
            log_cold(&report, "list");
        }
    }

    /// Forgets servers that are not listed.
    pub(super) fn expire(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers.expire(is_listed);
    }
}

fn report(server: &Server, left: Duration) -> Report {
    Report {
        server: server.id.clone(),
        process: server.started_ms,
        left,
    }
}

fn log_cold(report: &Report, source: &'static str) {
    log::info("server cold")
        .with("server", &report.server)
        .with("started_ms", report.process)
        .with("for_ms", report.left.as_millis())
        .with("source", source)
        .write();
    metrics::counter!("poplar_servers_cold_total", "source" => source).increment(1);
}

impl Servers {
    /// Sets how far the requests of a second may exceed the rate of a cold server.
    pub fn set_cold_excess(&self, excess: Excess) {
        lock(&self.state).cold.excess = excess;
    }

    /// Sets the services whose servers may be cold.
    pub fn set_cold_limits(&self, services: impl Iterator<Item = (Name, ColdLimit)>, now: Instant) {
        let mut state = lock(&self.state);
        let excess = state.cold.excess;
        let with_rate = |(name, limit): (Name, ColdLimit)| (name, (limit, limit.rate(excess)));
        state.cold.services = services.map(with_rate).collect();
        let State { list, cold, .. } = &mut *state;
        // The list may have been read before.
        list.all().for_each(|s| cold.record_entry(s, false, now));
    }

    /// Records that a server's process stated in an answer how long it stays cold.
    pub fn record_cold(&self, server: &Server, left: Duration, now: Instant) {
        let mut state = lock(&self.state);
        if !state.cold.services.contains(&*server.service) {
            return;
        }
        let report = report(server, left);
        if state.cold.servers.record(&report, now) {
            drop(state);
            log_cold(&report, "answer");
        }
    }

    /// Cold servers that the next message to the other routers names.
    pub fn take_cold_reports(&self, now: Instant) -> Vec<Report> {
        lock(&self.state).cold.servers.take_reports(now)
    }

    /// Adds cold servers that another router was told of.
    pub fn merge_cold_reports(&self, reports: Vec<Report>, now: Instant) {
        for report in reports {
            let mut state = lock(&self.state);
            let is_limited = {
                let mut all = state.list.all();
                let listed = all.find(|s| s.id == report.server);
                listed.is_some_and(|s| state.cold.services.contains(&*s.service))
            };
            if is_limited && state.cold.servers.merge(&report, now) {
                drop(state);
                log_cold(&report, "peer");
            }
        }
    }

    /// Number of cold servers, for the metrics.
    pub fn cold_count(&self, now: Instant) -> usize {
        lock(&self.state).cold.servers.count(now)
    }
}

impl InFlight {
    /// Records how long the server stays cold, if it stated that.
    pub fn record_cold(&self, left: Option<Duration>, now: Instant) {
        if let Some(left) = left {
            self.servers.record_cold(&self.server, left, now);
        }
    }
}
