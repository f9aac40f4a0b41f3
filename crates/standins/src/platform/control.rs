//! Control switches of the platform and their JSON form.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::reply::Malformed;
use crate::shared::{from_ms, set_if_given, to_ms};

/// The outage of one part of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outage {
    /// No outage; calls are executed.
    #[default]
    Inactive,
    /// Calls are refused immediately with status 503 and have no effect.
    Refuse,
    /// Calls are never answered and have no effect.
    Hang,
}

/// The JSON form of an outage: `true`, `false` or `"hang"`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum OutageWire {
    /// `true` for [`Outage::Refuse`], `false` for [`Outage::Inactive`].
    Flag(bool),
    /// `"hang"` for [`Outage::Hang`].
    Word(String),
}

impl From<Outage> for OutageWire {
    fn from(outage: Outage) -> Self {
        match outage {
            Outage::Inactive => Self::Flag(false),
            Outage::Refuse => Self::Flag(true),
            Outage::Hang => Self::Word("hang".to_owned()),
        }
    }
}

impl TryFrom<&OutageWire> for Outage {
    type Error = Malformed;

    fn try_from(wire: &OutageWire) -> Result<Self, Malformed> {
        match wire {
            OutageWire::Flag(false) => Ok(Self::Inactive),
            OutageWire::Flag(true) => Ok(Self::Refuse),
            OutageWire::Word(word) if word == "hang" => Ok(Self::Hang),
            OutageWire::Word(word) => {
                let reason = format!("{word:?} is not true, false or \"hang\"");
                Err(Malformed::new(reason))
            }
        }
    }
}

/// Current values of the switches.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Switches {
    /// Outage of the table.
    pub table: Outage,
    /// Outage of the object store.
    pub objects: Outage,
    /// Outage of the host list.
    pub hosts: Outage,
    /// Delay before a call takes effect.
    pub delay: Duration,
    /// Maximum random addition to that delay.
    pub jitter: Duration,
    /// Delay between the effect of a call and its answer.
    pub answer_delay: Duration,
    /// Number of further commits and puts that take effect without an answer.
    pub lose_answers: u64,
    /// Fraction of commits and puts that take effect without an answer, 0 to 1.
    pub lose_rate: f64,
    /// Labels of routers whose connections are cut.
    pub cut_routers: Vec<String>,
    /// Delay until a change of the host list becomes visible.
    pub host_lag: Duration,
    /// Whether the limits on reads and writes are enforced.
    pub limits: bool,
}

/// A partial update of the switches.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SwitchesWire {
    /// See [`Switches::table`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table_down: Option<OutageWire>,
    /// See [`Switches::objects`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objects_down: Option<OutageWire>,
    /// See [`Switches::hosts`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts_down: Option<OutageWire>,
    /// See [`Switches::delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// See [`Switches::jitter`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jitter_ms: Option<u64>,
    /// See [`Switches::answer_delay`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
    /// See [`Switches::lose_answers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u64>,
    /// See [`Switches::lose_rate`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_rate: Option<f64>,
    /// See [`Switches::cut_routers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut: Option<Vec<String>>,
    /// See [`Switches::host_lag`], in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host_lag_ms: Option<u64>,
    /// See [`Switches::limits`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<bool>,
    /// Closes the listener for this many milliseconds; an action, not a stored
    /// switch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_connect_ms: Option<u64>,
}

impl From<&Switches> for SwitchesWire {
    fn from(switches: &Switches) -> Self {
        Self {
            table_down: Some(switches.table.into()),
            objects_down: Some(switches.objects.into()),
            hosts_down: Some(switches.hosts.into()),
            delay_ms: to_ms(switches.delay),
            jitter_ms: to_ms(switches.jitter),
            after_ms: to_ms(switches.answer_delay),
            lose_answers: Some(switches.lose_answers),
            lose_rate: Some(switches.lose_rate),
            cut: Some(switches.cut_routers.clone()),
            host_lag_ms: to_ms(switches.host_lag),
            limits: Some(switches.limits),
            refuse_connect_ms: None,
        }
    }
}

fn set_outage(target: &mut Outage, wire: Option<&OutageWire>) -> Result<(), Malformed> {
    set_if_given(target, wire.map(Outage::try_from).transpose()?);
    Ok(())
}

impl Switches {
    /// Applies the switches that the update sets. On an error nothing is changed.
    ///
    /// # Errors
    /// Returns an error that names the invalid value.
    pub fn update(&mut self, wire: SwitchesWire) -> Result<(), Malformed> {
        let mut next = self.clone();
        set_outage(&mut next.table, wire.table_down.as_ref())?;
        set_outage(&mut next.objects, wire.objects_down.as_ref())?;
        set_outage(&mut next.hosts, wire.hosts_down.as_ref())?;
        set_if_given(&mut next.delay, from_ms(wire.delay_ms));
        set_if_given(&mut next.jitter, from_ms(wire.jitter_ms));
        set_if_given(&mut next.answer_delay, from_ms(wire.after_ms));
        set_if_given(&mut next.lose_answers, wire.lose_answers);
        set_if_given(&mut next.lose_rate, wire.lose_rate);
        set_if_given(&mut next.cut_routers, wire.cut);
        set_if_given(&mut next.host_lag, from_ms(wire.host_lag_ms));
        set_if_given(&mut next.limits, wire.limits);
        *self = next;
        Ok(())
    }

    /// Whether the connections of the router `label` are cut. A switch value matches
    /// the whole label or the part before a `.`.
    pub fn cuts_router(&self, label: &str) -> bool {
        self.cut_routers.iter().any(|name| {
            let rest = label.strip_prefix(name.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }
}
