//! The platform's switches and counts, and how they are written in JSON.

use std::time::Duration;

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

use super::watch::Violation;

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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
    type Error = String;

    fn try_from(wire: &DownWire) -> Result<Self, String> {
        match wire {
            DownWire::Flag(false) => Ok(Self::No),
            DownWire::Flag(true) => Ok(Self::Refuse),
            DownWire::Word(word) if word == "hang" => Ok(Self::Hang),
            DownWire::Word(word) => Err(format!("{word:?} is not true, false or \"hang\"")),
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
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
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

fn millis(time: Duration) -> Option<u64> {
    Some(time.as_millis() as u64)
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

fn set<T>(target: &mut T, value: Option<impl Into<T>>) {
    if let Some(value) = value {
        *target = value.into();
    }
}

fn down(target: &mut Down, wire: Option<&DownWire>) -> Result<(), String> {
    set(target, wire.map(Down::try_from).transpose()?);
    Ok(())
}

impl Switches {
    /// Sets what the update names; on an error nothing is set.
    ///
    /// # Errors
    /// Says which value can't be read.
    pub fn update(&mut self, wire: SwitchesWire) -> Result<(), String> {
        let mut next = self.clone();
        down(&mut next.table, wire.table_down.as_ref())?;
        down(&mut next.objects, wire.objects_down.as_ref())?;
        down(&mut next.hosts, wire.hosts_down.as_ref())?;
        set(&mut next.delay, wire.delay_ms.map(Duration::from_millis));
        set(&mut next.jitter, wire.jitter_ms.map(Duration::from_millis));
        set(&mut next.after, wire.after_ms.map(Duration::from_millis));
        set(&mut next.lose, wire.lose_answers);
        set(&mut next.rate, wire.lose_rate);
        set(&mut next.cut, wire.cut);
        set(&mut next.lag, wire.host_lag_ms.map(Duration::from_millis));
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

/// What one router asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Rows and objects read.
    pub reads: u64,
    /// Rows and objects written.
    pub writes: u64,
    /// Calls refused for the limits.
    pub refused: u64,
}

/// Exact counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Rows read, also by scans.
    pub reads: u64,
    /// Rows written.
    pub writes: u64,
    /// Transactions that took effect.
    pub commits: u64,
    /// Transactions whose checks did not hold.
    pub conflicts: u64,
    /// Calls refused for the limits.
    pub refused: u64,
    /// Calls refused or left hanging in an outage.
    pub down: u64,
    /// Calls cut for their router's label.
    pub cut: u64,
    /// Commits and puts that took effect and were not answered.
    pub lost: u64,
    /// Objects put.
    pub puts: u64,
    /// Puts that changed an object's content.
    pub changed: u64,
    /// Objects read.
    pub gets: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Shares by the router's label.
    pub routers: SortedVec<Name, Share>,
}

/// One router's share on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareWire {
    /// The router's label.
    pub router: Name,
    /// What it asked for.
    #[serde(flatten)]
    pub share: Share,
}

/// The counts on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[expect(missing_docs, reason = "each is the field of Counts with its name")]
pub struct CountsWire {
    pub reads: u64,
    pub writes: u64,
    pub commits: u64,
    pub conflicts: u64,
    pub refused: u64,
    pub down: u64,
    pub cut: u64,
    pub lost: u64,
    pub puts: u64,
    pub changed: u64,
    pub gets: u64,
    pub hosts: u64,
    pub routers: Vec<ShareWire>,
    /// Commits after which a budget's invariant did not hold.
    pub violations: u64,
    /// The first of them with their rows.
    pub violated: Vec<Violation>,
}

impl From<&Counts> for CountsWire {
    fn from(counts: &Counts) -> Self {
        let share = |(router, share): (&Name, &Share)| ShareWire {
            router: router.clone(),
            share: share.clone(),
        };
        Self {
            reads: counts.reads,
            writes: counts.writes,
            commits: counts.commits,
            conflicts: counts.conflicts,
            refused: counts.refused,
            down: counts.down,
            cut: counts.cut,
            lost: counts.lost,
            puts: counts.puts,
            changed: counts.changed,
            gets: counts.gets,
            hosts: counts.hosts,
            routers: counts.routers.iter().map(share).collect(),
            violations: 0,
            violated: Vec::new(),
        }
    }
}
