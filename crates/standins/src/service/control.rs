//! A service's switches and counts, and how they are written in JSON.

use std::time::Duration;

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

/// The switches as they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Switches {
    /// Time that a call runs.
    pub delay: Duration,
    /// So many more calls run and are not answered.
    pub drop: u64,
    /// Whether everything new is refused as `leaving`.
    pub leaving: bool,
    /// Status of answers to calls that ran.
    pub status: u16,
    /// Whether fencing numbers are checked.
    pub fenced: bool,
    /// Wait before an arriving call is looked at.
    pub accept: Duration,
}

/// A partial update of the switches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SwitchesWire {
    /// See [`Switches::delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// See [`Switches::drop`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_answers: Option<u64>,
    /// See [`Switches::leaving`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_leaving: Option<bool>,
    /// See [`Switches::status`]; 0 is 200.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// See [`Switches::fenced`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fenced: Option<bool>,
    /// See [`Switches::accept`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accept_after_ms: Option<u64>,
    /// Closes the listener for so many milliseconds; not kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_connect_ms: Option<u64>,
}

/// Status of answers unless another one is set.
const OK: u16 = 200;
/// Statuses that an answer can have.
const STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

fn set<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

impl Switches {
    /// Sets what the update names; on an error nothing is set.
    ///
    /// # Errors
    /// Says which value is out of range.
    pub fn update(&mut self, wire: SwitchesWire) -> Result<(), String> {
        let status = wire.status.map(|s| if s == 0 { OK } else { s });
        if status.is_some_and(|s| !STATUSES.contains(&s)) {
            return Err("status is not 0 or 200 to 599".to_owned());
        }
        set(&mut self.status, status);
        set(&mut self.delay, wire.delay_ms.map(Duration::from_millis));
        set(&mut self.drop, wire.drop_answers);
        set(&mut self.leaving, wire.refuse_leaving);
        set(&mut self.fenced, wire.fenced);
        let accept = wire.accept_after_ms.map(Duration::from_millis);
        set(&mut self.accept, accept);
        Ok(())
    }

    /// Decides whether the answer of a call that ran is dropped.
    pub fn drops(&mut self) -> bool {
        let drops = self.drop > 0;
        self.drop -= u64::from(drops);
        drops
    }
}

impl From<&Switches> for SwitchesWire {
    fn from(switches: &Switches) -> Self {
        Self {
            delay_ms: Some(switches.delay.as_millis() as u64),
            drop_answers: Some(switches.drop),
            refuse_leaving: Some(switches.leaving),
            status: Some(switches.status),
            fenced: Some(switches.fenced),
            accept_after_ms: Some(switches.accept.as_millis() as u64),
            refuse_connect_ms: None,
        }
    }
}

/// What one request came to at this service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
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
    pub leaving: u64,
    /// Arrivals refused as fenced.
    pub fenced: u64,
    /// Calls that ran and were not answered.
    pub dropped: u64,
}

/// The calls of one request or workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallsWire {
    /// The request's or workspace's name.
    pub name: Name,
    /// Its calls.
    #[serde(flatten)]
    pub calls: Calls,
}

/// The counts on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsWire {
    /// Calls that ran, in all.
    pub runs: u64,
    /// Requests that ran more than once.
    pub repeated: u64,
    /// See [`Counts::leaving`].
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

fn wires(counts: &SortedVec<Name, Calls>) -> Vec<CallsWire> {
    let wire = |(name, calls): (&Name, &Calls)| CallsWire {
        name: name.clone(),
        calls: calls.clone(),
    };
    counts.iter().map(wire).collect()
}

impl From<&Counts> for CountsWire {
    fn from(counts: &Counts) -> Self {
        let repeated = counts.requests.iter().filter(|(_, c)| c.runs > 1);
        Self {
            runs: counts.workspaces.iter().map(|(_, c)| c.runs).sum(),
            repeated: repeated.count() as u64,
            after_leaving: counts.leaving,
            fenced: counts.fenced,
            dropped: counts.dropped,
            workspaces: wires(&counts.workspaces),
            requests: wires(&counts.requests),
        }
    }
}
