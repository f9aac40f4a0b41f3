//! A service's switches and how they are written in JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::reply::Malformed;
use crate::shared::{millis, set, span};

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
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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

impl Switches {
    /// Sets what the update names; on an error nothing is set.
    ///
    /// # Errors
    /// Says which value is out of range.
    pub fn update(&mut self, wire: SwitchesWire) -> Result<(), Malformed> {
        let status = wire.status.map(|s| if s == 0 { OK } else { s });
        if status.is_some_and(|s| !STATUSES.contains(&s)) {
            return Err(Malformed::new("status is not 0 or 200 to 599"));
        }
        set(&mut self.status, status);
        set(&mut self.delay, span(wire.delay_ms));
        set(&mut self.drop, wire.drop_answers);
        set(&mut self.leaving, wire.refuse_leaving);
        set(&mut self.fenced, wire.fenced);
        set(&mut self.accept, span(wire.accept_after_ms));
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
            delay_ms: millis(switches.delay),
            drop_answers: Some(switches.drop),
            refuse_leaving: Some(switches.leaving),
            status: Some(switches.status),
            fenced: Some(switches.fenced),
            accept_after_ms: millis(switches.accept),
            refuse_connect_ms: None,
        }
    }
}
