//! The platform's switches and how they are written in JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::reply::Malformed;
use crate::shared::{millis, set, span};

/// Whether a service of the platform answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Down {
    /// It works.
    #[default]
    No,
    /// It refuses at once with 503; nothing takes effect.
    Refuse,
    /// It never answers; nothing takes effect.
    Hang,
}

/// `true`, `false` or `"hang"`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum DownWire {
    /// Refuses or works.
    Flag(bool),
    /// `hang`.
    Word(String),
}

impl From<Down> for DownWire {
    fn from(down: Down) -> Self {
        match down {
            Down::No => Self::Flag(false),
            Down::Refuse => Self::Flag(true),
            Down::Hang => Self::Word("hang".to_owned()),
        }
    }
}

impl TryFrom<&DownWire> for Down {
    type Error = Malformed;

    fn try_from(wire: &DownWire) -> Result<Self, Malformed> {
        match wire {
            DownWire::Flag(false) => Ok(Self::No),
            DownWire::Flag(true) => Ok(Self::Refuse),
            DownWire::Word(word) if word == "hang" => Ok(Self::Hang),
            DownWire::Word(word) => {
                let reason = format!("{word:?} is not true, false or \"hang\"");
                Err(Malformed::new(reason))
            }
        }
    }
}

/// The switches as they are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Switches {
    /// The table.
    pub table: Down,
    /// The object store.
    pub objects: Down,
    /// The host list.
    pub hosts: Down,
    /// Wait before a call takes effect.
    pub delay: Duration,
    /// Up to so much is added to the wait.
    pub jitter: Duration,
    /// Wait between effect and answer.
    pub after: Duration,
    /// So many more commits and puts take effect unanswered.
    pub lose: u64,
    /// Share of commits and puts that take effect unanswered, 0 to 1.
    pub rate: f64,
    /// Routers whose connections are cut.
    pub cut: Vec<String>,
    /// Time until a change of the host list shows.
    pub lag: Duration,
    /// Whether the limits on reads and writes hold.
    pub limits: bool,
}

/// A partial update of the switches.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SwitchesWire {
    /// See [`Switches::table`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table_down: Option<DownWire>,
    /// See [`Switches::objects`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objects_down: Option<DownWire>,
    /// See [`Switches::hosts`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts_down: Option<DownWire>,
    /// See [`Switches::delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// See [`Switches::jitter`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jitter_ms: Option<u64>,
    /// See [`Switches::after`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
    /// See [`Switches::lose`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u64>,
    /// See [`Switches::rate`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_rate: Option<f64>,
    /// See [`Switches::cut`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut: Option<Vec<String>>,
    /// See [`Switches::lag`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host_lag_ms: Option<u64>,
    /// See [`Switches::limits`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<bool>,
    /// Closes the listener for so many milliseconds; not kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_connect_ms: Option<u64>,
}

impl From<&Switches> for SwitchesWire {
    fn from(switches: &Switches) -> Self {
        Self {
            table_down: Some(switches.table.into()),
            objects_down: Some(switches.objects.into()),
            hosts_down: Some(switches.hosts.into()),
            delay_ms: millis(switches.delay),
            jitter_ms: millis(switches.jitter),
            after_ms: millis(switches.after),
            lose_answers: Some(switches.lose),
            lose_rate: Some(switches.rate),
            cut: Some(switches.cut.clone()),
            host_lag_ms: millis(switches.lag),
            limits: Some(switches.limits),
            refuse_connect_ms: None,
        }
    }
}

fn down(target: &mut Down, wire: Option<&DownWire>) -> Result<(), Malformed> {
    set(target, wire.map(Down::try_from).transpose()?);
    Ok(())
}

impl Switches {
    /// Sets what the update names; on an error nothing is set.
    ///
    /// # Errors
    /// Says which value can't be read.
    pub fn update(&mut self, wire: SwitchesWire) -> Result<(), Malformed> {
        let mut next = self.clone();
        down(&mut next.table, wire.table_down.as_ref())?;
        down(&mut next.objects, wire.objects_down.as_ref())?;
        down(&mut next.hosts, wire.hosts_down.as_ref())?;
        set(&mut next.delay, span(wire.delay_ms));
        set(&mut next.jitter, span(wire.jitter_ms));
        set(&mut next.after, span(wire.after_ms));
        set(&mut next.lose, wire.lose_answers);
        set(&mut next.rate, wire.lose_rate);
        set(&mut next.cut, wire.cut);
        set(&mut next.lag, span(wire.host_lag_ms));
        set(&mut next.limits, wire.limits);
        *self = next;
        Ok(())
    }

    /// Whether the connection of the router `label` is cut.
    pub fn cuts(&self, label: &str) -> bool {
        self.cut.iter().any(|name| {
            let rest = label.strip_prefix(name.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }
}
