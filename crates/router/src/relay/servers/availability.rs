//! Whether servers get requests, and what they say in their answers of further ones,
//! see [`poplar_core::availability`].

use std::time::Instant;

use poplar_base::log;
use poplar_core::availability::{Availability, Heard, Notices, Reason, Signals};
use poplar_core::deployment::Server;
use poplar_core::evacuation::{Evacuations, Intake};
use poplar_core::id::Name;
use poplar_core::route::server::HealthState;
use poplar_core::server_limit::{Allowance, Limits};
use poplar_platform::headers::{LeavingNotice, PauseNotice};

use super::cold::Cold;
use super::{InFlight, Servers, State, Trackers, limits};
use crate::sync::lock;

/// The draw of no request in particular: whatever gets only a part of the requests is
/// left out.
pub(super) const NO_REQUEST: f64 = 1.0;

/// What a server gets at its place and in its state.
#[derive(Debug, Clone, Copy)]
pub(super) struct Intakes {
    centre: Intake,
    /// The request's draw for it.
    draw: f64,
    cold: Allowance,
}

impl Intakes {
    /// Those of a server for a request with this draw.
    pub(super) fn of(
        (evacuations, cold): (&Evacuations, &Cold),
        limits: &mut Limits,
        server: &Server,
        draw: f64,
        now: Instant,
    ) -> Self {
        Self {
            centre: evacuations.intake(&server.centre, now),
            draw,
            cold: cold.allowance(limits, server, now),
        }
    }
}

/// Whether a server gets requests now.
pub(super) fn availability(
    limits: &mut Limits,
    health: &Trackers,
    notices: &Notices,
    server: &Server,
    intakes: Intakes,
    now: Instant,
) -> Availability {
    let signals = Signals {
        ready: server.ready,
        intake: intakes.centre,
        draw: intakes.draw,
        cold: intakes.cold,
        limit: limits::allowance(limits, server, now),
        health: health_state(health, server, now),
    };
    notices.availability(&server.id, server.started_ms, signals, now)
}

pub(super) fn health_state(health: &Trackers, server: &Server, now: Instant) -> HealthState {
    let tracker = health.get(&*server.service);
    tracker.map_or(HealthState::Healthy, |t| t.state(&server.id, now))
}

impl Servers {
    /// The listed server with this id whose process started at that time.
    pub fn find(&self, id: &str, started_ms: u64) -> Option<Server> {
        let state = lock(&self.state);
        let mut all = state.list.all();
        all.find(|s| *s.id == *id && s.started_ms == started_ms)
            .cloned()
    }

    /// Whether a request may still be sent to a server that was chosen for it.
    pub fn is_open(&self, server: &Server, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let State {
            list,
            health,
            limits,
            notices,
            evacuations,
            cold,
            ..
        } = &mut *state;
        let mut listed = list.of_service(&server.service, now);
        let Some(listed) = listed.find(|s| s.id == server.id) else {
            return false;
        };
        let intakes = Intakes::of((evacuations, cold), limits, listed, NO_REQUEST, now);
        // Its permit was taken when it was chosen.
        !matches!(
            availability(limits, health, notices, listed, intakes, now),
            Availability::Closed {
                reason: Reason::Draining | Reason::Evacuated | Reason::Leaving | Reason::Paused,
                ..
            }
        )
    }

    /// Processes of servers that leave, as the next message to the other routers
    /// says.
    pub fn take_leaving_reports(&self) -> Vec<(Name, u64)> {
        lock(&self.state).notices.take_reports()
    }

    /// Adds processes of servers that leave, as another router was told.
    pub fn merge_leaving_reports(&self, reports: Vec<(Name, u64)>, now: Instant) {
        for (server, started_ms) in reports {
            let is_new = lock(&self.state).notices.merge(&server, started_ms, now);
            if is_new {
                log_leaving(&server, started_ms, "peer");
            }
        }
    }

    /// Forgets what servers said that have not been listed for long.
    pub fn expire_notices(&self, now: Instant) {
        let mut state = lock(&self.state);
        let State { list, notices, .. } = &mut *state;
        notices.expire(|id| list.all().any(|s| *s.id == *id), now);
    }

    /// Number of listed servers that get no requests, or only as a last resort, by
    /// what speaks against them.
    pub fn left_out(&self, now: Instant) -> Vec<(Reason, usize)> {
        let mut state = lock(&self.state);
        let State {
            list,
            health,
            limits,
            notices,
            evacuations,
            cold,
            ..
        } = &mut *state;
        let reasons = list.all().map(|s| {
            let intakes = Intakes::of((evacuations, cold), limits, s, NO_REQUEST, now);
            availability(limits, health, notices, s, intakes, now).reason()
        });
        let reasons: Vec<Reason> = reasons.flatten().collect();
        let count = |reason| reasons.iter().filter(|r| **r == reason).count();
        Reason::ALL.map(|reason| (reason, count(reason))).to_vec()
    }
}

impl InFlight {
    /// Records what an answer of the server said of further requests. `is_refusal`
    /// tells whether its status is 503.
    pub fn record_notices(
        &self,
        leaving: LeavingNotice,
        pause: PauseNotice,
        is_refusal: bool,
        now: Instant,
    ) {
        if leaving == LeavingNotice::Invalid {
            self.log_invalid("server-leaving");
        }
        let pause = match pause {
            PauseNotice::For(pause) if is_refusal => Some(pause),
            PauseNotice::Invalid if is_refusal => {
                self.log_invalid("retry-after");
                None
            }
            _ => None,
        };
        let heard = Heard {
            leaving: leaving == LeavingNotice::Leaving,
            pause,
        };
        let Server { id, started_ms, .. } = &self.server;
        let news = lock(&self.servers.state)
            .notices
            .observe(id, *started_ms, heard, now);
        if news.leaves {
            log_leaving(id, *started_ms, "answer");
        }
        if let Some(granted) = news.paused {
            log::info("server paused")
                .with("server", id)
                .with("started_ms", started_ms)
                .with("for_ms", granted.as_millis())
                .with("asked_ms", pause.unwrap_or(granted).as_millis())
                .write();
            metrics::counter!("poplar_server_pauses_total").increment(1);
        }
    }

    /// Logs that a header of the server's answers is invalid, once for each process.
    pub fn log_invalid(&self, header: &'static str) {
        if self.is_first_fault(header) {
            log::warn("server header invalid")
                .with("server", &self.server.id)
                .with("header", header)
                .write();
        }
    }

    /// Logs that the server does not state the start time of its process, once for
    /// each process.
    pub fn log_unstated_start(&self) {
        if self.is_first_fault("start time") {
            log::warn("server states no start time")
                .with("server", &self.server.id)
                .with("started_ms", self.server.started_ms)
                .write();
        }
    }

    /// Whether this is the first answer of the process in which `part` is invalid.
    fn is_first_fault(&self, part: &'static str) -> bool {
        let mut state = lock(&self.servers.state);
        let known = state.states.get_mut(&*self.server.id);
        let known = known.filter(|known| !known.invalid.contains(&part));
        known.is_some_and(|known| {
            known.invalid.push(part);
            true
        })
    }
}

fn log_leaving(server: &Name, started_ms: u64, source: &'static str) {
    log::info("server leaves")
        .with("server", server)
        .with("started_ms", started_ms)
        .with("source", source)
        .write();
    metrics::counter!("poplar_servers_leaving_total", "source" => source).increment(1);
}
