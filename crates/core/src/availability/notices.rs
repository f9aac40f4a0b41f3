//! What servers say of themselves in their answers.

use std::time::{Duration, Instant};

use super::{Availability, Reason, Signals};
use crate::evacuation::Intake;
use crate::id::Name;
use crate::route::server::HealthState;
use crate::server_limit::Allowance;
use crate::sorted::SortedVec;

/// Longest pause that a server can ask for. A longer one is taken for a fault of the
/// server, which would otherwise get no requests until it restarts.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Part of the drain time in which a leaving server is still a last resort. Requests
/// that are sent then have arrived before the drain time ends.
const LAST_RESORT_FRACTION: f64 = 0.5;
/// Messages that a notice of leaving goes into; some may be lost.
const SENDS: u32 = 3;
/// Most notices in one message, about 40 bytes each.
const MAX_NEWS: usize = 16;
/// Time after which the notices of a server that is not listed are forgotten, longer
/// than any outage after which a list may show it again.
const EXPIRY: Duration = Duration::from_secs(900);

/// What one answer of a server says of further requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    /// The server leaves.
    pub leaving: bool,
    /// It wants no requests from this router for this time.
    pub pause: Option<Duration>,
}

/// What changed with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct News {
    /// The server was not known to leave.
    pub leaves: bool,
    /// The server was not paused, or for less time; how long it is now.
    pub paused: Option<Duration>,
}

#[derive(Debug, Clone)]
struct Notice {
    /// Start time of the process, in Unix milliseconds.
    process: u64,
    /// When an answer to this router first said that it leaves.
    leaving: Option<Instant>,
    /// Whether it leaves as another router was told.
    reported: bool,
    paused_until: Option<Instant>,
    /// Messages to other routers that the notice still goes into.
    sends: u32,
    /// When it was last listed, or something was heard of it.
    seen: Instant,
}

/// What servers said in answers to this router, and what others reported.
#[derive(Debug)]
pub struct Notices {
    drain_time: Duration,
    entries: SortedVec<Name, Notice>,
}

impl Notices {
    /// No notices yet. Requests may reach a server for `drain_time` after it said
    /// that it leaves.
    pub fn new(drain_time: Duration) -> Self {
        Self {
            drain_time,
            entries: SortedVec::new(),
        }
    }

    /// The notice of a server, renewed if `process` is a later one. `None` for an
    /// earlier process, which has ended.
    fn entry(&mut self, server: &Name, process: u64, now: Instant) -> Option<&mut Notice> {
        let new = Notice {
            process,
            leaving: None,
            reported: false,
            paused_until: None,
            sends: 0,
            seen: now,
        };
        let entry = self
            .entries
            .get_or_insert_with(server.clone(), || new.clone());
        if entry.process < process {
            *entry = new;
        }
        entry.seen = now;
        (entry.process == process).then_some(entry)
    }

    /// Records what an answer of a server's process to this router says.
    pub fn observe(&mut self, server: &Name, process: u64, heard: Heard, now: Instant) -> News {
        let mut news = News::default();
        if heard == Heard::default() {
            return news;
        }
        let Some(entry) = self.entry(server, process, now) else {
            return news;
        };
        if heard.leaving && entry.leaving.is_none() {
            entry.leaving = Some(now);
            entry.sends = SENDS;
            news.leaves = true;
        }
        if let Some(pause) = heard.pause {
            let pause = pause.min(MAX_PAUSE);
            let until = now + pause;
            // Each answer holds for its own time, so that a shorter one does not end
            // a longer one.
            if entry.paused_until.is_none_or(|before| before < until) {
                entry.paused_until = Some(until);
                news.paused = Some(pause);
            }
        }
        news
    }

    /// Records that a server's process leaves, as it told another router. Returns
    /// whether that was not known.
    pub fn merge(&mut self, server: &Name, process: u64, now: Instant) -> bool {
        let Some(entry) = self.entry(server, process, now) else {
            return false;
        };
        let is_known = entry.leaving.is_some() || entry.reported;
        entry.reported = true;
        !is_known
    }

    /// Processes that leave, as the next message to the other routers says.
    pub fn take_reports(&mut self) -> Vec<(Name, u64)> {
        let unsent = self.entries.iter_mut().filter(|(_, e)| e.sends > 0);
        let report = |(server, entry): (&Name, &mut Notice)| {
            entry.sends -= 1;
            (server.clone(), entry.process)
        };
        unsent.take(MAX_NEWS).map(report).collect()
    }

    /// Forgets servers that have not been listed for long.
    pub fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: Instant) {
        self.entries.retain(|server, entry| {
            if is_listed(server) {
                entry.seen = now;
            }
            now < entry.seen + EXPIRY
        });
    }

    /// Whether a server's process gets requests at `now`.
    pub fn availability(
        &self,
        server: &str,
        process: u64,
        signals: Signals,
        now: Instant,
    ) -> Availability {
        let closed = |reason, wait| Availability::Closed { reason, wait };
        if !signals.ready {
            return closed(Reason::Draining, None);
        }
        if signals.intake == Intake::None {
            return closed(Reason::Evacuated, None);
        }
        // A list that shows an earlier process is older than the notice.
        let entry = self.entries.get(server).filter(|e| e.process >= process);
        let mut last_resort = None;
        if let Some(entry) = entry {
            let until = entry
                .leaving
                .map(|at| at + self.drain_time.mul_f64(LAST_RESORT_FRACTION));
            if until.is_some_and(|until| now >= until) {
                return closed(Reason::Leaving, None);
            }
            let left = entry
                .paused_until
                .map(|until| until.saturating_duration_since(now));
            if let Some(left) = left.filter(|left| !left.is_zero()) {
                return closed(Reason::Paused, Some(left));
            }
            if until.is_some() || entry.reported {
                last_resort = Some(Reason::Leaving);
            }
        }
        if signals.limit == Allowance::Exhausted {
            return closed(Reason::Limited, None);
        }
        if signals.cold == Allowance::Exhausted {
            return closed(Reason::Cold, None);
        }
        if !signals.intake.includes(signals.draw) {
            last_resort = last_resort.or(Some(Reason::Returning));
        }
        if signals.health == HealthState::Ejected {
            last_resort = last_resort.or(Some(Reason::Ejected));
        }
        last_resort.map_or(Availability::Open, Availability::LastResort)
    }
}
