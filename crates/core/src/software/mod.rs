//! Software versions of engines, and the streams that they began.
//!
//! Engines of several versions may serve side by side, and what two versions write
//! doesn't fit together. A stream that breaks off goes on only at the version that
//! began it, which a client that takes it up does not name. It follows from what
//! routers recorded of the stream, or from there being only one version that can
//! have begun it.

mod streams;

use std::time::Duration;

pub use streams::{Begun, Streams};

use crate::id::Name;

/// Time after the begin of a stream, or the end of a version's service, within which
/// clients may resume streams of it. Their deadlines are shorter.
pub const RETENTION: Duration = Duration::from_secs(60);

/// The versions that engines of one service have had of late.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versions {
    /// Each version, in order, and the store's clock in milliseconds when it was
    /// noticed that no engine had it any more.
    entries: Vec<(Name, Option<u64>)>,
}

impl Versions {
    /// The versions with the times at which they were gone.
    pub fn new(mut entries: Vec<(Name, Option<u64>)>) -> Self {
        entries.sort();
        entries.dedup_by(|a, b| a.0 == b.0);
        Self { entries }
    }

    /// Each version and when it was gone.
    pub fn entries(&self) -> &[(Name, Option<u64>)] {
        &self.entries
    }

    /// Brings them in line with the versions listed at `clock`.
    pub fn update(&mut self, listed: &[Name], clock: u64) {
        self.entries
            .retain(|(software, gone)| listed.contains(software) || is_recent(*gone, clock));
        for (software, gone) in &mut self.entries {
            if listed.contains(software) {
                *gone = None;
            } else {
                gone.get_or_insert(clock);
            }
        }
        for software in listed {
            let known = self
                .entries
                .binary_search_by(|(name, _)| name.cmp(software));
            if let Err(place) = known {
                self.entries.insert(place, (software.clone(), None));
            }
        }
    }

    /// Those that can have begun a stream that a client resumes at `clock`.
    pub fn possible(&self, clock: u64) -> impl Iterator<Item = &Name> {
        let recent = self.entries.iter();
        let recent = recent.filter(move |(_, gone)| is_recent(*gone, clock));
        recent.map(|(software, _)| software)
    }
}

fn is_recent(gone: Option<u64>, clock: u64) -> bool {
    gone.is_none_or(|gone| clock < gone + RETENTION.as_millis() as u64)
}
