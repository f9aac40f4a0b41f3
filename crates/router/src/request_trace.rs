//! Trace of the steps of recent requests, shown by `poplar-ctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use poplar_core::id::RequestId;

use crate::sync::lock;

/// Events kept in memory, over all requests.
const MAX_EVENTS: usize = 50_000;

/// One step in the handling of a request.
#[derive(Debug, Clone)]
pub struct TraceEvent {
    /// The request.
    pub id: RequestId,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the step, such as `placed` or `finished`.
    pub step: &'static str,
    /// Why the step was taken; never contains text of a prompt or an answer.
    pub reason: String,
}

/// A bounded buffer of events; the oldest are discarded first.
#[derive(Debug, Default)]
pub struct RequestTrace {
    events: Mutex<VecDeque<TraceEvent>>,
}

impl RequestTrace {
    /// Records a step of a request.
    pub fn record(&self, id: &RequestId, step: &'static str, reason: impl std::fmt::Display) {
        let event = TraceEvent {
            id: id.clone(),
            at_ms: unix_ms(SystemTime::now()),
            step,
            reason: reason.to_string(),
        };
        let mut events = lock(&self.events);
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the events of one request, oldest first.
    pub fn events_of(&self, id: &str) -> Vec<TraceEvent> {
        let events = lock(&self.events);
        events.iter().filter(|e| *e.id.0 == *id).cloned().collect()
    }
}

/// Converts a time to milliseconds since the Unix epoch.
pub fn unix_ms(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
