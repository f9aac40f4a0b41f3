//! The fleet's configuration: classes of work with their targets, workspaces.
//!
//! It is one row of the platform's table with a generation number. Operators
//! replace it whole by a conditional write on the generation they read. A
//! router applies only a generation higher than its own.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::Name;

/// Key of the configuration's row in the table.
pub const ROW_KEY: &str = "config";

/// Key of the row that holds the generation alone, written together with the
/// configuration, so that routers need not read all of it to see no change.
pub const GENERATION_KEY: &str = "generation";

/// What a class of work runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engines; budgets are in tokens.
    Model,
    /// Plain services; each call costs the class's price.
    Service,
}

/// A class of work with its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The name that callers give as `model`, or in the path of a service call.
    pub name: Name,
    /// What it runs on.
    pub kind: Kind,
    /// Model or service that backend servers offer under this name.
    pub serves: Name,
    /// Target until the first token; `None` for service calls.
    pub first_target: Option<Duration>,
    /// Target until the whole answer.
    pub finish_target: Duration,
    /// Share of requests that must meet the targets, 0 to 1.
    pub objective: f64,
    /// Whether a call may be sent twice.
    pub repeatable: bool,
    /// Tokens that a service call costs; 0 for model classes.
    pub price: u64,
    /// Cap on output where the caller gives none, in tokens.
    pub output_cap: u32,
}

/// A customer's workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// The workspace's name, also of its budget.
    pub name: Name,
    /// SHA-256 of the access key, lower-case hex.
    pub secret: Name,
}

/// Everything that operators set, as of one generation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Grows by one with each accepted change; 0 is "none yet".
    pub generation: u64,
    /// In order of their names.
    pub classes: Vec<Class>,
    /// In order of their names.
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

    /// Finds the workspace that an access key opens.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        let secret = hash_key(key);
        self.workspaces.iter().find(|w| *w.secret == *secret)
    }

    /// Sorts classes and workspaces by name, as the queries need.
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

/// A class as it stands in the table. Times are in milliseconds.
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

/// A workspace as it stands in the table.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceWire {
    name: Name,
    secret: Name,
}

/// The configuration as it stands in the table and goes between routers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigWire {
    generation: u64,
    classes: Vec<ClassWire>,
    workspaces: Vec<WorkspaceWire>,
}

/// What is wrong with a configuration that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidClass {
    /// The class it was found in.
    pub class: Name,
    /// What was found.
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
