//! Exact counts of the calls that a service received and ran.

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

/// Calls of one request or workspace at this service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Calls {
    /// Calls that arrived, including refused ones.
    pub seen: u64,
    /// Calls that ran.
    pub runs: u64,
}

/// Exact counts since the start.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Calls by request ID.
    pub requests: SortedVec<Name, Calls>,
    /// Calls by workspace.
    pub workspaces: SortedVec<Name, Calls>,
    /// Arrivals refused because the service was leaving.
    pub after_leaving: u64,
    /// Arrivals refused for a stale fencing number.
    pub fenced: u64,
    /// Calls that ran without being answered.
    pub dropped: u64,
}

/// The calls of one request or workspace on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallsWire {
    /// The request ID or the name of the workspace.
    pub name: Name,
    /// Its calls.
    #[serde(flatten)]
    pub calls: Calls,
}

/// The counts on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CountsWire {
    /// Name of the host.
    pub name: Name,
    /// Calls that ran in total.
    pub runs: u64,
    /// Requests that ran more than once.
    pub repeated: u64,
    /// See [`Counts::after_leaving`].
    pub after_leaving: u64,
    /// See [`Counts::fenced`].
    pub fenced: u64,
    /// See [`Counts::dropped`].
    pub dropped: u64,
    /// Calls by workspace.
    pub workspaces: Vec<CallsWire>,
    /// Calls by request ID.
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
    /// The counts on the wire, with the name of the host.
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
