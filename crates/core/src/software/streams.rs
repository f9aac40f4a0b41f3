//! Streams that began lately, and the software version that began each.

use std::time::Instant;

use crate::id::Name;
use crate::software::RETENTION;
use crate::sorted::SortedVec;

/// Most streams that are kept; the oldest make room. A router begins about 26 a
/// second and hears of those of others.
const MAX_STREAMS: usize = 8192;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begun {
    /// The service.
    pub service: Name,
    /// The version of the engine's software.
    pub software: Name,
    /// When its first event came.
    pub at: Instant,
}

/// A stream, and who knows of it.
#[derive(Debug, Clone)]
struct Entry {
    begun: Begun,
    /// Whether it still has to be written to the store.
    unwritten: bool,
    /// Whether the other routers still have to be told.
    unannounced: bool,
}

/// Streams by the client's attempt that brought the first event.
#[derive(Debug, Clone, Default)]
pub struct Streams(SortedVec<Name, Entry>);

impl Streams {
    /// No streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a stream that this router began.
    pub fn record_own(&mut self, attempt: Name, begun: Begun) {
        self.insert(attempt, begun, true);
    }

    /// Records a stream that another router began.
    pub fn record_other(&mut self, attempt: Name, begun: Begun) {
        if !self.0.contains(&*attempt) {
            self.insert(attempt, begun, false);
        }
    }

    fn insert(&mut self, attempt: Name, begun: Begun, is_own: bool) {
        if self.0.len() >= MAX_STREAMS {
            self.expire(begun.at);
        }
        if self.0.len() >= MAX_STREAMS {
            let oldest = self.0.iter().min_by_key(|(_, entry)| entry.begun.at);
            if let Some(oldest) = oldest.map(|(attempt, _)| attempt.clone()) {
                self.0.remove(&*oldest);
            }
        }
        let entry = Entry {
            begun,
            unwritten: is_own,
            unannounced: is_own,
        };
        self.0.insert(attempt, entry);
    }

    /// Where a stream began.
    pub fn get(&self, attempt: &str) -> Option<&Begun> {
        self.0.get(attempt).map(|entry| &entry.begun)
    }

    /// Removes a stream that the client has as a whole.
    pub fn remove(&mut self, attempt: &str) {
        self.0.remove(attempt);
    }

    /// Removes streams that no client resumes any more.
    pub fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, entry| now.saturating_duration_since(entry.begun.at) < RETENTION);
    }

    /// Up to `most` streams of these services that have to be written to the store.
    pub fn unwritten(&self, is_due: impl Fn(&Name) -> bool, most: usize) -> Vec<(Name, Begun)> {
        let due = self.0.iter();
        let due = due.filter(|(_, entry)| entry.unwritten && is_due(&entry.begun.service));
        let due = due.map(|(attempt, entry)| (attempt.clone(), entry.begun.clone()));
        due.take(most).collect()
    }

    /// Records that these were written.
    pub fn record_written<'a>(&mut self, attempts: impl IntoIterator<Item = &'a Name>) {
        for attempt in attempts {
            if let Some(entry) = self.0.get_mut(&**attempt) {
                entry.unwritten = false;
            }
        }
    }

    /// Up to `most` streams of these services that other routers have to be told of;
    /// they count as told.
    pub fn take_unannounced(
        &mut self,
        is_due: impl Fn(&Name) -> bool,
        most: usize,
    ) -> Vec<(Name, Begun)> {
        let due = self.0.iter_mut();
        let due = due.filter(|(_, entry)| entry.unannounced && is_due(&entry.begun.service));
        let due = due.take(most).map(|(attempt, entry)| {
            entry.unannounced = false;
            (attempt.clone(), entry.begun.clone())
        });
        due.collect()
    }

    /// Number of streams, for the metrics.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
