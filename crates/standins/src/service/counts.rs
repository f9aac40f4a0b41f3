//! Exact counts of what a service ran.

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

/// What one request came to at this service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Calls {
    /// Times that it arrived, also where it was refused.
    pub seen: u64,
    /// Times that it ran.
    pub runs: u64,
}

/// Exact counts since the start.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// By request.
    pub requests: SortedVec<Name, Calls>,
    /// By workspace.
    pub workspaces: SortedVec<Name, Calls>,
    /// Arrivals while the service was leaving, all refused.
    pub after_leaving: u64,
    /// Arrivals refused as fenced.
    pub fenced: u64,
    /// Calls that ran and were not answered.
    pub dropped: u64,
}

/// The calls of one request or workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallsWire {
    /// The request's or workspace's name.
    pub name: Name,
    /// Its calls.
    #[serde(flatten)]
    pub calls: Calls,
}

/// The counts on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CountsWire {
    /// The service's host.
    pub name: Name,
    /// Calls that ran, in all.
    pub runs: u64,
    /// Requests that ran more than once.
    pub repeated: u64,
    /// See [`Counts::after_leaving`].
    pub after_leaving: u64,
    /// See [`Counts::fenced`].
    pub fenced: u64,
    /// See [`Counts::dropped`].
    pub dropped: u64,
    /// By workspace.
    pub workspaces: Vec<CallsWire>,
    /// By request.
    pub requests: Vec<CallsWire>,
}

fn calls_to_wire(counts: &SortedVec<Name, Calls>) -> Vec<CallsWire> {
    let wire = |(name, calls): (&Name, &Calls)| CallsWire {
        name: name.clone(),
        calls: calls.clone(),
    };
    counts.iter().map(wire).collect()
}

impl Counts {
    /// The counts of the host `name`.
    pub fn to_wire(&self, name: &Name) -> CountsWire {
        let counts = self;
        let repeated = counts.requests.iter().filter(|(_, c)| c.runs > 1);
        CountsWire {
            name: name.clone(),
            runs: counts.workspaces.iter().map(|(_, c)| c.runs).sum(),
            repeated: repeated.count() as u64,
            after_leaving: counts.after_leaving,
            fenced: counts.fenced,
            dropped: counts.dropped,
            workspaces: calls_to_wire(&counts.workspaces),
            requests: calls_to_wire(&counts.requests),
        }
    }
}
