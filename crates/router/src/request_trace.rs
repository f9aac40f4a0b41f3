//! What happened to recent requests and why, for `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use poplar_core::id::RequestId;

use crate::sync::lock;

/// How many events are kept.
const KEPT: usize = 50_000;

/// One step on a request's way.
#[derive(Debug, Clone)]
pub struct TraceEvent {
    /// Whose step.
    pub id: RequestId,
    /// Milliseconds of Unix time.
    pub at_ms: u64,
    /// The step.
    pub step: &'static str,
    /// Why it went this way; never text of a prompt or an answer.
    pub reason: String,
}

/// A bounded record of events; the oldest go first.
#[derive(Debug, Default)]
pub struct RequestTrace {
    events: Mutex<VecDeque<TraceEvent>>,
}

impl RequestTrace {
    /// Notes a step.
    pub fn record(&self, id: &RequestId, step: &'static str, reason: impl std::fmt::Display) {
        let event = TraceEvent {
            id: id.clone(),
            at_ms: unix_ms(SystemTime::now()),
            step,
            reason: reason.to_string(),
        };
        let mut events = lock(&self.events);
        if events.len() == KEPT {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The steps of one request, oldest first.
    pub fn events_of(&self, id: &str) -> Vec<TraceEvent> {
        let events = lock(&self.events);
        events.iter().filter(|e| *e.id.0 == *id).cloned().collect()
    }
}

/// Milliseconds of Unix time.
pub fn unix_ms(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
