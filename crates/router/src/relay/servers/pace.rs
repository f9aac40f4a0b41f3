//! The work that requests leave at servers, and the samples of the servers' paces that
//! come from their answers.

use std::time::{Duration, Instant};

use poplar_core::completion::Outlook;
use poplar_core::cost::{Work, output_left, prefill_ms, step_ms};
use poplar_core::deployment::Server;
use poplar_core::pace::Common;

use super::peers::PeerWork;
use super::{InFlight, ServerState, State};
use crate::sync::lock;

/// Least number of events that are timed together, since those of one step of an engine may arrive in
/// one packet.
const GROUP: u32 = 8;
/// Weight of a time to the first event: the request may have waited in the server's
/// queue or on the network.
const FIRST_WEIGHT: f64 = 0.3;
/// Least time to the first event that tells of the pace; the path takes part of a
/// shorter one.
const MIN_FIRST_MS: f64 = 50.0;
/// Weight of the time of a call, which differs from call to call.
const CALL_WEIGHT: f64 = 0.5;
/// Weight of a request in the mean cost of a service.
const MEAN_WEIGHT: f64 = 0.05;
/// Part of its cost that is left of a request under way, on average.
const PART_LEFT: f64 = 0.5;
/// Time in which the requests that a server reports lose half of their weight.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// What a router has learned of all servers of a service.
#[derive(Debug, Default)]
pub(super) struct ServicePace {
    common: Common,
    /// Mean share of a server that a request takes, in milliseconds.
    mean_ms: f64,
}

impl ServicePace {
    /// What is known of the work at a server and of its pace.
    pub(super) fn outlook(
        &self,
        known: Option<&ServerState>,
        peers: &PeerWork,
        slots: u32,
        now: Instant,
    ) -> Outlook {
        let mean = PART_LEFT * self.mean_ms;
        let mut left_ms = peers.left_ms as f64
            + prefill_ms(peers.unknown_tokens)
            + f64::from(peers.unknown) * mean;
        let Some(known) = known else {
            let pace = Default::default();
            return Outlook {
                left_ms,
                slots,
                pace,
            };
        };
        left_ms += known.left_us as f64 / 1e3;
        if let (Some(load), Some(at)) = (known.load, known.reported) {
            let requests = known.requests.saturating_add(peers.requests);
            let reported = load.running.saturating_add(load.waiting);
            let others = f64::from(reported.saturating_sub(requests));
            let age = now.saturating_duration_since(at).as_secs_f64();
            let weight = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
            left_ms += others * mean * weight;
        }
        Outlook {
            left_ms,
            slots,
            pace: known.pace,
        }
    }

    /// Counts a request that takes this share of a server.
    pub(super) fn record_request(&mut self, share_ms: f64) {
        if self.mean_ms == 0.0 {
            self.mean_ms = share_ms;
        }
        self.mean_ms += MEAN_WEIGHT * (share_ms - self.mean_ms);
    }
}

impl ServerState {
    /// Work left of this router's requests, in milliseconds; 0, which is unknown to
    /// others, if the server is not chosen by it: datagrams are short in large fleets.
    pub(super) fn stated_left_ms(&self) -> u64 {
        if self.pace.is_stated() {
            self.left_us.div_ceil(1_000)
        } else {
            0
        }
    }
}

/// How long a part of a request took.
#[derive(Debug, Clone, Copy)]
struct Sample {
    took: Duration,
    /// What was expected, in milliseconds.
    expected: f64,
    /// How much it tells of the server.
    weight: f64,
}

/// How a request gets on at its server.
#[derive(Debug, Default)]
pub struct Progress {
    /// Its work there when it was chosen.
    pub work: Work,
    /// Work that is left of it, in microseconds of a server at its usual pace.
    pub(super) left_us: u64,
    /// Predicted time to its completion in milliseconds, if the server was chosen by it.
    pub completion_ms: Option<f64>,
    /// Prompt tokens ahead of it, if it could begin at once.
    pub(super) ahead: Option<u64>,
    /// Learned pace of the server.
    pub pace: f64,
    /// When it was chosen.
    pub chosen: Option<Instant>,
    sent: Option<Instant>,
    output: u64,
    /// When the group of events that is being timed began, and how many came since.
    group: Option<(Instant, u32)>,
}

impl Progress {
    /// A request that was chosen for a server at `now`.
    pub(super) fn new(work: Work, left_us: u64, completion_ms: Option<f64>, now: Instant) -> Self {
        Self {
            work,
            left_us,
            completion_ms,
            pace: 1.0,
            chosen: Some(now),
            ..Self::default()
        }
    }

    /// Work left of the output, in microseconds.
    fn output_left_us(&self, slots: u32) -> u64 {
        let left = Work {
            output_tokens: output_left(self.work.output_tokens, self.output),
            ..Work::default()
        };
        micros(left.share_ms(slots))
    }

    /// What an event that came `now` tells of the server, at which one takes
    /// `event_ms`: the first one for itself, later ones in groups.
    fn sample(&mut self, event_ms: f64, waited: bool, now: Instant) -> Option<Sample> {
        let Some((began, events)) = self.group else {
            self.group = Some((now, 0));
            let tokens = self.ahead? + self.work.prompt_tokens;
            let expected = prefill_ms(tokens) + event_ms;
            return (expected >= MIN_FIRST_MS).then_some(Sample {
                took: now.saturating_duration_since(self.sent?),
                expected,
                weight: FIRST_WEIGHT,
            });
        };
        if !waited || events + 1 < GROUP {
            self.group = Some((began, events + 1));
            return None;
        }
        self.group = Some((now, 0));
        Some(Sample {
            took: now.saturating_duration_since(began),
            expected: f64::from(events + 1) * event_ms,
            weight: 1.0,
        })
    }
}

/// Microseconds in a number of milliseconds.
pub(super) fn micros(ms: f64) -> u64 {
    (ms * 1e3) as u64
}

impl InFlight {
    /// Records that the request is sent to the server.
    pub fn record_sent(&mut self, now: Instant) {
        self.progress.sent = Some(now);
    }

    /// Records that an event with `stride` output tokens came. `waited` tells whether it
    /// was not there yet: times from and to others are those of the client.
    pub fn record_event(&mut self, stride: u64, waited: bool, now: Instant) {
        if self.prompt_id.is_some() || self.prefill_tokens > 0 {
            self.record_first_token();
        }
        let slots = self.server.slots;
        let progress = &mut self.progress;
        progress.output += stride;
        let left_us = progress.output_left_us(slots);
        let servers = self.servers.clone();
        let mut state = lock(&servers.state);
        let Some(known) = state.states.get_mut(&*self.server.id) else {
            return;
        };
        known.left_us = known.left_us.saturating_sub(progress.left_us) + left_us;
        progress.left_us = left_us;
        let running = known.load.map_or(0, |l| l.running).max(known.requests);
        let event_ms = stride as f64 * step_ms(running, slots);
        if let Some(sample) = progress.sample(event_ms, waited, now) {
            state.record_pace(&self.server, sample, now);
        }
    }

    /// Records that the server answered a call completely.
    pub fn record_call(&mut self, now: Instant) -> Option<Duration> {
        let took = now.saturating_duration_since(self.progress.sent?);
        let sample = Sample {
            took,
            expected: self.progress.work.call_ms,
            weight: CALL_WEIGHT,
        };
        let mut state = lock(&self.servers.state);
        state.record_pace(&self.server, sample, now);
        Some(took)
    }
}

impl State {
    fn record_pace(&mut self, server: &Server, sample: Sample, now: Instant) {
        if !self.is_current(server) {
            return;
        }
        let Some(known) = self.states.get_mut(&*server.id) else {
            return;
        };
        let service = server.service.clone();
        let service = self.paces.get_or_insert_with(service, ServicePace::default);
        let Sample {
            took,
            expected,
            weight,
        } = sample;
        let common = &mut service.common;
        known.pace.record(common, took, expected, weight, now);
    }
}
