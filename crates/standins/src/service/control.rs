//! Control switches of a service and their JSON form.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::reply::Malformed;
use crate::shared::{from_ms, set_if_given, to_ms};

/// Current values of the switches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Switches {
    /// Time that a call takes to run.
    pub delay: Duration,
    /// Number of further calls that run without being answered.
    pub drop_answers: u64,
    /// Whether new calls are refused as `leaving`.
    pub leaving: bool,
    /// HTTP status of the answer to a call that ran.
    pub status: u16,
    /// Whether fencing numbers are checked.
    pub fenced: bool,
    /// Delay before an arriving call is processed.
    pub accept_delay: Duration,
}

/// A partial update of the switches.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SwitchesWire {
    /// See [`Switches::delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// See [`Switches::drop_answers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_answers: Option<u64>,
    /// See [`Switches::leaving`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_leaving: Option<bool>,
    /// See [`Switches::status`]; 0 means 200.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// See [`Switches::fenced`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fenced: Option<bool>,
    /// See [`Switches::accept_delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accept_after_ms: Option<u64>,
    /// Closes the listener for this many milliseconds; an action, not a stored
    /// switch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_connect_ms: Option<u64>,
}

/// HTTP status of answers unless another one is set.
const DEFAULT_STATUS: u16 = 200;
/// HTTP statuses that an answer can be given.
const VALID_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

impl Switches {
    /// Applies the switches that the update sets. On an error nothing is changed.
    ///
    /// # Errors
    /// Returns an error that names the value out of range.
    pub fn update(&mut self, wire: SwitchesWire) -> Result<(), Malformed> {
        let status = wire.status.map(|s| if s == 0 { DEFAULT_STATUS } else { s });
        if status.is_some_and(|s| !VALID_STATUSES.contains(&s)) {
            return Err(Malformed::new("status is not 0 or 200 to 599"));
        }
        set_if_given(&mut self.status, status);
        set_if_given(&mut self.delay, from_ms(wire.delay_ms));
        set_if_given(&mut self.drop_answers, wire.drop_answers);
        set_if_given(&mut self.leaving, wire.refuse_leaving);
        set_if_given(&mut self.fenced, wire.fenced);
        set_if_given(&mut self.accept_delay, from_ms(wire.accept_after_ms));
        Ok(())
    }

    /// Returns whether to drop the answer of a call that ran, and counts it off.
    pub fn take_drop(&mut self) -> bool {
        let dropped = self.drop_answers > 0;
        self.drop_answers -= u64::from(dropped);
        dropped
    }
}

impl From<&Switches> for SwitchesWire {
    fn from(switches: &Switches) -> Self {
        Self {
            delay_ms: to_ms(switches.delay),
            drop_answers: Some(switches.drop_answers),
            refuse_leaving: Some(switches.leaving),
            status: Some(switches.status),
            fenced: Some(switches.fenced),
            accept_after_ms: to_ms(switches.accept_delay),
            refuse_connect_ms: None,
        }
    }
}
