//! The fleet's configuration: workspaces, and classes of work with their targets.
//!
//! The configuration is one row of the platform's table with a generation number.
//! An operator replaces it as a whole, by a write conditional on the generation
//! that was read. A router applies only a generation higher than its own.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::Name;

/// Key of the configuration's row in the table.
pub const ROW_KEY: &str = "config";

/// Key of the row that contains only the generation.
///
/// It is written together with the configuration, so that routers can see that
/// nothing has changed without reading the whole configuration.
pub const GENERATION_KEY: &str = "generation";

/// What a class of work runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engines; a request costs the tokens that it consumes.
    Model,
    /// Plain services; each call costs the price of the class.
    Service,
}

/// A class of work with its latency targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The name that callers give as `model`, or in the path of a service call.
    pub name: Name,
    /// What the class runs on.
    pub kind: Kind,
    /// Name under which backend servers offer the model or service.
    pub serves: Name,
    /// Target for the time until the first token; `None` for service calls.
    pub first_target: Option<Duration>,
    /// Target for the time until the complete answer.
    pub finish_target: Duration,
    /// Fraction of requests that must meet the targets, from 0 to 1.
    pub objective: f64,
    /// Whether a call may be sent to a backend server more than once.
    pub repeatable: bool,
    /// Price of a service call in tokens; 0 for model classes.
    pub price: u64,
    /// Cap on output tokens if the caller sets none.
    pub output_cap: u32,
}

/// A customer's workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace, and of its budget.
    pub name: Name,
    /// SHA-256 of the access key, lower-case hex.
    pub secret: Name,
}

/// One generation of the configuration that operators set.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Grows by one with each accepted change; 0 means that there is none yet.
    pub generation: u64,
    /// The classes, sorted by name.
    pub classes: Vec<Class>,
    /// The workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
}

impl Config {
    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        let at = self.classes.binary_search_by(|c| (*c.name).cmp(name));
        at.ok().map(|at| &self.classes[at])
    }

    /// Finds a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        let at = self.workspaces.binary_search_by(|w| (*w.name).cmp(name));
        at.ok().map(|at| &self.workspaces[at])
    }

    /// Finds the workspace that an access key belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        let secret = hash_key(key);
        self.workspaces.iter().find(|w| *w.secret == *secret)
    }

    /// Sorts classes and workspaces by name, as the binary searches require.
    pub fn sort(&mut self) {
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

/// SHA-256 of an access key in lower-case hex.
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// A class as stored in the table. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClassWire {
    name: Name,
    kind: String,
    serves: Name,
    first_ms: Option<u64>,
    finish_ms: u64,
    objective: f64,
    repeat: bool,
    price: u64,
    cap: u32,
}

/// A workspace as stored in the table.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceWire {
    name: Name,
    secret: Name,
}

/// The configuration as stored in the table and sent between routers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigWire {
    generation: u64,
    classes: Vec<ClassWire>,
    workspaces: Vec<WorkspaceWire>,
}

/// The error for a stored configuration with an invalid class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidClass {
    /// Name of the invalid class.
    pub class: Name,
    /// What is wrong with it.
    pub reason: String,
}

impl std::fmt::Display for InvalidClass {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "class {}: {}", self.class, self.reason)
    }
}

impl std::error::Error for InvalidClass {}

impl From<&Class> for ClassWire {
    fn from(class: &Class) -> Self {
        Self {
            name: class.name.clone(),
            kind: match class.kind {
                Kind::Model => "model".to_owned(),
                Kind::Service => "service".to_owned(),
            },
            serves: class.serves.clone(),
            first_ms: class.first_target.map(|d| d.as_millis() as u64),
            finish_ms: class.finish_target.as_millis() as u64,
            objective: class.objective,
            repeat: class.repeatable,
            price: class.price,
            cap: class.output_cap,
        }
    }
}

impl TryFrom<ClassWire> for Class {
    type Error = InvalidClass;

    fn try_from(wire: ClassWire) -> Result<Self, InvalidClass> {
        let kind = match wire.kind.as_str() {
            "model" => Kind::Model,
            "service" => Kind::Service,
            other => {
                return Err(InvalidClass {
                    class: wire.name,
                    reason: format!("kind is {other:?}, not model or service"),
                });
            }
        };
        Ok(Self {
            name: wire.name,
            kind,
            serves: wire.serves,
            first_target: wire.first_ms.map(Duration::from_millis),
            finish_target: Duration::from_millis(wire.finish_ms),
            objective: wire.objective,
            repeatable: wire.repeat,
            price: wire.price,
            output_cap: wire.cap,
        })
    }
}

impl From<&Config> for ConfigWire {
    fn from(config: &Config) -> Self {
        Self {
            generation: config.generation,
            classes: config.classes.iter().map(ClassWire::from).collect(),
            workspaces: config
                .workspaces
                .iter()
                .map(|w| WorkspaceWire {
                    name: w.name.clone(),
                    secret: w.secret.clone(),
                })
                .collect(),
        }
    }
}

impl TryFrom<ConfigWire> for Config {
    type Error = InvalidClass;

    fn try_from(wire: ConfigWire) -> Result<Self, InvalidClass> {
        let classes: Result<Vec<_>, _> = wire.classes.into_iter().map(Class::try_from).collect();
        let workspaces = wire.workspaces.into_iter().map(|w| Workspace {
            name: w.name,
            secret: w.secret,
        });
        let mut config = Self {
            generation: wire.generation,
            classes: classes?,
            workspaces: workspaces.collect(),
        };
        config.sort();
        Ok(config)
    }
}
