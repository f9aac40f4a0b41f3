//! An engine's switches and how they are written in JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::reply::Malformed;
use crate::shared::{from_ms, set_if_given, to_ms};

/// What goes wrong on the way of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Each chunk is so late.
    pub chunk_delay: Duration,
    /// Each chunk is sent twice.
    pub duplicate: bool,
    /// Neighbouring chunks are swapped.
    pub reorder: bool,
    /// Before each chunk comes one of another request.
    pub misroute: bool,
}

/// The switches as they are.
#[derive(Debug, Clone, PartialEq)]
pub struct Switches {
    /// Steps take so many times as long.
    pub step_factor: f64,
    /// Tokens until the process aborts.
    pub crash_after: Option<u64>,
    /// Each entry cuts one stream, once it has had so many tokens.
    pub cut_after: Vec<u64>,
    /// What goes wrong on the way of answers.
    pub faults: Faults,
    /// Whether everything new is refused as `leaving`.
    pub leaving: bool,
    /// Whether the process ends once nothing is left to do.
    pub drain: bool,
    /// Wait before an arriving request is looked at.
    pub accept_delay: Duration,
    /// Whether fencing numbers are checked.
    pub fenced: bool,
}

/// One number or several.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum NumbersWire {
    /// One.
    One(u64),
    /// Several.
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
    /// Stops stepping for so many milliseconds; not kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub freeze_ms: Option<u64>,
    /// See [`Switches::crash_after`]; 0 is off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub die_after: Option<u64>,
    /// See [`Switches::cut_after`]; 0 is off.
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
    /// See [`Switches::drain`]; refuses everything new, too.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain: Option<bool>,
    /// See [`Switches::accept_delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accept_after_ms: Option<u64>,
    /// See [`Switches::fenced`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fenced: Option<bool>,
    /// Closes the listener for so many milliseconds; not kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_connect_ms: Option<u64>,
}

impl Switches {
    /// Everything works.
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

    /// Whether everything new is refused.
    pub fn refuses_new(&self) -> bool {
        self.leaving || self.drain
    }

    /// Sets what the update names; on an error nothing is set.
    ///
    /// # Errors
    /// Says which value is out of range.
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

    /// Whether a stream that has had `tokens` is cut now; at most once an entry.
    pub fn take_cut(&mut self, tokens: u64) -> bool {
        let at = self.cut_after.iter().position(|n| *n == tokens);
        at.map(|at| self.cut_after.remove(at)).is_some()
    }

    /// Counts a token made; true where the process dies of it.
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
