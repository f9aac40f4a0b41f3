//! Control switches of an engine and their JSON form.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::reply::Malformed;
use crate::shared::{from_ms, set_if_given, to_ms};

/// Faults applied to the chunks of streamed answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of every chunk.
    pub chunk_delay: Duration,
    /// Whether every chunk is sent twice.
    pub duplicate: bool,
    /// Whether neighbouring chunks are swapped.
    pub reorder: bool,
    /// Whether every chunk is preceded by a chunk of another request.
    pub misroute: bool,
}

/// Current values of the switches.
#[derive(Debug, Clone, PartialEq)]
pub struct Switches {
    /// Factor by which every step is slowed down.
    pub step_factor: f64,
    /// Tokens still to be generated before the process aborts.
    pub crash_after: Option<u64>,
    /// Token counts after which a stream is cut. Each entry cuts one stream.
    pub cut_after: Vec<u64>,
    /// Faults of streamed answers.
    pub faults: Faults,
    /// Whether new requests are refused as `leaving`.
    pub leaving: bool,
    /// Whether the process ends once its work is finished.
    pub drain: bool,
    /// Delay before an arriving request is processed.
    pub accept_delay: Duration,
    /// Whether fencing numbers are checked.
    pub fenced: bool,
}

/// One number or a list of numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum NumbersWire {
    /// One number.
    One(u64),
    /// A list of numbers.
    Many(Vec<u64>),
}

impl From<NumbersWire> for Vec<u64> {
    fn from(wire: NumbersWire) -> Self {
        let all = match wire {
            NumbersWire::One(number) => vec![number],
            NumbersWire::Many(numbers) => numbers,
        };
        all.into_iter().filter(|number| *number > 0).collect()
    }
}

/// A partial update of the switches.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SwitchesWire {
    /// See [`Switches::step_factor`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow: Option<f64>,
    /// Stops the steps for this many milliseconds; an action, not a stored switch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub freeze_ms: Option<u64>,
    /// See [`Switches::crash_after`]; 0 turns it off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub die_after: Option<u64>,
    /// See [`Switches::cut_after`]; 0 turns it off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut_after: Option<NumbersWire>,
    /// See [`Faults::chunk_delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// See [`Faults::duplicate`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub duplicate: Option<bool>,
    /// See [`Faults::reorder`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reorder: Option<bool>,
    /// See [`Faults::misroute`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub misroute: Option<bool>,
    /// See [`Switches::leaving`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_leaving: Option<bool>,
    /// See [`Switches::drain`]; also refuses new requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain: Option<bool>,
    /// See [`Switches::accept_delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accept_after_ms: Option<u64>,
    /// See [`Switches::fenced`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fenced: Option<bool>,
    /// Closes the listener for this many milliseconds; an action, not a stored
    /// switch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_connect_ms: Option<u64>,
}

impl Switches {
    /// Switches of an engine without faults.
    pub fn new(fenced: bool) -> Self {
        Self {
            step_factor: 1.0,
            crash_after: None,
            cut_after: Vec::new(),
            faults: Faults::default(),
            leaving: false,
            drain: false,
            accept_delay: Duration::ZERO,
            fenced,
        }
    }

    /// Whether new requests are refused.
    pub fn refuses_new(&self) -> bool {
        self.leaving || self.drain
    }

    /// Applies the switches that the update sets. On an error nothing is changed.
    ///
    /// # Errors
    /// Returns an error that names the value out of range.
    pub fn update(&mut self, wire: SwitchesWire) -> Result<(), Malformed> {
        if wire
            .slow
            .is_some_and(|slow| !(slow > 0.0 && slow.is_finite()))
        {
            return Err(Malformed::new("slow is not above 0"));
        }
        let faults = &mut self.faults;
        set_if_given(&mut faults.chunk_delay, from_ms(wire.late_ms));
        set_if_given(&mut faults.duplicate, wire.duplicate);
        set_if_given(&mut faults.reorder, wire.reorder);
        set_if_given(&mut faults.misroute, wire.misroute);
        set_if_given(&mut self.step_factor, wire.slow);
        let crash_after = wire.die_after.map(|n| (n > 0).then_some(n));
        set_if_given(&mut self.crash_after, crash_after);
        set_if_given(&mut self.cut_after, wire.cut_after);
        set_if_given(&mut self.leaving, wire.refuse_leaving);
        set_if_given(&mut self.drain, wire.drain);
        set_if_given(&mut self.accept_delay, from_ms(wire.accept_after_ms));
        set_if_given(&mut self.fenced, wire.fenced);
        Ok(())
    }

    /// Whether to cut a stream that has sent `tokens` tokens. Removes the entry
    /// that asked for the cut.
    pub fn take_cut(&mut self, tokens: u64) -> bool {
        let at = self.cut_after.iter().position(|n| *n == tokens);
        at.map(|at| self.cut_after.remove(at)).is_some()
    }

    /// Counts one generated token. Returns whether the process must abort after it.
    pub fn count_token(&mut self) -> bool {
        let Some(left) = &mut self.crash_after else {
            return false;
        };
        *left = left.saturating_sub(1);
        *left == 0
    }
}

impl From<&Switches> for SwitchesWire {
    fn from(switches: &Switches) -> Self {
        Self {
            slow: Some(switches.step_factor),
            freeze_ms: None,
            die_after: Some(switches.crash_after.unwrap_or(0)),
            cut_after: Some(NumbersWire::Many(switches.cut_after.clone())),
            late_ms: to_ms(switches.faults.chunk_delay),
            duplicate: Some(switches.faults.duplicate),
            reorder: Some(switches.faults.reorder),
            misroute: Some(switches.faults.misroute),
            refuse_leaving: Some(switches.leaving),
            drain: Some(switches.drain),
            accept_after_ms: to_ms(switches.accept_delay),
            fenced: Some(switches.fenced),
            refuse_connect_ms: None,
        }
    }
}
