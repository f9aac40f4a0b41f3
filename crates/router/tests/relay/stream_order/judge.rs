//! What is wrong with the streams that clients have.

use super::clients::{End, Event, Stream};

/// What is wrong with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    /// An event is missing.
    Missing,
    /// An event comes twice, or a number goes back.
    Twice,
    /// Events of two runs are joined, though the stream can't be resumed.
    Joined,
    /// It ends as complete before its last event.
    EarlyEnd,
    /// It holds events of two software versions.
    Versions,
    /// It ran more often than it may, or though it was refused as not run.
    Runs,
}

impl Fault {
    /// All of them.
    pub(crate) const ALL: [Self; 6] = [
        Self::Missing,
        Self::Twice,
        Self::Joined,
        Self::EarlyEnd,
        Self::Versions,
        Self::Runs,
    ];
}

/// What is wrong with a stream over all tries of its client. `runs` are the attempts
/// that engines ran, in order.
pub(crate) fn faults(stream: &Stream, runs: &[String]) -> Vec<Fault> {
    let mut found = Vec::new();
    let events: Vec<&Event> = stream.tries.iter().flat_map(|t| &t.events).collect();
    for (event, expected) in events.iter().zip(1..) {
        if event.number > expected {
            found.push(Fault::Missing);
            break;
        }
        if event.number < expected {
            found.push(Fault::Twice);
            break;
        }
    }
    if events.len() as u64 > stream.whole {
        found.push(Fault::Twice);
    }
    let differ = |name: fn(&Event) -> &str| {
        let mut pairs = events.windows(2);
        pairs.any(|pair| name(pair[0]) != name(pair[1]))
    };
    if !stream.resumable && differ(|event| &event.run) {
        found.push(Fault::Joined);
    }
    if differ(|event| &event.software) {
        found.push(Fault::Versions);
    }
    let is_whole = stream.tries.last().is_some_and(|t| t.end == End::Whole);
    if is_whole && (events.len() as u64) < stream.whole {
        found.push(Fault::EarlyEnd);
    }
    let ran_wrongly = stream.tries.iter().any(|tried| {
        let from = runs.partition_point(|run| *run < tried.attempt);
        let same = runs[from..].iter().take_while(|run| **run == tried.attempt);
        let most = usize::from(tried.end != End::Status(503));
        same.count() > most
    });
    if !stream.resumable && ran_wrongly {
        found.push(Fault::Runs);
    }
    found.sort_unstable();
    found.dedup();
    found
}
