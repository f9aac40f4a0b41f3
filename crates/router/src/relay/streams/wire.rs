//! Streams as routers tell each other of them, in datagrams and in the store.

use std::time::Instant;

use poplar_core::id::Name;
use poplar_core::software::{Begun, Versions};
use serde::{Deserialize, Serialize};

use crate::relay::age::time_of;

/// What a datagram says of streams that began just now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamsWire {
    /// Services and versions, and the attempts that began streams there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    streams: Vec<(Name, Name, Vec<Name>)>,
}

impl StreamsWire {
    /// Encodes streams.
    pub fn encode(streams: Vec<(Name, Begun)>) -> Self {
        let mut wire = Self::default();
        for (attempt, begun) in streams {
            let mut groups = wire.streams.iter_mut();
            let group = groups.find(|(s, v, _)| *s == begun.service && *v == begun.software);
            match group {
                Some((_, _, attempts)) => attempts.push(attempt),
                None => wire
                    .streams
                    .push((begun.service, begun.software, vec![attempt])),
            }
        }
        wire
    }

    /// The streams, which were told of at `now`.
    pub fn decode(self, now: Instant) -> Vec<(Name, Begun)> {
        let groups = self.streams.into_iter();
        let streams = groups.flat_map(|(service, software, attempts)| {
            attempts.into_iter().map(move |attempt| {
                let begun = Begun {
                    service: service.clone(),
                    software: software.clone(),
                    at: now,
                };
                (attempt, begun)
            })
        });
        streams.collect()
    }
}

/// The row of a stream.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct StreamWire {
    pub(super) service: Name,
    pub(super) software: Name,
    /// The store's clock in milliseconds when it began.
    pub(super) clock: u64,
}

impl StreamWire {
    /// The stream, read when the store's clock showed `clock` at `now`.
    pub(super) fn decode(self, clock: u64, now: Instant) -> Begun {
        Begun {
            service: self.service,
            software: self.software,
            at: time_of(clock.saturating_sub(self.clock), now),
        }
    }
}

/// The row of a service's versions.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct VersionsWire {
    /// Each version, and the store's clock in milliseconds when it was noticed that
    /// no engine had it any more.
    pub(super) versions: Vec<(Name, Option<u64>)>,
}

impl From<&Versions> for VersionsWire {
    fn from(versions: &Versions) -> Self {
        Self {
            versions: versions.entries().to_vec(),
        }
    }
}

impl From<VersionsWire> for Versions {
    fn from(wire: VersionsWire) -> Self {
        Self::new(wire.versions)
    }
}
